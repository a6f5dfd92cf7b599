"""The load of the policy benchmark: how long tasks run, and when they come."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from bergamotcourse.ids import ServiceName, SubmissionId, TeamId
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest

SHORTEST_SECONDS = 0.05
USUAL_SECONDS = 1.0
LONGEST_SECONDS = 5.0
TAIL_SHARE = 0.03
"""So many tasks run from ``USUAL_SECONDS`` to ``LONGEST_SECONDS``, the others from
``SHORTEST_SECONDS`` to ``USUAL_SECONDS``; both evenly over the logarithm."""

SERVICE = ServiceName("voting")


def _log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)


MEAN_SECONDS = (1 - TAIL_SHARE) * _log_uniform_mean(
    SHORTEST_SECONDS, USUAL_SECONDS
) + TAIL_SHARE * _log_uniform_mean(USUAL_SECONDS, LONGEST_SECONDS)


def draw_seconds(rng: random.Random) -> float:
    """Return the run time of a task."""
    low, high = SHORTEST_SECONDS, USUAL_SECONDS
    if rng.random() < TAIL_SHARE:
        low, high = USUAL_SECONDS, LONGEST_SECONDS
    return math.exp(rng.uniform(math.log(low), math.log(high)))


@dataclass(frozen=True)
class Stream:
    """Single requests of one team, as a Poisson process.

    Attributes:
        rate: Requests a second.
        begin: Seconds from the start of the measurement; may be below 0.
        end: The same.
        timeout: Seconds that a request may take.
        leave_at: When its callers all hang up, in seconds from the start.
        entry: Name of the entry that gets them all; any one if empty.
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
    """One job.

    Attributes:
        at: Seconds from the start of the measurement.
        cancel_at: When its caller cancels it.
    """

    team: TeamId
    at: float
    tasks: int = 1600
    timeout: float = 60.0
    entry: str = ""
    cancel_at: float = math.inf


@dataclass(frozen=True)
class Arrival:
    """One single request as it comes."""

    at: float
    run_seconds: float


def arrivals(stream: Stream, seed: str) -> Iterator[Arrival]:
    """Return a stream's requests, the same for the same seed."""
    rng = random.Random(seed)
    at = stream.begin + rng.expovariate(stream.rate)
    while at < stream.end:
        yield Arrival(at, draw_seconds(rng))
        at += rng.expovariate(stream.rate)


def task_request(name: str, run_seconds: float) -> TaskRequest:
    """Return the request of a task that runs so long at a stand-in upstream."""
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
    """Return a submission without a key."""
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
    """Return the makespan of longest first on so many slots, run times known.

    It is over the best possible by at most a third of the longest task, and by far
    less for many tasks.
    """
    ends = [0.0] * slots
    for run in sorted(runs, reverse=True):
        first = min(range(slots), key=ends.__getitem__)
        ends[first] += run
    return max(ends)


def listed_makespan(runs: list[float], slots: int) -> float:
    """Return the makespan in the order given, as slots get free: run times unknown."""
    ends = [0.0] * slots
    for run in runs:
        first = min(range(slots), key=ends.__getitem__)
        ends[first] += run
    return max(ends)
