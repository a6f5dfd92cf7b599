"""A minimal HTTP/1.1 server and client on asyncio, without dependencies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 65536

REASON = "Answer"
"""Reason phrase of all responses; clients ignore it."""


@dataclass
class Request:
    """One request.

    Attributes:
        headers: The values by lower-case name.
        connection: Identifies the connection on which it arrived.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: object = None

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass
class Response:
    """One response."""

    status: int
    body: bytes = b""

    def json(self) -> Any:
        """Return the decoded body, or an empty table if there is none."""
        return json.loads(self.body) if self.body else {}


Handler = Callable[[Request], Awaitable[Response | None]]
"""Returns the response, or ``None`` to leave the request unanswered."""


def json_response(fields: dict, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(fields).encode())


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Return the first line, the headers and the body, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


async def serve(handler: Handler, host: str, port: int = 0) -> asyncio.Server:
    """Serve requests on an address, each connection in a task of its own."""

    async def serve_connection(reader, writer) -> None:
        key = object()
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body, key)
                response = await handler(request)
                if response is None:
                    # The connection stays open and silent until the client closes it.
                    await reader.read()
                    return
                writer.write(encode_response(response))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only when the script ends.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port)


def port_of(server: asyncio.Server) -> int:
    """Return the port on which a server listens."""
    return server.sockets[0].getsockname()[1]


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response."""
    head = (
        f"HTTP/1.1 {response.status} {REASON}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Response | None:
    """Send one request on a connection of its own.

    Returns:
        The response, or ``None`` without one.
    """
    body = b"" if fields is None else json.dumps(fields).encode()
    lines = {
        "host": "{}:{}".format(*address),
        "content-type": "application/json",
        "content-length": str(len(body)),
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            message = await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, _, answer = message
    return Response(int(first.split(" ")[1]), answer)
