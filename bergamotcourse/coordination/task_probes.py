"""Probes of agents for tasks whose results are overdue.

A probe also bars the attempt at the agent: a start that arrives later is refused, so
that a task reported as not started is proved not to run.
"""

from dataclasses import dataclass

import msgspec
from expression import Result

from bergamotcourse.coordination.tasks import Task
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Bar, BarReply, TaskResult

PROBE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class ProbeUnanswered:
    """The agent process that the task was sent to does not answer."""


@dataclass(frozen=True)
class StillRunning:
    """The task is still running."""


@dataclass(frozen=True)
class ResultRecovered:
    """The task ended, but its result was lost in transit.

    Attributes:
        result: The result that the agent kept.
    """

    result: TaskResult


@dataclass(frozen=True)
class ResultUnavailable:
    """The task was started, but the agent has no result of it."""


@dataclass(frozen=True)
class StartNotReceived:
    """The start order was lost, and the agent refuses it from now on."""


ProbeResult = (
    ProbeUnanswered
    | StillRunning
    | ResultRecovered
    | ResultUnavailable
    | StartNotReceived
)


class TaskProber:
    """Sends probes to agents."""

    def __init__(self, mailer: Mailer, timers: Timers):
        self.mailer = mailer
        self.timers = timers

    async def probe(self, task: Task) -> ProbeResult:
        """Return what a task's agent reports of it."""
        submission = task.submission
        attempt = submission.grant.attempt
        reply = await self.mailer.request(
            task.view.address,
            lambda message_id: Bar(message_id, submission.id, attempt),
            PROBE_TIMEOUT_SECONDS,
        )
        match reply:
            case Result(tag="ok", ok=answer) if answer.boot == task.boot:
                task.view.last_received_at = self.timers.now()
                return self._read(task, answer)
            case _:
                return ProbeUnanswered()

    def _read(self, task: Task, reply: BarReply) -> ProbeResult:
        for result in reply.results:
            if result.index == task.index:
                kept = msgspec.structs.replace(result, dispatch=task.dispatches)
                return ResultRecovered(kept)
        early = self.timers.now() < task.submission.deadline
        if task.index in reply.running and early:
            return StillRunning()
        return (
            ResultUnavailable() if task.index in reply.started else StartNotReceived()
        )
