"""The commands' connection to the platform."""

import ipaddress
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.protocol.platform_client import PlatformClient
from bergamotcourse.state.settings import MAX_PORT, SocketAddress
from bergamotcourse.transport.http_client import HttpClient

CLIENT_NAME = "operator"

T = TypeVar("T")

Opener = Callable[[str], AbstractAsyncContextManager[Platform]]
"""Opens a connection to the platform at an address ``IP:PORT``."""


def call_platform(
    address: str,
    opener: Opener,
    call: Callable[[Platform], Awaitable[Result[T, StepError]]],
) -> Result[T, StepError]:
    """Connect to the platform, run a call with it and return the result."""

    async def run() -> Result[T, StepError]:
        async with opener(address) as platform:
            return await call(platform)

    try:
        return trio.run(run)
    except BergamotcourseError as error:
        return Error(error.error)


@asynccontextmanager
async def open_platform(address: str) -> AsyncIterator[Platform]:
    """Connect to the platform at an address; close the connection on exit.

    Raises:
        BergamotcourseError: The address is not ``IP:PORT``.
    """
    parsed = parse_address(address)
    if parsed.is_error():
        raise BergamotcourseError(parsed.error)
    http = HttpClient(parsed.ok.host, parsed.ok.port)
    try:
        yield PlatformClient(http, CLIENT_NAME, address)
    finally:
        await http.aclose()


def parse_address(address: str) -> Result[SocketAddress, StepError]:
    """Parse ``IP:PORT``; host names are refused."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        detail = f"{address!r} is not IP:PORT; give one such as 10.0.0.1:9000"
        return Error(StepError(Step.SETTINGS, "", detail))
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        detail = f"{port!r} is not a port; give one from 1 to {MAX_PORT}"
        return Error(StepError(Step.SETTINGS, "", detail))
    return Ok(SocketAddress(host=host, port=int(port)))
