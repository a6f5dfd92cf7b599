"""Reads the job or session request that ``submit`` sends."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.protocol.job_body import (
    JobBody,
    TaskBody,
    parse_job,
    task_request,
)
from bergamotcourse.state.yaml_text import parse_yaml, read_text
from bergamotcourse.transport.http import HeaderList, HttpRequest

JOBS_TARGET = "/v1/jobs"
SESSION_TARGET = "/s/"


class SessionBody(TaskBody):
    """A session request.

    Attributes:
        service: The service that handles it.
        idempotent: Whether it may be retried after an unknown outcome.
    """

    service: str = ""
    idempotent: bool | None = None


@dataclass(frozen=True)
class PreparedRequest:
    """A request ready to be sent under an idempotency key.

    Attributes:
        job: Whether it is a job, whose result can be polled after its submission.
    """

    job: bool
    target: str
    method: str
    headers: HeaderList
    body: bytes

    def request(self, headers: HeaderList) -> HttpRequest:
        """Return the HTTP request with additional headers."""
        return HttpRequest(
            self.method, self.target, [*self.headers, *headers], self.body
        )


def read_request_file(path: str) -> Result[PreparedRequest, str]:
    """Read a JSON or YAML file: a job if it has ``tasks``, else a session request."""
    text = read_text(path)
    if text.is_error():
        return Error(str(text.error[0]))
    data = parse_yaml(text.ok, Path(path).name)
    if data.is_error():
        return Error("; ".join(str(issue) for issue in data.error))
    if isinstance(data.ok, dict) and "tasks" in data.ok:
        return _prepare_job(data.ok)
    return _prepare_session(data.ok)


def _prepare_job(data: dict[str, Any]) -> Result[PreparedRequest, str]:
    body = json.dumps(data, default=str).encode()
    parsed = parse_job(body)
    if parsed.is_error():
        return Error(f"the job is not valid: {parsed.error}")
    job: JobBody = parsed.ok
    for index, task in enumerate(job.tasks):
        checked = task_request(task)
        if checked.is_error():
            return Error(f"task {index}: {checked.error}")
    headers = [("content-type", "application/json")]
    return Ok(PreparedRequest(True, JOBS_TARGET, "POST", headers, body))


def _prepare_session(data: object) -> Result[PreparedRequest, str]:
    try:
        session = msgspec.convert(data, SessionBody)
    except msgspec.ValidationError as error:
        return Error(f"neither a job (with tasks) nor a session request: {error}")
    if not session.service:
        return Error("the session request names no service")
    checked = task_request(session)
    if checked.is_error():
        return Error(checked.error)
    task = checked.ok
    headers = list(task.headers)
    if session.idempotent is not None:
        headers.append(("idempotent", "?1" if session.idempotent else "?0"))
    target = f"{SESSION_TARGET}{session.service}{task.target}"
    return Ok(PreparedRequest(False, target, task.method, headers, task.body))
