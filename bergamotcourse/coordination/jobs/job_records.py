"""What an entry knows of jobs: those with callers, and those that ended lately."""

from collections.abc import Callable

from bergamotcourse.coordination.jobs.cancellations import Cancellations
from bergamotcourse.coordination.jobs.ended_jobs import EndedJobs
from bergamotcourse.coordination.jobs.job_run import JobOutcome, JobRun
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.task_messages import EndedJob
from bergamotcourse.state.job_spec import (
    JobId,
    JobKey,
    JobQueue,
    JobSpec,
    JobState,
)


class JobRecords:
    """The jobs that an entry knows.

    Attributes:
        jobs: Admitted jobs that still have callers, by id.
        ended: Jobs that have succeeded or failed, here or at another entry.
        cancellations: Jobs that callers have cancelled, which are not run again.
        on_ended: Called with each job that has succeeded or failed here.
    """

    def __init__(self, timers: Timers):
        self.timers = timers
        self.jobs: dict[JobId, JobRun] = {}
        self.ended = EndedJobs(timers.now())
        self.cancellations = Cancellations()
        self.on_ended: Callable[[EndedJob], None] = _ignore

    def find(self, key: JobKey) -> JobRun | None:
        """Return a job that still has callers, or ``None``."""
        job = self.jobs.get(key.id)
        return job if job is not None and job.key == key else None

    def record_end(self, ended: EndedJob) -> None:
        """Remember a job that has ended, here or at another entry."""
        self.ended.add(ended, self.timers.now())

    def has_ended(self, key: JobKey) -> bool:
        """Return whether a job is known to have succeeded or failed."""
        return self._find_ended(key) is not None

    def is_cancelled(self, key: JobKey) -> bool:
        """Return whether a caller has cancelled a job lately."""
        return self.cancellations.contains(key, self.timers.now())

    def is_cancelled_here(self, key: JobKey) -> bool:
        """Return whether a job that had callers here was cancelled lately."""
        return self.cancellations.contains_known(key, self.timers.now())

    def is_known(self, key: JobKey) -> bool:
        """Return whether a job was admitted, has ended or was cancelled."""
        return key.id in self.jobs or self.has_ended(key) or self.is_cancelled(key)

    def ended_outcome(self, spec: JobSpec, queue: JobQueue) -> JobOutcome | None:
        """Return whether a submitted job has succeeded or failed before, if it has.

        A job that was submitted with another body under the same id is not the same.
        """
        ended = self._find_ended(queue.key(spec.id))
        if ended is None or ended.spec != spec.digest():
            return None
        return JobOutcome.SUCCEEDED if ended.succeeded else JobOutcome.FAILED

    def state(self, key: JobKey) -> JobState | None:
        """Return the state of a job, or ``None`` if it is not known.

        A job that was refused, timed out or abandoned is not known any longer.
        """
        job = self.find(key)
        if job is None:
            return self._former_state(key)
        match job.outcome:
            case None:
                return JobState.RUNNING if job.may_have_run else JobState.QUEUED
            case JobOutcome.SUCCEEDED:
                return JobState.SUCCEEDED
            case JobOutcome.FAILED:
                return JobState.FAILED
            case JobOutcome.CANCELLED if self.is_cancelled(key):
                return JobState.CANCELLED
            case _:
                return None

    def _former_state(self, key: JobKey) -> JobState | None:
        ended = self._find_ended(key)
        if ended is not None:
            return JobState.SUCCEEDED if ended.succeeded else JobState.FAILED
        return JobState.CANCELLED if self.is_cancelled_here(key) else None

    def remove(self, job: JobRun) -> None:
        """Remove a job that has no callers left, and remember its outcome."""
        if self.jobs.get(job.spec.id) is job:
            del self.jobs[job.spec.id]
        if job.has_ended:
            succeeded = job.outcome is JobOutcome.SUCCEEDED
            ended = EndedJob(job.key.digest(), job.spec.digest(), succeeded)
            self.record_end(ended)
            self.on_ended(ended)

    def record_cancellation(self, key: JobKey) -> None:
        """Remember that a job was cancelled, unless it had ended before."""
        job = self.find(key)
        had_ended = self.has_ended(key) if job is None else job.has_ended
        if not had_ended:
            self.cancellations.add(key, self.timers.now(), is_known=job is not None)

    def _find_ended(self, key: JobKey) -> EndedJob | None:
        return self.ended.find(key.digest(), self.timers.now())


def _ignore(_job: EndedJob) -> None:
    """Discard the end of a job."""
