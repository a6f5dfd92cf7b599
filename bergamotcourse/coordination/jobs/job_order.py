"""Which waiting job goes first, and which is refused at once: decisions alone.

Under more load than the upstreams can carry, jobs that can still be in time
go by the moment at which their work must begin, so short jobs with little time pass
long ones that can wait; jobs that can only be late go behind all of these.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.job_run import JobRun

LEAST_SHARE = 0.5
"""Share of a job's work for which there must be time: declared times are off by 40%."""

LEARNING_SECONDS = 4.0
"""An entry that began no longer ago may learn of upstreams any moment: after a loss of
all processes they come back within two seconds."""

RETRY_SECONDS = 1.0
"""Callers may come back after this; the shortest that the header can say."""


@dataclass(frozen=True)
class Refusal:
    """Why a job is not taken, and after how many seconds it may come again."""

    why: str
    retry_after: float


def order_key(job: JobRun, now: float) -> tuple[bool, float]:
    """Return the place of a job among those that wait: the least goes first."""
    is_late = now > job.start_by
    return (is_late and not job.may_have_run, job.start_by)


def refusal_at_once(
    job: JobRun, links: list[AgentLink], age: float, left: float
) -> Refusal | None:
    """Return why a job that has just come is refused, or ``None``.

    Args:
        job: The job.
        links: The agents that may get tasks.
        age: Seconds since this entry began.
        left: Seconds until its caller leaves, or this entry ends.
    """
    if left < LEAST_SHARE * job.work:
        return Refusal("it cannot be done in the time that is left", RETRY_SECONDS)
    serving = [link for link in links if link.room.service == job.queue.service]
    serving = [link for link in serving if link.room.capacity.cpu]
    if not serving and age < LEARNING_SECONDS:
        return None
    if not serving:
        return Refusal("no upstream of the service is known", RETRY_SECONDS)
    if not all(can_ever_run(job, step, serving) for step in job.spec.steps):
        return Refusal("no upstream is large enough", RETRY_SECONDS)
    return None


def can_ever_run(job: JobRun, step, links: list[AgentLink]) -> bool:
    """Return whether some upstream could run a task of a step when empty and sound."""
    return any(
        step.needs.fits(link.largest)
        and (not step.label or step.label in link.room.labels)
        for link in links
    )
