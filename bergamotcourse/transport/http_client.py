"""An HTTP/1.1 client for one server, over a bounded pool of connections."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11
import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import Step
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse, Sent
from bergamotcourse.transport.http_wire import (
    BODILESS_STATUSES,
    RECEIVE_BYTES,
    encode_message,
    is_readable,
    is_reusable,
    request_head,
    text_headers,
)

HTTP_PORT = 80

LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

Connect = Callable[[str, int], Awaitable[trio.abc.Stream]]
"""Opens a connection to a host and port."""


@dataclass(frozen=True)
class IdentityCheck:
    """A request that checks the identity of the server on each new connection.

    A connection ends with the process that accepted it. So once that process has
    identified itself, later requests on the connection reach that process or none.

    Attributes:
        request: Sent first on each new connection.
        check_response: Given the response, returns ``None`` if the server is the
            expected one. Otherwise it returns a response that the client returns to
            its caller, instead of sending the caller's request.
    """

    request: HttpRequest
    check_response: Callable[[HttpResponse], HttpResponse | None]


class ClientConnection:
    """One connection of the pool.

    Attributes:
        stream: The stream to the server.
        http: The state of the HTTP protocol.
        identity_checked: Whether the server passed the identity check.
        used_before: Whether a request on it has got its response.
        idle_since: When it last became idle, on trio's clock.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.identity_checked = False
        self.used_before = False
        self.idle_since = 0.0

    def is_stale(self) -> bool:
        """Return whether an idle connection was closed by the server or got data.

        Always false for a stream other than a TCP socket.
        """
        if isinstance(self.stream, trio.SocketStream):
            return is_readable(self.stream.socket)
        return False


@dataclass
class Exchange:
    """The progress of one request, reported in an error.

    Attributes:
        head: The head of the request as it is sent.
        step: What the request is waiting for.
        sent: Whether the request may have reached the server.
        uses_reused_connection: Whether its connection has carried requests before.
    """

    request: HttpRequest
    head: h11.Request
    step: Step = Step.QUEUE
    sent: Sent = Sent.NOTHING
    uses_reused_connection: bool = False


