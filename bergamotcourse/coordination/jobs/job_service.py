"""The entry's job operations, independent of the protocol that callers use."""

from collections.abc import Callable

from expression import Ok, Result

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_dispatcher import (
    RESPONSE_MARGIN_SECONDS,
    JobDispatcher,
)
from bergamotcourse.coordination.jobs.job_run import JobAnswer, JobOutcome
from bergamotcourse.coordination.jobs.peer_jobs import PeerJobs
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.errors import StepError
from bergamotcourse.state.job_spec import (
    JobId,
    JobKey,
    JobQueue,
    JobSpec,
    JobState,
)

UNSUPPORTED_RETRY_SECONDS = 1.0
"""``Retry-After`` for a kind of job that is not supported."""

OVERLOAD_RETRY_SECONDS = 1.0
"""``Retry-After`` of an entry that is short of processor time. It is the smallest value
that the header can express, as the balancer may send a retry to another entry."""


class JobService:
    """Submits, inspects and cancels jobs of the configured queues."""

    def __init__(
        self,
        queues: QueuesInForce,
        jobs: JobDispatcher,
        processor: ProcessorLag,
        log: EventLog,
        peer_jobs: PeerJobs,
    ):
        self.queues = queues
        self.jobs = jobs
        self.processor = processor
        self.log = log
        self.peer_jobs = peer_jobs

    def is_configured(self) -> bool:
        """Return whether a configuration is in force."""
        return self.queues.table is not None

    def find_queue(self, host: str, path: str) -> JobQueue | None:
        """Return the queue that a path belongs to; log the request if there is none."""
        queue = self.queues.table.find(host, path)
        if queue is None:
            self.log.write("request.no_queue", path=path, version=self.queues.version)
        return queue

    def refuse_if_overloaded(self, job_id: JobId, queue: JobQueue) -> JobAnswer | None:
        """Return the refusal of a job that has not been decoded yet, or ``None``.

        Under a shortage of processor time a share of the jobs is refused. A job that
        is known here is not refused, because it may have started or has an outcome,
        nor is one of which a withdrawn run may go on.
        """
        if not self.processor.should_reject_job():
            return None
        if self.jobs.records.is_known(queue.key(job_id)):
            return None
        if self.jobs.withdrawn.has_run_of(job_id):
            return None
        why = "this entry is short of processor time"
        lag_ms = round(self.processor.lag * 1000)
        self.log.write("job.refused", request=job_id, why=why, lag_ms=lag_ms)
        return JobAnswer(JobOutcome.REFUSED, why, OVERLOAD_RETRY_SECONDS)

    async def submit(
        self,
        spec: JobSpec,
        queue: JobQueue,
        seconds: float,
        is_abandoned: Callable[[], bool],
    ) -> JobAnswer:
        """Run a job to its outcome, or refuse it; see ``JobDispatcher.submit``."""
        refusal = self._unsupported_reason(spec)
        if refusal:
            self.log.write("job.refused", request=spec.id, why=refusal)
            return JobAnswer(JobOutcome.REFUSED, refusal, UNSUPPORTED_RETRY_SECONDS)
        known = self.jobs.jobs.get(spec.id)
        is_running = known is not None and known.outcome is None
        if is_running and not known.is_of(spec, queue):
            self.log.write("job.other_body", request=spec.id)
            return JobAnswer(None, "another job of this id is running")
        return await self.jobs.submit(spec, queue, seconds, is_abandoned)

    def log_response(
        self,
        job_id: JobId,
        answer: JobAnswer,
        status: int,
        connection: int,
        body_bytes: int,
    ) -> None:
        """Log the response to one call that submitted a job.

        Args:
            job_id: The job.
            answer: The answer that the response was made from.
            status: The status of the response.
            connection: The number of the connection on which the call came.
            body_bytes: The size of the response's body.
        """
        self.log.write(
            "job.answered",
            request=job_id,
            outcome=answer.outcome.value if answer.outcome else "",
            status=status,
            connection=connection,
            body_bytes=body_bytes,
        )

    def log_lookup(
        self, method: str, job_id: JobId, status: int, connection: int
    ) -> None:
        """Log the response to one request for a job's state or its cancellation.

        Args:
            method: The method of the request.
            job_id: The job.
            status: The status of the response.
            connection: The number of the connection on which the request came.
        """
        self.log.write(
            "job.looked_up",
            request=job_id,
            method=method,
            status=status,
            connection=connection,
        )

    async def state(
        self, job_id: JobId, queue: JobQueue, seconds: float
    ) -> Result[JobState | None, StepError]:
        """Return the state of a queue's job at any entry.

        A job that was refused, timed out or abandoned is not known any longer.

        Args:
            job_id: The job.
            queue: Its queue.
            seconds: Seconds for which the caller waits for the response.

        Returns:
            The state, or ``None`` if no entry knows the job; or an error if it is not
            known here and another entry has not answered.
        """
        key = queue.key(job_id)
        state = self.jobs.records.state(key)
        if state is not None:
            return Ok(state)
        return await self._ask_peers(key, False, seconds)

    async def cancel(
        self, job_id: JobId, queue: JobQueue, seconds: float
    ) -> Result[bool, StepError]:
        """Cancel a job of a queue at all entries.

        The arguments are those of ``state``.

        Returns:
            Whether the job was known; or an error if it was not known here and another
            entry has not answered, which may go on with it.
        """
        key = queue.key(job_id)
        is_known = self.jobs.cancel(key)
        if is_known or self.jobs.records.has_ended(key):
            # An entry that has not learned of its end may be running it again.
            self.peer_jobs.tell_cancelled(key)
            return Ok(is_known)
        found = await self._ask_peers(key, True, seconds)
        return found.map(lambda state: state is JobState.CANCELLED)

    async def _ask_peers(
        self, key: JobKey, cancels: bool, seconds: float
    ) -> Result[JobState | None, StepError]:
        """Ask the other entries, and leave time for sending the response."""
        wait = max(0.0, seconds - RESPONSE_MARGIN_SECONDS)
        return await self.peer_jobs.ask(key, cancels, wait)

    def pending(self, queue: JobQueue) -> int:
        """Return the number of jobs of a queue that have not started."""
        return self.jobs.pending_jobs(queue.name)

    def _unsupported_reason(self, spec: JobSpec) -> str:
        if spec.unsupported:
            return f"not served: {', '.join(spec.unsupported)}"
        if spec.kept:
            return "not served: a job that must be kept"
        return ""
