"""Jobs whose tasks need resources: what a caller hands in, and the queue it joins."""

from typing import NewType

import msgspec

from bergamotcourse.ids import ConfigVersion, ServiceName
from bergamotcourse.state.resources import Resources

JobId = NewType("JobId", str)
"""Chosen by the caller; the same id names the same job."""

TaskName = NewType("TaskName", str)
"""Names one task of a job to the upstreams, unique over all jobs."""


def job_of(task: TaskName) -> JobId:
    """Return the job of a task: the task's name begins with it."""
    return JobId(task.partition(".")[0])


class StepSpec(msgspec.Struct, frozen=True):
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        needs: Resources of each task.
        estimate: Seconds that a task takes, as declared by the caller.
        after: Indices of steps all of whose tasks must be done before.
        label: A label that the upstream must have; empty for any.
        data_rack: The label of the rack that has its data; empty where it has none.
            In any other rack a task takes a multiple of its time.
    """

    count: int
    needs: Resources
    estimate: float
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""


class JobSpec(msgspec.Struct, frozen=True):
    """What a caller hands in.

    Attributes:
        payload: Handed to each task unchanged.
        kept: The job must outlive this process: it is stored before it is accepted.
        unsupported: Names of properties that this version cannot honour.
    """

    id: JobId
    payload: str
    steps: tuple[StepSpec, ...]
    kept: bool = False
    unsupported: tuple[str, ...] = ()


class JobQueue(msgspec.Struct, frozen=True):
    """A queue of jobs, as the configuration describes it.

    Attributes:
        service: The upstreams that run its tasks.
        priority: 0 goes first.
        max_attempts: Failed runs of one task after which its job has failed.
        slack_factor: The response-time objective in multiples of the work.
        target_latency: Seconds added to that objective.
    """

    name: str
    host: str
    path_prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency: float = 0.0

    def objective(self, work: float) -> float:
        """Return the response-time objective in seconds for a chain of work."""
        return self.slack_factor * work + self.target_latency


class QueueTable(msgspec.Struct, frozen=True):
    """All queues of one version of the configuration."""

    version: ConfigVersion
    queues: tuple[JobQueue, ...]

    def find(self, host: str, path: str) -> JobQueue | None:
        """Return the queue with the longest prefix of a path on a host."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
