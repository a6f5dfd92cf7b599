"""The HTTP interfaces: callers' jobs, readiness, and workers' reports."""

import re
from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec

from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.job_service import (
    JobAnswer,
    JobService,
    JobState,
)
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
    """Answers callers' requests about jobs."""

    def __init__(self, service: JobService):
        self.service = service

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if not self.service.is_configured():
            return plain_problem(503, "no configuration yet", NOT_READY_RETRY_SECONDS)
        path = urlsplit(request.target).path
        queue = self.service.find_queue(request.header("host").split(":")[0], path)
        if queue is None:
            return plain_problem(404, "no such queue")
        name = path[len(queue.path_prefix) :]
        if request.method == "GET" and not name:
            return json_response(200, {"pending": self.service.pending(queue)})
        if not JOB_ID.fullmatch(name):
            return plain_problem(400, "a job's id has 16 hexadecimal digits")
        job_id = JobId(name)
        match request.method:
            case "POST":
                return await self._submit(request, queue, job_id)
            case "GET":
                return state_response(self.service.state(job_id))
            case "DELETE":
                return cancel_response(self.service.cancel(job_id))
            case _:
                return plain_problem(405, "only POST, GET and DELETE are served")

    async def _submit(
        self, request: HttpRequest, queue: JobQueue, job_id: JobId
    ) -> HttpResponse:
        refusal = self.service.turn_away(job_id)
        if refusal is not None:
            return job_response(refusal)
        try:
            spec = decode_job(job_id, request.body)
        except ValueError as error:
            return plain_problem(400, f"malformed job: {error}")
        answer = await self.service.submit(spec, queue, deadline_of(request))
        return job_response(answer)


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


def job_response(answer: JobAnswer) -> HttpResponse:
    """Return the response to the caller that handed a job in."""
    if answer.outcome is None:
        return plain_problem(409, answer.why)
    status = STATUSES[answer.outcome]
    if status == 200:
        return json_response(200, {"state": answer.outcome.value})
    retry_after = answer.retry_after if status == 503 else None
    return plain_problem(status, answer.why, retry_after)


def state_response(state: JobState | None) -> HttpResponse:
    """Return the response to a caller that asks for a job's state."""
    if state is None:
        return plain_problem(410, "no such job")
    return json_response(200, {"state": state.value})


def cancel_response(cancelled: bool) -> HttpResponse:
    """Return the response to a caller that cancels a job."""
    if not cancelled:
        return plain_problem(410, "no such job")
    return json_response(200, {})


def deadline_of(request: HttpRequest) -> float:
    """Return for how many seconds the caller waits."""
    try:
        return int(request.header(DEADLINE_HEADER)) / 1000
    except ValueError:
        return DEFAULT_SECONDS
