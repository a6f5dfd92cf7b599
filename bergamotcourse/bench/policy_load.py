"""The load of the policy benchmark: run times and arrival times of tasks."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from bergamotcourse.ids import ServiceName, SubmissionId, TeamId
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest

SHORTEST_SECONDS = 0.05
TAIL_START_SECONDS = 1.0
LONGEST_SECONDS = 5.0
TAIL_SHARE = 0.03
"""Share of tasks that run from ``TAIL_START_SECONDS`` to ``LONGEST_SECONDS``.

The others run from ``SHORTEST_SECONDS`` to ``TAIL_START_SECONDS``. Run times are
uniform over the logarithm within each range.
"""

SERVICE = ServiceName("voting")


def _log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)


MEAN_SECONDS = (1 - TAIL_SHARE) * _log_uniform_mean(
    SHORTEST_SECONDS, TAIL_START_SECONDS
) + TAIL_SHARE * _log_uniform_mean(TAIL_START_SECONDS, LONGEST_SECONDS)


def draw_seconds(rng: random.Random) -> float:
    """Draw the run time of a task, in seconds."""
    low, high = SHORTEST_SECONDS, TAIL_START_SECONDS
    if rng.random() < TAIL_SHARE:
        low, high = TAIL_START_SECONDS, LONGEST_SECONDS
    return math.exp(rng.uniform(math.log(low), math.log(high)))


@dataclass(frozen=True)
class Stream:
    """Single requests of one team, which arrive as a Poisson process.

    Attributes:
        rate: Requests per second.
        begin: Time of the first possible arrival, in seconds from the start of the
            measurement; may be negative.
        end: Time of the last possible arrival, in seconds from the start of the
            measurement.
        timeout: Timeout of a request, in seconds.
        leave_at: Time at which all its callers hang up, in seconds from the start of
            the measurement.
        entry: Name of the entry that receives all requests; if empty, each goes to a
            random entry.
    """

    team: TeamId
    rate: float
    begin: float
    end: float
    timeout: float = 10.0
    leave_at: float = math.inf
    entry: str = ""


@dataclass(frozen=True)
class JobPlan:
    """One job to submit.

    Attributes:
        at: Time of submission, in seconds from the start of the measurement.
        cancel_at: Time at which the caller cancels the job, in seconds from the start
            of the measurement.
    """

    team: TeamId
    at: float
    tasks: int = 1600
    timeout: float = 60.0
    entry: str = ""
    cancel_at: float = math.inf


@dataclass(frozen=True)
class Arrival:
    """The arrival of one single request."""

    at: float
    run_seconds: float


def arrivals(stream: Stream, seed: str) -> Iterator[Arrival]:
    """Yield the arrivals of a stream; the same seed gives the same arrivals."""
    rng = random.Random(seed)
    at = stream.begin + rng.expovariate(stream.rate)
    while at < stream.end:
        yield Arrival(at, draw_seconds(rng))
        at += rng.expovariate(stream.rate)


def task_request(name: str, run_seconds: float) -> TaskRequest:
    """Return a task request that runs ``run_seconds`` at a stand-in upstream."""
    target = f"/task?run_ms={run_seconds * 1000:.3f}"
    return TaskRequest("POST", target, [("x-task", name)], b"")


def make_submission(
    rng: random.Random,
    kind: SubmissionKind,
    team: TeamId,
    weight: float,
    tasks: list[TaskRequest],
    deadline: float,
) -> Submission:
    """Return a submission without an idempotency key."""
    return Submission(
        id=SubmissionId(rng.randbytes(16)),
        kind=kind,
        team=team,
        service=SERVICE,
        tasks=tasks,
        digest=b"",
        deadline=deadline,
        weight=weight,
    )


def best_makespan(runs: list[float], slots: int) -> float:
    """Return the makespan of longest-first scheduling with known run times.

    It exceeds the optimum by at most a third of the longest task, and by far less for
    many tasks.
    """
    ends = [0.0] * slots
    for run in sorted(runs, reverse=True):
        first = min(range(slots), key=ends.__getitem__)
        ends[first] += run
    return max(ends)


def listed_order_makespan(runs: list[float], slots: int) -> float:
    """Return the makespan if tasks start in list order, with unknown run times."""
    ends = [0.0] * slots
    for run in runs:
        first = min(range(slots), key=ends.__getitem__)
        ends[first] += run
    return max(ends)
