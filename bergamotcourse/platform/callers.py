"""The HTTP interfaces of an entry: callers' job requests and readiness."""

import re
from collections.abc import Callable
from urllib.parse import urlsplit

from expression import Result

from bergamotcourse.coordination.jobs.job_run import JobAnswer, JobOutcome
from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.errors import StepError
from bergamotcourse.platform.documents import decode_job
from bergamotcourse.state.job_spec import JobId, JobQueue, JobState
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_json import json_answer
from bergamotcourse.transport.http_problem import plain_problem

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
DEADLINE_HEADER = "bergamotcourse-deadline-ms"

DEFAULT_DEADLINE_SECONDS = 5.0
"""Applies if the request has no valid deadline header."""

NOT_READY_RETRY_SECONDS = 1.0

UNANSWERED_RETRY_SECONDS = 1.0
"""``Retry-After`` of a request about a job that another entry may have."""


class CallerRequestHandler:
    """Handles callers' requests to submit, query and cancel jobs."""

    def __init__(self, service: JobService):
        self.service = service

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if not self.service.is_configured():
            return plain_problem(503, "no configuration yet", NOT_READY_RETRY_SECONDS)
        path = urlsplit(request.target).path
        queue = self.service.find_queue(request.header("host").split(":")[0], path)
        if queue is None:
            return plain_problem(404, "no such queue")
        name = path[len(queue.path_prefix) :]
        if request.method == "GET" and not name:
            return json_answer({"pending": self.service.pending(queue)})
        if not JOB_ID_PATTERN.fullmatch(name):
            return plain_problem(400, "a job's id has 16 hexadecimal digits")
        job_id = JobId(name)
        match request.method:
            case "POST":
                return await self._submit(request, queue, job_id)
            case "GET" | "DELETE":
                response = await self._look_up(request, queue, job_id)
                self.service.log_lookup(
                    request.method, job_id, response.status, request.connection
                )
                return response
            case _:
                return plain_problem(405, "only POST, GET and DELETE are served")

    async def _look_up(
        self, request: HttpRequest, queue: JobQueue, job_id: JobId
    ) -> HttpResponse:
        seconds = caller_deadline_seconds(request)
        if request.method == "GET":
            return state_response(await self.service.state(job_id, queue, seconds))
        return cancel_response(await self.service.cancel(job_id, queue, seconds))

    async def _submit(
        self, request: HttpRequest, queue: JobQueue, job_id: JobId
    ) -> HttpResponse:
        answer = self.service.refuse_if_overloaded(job_id, queue)
        if answer is None:
            try:
                spec = decode_job(job_id, request.body)
            except ValueError as error:
                return plain_problem(400, f"malformed job: {error}")
            answer = await self.service.submit(
                spec, queue, caller_deadline_seconds(request), request.is_abandoned
            )
        response = job_response(answer)
        self.service.log_response(
            job_id, answer, response.status, request.connection, len(response.body)
        )
        return response


class ReadinessHandler:
    """Reports to the balancer whether this entry accepts callers' requests."""

    def __init__(self, is_ready: Callable[[], bool]):
        self.is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        ready = self.is_ready()
        return json_answer({"ready": ready}, 200 if ready else 503)


class UnusedAddressHandler:
    """Refuses all requests to an address that must be served but is unused."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        return plain_problem(404, "workers report to the agent beside them")


def job_response(answer: JobAnswer) -> HttpResponse:
    """Return the response to the caller that submitted a job."""
    match answer.outcome:
        case JobOutcome.SUCCEEDED:
            return json_answer({"state": "succeeded"})
        case JobOutcome.FAILED | JobOutcome.CANCELLED:
            # A cancelled job may have run, so it cannot be refused, and callers submit
            # a job again after 504.
            return json_answer({"state": "failed"})
        case JobOutcome.REFUSED:
            return plain_problem(503, answer.why, answer.retry_after)
        case JobOutcome.TIMED_OUT:
            return plain_problem(504, answer.why)
        case None:
            return plain_problem(409, answer.why)


def state_response(found: Result[JobState | None, StepError]) -> HttpResponse:
    """Return the response to a request for a job's state."""
    match found:
        case Result(tag="ok", ok=None):
            return plain_problem(410, "no such job")
        case Result(tag="ok", ok=state):
            return json_answer({"state": state.value})
        case Result(error=error):
            return plain_problem(503, str(error), UNANSWERED_RETRY_SECONDS)


def cancel_response(cancelled: Result[bool, StepError]) -> HttpResponse:
    """Return the response to a request to cancel a job."""
    match cancelled:
        case Result(tag="ok", ok=True):
            return json_answer({})
        case Result(tag="ok"):
            return plain_problem(410, "no such job")
        case Result(error=error):
            return plain_problem(503, str(error), UNANSWERED_RETRY_SECONDS)


def caller_deadline_seconds(request: HttpRequest) -> float:
    """Return how long the caller waits for the answer, in seconds."""
    text = request.header(DEADLINE_HEADER)
    if not DEADLINE_PATTERN.fullmatch(text):
        return DEFAULT_DEADLINE_SECONDS
    return int(text) / 1000
