"""The server's side of one HTTP connection."""

import logging

import h11
import trio

from bergamotcourse.transport.http import Handler, HttpRequest, HttpResponse
from bergamotcourse.transport.http_problem import plain_problem
from bergamotcourse.transport.http_reader import RequestReader, ServerLimits
from bergamotcourse.transport.http_wire import (
    BODILESS_STATUSES,
    RECEIVE_BYTES,
    encode_message,
    is_reusable,
    response_head,
)

logger = logging.getLogger(__name__)

PIPELINE_BYTES = 65536
"""Bytes kept of what a client sends ahead; reading pauses above it."""

STOP_GRACE_SECONDS = 0.25
"""On a stop an idle connection stays open this long for a request on its way."""

LINGER_SECONDS = 1.0
"""Longest wait for the client to close; closing first could destroy the answer."""


class ServerConnection:
    """Answers the requests of one connection, in their order.

    One task is written straight down: receive, handle, send. A second one reads the
    stream all the time, so that a disconnect cancels the handler. The end of the
    client's stream counts as a disconnect: TCP doesn't tell a client that only ended
    its sending from one that is gone.

    Attributes:
        stream: Any stream of trio whose sending half can be closed.
        peer: The client's address.
        number: Number of the connection.
        leaving: The next answer is the last.
        stopping: The connection closes soon, also without an answer.
        received: Bytes read and not yet parsed.
        ended: The client sends no more.
    """

    def __init__(
        self,
        stream: trio.abc.HalfCloseableStream,
        handler: Handler,
        limits: ServerLimits,
        peer: str = "",
        number: int = 0,
    ):
        self.stream = stream
        self.handler = handler
        self.limits = limits
        self.peer = peer
        self.number = number
        self.leaving = False
        self.stopping = False
        self.received = b""
        self.ended = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._reader = RequestReader(self._http, limits, peer, number)
        self._idle: trio.CancelScope | None = None
        self._handling: trio.CancelScope | None = None
        self._arrived = trio.lowlevel.ParkingLot()
        self._taken = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            await self._serve()
        except* Exception:
            logger.exception("connection of %s failed", self.peer)
        finally:
            await trio.aclose_forcefully(self.stream)

    def begin_stop(self) -> None:
        """Close the connection after its current request, or soon if it has none."""
        self.leaving = True
        self.stopping = True
        if self._idle is not None:
            deadline = trio.current_time() + STOP_GRACE_SECONDS
            self._idle.deadline = min(self._idle.deadline, deadline)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_stream)
            answered = await self._answer_requests()
            nursery.cancel_scope.cancel()
        if answered:
            await close_gently(self.stream)

    async def _read_stream(self) -> None:
        try:
            while data := await self.stream.receive_some(RECEIVE_BYTES):
                self.received += data
                self._arrived.unpark_all()
                while len(self.received) >= PIPELINE_BYTES:
                    await self._taken.park()
        except trio.BrokenResourceError:
            pass
        self.ended = True
        self._arrived.unpark_all()
        if self._handling is not None:
            self._handling.cancel()

    async def _answer_requests(self) -> bool:
        """Return whether the connection ended with an answer to be waited for."""
        while True:
            match await self._receive_request():
                case HttpRequest() as request:
                    answered = await self._answer(request)
                case HttpResponse() as refusal:
                    answered = await self._refuse(refusal)
                case None:
                    return False
            if not answered:
                return False
            if not is_reusable(self._http):
                return True
            self._http.start_next_cycle()

    async def _receive_request(self) -> HttpRequest | HttpResponse | None:
        """Return a request, a refusal of it, or nothing if none came."""
        self._reader.begin()
        if not await self._wait_for_first_byte():
            return None
        try:
            # Most requests are whole by now, and cost no scope for their time.
            if (request := self._read()) or self._reader.closed:
                return request
            return await self._receive_rest()
        except h11.RemoteProtocolError as error:
            return self._refusal(error.error_status_hint, str(error))

    def _refusal(self, status: int, detail: str) -> HttpResponse:
        response = plain_problem(status, detail)
        response.close = True
        return response

    async def _wait_for_first_byte(self) -> bool:
        if self.received or self._http.trailing_data[0]:
            return True
        seconds = STOP_GRACE_SECONDS if self.stopping else self.limits.idle_seconds
        with trio.CancelScope(deadline=trio.current_time() + seconds) as self._idle:
            await self._wait_for_bytes()
        if self._idle.cancelled_caught:
            # After a pause of the process, bytes may have come with the deadline.
            await trio.lowlevel.checkpoint()
        self._idle = None
        return bool(self.received)

    async def _receive_rest(self) -> HttpRequest | HttpResponse | None:
        """Return a request of which a part came, or a refusal of it."""
        limits = self.limits
        deadline = trio.current_time() + limits.header_seconds
        in_body = False
        with trio.CancelScope(deadline=deadline) as scope:
            while not self._reader.closed:
                if self._reader.head and not in_body:
                    in_body = True
                    scope.deadline = trio.current_time() + limits.body_seconds
                if self._http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._wait_for_bytes()
                if request := self._read():
                    return request
            return None
        return self._refusal(408, "the request did not arrive in time")

    def _read(self) -> HttpRequest | None:
        """Return the request if what was received makes it whole."""
        if self.received or self.ended:
            self._reader.give(self.received)
            self.received = b""
            self._taken.unpark_all()
        return self._reader.read()

    async def _wait_for_bytes(self) -> None:
        while not self.received and not self.ended:
            await self._arrived.park()

    async def _send_continue(self) -> None:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        try:
            await self.stream.send_all(self._http.send(go_on))
        except trio.BrokenResourceError:
            self.ended = True

    async def _answer(self, request: HttpRequest) -> bool:
        """Handle a request, send its answer, and return whether it left.

        One scope serves both: it is cancelled where the client goes away while the
        request is handled, and has a deadline while the answer is sent.
        """
        if self.ended:
            return False
        with trio.CancelScope() as scope:
            self._handling = scope
            try:
                response = await self._handle(request)
            finally:
                self._handling = None
            scope.deadline = trio.current_time() + self.limits.write_seconds
            return await self._send(response)
        return False

    async def _refuse(self, refusal: HttpResponse) -> bool:
        with trio.move_on_after(self.limits.write_seconds):
            return await self._send(refusal)
        return False

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self.handler(request)
        except Exception:
            logger.exception("handler failed on %s %s", request.method, request.target)
            return plain_problem(500, "the request could not be handled")

    async def _send(self, response: HttpResponse) -> bool:
        """Send an answer and return whether it left."""
        try:
            await self.stream.send_all(self._encode(response))
        except trio.BrokenResourceError:
            return False
        return True

    def _encode(self, response: HttpResponse) -> bytes:
        close = response.close or self.leaving
        try:
            head = response_head(response, close)
        except ValueError:
            logger.exception("handler gave an answer that can't be sent")
            response = plain_problem(500, "the request could not be handled")
            head = response_head(response, close)
        if self._reader.method == b"HEAD" or response.status in BODILESS_STATUSES:
            return encode_message(self._http, head, b"")
        return encode_message(self._http, head, response.body)


async def close_gently(stream: trio.abc.HalfCloseableStream) -> None:
    """End the sending and wait for the client to close, for a bounded time.

    To close a socket with unread bytes resets the connection, and a reset destroys
    the answer on its way.
    """
    with trio.move_on_after(LINGER_SECONDS):
        try:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass
        except trio.BrokenResourceError:
            pass
