"""Dispatch order of waiting jobs, and immediate refusals; pure decisions without I/O.

Jobs that can still finish in time are ordered by the latest time at which their work
must start. Under overload, short jobs with little slack therefore overtake long jobs
that can wait. Jobs that can only finish late come after all of these.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.job_run import JobRun

MIN_WORK_SHARE = 0.5
"""Share of a job's estimated work that must fit into the time left. Declared times are
off by 40%, so a job that does not fit entirely may still finish in time."""

DISCOVERY_SECONDS = 4.0
"""Time after its start in which an entry may still discover upstreams, and so does not
refuse jobs for lack of them. After a loss of all processes, upstreams are back within
two seconds."""

RETRY_SECONDS = 1.0
"""``Retry-After`` of a refusal; the smallest value that the header can express."""


@dataclass(frozen=True)
class Refusal:
    """Why a job is refused, and the seconds after which its caller may retry."""

    why: str
    retry_after: float


def dispatch_order_key(job: JobRun, now: float) -> tuple[bool, float]:
    """Return the sort key of a waiting job; the smallest key is placed first."""
    is_late = now > job.start_by
    return (is_late and not job.may_have_run, job.start_by)


def immediate_refusal(
    job: JobRun, links: list[AgentLink], entry_age: float, seconds_left: float
) -> Refusal | None:
    """Return the refusal of a job that certainly cannot be served, or ``None``.

    Args:
        job: A job of which no task can have started.
        links: The agents that may get tasks.
        entry_age: Seconds since this entry started.
        seconds_left: Seconds until its caller times out or this entry exits.
    """
    if seconds_left < MIN_WORK_SHARE * job.work:
        return Refusal("it cannot be done in the time that is left", RETRY_SECONDS)
    serving = [link for link in links if link.room.service == job.queue.service]
    serving = [link for link in serving if may_accept_tasks(link)]
    if not serving and entry_age < DISCOVERY_SECONDS:
        return None
    if not serving:
        return Refusal("no upstream of the service is known", RETRY_SECONDS)
    if not all(can_ever_run(job, step, serving) for step in job.spec.steps):
        return Refusal("no upstream is large enough", RETRY_SECONDS)
    return None


def may_accept_tasks(link: AgentLink) -> bool:
    """Return whether an agent accepts tasks, or may do so at any moment.

    An upstream that does not answer may answer again, and one on trial gets its next
    task soon. One that answers and offers no capacity is leaving.
    """
    room = link.room
    return bool(room.capacity.cpu) or room.on_trial or not room.life


def can_ever_run(job: JobRun, step, links: list[AgentLink]) -> bool:
    """Return whether some upstream, if idle and healthy, could run a task of a step."""
    return any(
        step.needs.fits(link.largest_capacity)
        and (not step.label or step.label in link.room.labels)
        for link in links
    )
