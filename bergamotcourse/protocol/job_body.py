"""The JSON bodies of job requests and of their responses."""

import base64
import binascii

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.protocol.messages import TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.submission import TaskRequest

TOKEN_CHARACTERS = frozenset(
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)


class TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    """One task of a job.

    Attributes:
        body: The body as text.
        body_base64: The body as base64, instead of ``body``.
    """

    target: str
    method: str = "POST"
    headers: dict[str, str] = {}
    body: str | None = None
    body_base64: str | None = None


class JobBody(
    msgspec.Struct, forbid_unknown_fields=True, rename={"job_class": "class"}
):
    """A job.

    Attributes:
        job_class: Name of a job class of the manifest, which sets limits.
        timeout_seconds: Timeout of the job until the whole answer is returned.
    """

    service: str
    tasks: list[TaskBody]
    job_class: str = ""
    timeout_seconds: float | None = None


class ResultBody(msgspec.Struct, omit_defaults=True):
    """The result of one task."""

    status: int
    headers: dict[str, str]
    body: str | None = None
    body_base64: str | None = None


class AnswerBody(msgspec.Struct):
    """The answer to a job: one result for each task, in the order of the tasks."""

    outcome: Outcome
    results: list[ResultBody]


_decoder = msgspec.json.Decoder(JobBody)


def parse_job(content: bytes) -> Result[JobBody, str]:
    """Return the job decoded from a body, or a text that describes the error."""
    try:
        return Ok(decode_document(_decoder, content))
    except ValueError as error:
        return Error(str(error))


def task_request(task: TaskBody) -> Result[TaskRequest, str]:
    """Return the HTTP request of a task, or a text that describes the error."""
    if not task.target.startswith("/") or not _is_printable(task.target):
        return Error(
            f"target {task.target!r} is not a path; give one that starts with /"
        )
    if not task.method or not set(task.method) <= TOKEN_CHARACTERS:
        return Error(f"method {task.method!r} is not a valid HTTP method")
    for name, value in task.headers.items():
        if not name or not set(name) <= TOKEN_CHARACTERS or not _is_header_value(value):
            return Error(f"header {name!r} is not a valid HTTP header")
    body = _body_bytes(task)
    if body is None:
        return Error("body_base64 is not valid base64, or body is set as well")
    headers = [(name.lower(), value) for name, value in task.headers.items()]
    return Ok(TaskRequest(task.method.upper(), task.target, headers, body))


def answer_body(results: list[TaskResult]) -> bytes:
    """Return the encoded answer of a job whose tasks are all done."""
    answer = AnswerBody(Outcome.DONE, [_result_body(result) for result in results])
    return msgspec.json.encode(answer)


def _body_bytes(task: TaskBody) -> bytes | None:
    if task.body_base64 is None:
        return (task.body or "").encode()
    if task.body is not None:
        return None
    try:
        return base64.b64decode(task.body_base64, validate=True)
    except (binascii.Error, ValueError):
        return None


def _result_body(result: TaskResult) -> ResultBody:
    headers = {header.name: header.value for header in result.headers}
    try:
        return ResultBody(result.status, headers, body=result.body.decode())
    except UnicodeDecodeError:
        encoded = base64.b64encode(result.body).decode()
        return ResultBody(result.status, headers, body_base64=encoded)


def _is_printable(text: str) -> bool:
    return text.isascii() and all(33 <= ord(character) < 127 for character in text)


def _is_header_value(text: str) -> bool:
    inside = all(32 <= ord(character) < 127 or character == "\t" for character in text)
    return inside and text == text.strip()
