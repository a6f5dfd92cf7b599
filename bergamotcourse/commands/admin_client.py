"""Requests of the commands to the admin API of entries."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import trio
from expression import Error, Ok, Result

from bergamotcourse.commands.connect import parse_address
from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.status import EntryStatus
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient

TOKEN_VARIABLE = "BERGAMOTCOURSE_TOKEN"
REQUEST_TIMEOUT_SECONDS = 5.0
UNAUTHORIZED = 401
FORBIDDEN = 403
OK = 200

T = TypeVar("T")


@dataclass(frozen=True)
class ForbiddenError(StepError):
    """The entry does not know the token, or its role does not permit the request."""


@dataclass(frozen=True)
class StatusReply:
    """Status of one entry, or the error of its request."""

    address: str
    result: Result[EntryStatus, StepError]


def read_token(path: str | None) -> Result[str, StepError]:
    """Return the bearer token from a file, or from the environment without a path.

    The token is never a command-line argument, because other users of the machine
    could read it from the process list.
    """
    if path is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
        if token:
            return Ok(token)
        detail = f"no token; set {TOKEN_VARIABLE} or give --token-file"
        return Error(StepError(Step.SETTINGS, "", detail))
    try:
        return Ok(Path(path).read_text().strip())
    except (OSError, UnicodeDecodeError) as error:
        return Error(StepError(Step.SETTINGS, path, str(error)))


async def read_statuses(addresses: list[str], token: str) -> list[StatusReply]:
    """Request the status of all entries concurrently; return replies in order."""
    replies: dict[int, StatusReply] = {}

    async def fetch_status(index: int, address: str) -> None:
        result = await get_json(address, "/v1/status", token, EntryStatus)
        replies[index] = StatusReply(address, result)

    async with trio.open_nursery() as nursery:
        for index, address in enumerate(addresses):
            nursery.start_soon(fetch_status, index, address)
    return [replies[index] for index in range(len(addresses))]


async def get_json(
    address: str, target: str, token: str, kind: type[T]
) -> Result[T, StepError]:
    """Send a GET request to an entry and decode its JSON answer as ``kind``."""
    parsed = parse_address(address)
    if parsed.is_error():
        return Error(parsed.error)
    client = HttpClient(parsed.ok.host, parsed.ok.port)
    headers = [("authorization", f"Bearer {token}")]
    request = HttpRequest("GET", target, headers)
    try:
        response = await client.request(request, REQUEST_TIMEOUT_SECONDS)
    finally:
        await client.aclose()
    return response.bind(lambda answer: _decode_response(answer, address, kind))


def _decode_response(
    response: HttpResponse, address: str, kind: type[T]
) -> Result[T, StepError]:
    if response.status in (UNAUTHORIZED, FORBIDDEN):
        return Error(ForbiddenError(Step.ACCEPT, address, problem_detail(response)))
    if response.status != OK:
        return Error(StepError(Step.RECEIVE, address, problem_detail(response)))
    try:
        return Ok(msgspec.json.decode(response.body, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(StepError(Step.DECODE, address, str(error)))


def problem_detail(response: HttpResponse) -> str:
    """Return the ``detail`` of a problem response, or its status if it has none."""
    try:
        problem: Any = msgspec.json.decode(response.body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        problem = None
    detail = problem.get("detail") if isinstance(problem, dict) else None
    return str(detail or f"status {response.status}")
