"""The state of one task while an entry handles it."""

from dataclasses import dataclass, field
from enum import Enum

from bergamotcourse.coordination.agents import AgentView
from bergamotcourse.coordination.fair_queue import QueuedItem, Urgency
from bergamotcourse.protocol.messages import TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.submission import Submission, SubmissionKind

MAX_URGENCY_SECONDS = 2.0
"""Requests with at least this much time left on arrival are ordered by arrival. One
with less goes before those that arrived later than this long before its deadline."""


class TaskKind(Enum):
    """Selects tasks by the kind of their submission."""

    ANY = "any"
    SINGLE = "single"
    JOB = "job"


@dataclass
class Task:
    """One task of a submission.

    Attributes:
        submission: The submission.
        index: The index of the task in the submission.
        queued_at: When the submission arrived, in seconds.
        dispatches: Number of times it was sent under the current attempt.
        refusals: Number of times a full agent refused it.
        avoided_agents: Agents that are chosen again only if there is no other.
        view: The agent that it was sent to last.
        boot: The process of that agent.
        sent_at: When it was sent last, in seconds.
        asked: Whether its agent is being probed for it.
        waiting: Its place in the queue, while it waits.
    """

    submission: Submission
    index: int
    queued_at: float
    dispatches: int = 0
    refusals: int = 0
    avoided_agents: set[str] = field(default_factory=set)
    view: AgentView | None = None
    boot: int = 0
    sent_at: float = 0.0
    asked: bool = False
    waiting: QueuedItem | None = None

    @property
    def key(self) -> tuple[bytes, int]:
        """Return the key by which a result is matched to the task."""
        return (self.submission.id, self.index)

    @property
    def job(self) -> bool:
        """Whether the task belongs to a job."""
        return self.submission.kind is SubmissionKind.JOB

    @property
    def urgency(self) -> Urgency:
        """Return the sort key among the tasks of its team."""
        deadline = self.submission.deadline
        if self.job:
            return (deadline, self.index)
        return (min(deadline, self.queued_at + MAX_URGENCY_SECONDS),)


def synthetic_result(
    submission: Submission, index: int, outcome: Outcome, detail: str
) -> TaskResult:
    """Return a result with an outcome that this entry decided, not an agent."""
    return TaskResult(
        submission=submission.id,
        index=index,
        attempt=submission.grant.attempt if submission.grant else 0,
        dispatch=0,
        outcome=outcome,
        status=0,
        headers=[],
        body=b"",
        detail=detail,
    )
