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
    """

    def __init__(self):
        self.times: dict[JobKey, float] = {}

    def add(self, job: JobKey, now: float) -> None:
        """Record that a job was cancelled."""
        self.times.pop(job, None)
        self.times[job] = now
        while len(self.times) > MAX_CANCELLATIONS:
            del self.times[next(iter(self.times))]

    def contains(self, job: JobKey, now: float) -> bool:
        """Return whether a job was cancelled within the retention time."""
        self._expire(now)
        return job in self.times

    def _expire(self, now: float) -> None:
        while self.times:
            oldest = next(iter(self.times))
            if now - self.times[oldest] <= RETENTION_SECONDS:
                return
            del self.times[oldest]
