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
from bergamotcourse.protocol.task_messages import RunOutcome

DELAYS_SECONDS = (0.0, 0.0, 4.0, 16.0)
"""Delay of a task by its number of interruptions; the last is that of all higher
numbers. The first interruption is more likely caused by another task or by a fault of
the upstream. An upstream that is only unreachable answers again within the delay after
the second, which ends it."""


@dataclass(frozen=True)
class Interruption:
    """The end of a run by an upstream that stopped answering or restarted.

    Attributes:
        link: The agent of the upstream.
        boot: Boot number of the agent's process.
        life: Number of the life in which the upstream last answered.
        at: When the outcome of the run arrived.
        outcome: ``SILENT`` or ``CRASHED``.
    """

    link: AgentLink
    boot: int
    life: int
    at: float
    outcome: RunOutcome

    @property
    def is_refuted(self) -> bool:
        """Return whether the upstream has answered since, in the same life."""
        link = self.link
        return (
            self.outcome is RunOutcome.SILENT
            and (link.boot, link.life) == (self.boot, self.life)
            and link.life_reported_at > self.at
        )


@dataclass
class Interruptions:
    """The interruptions of one task."""

    all: list[Interruption] = field(default_factory=list)

    def add(self, link: AgentLink, outcome: RunOutcome, now: float) -> None:
        """Record that a run was interrupted at an agent's upstream."""
        self.all.append(Interruption(link, link.boot, link.life, now, outcome))

    def delayed_until(self) -> float:
        """Return the time before which the task is not placed again."""
        standing = [one for one in self.all if not one.is_refuted]
        if not standing:
            return 0.0
        number = min(len(standing), len(DELAYS_SECONDS) - 1)
        return standing[-1].at + DELAYS_SECONDS[number]
