"""Compares policies on one load, with the same seeds, so that results are paired."""

import random
import statistics
from concurrent.futures import Executor
from dataclasses import dataclass

from bergamotcourse.bench.replay.bound import earnable_share
from bergamotcourse.bench.replay.capacity import capacity_of
from bergamotcourse.bench.replay.load_file import Load
from bergamotcourse.bench.replay.offered import offered_jobs
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.bench.replay.tally import ReplayOutcome
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
class PolicyResult:
    """The results of the replays under one policy.

    Attributes:
        worth: Share of the worth that was earned.
        gain: Paired difference between this share and that of the first policy.
    """

    policy: str
    outcomes: list[ReplayOutcome]
    worth: Interval
    gain: Interval

    def mean(self, figure) -> float:
        """Return the mean of a figure over the replays."""
        return statistics.mean(figure(outcome) for outcome in self.outcomes)


def compare(
    load: Load,
    policies: dict[str, JobPolicy],
    seeds: range,
    pool: Executor,
    bounds: bool = False,
) -> list[PolicyResult]:
    """Replay a load under each policy with each seed and return a result per policy.

    Args:
        load: The load.
        policies: The policies by name; gains are relative to the first.
        seeds: The seeds.
        pool: Runs the replays.
        bounds: Whether to compute the upper bound of each replay.
    """
    run = replay_with_bound if bounds else replay
    jobs = {
        name: [pool.submit(run, load, policy, seed) for seed in seeds]
        for name, policy in policies.items()
    }
    outcomes = {
        name: [job.result() for job in per_seed] for name, per_seed in jobs.items()
    }
    shares = {
        name: list(map(share_earned, per_seed)) for name, per_seed in outcomes.items()
    }
    first = shares[next(iter(policies))]
    rows = []
    for name, per_seed in shares.items():
        gains = [one - other for one, other in zip(per_seed, first, strict=True)]
        rows.append(
            PolicyResult(name, outcomes[name], interval(per_seed), interval(gains))
        )
    return rows


def replay_with_bound(load: Load, policy: JobPolicy, seed: int) -> ReplayOutcome:
    """Replay a load and return the outcome with the upper bound on its share."""
    outcome = replay(load, policy, seed)
    jobs = offered_jobs(load, outcome, seed)
    outcome.bound = earnable_share(jobs, capacity_of(load))
    return outcome


def share_earned(outcome: ReplayOutcome) -> float:
    """Return the share of a replay's worth that was earned."""
    return outcome.total.share_earned()


def interval(values: list[float]) -> Interval:
    """Return the mean and its bootstrap interval; the same values give the same one."""
    rng = random.Random(0)
    means = sorted(
        statistics.mean(rng.choices(values, k=len(values))) for _ in range(RESAMPLES)
    )
    tail = int(RESAMPLES * (1 - CONFIDENCE) / 2)
    return Interval(statistics.mean(values), means[tail], means[-tail - 1])
