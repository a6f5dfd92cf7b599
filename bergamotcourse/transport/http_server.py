"""An HTTP/1.1 server on one TCP port: accepts, limits and stops connections."""

import errno
import itertools
import logging
from collections.abc import Collection

import h11
import trio

from bergamotcourse.transport.http import Handler
from bergamotcourse.transport.http_connection import (
    ServerConnection,
    ServerLimits,
    lingering_close,
)
from bergamotcourse.transport.http_problem import plain_problem
from bergamotcourse.transport.http_wire import (
    encode_message,
    is_readable,
    response_head,
)

logger = logging.getLogger(__name__)

__all__ = ["HttpServer", "ServerLimits"]

RETRY_AFTER_SECONDS = 1
"""Sent as ``retry-after`` to clients above the limit on connections."""

MAX_CONCURRENT_REFUSALS = 100
"""Refused connections that get a 503 at the same time; more are closed without."""

ACCEPT_PAUSE_SECONDS = 0.1
"""Pause after the process or the kernel ran out of descriptors or memory."""

RESOURCE_EXHAUSTED_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

connection_numbers = itertools.count(1)


class HttpServer:
    """Serves requests on a port, with one task for each connection.

    Attributes:
        host: The IP address to listen on.
        port: The port; 0 lets the kernel choose, and is replaced by the actual port
            before ``wait_open`` returns.
        handler: Handles the requests.
        limits: Limits on what clients may use.
        connections: The connections being served.
        close_after_response: Whether ``close_after_next_responses`` or ``begin_stop``
            was called.
        stopping: Whether ``begin_stop`` was called.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: ServerLimits | None = None,
    ):
        self.host = host
        self.port = port
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.close_after_response = False
        self.stopping = False
        self._refusals = 0
        self._accept_scope = trio.CancelScope()
        self._opened = trio.Event()
        self._stopped = trio.Event()

    @property
    def open_connections(self) -> int:
        """Return the number of connections being served."""
        return len(self.connections)

    async def run(self) -> None:
        """Serve until cancelled, or until the last connection ends after a stop.

        Raises:
            OSError: The server cannot listen on the port.
        """
        try:
            listeners = await self.open()
            async with trio.open_nursery() as nursery:
                for listener in listeners:
                    nursery.start_soon(self.accept_until_stop, listener, nursery)
                self._opened.set()
        finally:
            self._stopped.set()

    async def wait_open(self) -> None:
        """Return once the server listens; ``port`` is then the actual port."""
        await self._opened.wait()

    def close_after_next_responses(self) -> None:
        """Continue to serve, but close each connection after its next response.

        The response carries ``connection: close``, so the client opens its next
        connection elsewhere. Closing an idle connection instead could lose a request in
        transit.
        """
        self.close_after_response = True
        for connection in self.connections:
            connection.close_after_response = True

    def close_after_next_response(self, numbers: Collection[int]) -> None:
        """Close the connections of these numbers, each after its next response.

        As with ``close_after_next_responses``, an idle connection stays open.
        """
        for connection in self.connections:
            if connection.number in numbers:
                connection.close_after_response = True

    def keep_open(self, numbers: Collection[int]) -> None:
        """Undo ``close_after_next_response`` where the response is not sent yet.

        It has no effect after ``close_after_next_responses`` or ``begin_stop``.
        """
        if self.close_after_response:
            return
        for connection in self.connections:
            if connection.number in numbers:
                connection.close_after_response = False

    def begin_stop(self) -> None:
        """Stop accepting connections and close each after its current request."""
        self.close_after_next_responses()
        self.stopping = True
        self._accept_scope.cancel()
        for connection in self.connections:
            connection.begin_stop()

    async def wait_stopped(self) -> None:
        """Return once all connections are closed."""
        await self._stopped.wait()

    async def open(self) -> list[trio.SocketListener]:
        """Listen on the port and return the listeners, for ``accept_until_stop``."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        return listeners

    async def accept_until_stop(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections until a stop; start a task in the nursery for each."""
        async with listener:
            with self._accept_scope:
                while True:
                    await self._accept(listener, nursery)
            # Closing the listener would reset connections that the kernel has accepted.
            while is_readable(listener.socket):
                await self._accept(listener, nursery)

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                raise
            logger.exception("cannot accept a connection: out of descriptors or memory")
            await trio.sleep(ACCEPT_PAUSE_SECONDS)
            return
        if len(self.connections) < self.limits.connections:
            self.start_connection(stream, peer_address(stream), nursery)
        else:
            nursery.start_soon(self._refuse, stream)

    def start_connection(
        self, stream: trio.abc.HalfCloseableStream, peer: str, nursery: trio.Nursery
    ) -> None:
        """Start a task that serves a client's connection.

        Args:
            stream: The connection.
            peer: Address of the client.
            nursery: Runs the task.
        """
        connection = ServerConnection(
            stream, self.handler, self.limits, peer, next(connection_numbers)
        )
        self.connections.add(connection)
        connection.close_after_response = self.close_after_response
        if self.stopping:
            connection.begin_stop()
        nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            await connection.run()
        finally:
            self.connections.remove(connection)

    async def _refuse(self, stream: trio.SocketStream) -> None:
        self._refusals += 1
        try:
            if self._refusals <= MAX_CONCURRENT_REFUSALS:
                await send_refusal(stream)
        finally:
            self._refusals -= 1
            await trio.aclose_forcefully(stream)


async def send_refusal(stream: trio.abc.HalfCloseableStream) -> None:
    """Send a 503 response on a connection without reading a request."""
    response = plain_problem(
        503, "all connections of this server are taken", RETRY_AFTER_SECONDS
    )
    head = response_head(response, close=True)
    data = encode_message(h11.Connection(h11.SERVER), head, response.body)
    try:
        await stream.send_all(data)
    except trio.BrokenResourceError:
        return
    await lingering_close(stream)


def peer_address(stream: trio.SocketStream) -> str:
    """Return the client's ``IP:PORT``, or an empty string if it has disconnected."""
    try:
        host, port, *_ = stream.socket.getpeername()
    except OSError:
        return ""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
