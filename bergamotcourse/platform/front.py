"""The HTTP interfaces: callers' jobs, readiness, and workers' reports."""

import re
from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.coordination.jobs.job_run import JobOutcome, JobRun
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.platform.documents import decode_job, decode_report
from bergamotcourse.state.job_spec import JobId, JobQueue
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_problem import plain_problem

JOB_ID = re.compile(r"[0-9a-f]{16}")
DEADLINE_HEADER = "bergamotcourse-deadline-ms"

DEFAULT_SECONDS = 5.0
"""For a caller that does not say for how long it waits."""

NOT_READY_RETRY_SECONDS = 1.0
REPORT_PATH = "/bergamotcourse/Instances.Heartbeat/"
LEAVE_PATH = "/bergamotcourse/Instances.Deregister/"

STATUSES = {
    JobOutcome.SUCCEEDED: 200,
    JobOutcome.FAILED: 200,
    JobOutcome.CANCELLED: 200,
    JobOutcome.REFUSED: 503,
    JobOutcome.TIMED_OUT: 504,
}


class CallersFront:
    """Answers callers' requests about jobs.

    Attributes:
        refusing: Why new jobs are refused, or empty.
    """

    def __init__(self, queues: QueuesInForce, jobs: JobDispatcher, log: EventLog):
        self.queues = queues
        self.jobs = jobs
        self.log = log
        self.refusing = ""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        table = self.queues.table
        if table is None:
            return plain_problem(503, "no configuration yet", NOT_READY_RETRY_SECONDS)
        path = urlsplit(request.target).path
        queue = table.find(request.header("host").split(":")[0], path)
        if queue is None:
            self.log.write("request.no_queue", path=path, version=table.version)
            return plain_problem(404, "no such queue")
        job_id = path[len(queue.path_prefix) :]
        if request.method == "GET" and not job_id:
            return json_response(200, {"pending": self.jobs.pending_jobs(queue.name)})
        if not JOB_ID.fullmatch(job_id):
            return plain_problem(400, "a job's id has 16 hexadecimal digits")
        match request.method:
            case "POST":
                return await self._submit(request, queue, job_id)
            case "GET":
                return self._state(JobId(job_id))
            case "DELETE":
                return self._cancel(JobId(job_id))
            case _:
                return plain_problem(405, "only POST, GET and DELETE are served")

    async def _submit(
        self, request: HttpRequest, queue: JobQueue, job_id: str
    ) -> HttpResponse:
        if self.refusing:
            self.log.write("job.refused", request=job_id, why=self.refusing)
            return plain_problem(503, self.refusing, NOT_READY_RETRY_SECONDS)
        try:
            spec = decode_job(job_id, request.body)
        except ValueError as error:
            self.log.write("job.malformed", request=job_id, detail=str(error))
            return plain_problem(400, f"malformed job: {error}")
        if spec.kept or spec.unsupported:
            why = ", ".join(spec.unsupported) or "a job that must be kept"
            self.log.write("job.unsupported", request=job_id, why=why)
            return plain_problem(503, f"not served: {why}", NOT_READY_RETRY_SECONDS)
        known = self.jobs.jobs.get(spec.id)
        if known is not None and known.spec != spec:
            return plain_problem(409, "another job of this id is running")
        job = await self.jobs.submit(spec, queue, deadline_of(request))
        return job_response(job)

    def _state(self, job_id: JobId) -> HttpResponse:
        job = self.jobs.jobs.get(job_id)
        if job is None:
            return plain_problem(410, "no such job")
        state = "running" if job.may_have_run else "queued"
        return json_response(200, {"state": state})

    def _cancel(self, job_id: JobId) -> HttpResponse:
        if not self.jobs.cancel(job_id):
            return plain_problem(410, "no such job")
        return json_response(200, {})


class ReadinessFront:
    """Tells the balancer whether this entry wants callers."""

    def __init__(self, is_ready: Callable[[], bool]):
        self.is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        ready = self.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})


class ReportsFront:
    """Takes workers' reports of themselves.

    Attributes:
        on_change: Called after a report was taken.
    """

    def __init__(self, executor: Executor, on_change: Callable[[], None]):
        self.executor = executor
        self.on_change = on_change

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path = urlsplit(request.target).path
        if request.method != "POST":
            return plain_problem(405, "only POST is served")
        if path.startswith(REPORT_PATH):
            return self._report(path.removeprefix(REPORT_PATH), request.body)
        if path.startswith(LEAVE_PATH):
            self.executor.upstream_left(path.removeprefix(LEAVE_PATH))
            return json_response(200, {})
        return plain_problem(404, "no such call")

    def _report(self, upstream: str, body: bytes) -> HttpResponse:
        try:
            report = decode_report(upstream, body)
        except ValueError as error:
            return plain_problem(400, f"malformed report: {error}")
        before = self.executor.refusal()
        self.executor.hear_upstream(report)
        if self.executor.refusal() != before:
            self.on_change()
        return json_response(200, {})


class UnusedFront:
    """Refuses calls to an address that has to be served and has no use here."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        return plain_problem(404, "workers report to the agent beside them")


def json_response(status: int, body: dict) -> HttpResponse:
    """Return a response with a JSON body."""
    headers = [("content-type", "application/json")]
    return HttpResponse(status, headers, msgspec.json.encode(body))


def job_response(job: JobRun) -> HttpResponse:
    """Return the answer to the caller that handed a job in."""
    status = STATUSES[job.outcome]
    if status == 200:
        return json_response(200, {"state": job.outcome.value})
    retry_after = job.retry_after if status == 503 else None
    return plain_problem(status, job.why, retry_after)


def deadline_of(request: HttpRequest) -> float:
    """Return for how many seconds the caller waits."""
    try:
        return int(request.header(DEADLINE_HEADER)) / 1000
    except ValueError:
        return DEFAULT_SECONDS
