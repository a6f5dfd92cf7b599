"""The server side of one HTTP connection."""

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
    has_peer_closed,
    is_reusable,
    response_head,
)

logger = logging.getLogger(__name__)

PIPELINE_BYTES = 65536
"""Bytes buffered of pipelined requests; reading pauses above it."""

DISCONNECT_POLL_SECONDS = 0.1
"""Time between checks for a disconnect while reading pauses; a client that has left may
soon send its request to another server."""

STOP_GRACE_SECONDS = 0.25
"""Time an idle connection stays open after a stop, for a request in transit."""

LINGER_SECONDS = 1.0
"""Longest wait for the client to close; closing first could reset the connection and
lose the response."""


class ServerConnection:
    """Answers the requests of one connection, in their order.

    One task receives, handles and answers each request in turn. A second task reads the
    stream all the time, so that a disconnect cancels the handler. The end of the
    client's stream counts as a disconnect, because TCP cannot distinguish a client that
    only shut down its sending half from one that is gone.

    Attributes:
        stream: Any trio stream whose sending half can be closed.
        handler: Handles the requests.
        limits: Limits on what a client may use.
        peer: Address of the client.
        number: Number of the connection.
        opened_at: When it was accepted, in seconds on trio's clock.
        close_after_response: Whether to close after the next response.
        stopping: Whether to close soon, even if no further request arrives.
        received: Bytes received and not yet parsed.
        input_ended: Whether the client has shut down its sending or disconnected.
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
        self.opened_at = trio.current_time()
        self.close_after_response = False
        self.stopping = False
        self.received = b""
        self.input_ended = False
        self._http = new_http(limits)
        self._reader = RequestReader(self._http, limits, peer, number)
        self._has_answered = False
        self._output_cut = False
        self._idle_scope: trio.CancelScope | None = None
        self._handler_scope: trio.CancelScope | None = None
        self._bytes_arrived = trio.lowlevel.ParkingLot()
        self._bytes_consumed = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            await self._serve()
        except* Exception:
            logger.exception("connection of %s failed", self.peer)
        finally:
            await trio.aclose_forcefully(self.stream)

    def begin_stop(self) -> None:
        """Close after the current request, or after a short grace if there is none."""
        self.close_after_response = True
        self.stopping = True
        if self._idle_scope is not None:
            deadline = trio.current_time() + STOP_GRACE_SECONDS
            self._idle_scope.deadline = min(self._idle_scope.deadline, deadline)

    def is_abandoned(self) -> bool:
        """Return whether the client has disconnected, even if that is not read yet.

        While this process was paused, a client may have sent a request and closed the
        connection. The bytes of the request are read first, and the end of the stream
        in a later pass of the event loop.
        """
        if self.input_ended:
            return True
        stream = self.stream
        return isinstance(stream, trio.SocketStream) and has_peer_closed(stream.socket)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_stream)
            answered = await self._answer_requests()
            nursery.cancel_scope.cancel()
        if answered:
            await lingering_close(self.stream)

    async def _read_stream(self) -> None:
        try:
            while data := await self.stream.receive_some(RECEIVE_BYTES):
                self.received += data
                self._bytes_arrived.unpark_all()
                if not await self._wait_for_space():
                    break
        except trio.BrokenResourceError:
            pass
        self.input_ended = True
        self._bytes_arrived.unpark_all()
        if self._handler_scope is not None:
            self._handler_scope.cancel()

    async def _wait_for_space(self) -> bool:
        """Wait until more may be buffered; return false if the client disconnects."""
        while len(self.received) >= PIPELINE_BYTES:
            if self.is_abandoned():
                return False
            with trio.move_on_after(DISCONNECT_POLL_SECONDS):
                await self._bytes_consumed.park()
        return True

    async def _answer_requests(self) -> bool:
        """Answer requests until the connection has to end.

        Returns:
            Whether it ended after a response, which the client may still be receiving.
        """
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
            self._has_answered = True

    async def _receive_request(self) -> HttpRequest | HttpResponse | None:
        """Return a request, an error response to it, or ``None`` if none arrived."""
        self._reader.reset()
        if not await self._wait_for_first_byte():
            return None
        try:
            # Most requests are complete by now and need no scope for a timeout.
            if (request := self._parse_received()) or self._reader.closed:
                return request
            return await self._receive_rest()
        except h11.RemoteProtocolError as error:
            return self._refusal(error.error_status_hint, str(error))

    def _refusal(self, status: int, detail: str) -> HttpResponse:
        response = plain_problem(status, detail)
        response.close = True
        return response

    async def _wait_for_first_byte(self) -> bool:
        if self._skip_empty_lines():
            return True
        seconds = STOP_GRACE_SECONDS if self.stopping else self.limits.idle_seconds
        with trio.CancelScope(
            deadline=trio.current_time() + seconds
        ) as self._idle_scope:
            while not self._skip_empty_lines() and not self.input_ended:
                await self._wait_for_bytes()
        if self._idle_scope.cancelled_caught:
            # After a pause of the process, bytes may be readable although the deadline
            # has passed.
            await trio.lowlevel.checkpoint()
        self._idle_scope = None
        return self._skip_empty_lines()

    def _skip_empty_lines(self) -> bool:
        """Skip empty lines after a request; return whether a part of the next is there.

        Some clients send an empty line after a body. An error response to it would be
        read as the response to their next request.
        """
        parsed = self._http.trailing_data[0]
        if not self._has_answered:
            return bool(parsed or self.received)
        if parsed.startswith((b"\r", b"\n")):
            self.received = parsed + self.received
            self._http = self._reader.http = new_http(self.limits)
            parsed = b""
        if not parsed and self.received.startswith((b"\r", b"\n")):
            self.received = self.received.lstrip(b"\r\n")
            self._bytes_consumed.unpark_all()
        return bool(parsed or self.received)

    async def _receive_rest(self) -> HttpRequest | HttpResponse | None:
        """Receive the rest of a request.

        Returns:
            The request, an error response if it was not complete in time, or ``None``
            if the client closed the connection or has received only a part of what
            was sent.
        """
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
                if request := self._parse_received():
                    return request
            return None
        if self._output_cut:
            return None
        return self._refusal(408, "the request did not arrive in time")

    def _parse_received(self) -> HttpRequest | None:
        """Parse the received bytes; return the request if it is complete."""
        if self.received or self.input_ended:
            self._reader.feed(self.received)
            self.received = b""
            self._bytes_consumed.unpark_all()
        return self._reader.read()

    async def _wait_for_bytes(self) -> None:
        while not self.received and not self.input_ended:
            await self._bytes_arrived.park()

    async def _send_continue(self) -> None:
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        self._output_cut = True
        try:
            await self.stream.send_all(self._http.send(continue_response))
        except trio.BrokenResourceError:
            self.input_ended = True
        else:
            self._output_cut = False

    async def _answer(self, request: HttpRequest) -> bool:
        """Handle a request, send the response, and return whether it was sent.

        One cancel scope covers both: it is cancelled if the client disconnects while
        the request is handled, and has a deadline while the response is sent.
        """
        if self.is_abandoned():
            return False
        request.is_abandoned = self.is_abandoned
        with trio.CancelScope() as scope:
            self._handler_scope = scope
            try:
                response = await self._handle(request)
            finally:
                self._handler_scope = None
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
        """Send a response and return whether it was sent."""
        try:
            await self.stream.send_all(self._encode(response))
        except trio.BrokenResourceError:
            return False
        return True

    def _encode(self, response: HttpResponse) -> bytes:
        close = response.close or self.close_after_response
        try:
            head = response_head(response, close, self._reader.method)
        except ValueError:
            logger.exception("handler returned a response that cannot be encoded")
            response = plain_problem(500, "the request could not be handled")
            head = response_head(response, close)
        if self._reader.method == b"HEAD" or response.status in BODILESS_STATUSES:
            return encode_message(self._http, head, b"")
        return encode_message(self._http, head, response.body)


def new_http(limits: ServerLimits) -> h11.Connection:
    """Return the state of the HTTP protocol on a new connection."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)


async def lingering_close(stream: trio.abc.HalfCloseableStream) -> None:
    """Shut down sending, then wait up to a timeout for the client to close.

    Closing a socket with unread bytes resets the connection, and a reset discards a
    response in transit.
    """
    with trio.move_on_after(LINGER_SECONDS):
        try:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass
        except trio.BrokenResourceError:
            pass
