"""Jobs whose tasks need resources, as callers submit them, and the queues of jobs."""

from enum import Enum
from typing import NamedTuple, NewType

import msgspec
import xxhash

from bergamotcourse.ids import ConfigVersion, ServiceName
from bergamotcourse.state.resources import Resources

JobId = NewType("JobId", str)
"""Chosen by the caller; a resubmission with the same id refers to the same job."""

TaskName = NewType("TaskName", str)
"""Identifies a task to the upstreams; unique across all jobs."""


JobDigest = NewType("JobDigest", int)
"""64 bits that stand for the address of a queue and the id of a job there."""

SpecDigest = NewType("SpecDigest", int)
"""32 bits that stand for what a caller has submitted under an id."""


class JobKey(NamedTuple):
    """Identifies a job in all processes.

    Attributes:
        host: Host name of the job's queue.
        path_prefix: Path prefix of the job's queue.
        id: The id of the job there.
    """

    host: str
    path_prefix: str
    id: JobId

    def digest(self) -> JobDigest:
        """Return the digest by which ended jobs are remembered."""
        return JobDigest(xxhash.xxh3_64_intdigest("\0".join(self).encode()))


def job_id_of_task(task: TaskName) -> JobId:
    """Return the id of a task's job: the part of the name before the first dot."""
    return JobId(task.partition(".")[0])


class JobState(Enum):
    """The state of a job, as a request for it shows."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepSpec(msgspec.Struct, frozen=True):
    """A group of identical tasks in a job.

    Attributes:
        count: Number of tasks.
        needs: Resources of each task.
        estimate: Duration of a task in seconds, as declared by the caller.
        after: Indices of the steps whose tasks must all complete first.
        label: Label that the upstream must have; empty if any upstream will do.
        data_rack: Label of the rack that holds the tasks' data; empty if there is none.
            In any other rack a task takes a multiple of its estimate.
    """

    count: int
    needs: Resources
    estimate: float
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""


class JobSpec(msgspec.Struct, frozen=True):
    """A job as a caller submits it.

    Attributes:
        payload: Passed to each task unchanged.
        kept: The job must survive a failure of this process, so it is stored before it
            is accepted.
        unsupported: Names of requested properties that this version does not support.
    """

    id: JobId
    payload: str
    steps: tuple[StepSpec, ...]
    kept: bool = False
    unsupported: tuple[str, ...] = ()

    def digest(self) -> SpecDigest:
        """Return a digest that is the same in all processes."""
        return SpecDigest(xxhash.xxh32_intdigest(msgspec.msgpack.encode(self)))


class JobQueue(msgspec.Struct, frozen=True):
    """A queue of jobs, as the configuration describes it.

    Attributes:
        host: Host name of the requests that submit jobs to the queue.
        path_prefix: Prefix of the path of those requests.
        service: Service whose upstreams run the tasks.
        priority: Lower numbers run first; 0 is the highest priority.
        max_attempts: Number of failed runs of a task after which its job fails.
        slack_factor: Response-time objective as a multiple of the work.
        target_latency: Seconds added to the response-time objective.
    """

    name: str
    host: str
    path_prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency: float = 0.0

    def key(self, job_id: JobId) -> JobKey:
        """Return the key of a job of this queue."""
        return JobKey(self.host, self.path_prefix, job_id)

    def objective(self, work: float) -> float:
        """Return the response-time objective in seconds.

        Args:
            work: Duration in seconds of a chain of steps.
        """
        return self.slack_factor * work + self.target_latency


class QueueTable(msgspec.Struct, frozen=True):
    """All queues in a version of the configuration."""

    version: ConfigVersion
    queues: tuple[JobQueue, ...]

    def find(self, host: str, path: str) -> JobQueue | None:
        """Return the host's queue with the longest prefix of the path, or ``None``."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
