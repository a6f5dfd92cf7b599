"""Delays a task whose runs are interrupted again and again.

A task may crash each upstream that runs it. No single interruption shows that: an
upstream may stop answering, or restart, for any reason. Interruptions therefore never
fail a job. They delay its task, so that one that does crash its upstreams takes down
few of them until its caller's timeout.

An upstream that answers again in the same life has not crashed, and its interruption
delays nothing any more.
"""

from dataclasses import dataclass, field

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.ids import LifeChecksum
from bergamotcourse.protocol.task_messages import RunOutcome, TaskEnded

UNDELAYED_INTERRUPTIONS = 1
"""Interruptions after which a task is placed again at once. The first is more likely
caused by another task or by a fault of the upstream."""

DELAY_SECONDS = 3.0
"""Delay after each further interruption. An upstream that was only unreachable answers
again within it, which ends the delay."""


@dataclass(frozen=True)
class Interruption:
    """The end of a run by an upstream that stopped answering or restarted.

    Attributes:
        link: The agent of the upstream.
        life: The life of the upstream that ran it.
        crashed: Another life is known to be in its place.
        at: When the outcome of the run arrived.
    """

    link: AgentLink
    life: LifeChecksum
    crashed: bool
    at: float

    @property
    def answered_since(self) -> bool:
        """Return whether the upstream has answered since, in the same life."""
        return (
            not self.crashed
            and self.link.life == self.life
            and self.link.life_reported_at > self.at
        )


@dataclass
class Interruptions:
    """The interruptions of one task, oldest first."""

    recorded: list[Interruption] = field(default_factory=list)

    def add(self, link: AgentLink, ended: TaskEnded, now: float) -> None:
        """Record a run that an agent's upstream has interrupted."""
        crashed = ended.outcome is RunOutcome.CRASHED
        self.recorded.append(Interruption(link, ended.interrupted, crashed, now))

    def delayed_until(self) -> float:
        """Return the time before which the task is not placed again."""
        standing = [one for one in self.recorded if not one.answered_since]
        if len(standing) <= UNDELAYED_INTERRUPTIONS:
            return 0.0
        return standing[-1].at + DELAY_SECONDS
