"""The job API: submit a job, wait for its result, cancel it."""

from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from expression import Error, Ok, Result

from bergamotcourse.daemons.caller import Caller
from bergamotcourse.daemons.request_fields import KEY_HEADER, check_key, parse_seconds
from bergamotcourse.daemons.responses import job_response, problem, refused_response
from bergamotcourse.ids import submission_id
from bergamotcourse.protocol.job_body import JobBody, parse_job, task_request
from bergamotcourse.state.keys import key_kind
from bergamotcourse.state.manifest import JobClass, Service, TeamRole
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest, HttpResponse

JOBS_PATH = "/v1/jobs"
MAX_POLL_SECONDS = 60.0
DEFAULT_MAX_TASKS = 1600
"""Limit for jobs without a job class."""


async def submit_job(caller: Caller, request: HttpRequest) -> HttpResponse:
    """Handle ``POST /v1/jobs``.

    Returns the result of the job, or 202 if the request has ``Prefer: respond-async``.
    """
    match parse_job(request.body):
        case Result(tag="ok", ok=job):
            pass
        case Result(error=detail):
            return _bad_request(f"the job is not valid: {detail}")
    service = caller.service(job.service)
    refusal = caller.refusal_response(job.service, service, request)
    if refusal is not None:
        return refusal
    key = request.header(KEY_HEADER)
    if not key:
        return _bad_request(f"a job needs the header {KEY_HEADER}")
    match _parse_tasks(caller, job):
        case Result(tag="ok", ok=tasks):
            submission = _build_submission(caller, job, service, tasks)
            return await _run_job(caller, submission, key, request)
        case Result(error=detail):
            return _bad_request(detail)


async def wait_for_job(caller: Caller, key: str, request: HttpRequest) -> HttpResponse:
    """Handle ``GET /v1/jobs/KEY?wait=SECONDS``: the result, or 202 if still running."""
    if TeamRole.READ not in caller.team.roles:
        return problem(HTTPStatus.FORBIDDEN, f"{caller.team.name} may not read jobs")
    query = parse_qs(urlsplit(request.target).query)
    wait = parse_seconds(query.get("wait", ["0"])[0])
    if wait is None:
        return _bad_request("wait is not a number of seconds")
    deadline = caller.entry.timers.now() + min(wait, MAX_POLL_SECONDS)
    identity = submission_id(caller.team.name, key)
    answer = await caller.entry.submissions.wait(identity, key_kind(key), deadline)
    if answer is None:
        return _accepted_response(key, [("retry-after", "1")])
    return job_response(caller.entry.rng, answer)


async def cancel_job(caller: Caller, key: str) -> HttpResponse:
    """Handle ``DELETE /v1/jobs/KEY``: cancel, and return the outcome of each task."""
    if TeamRole.CANCEL not in caller.team.roles:
        return problem(HTTPStatus.FORBIDDEN, f"{caller.team.name} may not cancel jobs")
    found = caller.entry.submissions.find(submission_id(caller.team.name, key))
    if found is None:
        return problem(HTTPStatus.NOT_FOUND, "no such job runs at this entry")
    answer = await caller.entry.submissions.cancel(found)
    return job_response(caller.entry.rng, answer)


async def _run_job(
    caller: Caller, submission: Submission, key: str, request: HttpRequest
) -> HttpResponse:
    if "respond-async" not in request.header("prefer"):
        answer = await caller.run_keyed(submission, key, write_ahead=True)
        return job_response(caller.entry.rng, answer)
    bad_key = check_key(key)
    if bad_key:
        return _bad_request(bad_key)
    refusal = caller.start_keyed(submission, key)
    if refusal is not None:
        return refused_response(caller.entry.rng, refusal)
    return _accepted_response(key, [])


def _build_submission(
    caller: Caller, job: JobBody, service: Service, tasks: list[TaskRequest]
) -> Submission:
    job_class = _job_class(caller, job)
    longest = job_class.timeout_seconds if job_class else service.timeout_seconds
    timeout = min(job.timeout_seconds or longest, longest)
    return caller.build_submission(SubmissionKind.JOB, service, tasks, timeout)


def _job_class(caller: Caller, job: JobBody) -> JobClass | None:
    return caller.access.job_classes.get(job.job_class)


def _parse_tasks(caller: Caller, job: JobBody) -> Result[list[TaskRequest], str]:
    job_class = _job_class(caller, job)
    if job.job_class and job_class is None:
        return Error(f"no job class is named {job.job_class!r}")
    most = job_class.max_tasks if job_class else DEFAULT_MAX_TASKS
    if not 0 < len(job.tasks) <= most:
        return Error(f"{len(job.tasks)} tasks; give from 1 to {most}")
    tasks = []
    for index, body in enumerate(job.tasks):
        match task_request(body):
            case Result(tag="ok", ok=task):
                tasks.append(task)
            case Result(error=detail):
                return Error(f"task {index}: {detail}")
    return Ok(tasks)


def _accepted_response(key: str, headers: list[tuple[str, str]]) -> HttpResponse:
    location = ("location", f"{JOBS_PATH}/{key}")
    return HttpResponse(HTTPStatus.ACCEPTED, [location, *headers])


def _bad_request(detail: str) -> HttpResponse:
    return problem(HTTPStatus.BAD_REQUEST, detail)