class HttpClient:
    """Sends requests to one server and keeps connections for reuse.

    The client never retries a request. If a connection fails after sending began, the
    error has ``Sent.MAYBE``, and the caller decides whether to retry.

    Attributes:
        host: IP address of the server.
        port: TCP port of the server.
        idle_seconds: Longest time for which an idle connection is kept.
        body_bytes: Largest body of a response; a larger one is an error.
        peer: The server's ``host:port``, as reported in errors.
        closed: Whether ``aclose`` was called.
        close_idle_on_timeout: Whether a request that times out closes all idle
            connections: they may have broken together with its own, undetected.
        identity_check: Performed on each new connection; ``None`` for no check.
        idle: Idle connections, the most recently used last.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connections: int = 64,
        idle_seconds: float = 30.0,
        body_bytes: int = 16 << 20,
        connect: Connect = trio.open_tcp_stream,
        identity_check: IdentityCheck | None = None,
        close_idle_on_timeout: bool = False,
    ):
        self.host = host
        self.port = port
        self.idle_seconds = idle_seconds
        self.body_bytes = body_bytes
        self.peer = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.closed = False
        self.identity_check = identity_check
        self.close_idle_on_timeout = close_idle_on_timeout
        self._connect = connect
        self._slots = trio.Semaphore(connections)
        self.idle: deque[ClientConnection] = deque()

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and return the complete response.

        Args:
            request: The request; its ``FRAMING_HEADERS`` are replaced.
            timeout: Seconds for the whole exchange, with the wait for a connection.
        """
        try:
            head = request_head(request, self.peer)
        except ValueError as error:
            return self._error(Step.SEND, str(error), Sent.NOTHING)
        exchange = Exchange(request, head)
        with trio.move_on_after(timeout):
            return await self._run(exchange)
        if self.close_idle_on_timeout:
            await self._close_idle()
        detail = (
            "timed out on a reused connection"
            if exchange.uses_reused_connection
            else "timed out"
        )
        return self._error(exchange.step, detail, exchange.sent)

    async def aclose(self) -> None:
        """Close idle connections now and busy ones after their response."""
        self.closed = True
        await self._close_idle()

    async def _close_idle(self) -> None:
        while self.idle:
            await trio.aclose_forcefully(self.idle.popleft().stream)

    def _error(
        self, step: Step, detail: str, sent: Sent
    ) -> Result[HttpResponse, HttpError]:
        return Error(HttpError(step, self.peer, detail, sent))

    async def _run(self, exchange: Exchange) -> Result[HttpResponse, HttpError]:
        """Perform an exchange in a slot; return its failure as an error value."""
        await self._acquire_slot()
        try:
            return Ok(await self._perform_exchange(exchange))
        except trio.BrokenResourceError:
            detail = "the connection broke"
        except (OSError, h11.RemoteProtocolError) as error:
            detail = str(error)
        finally:
            self._slots.release()
        return self._error(exchange.step, detail, exchange.sent)

    async def _acquire_slot(self) -> None:
        try:
            # ``acquire`` would yield to the scheduler even if a slot is free.
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            await self._slots.acquire()

    async def _perform_exchange(self, exchange: Exchange) -> HttpResponse:
        exchange.step = Step.CONNECT
        connection = await self._acquire_connection()
        exchange.uses_reused_connection = connection.used_before
        reusable = False
        try:
            if self.identity_check is not None and not connection.identity_checked:
                refusal = await self._check_identity(connection, self.identity_check)
                if refusal is not None:
                    return refusal
            await self._send(exchange, connection)
            response = await self._receive(exchange, connection)
            reusable = self._is_reusable(connection)
        finally:
            if not reusable:
                await trio.aclose_forcefully(connection.stream)
        if reusable:
            self._keep_idle(connection)
        return response

    async def _check_identity(
        self, connection: ClientConnection, identity_check: IdentityCheck
    ) -> HttpResponse | None:
        """Return the refusal if the server is not the expected one, else ``None``.

        Raises:
            OSError: The server does not keep the connection open after the check.
            h11.RemoteProtocolError: The response is malformed or cut short.
        """
        request = identity_check.request
        exchange = Exchange(request, request_head(request, self.peer))
        await self._send(exchange, connection)
        response = await self._receive(exchange, connection)
        refusal = identity_check.check_response(response)
        if refusal is None and not self._is_reusable(connection):
            raise OSError("the server does not keep connections open")
        connection.identity_checked = refusal is None
        return refusal

    async def _acquire_connection(self) -> ClientConnection:
        """Return the most recently used idle connection, or a new one.

        Raises:
            OSError: The server cannot be reached, or the client is closed.
        """
        if self.closed:
            raise OSError("the client is closed")
        await self._close_expired()
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_stale():
                return connection
            await trio.aclose_forcefully(connection.stream)
        return ClientConnection(await self._connect(self.host, self.port))

    async def _close_expired(self) -> None:
        oldest = trio.current_time() - self.idle_seconds
        while self.idle and self.idle[0].idle_since < oldest:
            await trio.aclose_forcefully(self.idle.popleft().stream)

    async def _send(self, exchange: Exchange, connection: ClientConnection) -> None:
        exchange.step = Step.SEND
        data = encode_message(connection.http, exchange.head, exchange.request.body)
        exchange.sent = Sent.MAYBE
        await connection.stream.send_all(data)

    async def _receive(
        self, exchange: Exchange, connection: ClientConnection
    ) -> HttpResponse:
        exchange.step = Step.RECEIVE
        head = await self._receive_head(connection)
        require_body_length(exchange.request.method, head)
        body = await self._receive_body(connection)
        return HttpResponse(head.status_code, text_headers(head.headers), body)

    async def _receive_head(self, connection: ClientConnection) -> h11.Response:
        while True:
            event = await next_event(connection)
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the server closed without a response")

    async def _receive_body(self, connection: ClientConnection) -> bytes:
        parts = []
        size = 0
        while isinstance(event := await next_event(connection), h11.Data):
            parts.append(event.data)
            size += len(event.data)
            if size > self.body_bytes:
                raise h11.RemoteProtocolError("the response is too large")
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def _is_reusable(self, connection: ClientConnection) -> bool:
        http = connection.http
        if self.closed or not is_reusable(http) or http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True

    def _keep_idle(self, connection: ClientConnection) -> None:
        connection.used_before = True
        connection.idle_since = trio.current_time()
        self.idle.append(connection)


async def next_event(connection: ClientConnection) -> h11.Event:
    """Return the next event of a response, receiving data as needed.

    Raises:
        h11.RemoteProtocolError: The response is malformed or cut short.
        trio.BrokenResourceError: The connection broke.
    """
    while True:
        event = connection.http.next_event()
        if event is not h11.NEED_DATA:
            return event
        data = await connection.stream.receive_some(RECEIVE_BYTES)
        connection.http.receive_data(data)


def require_body_length(method: str, head: h11.Response) -> None:
    """Reject a response whose body is delimited only by the end of the connection.

    A server that crashes closes its connections too, so a truncated body could be
    mistaken for a complete one.

    Raises:
        h11.RemoteProtocolError: The length of the response's body is unknown.
    """
    if method == "HEAD" or head.status_code in BODILESS_STATUSES:
        return
    if not any(name in LENGTH_HEADERS for name, _ in head.headers):
        raise h11.RemoteProtocolError(
            "the response has no content-length or transfer-encoding"
        )


def parse_http_address(url: str) -> tuple[str, int]:
    """Return the host and port of ``http://IP:PORT``.

    Raises:
        ValueError: The URL is not of this form.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"not of the form http://IP:PORT: {url!r}")
    return parts.hostname, HTTP_PORT if parts.port is None else parts.port
