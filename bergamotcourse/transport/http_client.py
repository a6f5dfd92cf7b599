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
class Greeting:
    """What a server has to answer on each new connection before it is used.

    A connection ends with the process that accepted it. So once that process has told
    who it is, whatever is sent on the connection reaches that process or none.

    Attributes:
        request: Sent first on each new connection.
        refusal: Given the answer, returns what stands for the answer to each request
            that was to follow, or ``None`` if the server is the one that is meant.
    """

    request: HttpRequest
    refusal: Callable[[HttpResponse], HttpResponse | None]


class ClientConnection:
    """One connection of the pool.

    Attributes:
        stream: The connection's stream.
        http: The protocol's state.
        greeted: Its server is known to be the one that is meant.
        answered: It has carried a request and its response.
        idle_since: When it was last put back, on trio's clock.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.greeted = False
        self.answered = False
        self.idle_since = 0.0

    def is_stale(self) -> bool:
        """Return whether the server has closed the idle connection or sent on it."""
        if isinstance(self.stream, trio.SocketStream):
            return is_readable(self.stream.socket)
        return False


@dataclass
class Exchange:
    """How far one request has come, for the error that may end it.

    Attributes:
        reuses: Its connection has carried requests before.
    """

    request: HttpRequest
    head: h11.Request
    step: Step = Step.QUEUE
    sent: Sent = Sent.NOTHING
    reuses: bool = False


class HttpClient:
    """Sends requests to one server and keeps connections for reuse.

    A request is never sent twice: where a connection fails after the sending began,
    the error says ``Sent.MAYBE`` and the caller decides.

    Attributes:
        host: IP number of the server.
        port: Its port.
        idle_seconds: Longest time for which a connection is kept unused.
        body_bytes: Largest body of a response; a larger one is an error.
        peer: The server as errors name it.
        closed: ``aclose`` was called.
        doubts_idle: Whether a request that times out ends all idle connections: they
            may have died with its own, without a sign.
        greeting: Exchanged on each new connection; ``None`` without one.
        idle: Connections that wait for reuse, the one used last at the end.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connections: int = 64,
        idle_seconds: float = 30.0,
        body_bytes: int = 16 << 20,
        connect: Connect = trio.open_tcp_stream,
        greeting: Greeting | None = None,
        doubts_idle: bool = False,
    ):
        self.host = host
        self.port = port
        self.idle_seconds = idle_seconds
        self.body_bytes = body_bytes
        self.peer = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.closed = False
        self.greeting = greeting
        self.doubts_idle = doubts_idle
        self._connect = connect
        self._slots = trio.Semaphore(connections)
        self.idle: deque[ClientConnection] = deque()

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and return the whole response.

        Args:
            request: The request; headers about the connection are replaced.
            timeout: Seconds for everything, from the wait for a connection on.
        """
        try:
            head = request_head(request, self.peer)
        except ValueError as error:
            return self._error(Step.SEND, str(error), Sent.NOTHING)
        exchange = Exchange(request, head)
        with trio.move_on_after(timeout):
            return await self._run(exchange)
        if self.doubts_idle:
            await self._close_idle()
        detail = "timed out on a reused connection" if exchange.reuses else "timed out"
        return self._error(exchange.step, detail, exchange.sent)

    async def aclose(self) -> None:
        """Close the idle connections now and the busy ones after their response."""
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
        """Run an exchange and turn whatever ends it into an error value."""
        await self._take_slot()
        try:
            return Ok(await self._exchange(exchange))
        except trio.BrokenResourceError:
            detail = "the connection broke"
        except (OSError, h11.RemoteProtocolError) as error:
            detail = str(error)
        finally:
            self._slots.release()
        return self._error(exchange.step, detail, exchange.sent)

    async def _take_slot(self) -> None:
        try:
            # Without a turn of the scheduler, which ``acquire`` costs in each case.
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            await self._slots.acquire()

    async def _exchange(self, exchange: Exchange) -> HttpResponse:
        exchange.step = Step.CONNECT
        connection = await self._take()
        exchange.reuses = connection.answered
        reusable = False
        try:
            if self.greeting is not None and not connection.greeted:
                refusal = await self._greet(connection, self.greeting)
                if refusal is not None:
                    return refusal
            await self._send(exchange, connection)
            response = await self._receive(exchange, connection)
            reusable = self._is_reusable(connection)
        finally:
            if not reusable:
                await trio.aclose_forcefully(connection.stream)
        if reusable:
            self._put(connection)
        return response

    async def _greet(
        self, connection: ClientConnection, greeting: Greeting
    ) -> HttpResponse | None:
        """Return the refusal of a server that is not the one that is meant.

        Raises:
            OSError: The server keeps no connection open.
        """
        request = greeting.request
        exchange = Exchange(request, request_head(request, self.peer))
        await self._send(exchange, connection)
        response = await self._receive(exchange, connection)
        refusal = greeting.refusal(response)
        if refusal is None and not self._is_reusable(connection):
            raise OSError("the server keeps no connection open")
        connection.greeted = refusal is None
        return refusal

    async def _take(self) -> ClientConnection:
        """Return the connection used last, or a new one.

        Raises:
            OSError: The server can't be reached, or the client is closed.
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
        check_length(exchange.request.method, head)
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

    def _put(self, connection: ClientConnection) -> None:
        connection.answered = True
        connection.idle_since = trio.current_time()
        self.idle.append(connection)


async def next_event(connection: ClientConnection) -> h11.Event:
    """Return the next part of a response.

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


def check_length(method: str, head: h11.Response) -> None:
    """Refuse a response whose end only the closing of the connection would tell.

    A server that dies closes its connections too, so a part of the body could be
    taken for the whole.

    Raises:
        h11.RemoteProtocolError: The response has a body of untold length.
    """
    if method == "HEAD" or head.status_code in BODILESS_STATUSES:
        return
    if not any(name in LENGTH_HEADERS for name, _ in head.headers):
        raise h11.RemoteProtocolError("the response does not tell its length")


def parse_http_address(url: str) -> tuple[str, int]:
    """Return the host and port of ``http://IP:PORT``.

    Raises:
        ValueError: The URL is of another form.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"not of the form http://IP:PORT: {url!r}")
    return parts.hostname, HTTP_PORT if parts.port is None else parts.port
