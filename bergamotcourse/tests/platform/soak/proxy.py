"""A TCP proxy on loopback that delays, holds, black-holes and resets connections."""

import socket
import struct
from contextlib import suppress
from enum import Enum

import trio

RECEIVE_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of bytes through a proxy."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


class Proxy:
    """Forwards connections to one server.

    Attributes:
        host: Address on which it listens.
        port: Port on which it listens; 0 until then.
        delay: Seconds by which each received chunk is delayed.
        held_directions: Directions in which bytes are held until the fault ends, as in
            a network that retransmits lost packets.
        refusing: Whether new connections are reset.
        blackholed: Connections whose bytes are discarded without closing them.
    """

    def __init__(self, host: str, server: tuple[str, int]):
        self.host = host
        self.port = 0
        self.server = server
        self.delay = 0.0
        self.held_directions: set[Direction] = set()
        self.refusing = False
        self.released = trio.lowlevel.ParkingLot()
        self.scopes: set[trio.CancelScope] = set()
        self.blackholed: set[trio.CancelScope] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen and forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def hold(self, *directions: Direction) -> None:
        """Hold the bytes of these directions until ``clear_faults``."""
        self.held_directions.update(directions)

    def clear_faults(self) -> None:
        """End delays, holds and refusals, and forward the held bytes."""
        self.held_directions.clear()
        self.refusing = False
        self.delay = 0.0
        self.released.unpark_all()

    def deafen(self) -> None:
        """Black-hole open connections: discard their further bytes; new ones work."""
        self.blackholed.update(self.scopes)

    def reset(self) -> None:
        """Reset all connections, on both sides."""
        for scope in self.scopes:
            scope.cancel()

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.refusing:
            await abort(client)
            return
        try:
            server = await trio.open_tcp_stream(*self.server)
        except OSError:
            await abort(client)
            return
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await self._forward(client, server, scope)
            finally:
                self.scopes.discard(scope)
                self.blackholed.discard(scope)
                end = abort if scope.cancel_called else trio.aclose_forcefully
                with trio.CancelScope(shield=True):
                    await end(client)
                    await end(server)

    async def _forward(self, client, server, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:

            async def from_client() -> None:
                if not await self._copy(client, server, Direction.TO_SERVER, scope):
                    nursery.cancel_scope.cancel()

            nursery.start_soon(from_client)
            await self._copy(server, client, Direction.TO_CLIENT, scope)
            nursery.cancel_scope.cancel()

    async def _copy(
        self, source, target, direction: Direction, scope: trio.CancelScope
    ) -> bool:
        """Copy one direction until its end; returns False if a connection broke."""
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if scope in self.blackholed:
                    continue
                await trio.sleep(self.delay)
                await self._wait_while_held(direction)
                await target.send_all(data)
            await self._wait_while_held(direction)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _wait_while_held(self, direction: Direction) -> None:
        while direction in self.held_directions:
            await self.released.park()


async def abort(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    # The peer may already have closed the connection.
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)
