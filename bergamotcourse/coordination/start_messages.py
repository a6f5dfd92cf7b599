"""Builds the message that starts a task at an agent."""

from dataclasses import dataclass

from bergamotcourse.coordination.agents import AgentView
from bergamotcourse.coordination.tasks import Task
from bergamotcourse.protocol.messages import Header, Start


@dataclass(frozen=True)
class StartOptions:
    """Options of a start order.

    Attributes:
        queue_if_full: The task waits at the agent if no slot is free.
        wants_slots: This entry wants notices of free slots.
        more_job_tasks: More tasks of jobs wait at this entry.
    """

    queue_if_full: bool = False
    wants_slots: bool = False
    more_job_tasks: bool = True


def start_message(
    task: Task, view: AgentView, options: StartOptions, now: float
) -> Start:
    """Return the message that starts a task at an agent.

    Args:
        task: The task.
        view: The agent.
        options: How the agent should handle the start.
        now: Seconds on the clock of the submission's deadline.
    """
    submission = task.submission
    request = submission.tasks[task.index]
    left = submission.deadline - now
    return Start(
        submission=submission.id,
        index=task.index,
        attempt=submission.grant.attempt,
        dispatch=task.dispatches,
        range=submission.grant.range,
        epoch=submission.grant.epoch,
        token=view.token,
        team=submission.team,
        service=submission.service,
        method=request.method,
        target=request.target,
        headers=[Header(name, value) for name, value in request.headers],
        body=request.body,
        timeout_ms=max(1, int(left * 1000)),
        digest=submission.digest,
        trace=submission.trace,
        job=task.job,
        weight=submission.weight,
        queue=options.queue_if_full,
        wants_slots=options.wants_slots,
        more_job_tasks=options.more_job_tasks,
    )
