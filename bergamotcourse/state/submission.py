"""Submissions: requests of callers, each with one or more tasks."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from bergamotcourse.ids import (
    Attempt,
    Epoch,
    RangeId,
    ServiceName,
    SubmissionId,
    TeamId,
)
from bergamotcourse.state.keys import KeyKind


class SubmissionKind(Enum):
    """Whether a submission is a session request or a job."""

    SESSION = "session"
    JOB = "job"


@dataclass(frozen=True)
class TaskRequest:
    """The HTTP request that a task makes to its upstream."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


@dataclass
class Grant:
    """The right to start a submission.

    Attributes:
        valid_until: Time in seconds on this process's clock, after which no start is
            sent.
    """

    range: RangeId
    epoch: Epoch
    attempt: Attempt
    valid_until: float


@dataclass
class Submission:
    """A submission at the entry that dispatches it.

    Attributes:
        digest: Hash of the request; a resubmission must have the same hash.
        deadline: Time in seconds on this process's clock.
        repeatable: A task with unknown outcome may be sent again.
        key: Kind of its idempotency key; ``None`` without a key.
        grant: The right to start it; ``None`` until granted.
        trace: Id of its trace if its steps are logged, otherwise empty.
        open_tasks: Number of tasks without a final result.
        may_have_run: Tasks that were sent again after an unknown outcome.
        results: Final results by task; ``None`` for a task that has none yet.
        run: Random number that identifies this run to the owner of its range.
        done: Set when every task has its final result.
        final: Set when the results may be returned to the caller; used only for
            submissions with a key.
    """

    id: SubmissionId
    kind: SubmissionKind
    team: TeamId
    service: ServiceName
    tasks: list[TaskRequest]
    digest: bytes
    deadline: float
    repeatable: bool = False
    weight: float = 1.0
    key: KeyKind | None = None
    grant: Grant | None = None
    cancelled: bool = False
    trace: str = ""
    open_tasks: int = 0
    may_have_run: set[int] = field(default_factory=set)
    results: list[object | None] = field(default_factory=list)
    run: int = 0
    done: trio.Event = field(default_factory=trio.Event)
    final: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self):
        """Mark every task as open."""
        self.open_tasks = len(self.tasks)
        self.results = [None] * len(self.tasks)

    def finish(self, index: int, result: object) -> None:
        """Set the final result of a task; ignored if it already has one."""
        if self.results[index] is not None:
            return
        self.results[index] = result
        self.open_tasks -= 1
        if not self.open_tasks:
            self.done.set()
