"""A TCP proxy on loopback that delays, silences and resets what passes through it."""

import socket
import struct
from contextlib import suppress
from enum import Enum

import trio

RECEIVE_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """The way of bytes through a proxy."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


class Proxy:
    """Passes connections on to one server.

    Attributes:
        host: Where it listens.
        port: The port, once it listens.
        delay: Seconds by which each piece is late.
        silent: The directions in which bytes are held until the fault ends, as a
            network does whose packets are sent again.
        refusing: New connections are reset.
        deaf: Connections that pass nothing on any more, without a sign.
    """

    def __init__(self, host: str, server: tuple[str, int]):
        self.host = host
        self.port = 0
        self.server = server
        self.delay = 0.0
        self.silent: set[Direction] = set()
        self.refusing = False
        self.changed = trio.lowlevel.ParkingLot()
        self.scopes: set[trio.CancelScope] = set()
        self.deaf: set[trio.CancelScope] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen and pass on until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def silence(self, *directions: Direction) -> None:
        """Hold the bytes of these directions until ``heal``."""
        self.silent.update(directions)

    def heal(self) -> None:
        """End all faults, and pass on what was held."""
        self.silent.clear()
        self.refusing = False
        self.delay = 0.0
        self.changed.unpark_all()

    def deafen(self) -> None:
        """Let all connections go silent for good; new ones work."""
        self.deaf.update(self.scopes)

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
                await self._pass_on(client, server, scope)
            finally:
                self.scopes.discard(scope)
                self.deaf.discard(scope)
                end = abort if scope.cancel_called else trio.aclose_forcefully
                with trio.CancelScope(shield=True):
                    await end(client)
                    await end(server)

    async def _pass_on(self, client, server, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:

            async def from_client() -> None:
                if not await self._pump(client, server, Direction.TO_SERVER, scope):
                    nursery.cancel_scope.cancel()

            nursery.start_soon(from_client)
            await self._pump(server, client, Direction.TO_CLIENT, scope)
            nursery.cancel_scope.cancel()

    async def _pump(
        self, source, target, direction: Direction, scope: trio.CancelScope
    ) -> bool:
        """Pass on one direction; false if a connection broke."""
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if scope in self.deaf:
                    continue
                await trio.sleep(self.delay)
                await self._until_heard(direction)
                await target.send_all(data)
            await self._until_heard(direction)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _until_heard(self, direction: Direction) -> None:
        while direction in self.silent:
            await self.changed.park()


async def abort(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    # The other side may have been quicker.
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)
