"""Jobs that have lately succeeded or failed, for submissions that arrive again.

Each entry remembers the jobs that ended here and those that other entries announce.
"""

from bergamotcourse.protocol.task_messages import EndedJob
from bergamotcourse.state.job_spec import JobDigest

RETENTION_SECONDS = 30.0
"""Least time for which a job is remembered, unless there are too many. A caller submits
a job again seconds after its answer."""

MAX_JOBS_PER_GENERATION = 20_000
"""Bound on the memory for ended jobs: two generations take about 6 MB."""


class EndedJobs:
    """The jobs that have lately ended, in two generations.

    A generation is dropped as a whole, so that a job needs no time of its own.

    Attributes:
        current: The jobs since the last rotation.
        former: The jobs between the last two rotations.
        rotated_at: Time of the last rotation.
    """

    def __init__(self, now: float):
        self.current: dict[JobDigest, EndedJob] = {}
        self.former: dict[JobDigest, EndedJob] = {}
        self.rotated_at = now

    def add(self, job: EndedJob, now: float) -> None:
        """Record the end of a job, unless an end of it is known."""
        if self.find(job.digest, now) is not None:
            return
        if len(self.current) >= MAX_JOBS_PER_GENERATION:
            self._rotate(now)
        self.current[job.digest] = job

    def find(self, digest: JobDigest, now: float) -> EndedJob | None:
        """Return how a job has ended, or ``None`` if that is not known."""
        if now - self.rotated_at >= 2 * RETENTION_SECONDS:
            self.current = {}
        if now - self.rotated_at >= RETENTION_SECONDS:
            self._rotate(now)
        return self.current.get(digest) or self.former.get(digest)

    def _rotate(self, now: float) -> None:
        self.former, self.current = self.current, {}
        self.rotated_at = now
