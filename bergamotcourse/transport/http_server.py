"""An HTTP/1.1 server on one TCP port: accepting, counting and stopping."""

import errno
import itertools
import logging

import h11
import trio

from bergamotcourse.transport.http import Handler
from bergamotcourse.transport.http_connection import (
    ServerConnection,
    ServerLimits,
    close_gently,
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
"""When a client may come back that found all connections taken."""

REFUSALS_AT_ONCE = 100
"""Refused connections that get an answer at a time; more are closed without one."""

ACCEPT_PAUSE_SECONDS = 0.1
"""Pause after the kernel had no room for another connection."""

NO_ROOM_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

connection_numbers = itertools.count(1)


class HttpServer:
    """Serves a handler on a port; one task for each connection.

    Attributes:
        host: The IP number to listen on.
        port: The port; 0 lets the kernel choose, until ``wait_open`` returns.
        handler: Answers the requests.
        limits: Bounds on what clients may take.
        connections: The connections being served.
        leaving: ``begin_leave`` or ``begin_stop`` was called.
        stopping: ``begin_stop`` was called.
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
        self.leaving = False
        self.stopping = False
        self._refusals = 0
        self._accepting = trio.CancelScope()
        self._opened = trio.Event()
        self._stopped = trio.Event()

    @property
    def open_connections(self) -> int:
        """Return the number of connections being served."""
        return len(self.connections)

    async def run(self) -> None:
        """Serve until cancelled, or until a stop has ended the last connection.

        Raises:
            OSError: The port can't be opened.
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
        """Return once the server listens; ``port`` is then the real one."""
        await self._opened.wait()

    def begin_leave(self) -> None:
        """Serve on, but end each connection with its next answer.

        A client that is told so with an answer opens its next connection elsewhere;
        one whose connection is closed instead may have a request on its way.
        """
        self.leaving = True
        for connection in self.connections:
            connection.leaving = True

    def begin_stop(self) -> None:
        """Accept no more; let requests in progress finish, then close."""
        self.begin_leave()
        self.stopping = True
        self._accepting.cancel()
        for connection in self.connections:
            connection.begin_stop()

    async def wait_stopped(self) -> None:
        """Return once all connections are gone."""
        await self._stopped.wait()

    async def open(self) -> list[trio.SocketListener]:
        """Open the port and return its listeners, for ``accept_until_stop``."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        return listeners

    async def accept_until_stop(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Start a task in the nursery for each connection, until a stop."""
        async with listener:
            with self._accepting:
                while True:
                    await self._accept(listener, nursery)
            # To close the listener would reset what the kernel accepted already.
            while is_readable(listener.socket):
                await self._accept(listener, nursery)

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in NO_ROOM_ERRNOS:
                raise
            logger.exception("no room for another connection")
            await trio.sleep(ACCEPT_PAUSE_SECONDS)
            return
        if len(self.connections) < self.limits.connections:
            self._start(stream, nursery)
        else:
            nursery.start_soon(self._refuse, stream)

    def _start(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        connection = ServerConnection(
            stream, self.handler, self.limits, peer_of(stream), next(connection_numbers)
        )
        self.connections.add(connection)
        connection.leaving = self.leaving
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
            if self._refusals <= REFUSALS_AT_ONCE:
                await send_refusal(stream)
        finally:
            self._refusals -= 1
            await trio.aclose_forcefully(stream)


async def send_refusal(stream: trio.abc.HalfCloseableStream) -> None:
    """Answer 503 on a connection of which nothing was read."""
    response = plain_problem(
        503, "all connections of this server are taken", RETRY_AFTER_SECONDS
    )
    head = response_head(response, close=True)
    data = encode_message(h11.Connection(h11.SERVER), head, response.body)
    try:
        await stream.send_all(data)
    except trio.BrokenResourceError:
        return
    await close_gently(stream)


def peer_of(stream: trio.SocketStream) -> str:
    """Return the client's address as ``IP:PORT``, or nothing if it is gone."""
    try:
        host, port, *_ = stream.socket.getpeername()
    except OSError:
        return ""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
