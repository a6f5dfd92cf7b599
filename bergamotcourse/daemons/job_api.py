"""Jobs: submitting one, waiting for its whole answer, cancelling it."""

from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from expression import Error, Ok, Result

from bergamotcourse.daemons.caller import Caller
from bergamotcourse.daemons.request_fields import KEY_HEADER, check_key, parse_seconds
from bergamotcourse.daemons.responses import job_response, problem
from bergamotcourse.ids import submission_id
from bergamotcourse.protocol.job_body import JobBody, parse_job, task_request
from bergamotcourse.state.keys import key_kind
from bergamotcourse.state.manifest import JobClass, Service, TeamRole
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest, HttpResponse

JOBS_PATH = "/v1/jobs"
LONGEST_POLL_SECONDS = 60.0
MOST_TASKS = 1600
"""For a job without a job class."""


async def submit_job(caller: Caller, request: HttpRequest) -> HttpResponse:
    """Answer ``POST /v1/jobs``: the whole answer, or 202 where it is asked for."""
    match parse_job(request.body):
        case Result(tag="ok", ok=job):
            pass
        case Result(error=detail):
            return _bad(f"the job is not valid: {detail}")
    service = caller.service(job.service)
    refusal = caller.refusal(job.service, service, request)
    if refusal is not None:
        return refusal
    key = request.header(KEY_HEADER)
    if not key:
        return _bad(f"a job needs the header {KEY_HEADER}")
    match _tasks(caller, job):
        case Result(tag="ok", ok=tasks):
            submission = _submission(caller, job, service, tasks)
            return await _run(caller, submission, key, request)
        case Result(error=detail):
            return _bad(detail)


async def wait_for_job(caller: Caller, key: str, request: HttpRequest) -> HttpResponse:
    """Answer ``GET /v1/jobs/KEY?wait=SECONDS``: the answer, or 202 if it runs on."""
    if TeamRole.READ not in caller.team.roles:
        return problem(HTTPStatus.FORBIDDEN, f"{caller.team.name} may not read jobs")
    query = parse_qs(urlsplit(request.target).query)
    wait = parse_seconds(query.get("wait", ["0"])[0])
    if wait is None:
        return _bad("wait is not a number of seconds")
    deadline = caller.entry.timers.now() + min(wait, LONGEST_POLL_SECONDS)
    identity = submission_id(caller.team.name, key)
    answer = await caller.entry.submissions.wait(identity, key_kind(key), deadline)
    if answer is None:
        return _accepted(key, [("retry-after", "1")])
    return job_response(caller.entry.rng, answer)


async def cancel_job(caller: Caller, key: str) -> HttpResponse:
    """Answer ``DELETE /v1/jobs/KEY``: each task's outcome after the cancellation."""
    if TeamRole.CANCEL not in caller.team.roles:
        return problem(HTTPStatus.FORBIDDEN, f"{caller.team.name} may not cancel jobs")
    found = caller.entry.submissions.find(submission_id(caller.team.name, key))
    if found is None:
        return problem(HTTPStatus.NOT_FOUND, "no such job runs at this entry")
    answer = await caller.entry.submissions.cancel(found)
    return job_response(caller.entry.rng, answer)


async def _run(
    caller: Caller, submission: Submission, key: str, request: HttpRequest
) -> HttpResponse:
    if "respond-async" not in request.header("prefer"):
        answer = await caller.run_keyed(submission, key, write_ahead=True)
        return job_response(caller.entry.rng, answer)
    bad_key = check_key(key)
    if bad_key:
        return _bad(bad_key)
    caller.begin_keyed(submission, key)
    return _accepted(key, [])


def _submission(
    caller: Caller, job: JobBody, service: Service, tasks: list[TaskRequest]
) -> Submission:
    job_class = _job_class(caller, job)
    longest = job_class.timeout_seconds if job_class else service.timeout_seconds
    timeout = min(job.timeout_seconds or longest, longest)
    return caller.submission(SubmissionKind.JOB, service, tasks, timeout)


def _job_class(caller: Caller, job: JobBody) -> JobClass | None:
    return caller.access.job_classes.get(job.job_class)


def _tasks(caller: Caller, job: JobBody) -> Result[list[TaskRequest], str]:
    job_class = _job_class(caller, job)
    if job.job_class and job_class is None:
        return Error(f"no job class is named {job.job_class!r}")
    most = job_class.max_tasks if job_class else MOST_TASKS
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


def _accepted(key: str, headers: list[tuple[str, str]]) -> HttpResponse:
    location = ("location", f"{JOBS_PATH}/{key}")
    return HttpResponse(HTTPStatus.ACCEPTED, [location, *headers])


def _bad(detail: str) -> HttpResponse:
    return problem(HTTPStatus.BAD_REQUEST, detail)
