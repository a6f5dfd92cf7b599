"""The session API: forwards a single request to its service."""

from http import HTTPStatus

from bergamotcourse.daemons.caller import Caller
from bergamotcourse.daemons.request_fields import (
    KEY_HEADER,
    NOT_FORWARDED_HEADERS,
    TIMEOUT_HEADER,
    is_idempotent,
    parse_seconds,
)
from bergamotcourse.daemons.responses import problem, session_response
from bergamotcourse.state.submission import SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest, HttpResponse

SESSION_PREFIX = "/s/"


async def answer_session(caller: Caller, request: HttpRequest) -> HttpResponse:
    """Handle a request to ``/s/SERVICE/PATH``."""
    name, _, rest = request.target.removeprefix(SESSION_PREFIX).partition("/")
    service = caller.service(name)
    refusal = caller.refusal_response(name, service, request)
    if refusal is not None:
        return refusal
    timeout = _timeout(request, service.timeout_seconds)
    if timeout is None:
        detail = f"{TIMEOUT_HEADER} is not a number of seconds above 0"
        return problem(HTTPStatus.BAD_REQUEST, detail)
    headers = [(n, v) for n, v in request.headers if n not in NOT_FORWARDED_HEADERS]
    task = TaskRequest(request.method, f"/{rest}", headers, request.body)
    submission = caller.build_submission(
        SubmissionKind.SESSION, service, [task], timeout
    )
    idempotent = is_idempotent(request, service)
    key = request.header(KEY_HEADER)
    if key:
        answer = await caller.run_keyed(submission, key, write_ahead=not idempotent)
    else:
        submission.repeatable = idempotent
        answer = await caller.run_unkeyed(submission)
    return session_response(caller.entry.rng, answer)


def _timeout(request: HttpRequest, longest: float) -> float | None:
    """Return the timeout of a request in seconds, or ``None`` if it is invalid."""
    asked = request.header(TIMEOUT_HEADER)
    if not asked:
        return longest
    seconds = parse_seconds(asked)
    return min(seconds, longest) if seconds else None
