"""Jobs that their callers have cancelled, for submissions that arrive late."""

from bergamotcourse.state.job_spec import JobKey

RETENTION_SECONDS = 60.0
"""A submission that was delayed on its way arrives seconds after its job's end."""

MAX_CANCELLATIONS = 10_000
"""Above it the oldest are forgotten, so that memory stays bounded."""


class Cancellations:
    """The jobs that were cancelled lately.

    Attributes:
        times: The time of each cancellation, the oldest first.
        known: The jobs among them that were known here.
    """

    def __init__(self):
        self.times: dict[JobKey, float] = {}
        self.known: set[JobKey] = set()

    def add(self, job: JobKey, now: float, is_known: bool = False) -> None:
        """Record that a job was cancelled.

        Args:
            job: The job.
            now: The time.
            is_known: Whether the job is known here; another one may never have been
                submitted.
        """
        self.times.pop(job, None)
        self.times[job] = now
        if is_known:
            self.known.add(job)
        while len(self.times) > MAX_CANCELLATIONS:
            self._remove(next(iter(self.times)))

    def contains(self, job: JobKey, now: float) -> bool:
        """Return whether a job was cancelled within the retention time."""
        self._expire(now)
        return job in self.times

    def contains_known(self, job: JobKey, now: float) -> bool:
        """Return whether a job that was known here was cancelled in that time."""
        return self.contains(job, now) and job in self.known

    def _expire(self, now: float) -> None:
        while self.times:
            oldest = next(iter(self.times))
            if now - self.times[oldest] <= RETENTION_SECONDS:
                return
            self._remove(oldest)

    def _remove(self, job: JobKey) -> None:
        del self.times[job]
        self.known.discard(job)
