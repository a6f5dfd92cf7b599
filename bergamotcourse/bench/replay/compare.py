"""Policies side by side on one load: the same seeds for each, so differences pair."""

import random
import statistics
from concurrent.futures import Executor
from dataclasses import dataclass

from bergamotcourse.bench.replay.load_file import Load
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.bench.replay.tally import Outcome
from bergamotcourse.coordination.jobs.policy import JobPolicy

RESAMPLES = 2000
CONFIDENCE = 0.95


@dataclass(frozen=True)
class Interval:
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float


@dataclass(frozen=True)
class Row:
    """One policy's replays.

    Attributes:
        worth: Share of the worth that was earned.
        gain: That share less the first policy's, pair by pair.
    """

    policy: str
    outcomes: list[Outcome]
    worth: Interval
    gain: Interval

    def mean(self, figure) -> float:
        """Return the mean of a figure of the replays."""
        return statistics.mean(figure(outcome) for outcome in self.outcomes)


def compare(
    load: Load, policies: dict[str, JobPolicy], seeds: range, pool: Executor
) -> list[Row]:
    """Replay a load under each policy, with each seed."""
    jobs = {
        name: [pool.submit(replay, load, policy, seed) for seed in seeds]
        for name, policy in policies.items()
    }
    outcomes = {name: [job.result() for job in mine] for name, mine in jobs.items()}
    shares = {name: list(map(share_earned, mine)) for name, mine in outcomes.items()}
    first = shares[next(iter(policies))]
    rows = []
    for name, mine in shares.items():
        gains = [one - other for one, other in zip(mine, first, strict=True)]
        rows.append(Row(name, outcomes[name], interval(mine), interval(gains)))
    return rows


def share_earned(outcome: Outcome) -> float:
    """Return the share of a replay's worth that was earned."""
    return outcome.total.share_earned()


def interval(values: list[float]) -> Interval:
    """Return the mean and its bootstrap interval, the same for the same values."""
    rng = random.Random(0)
    means = sorted(
        statistics.mean(rng.choices(values, k=len(values))) for _ in range(RESAMPLES)
    )
    tail = int(RESAMPLES * (1 - CONFIDENCE) / 2)
    return Interval(statistics.mean(values), means[tail], means[-tail - 1])
