"""A stand-in for the platform's store whose open connections can go silent."""

import trio
from trio.testing import memory_stream_pair

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.platform.store import Store
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.tests.platform.standins import StoreStandIn
from bergamotcourse.transport.http_connection import ServerConnection, ServerLimits


class SilencedStream(trio.abc.Stream):
    """The client's end of a connection that can stop transferring data unnoticed."""

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.silent = False

    async def send_all(self, data):
        if not self.silent:
            await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def aclose(self):
        await self.stream.aclose()


class SilencedStore:
    """Serves a store's rows over in-memory connections.

    Attributes:
        opened: The connections that clients have opened so far.
        unreachable: New connections are never established.
    """

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.rows = StoreStandIn()
        self.opened: list[SilencedStream] = []
        self.unreachable = False

    def client(self, log: EventLog) -> Store:
        """Return a client of this store."""
        return Store(Endpoint("store", 1), log, self.connect)

    async def connect(self, host, port) -> SilencedStream:
        """Open a connection."""
        if self.unreachable:
            await trio.sleep_forever()
        near, far = memory_stream_pair()
        connection = ServerConnection(far, self.rows.handle, ServerLimits())
        self.nursery.start_soon(connection.run)
        self.opened.append(SilencedStream(near))
        return self.opened[-1]

    def silence_open_connections(self) -> None:
        """Stop all data on the open connections for good; new ones work."""
        for stream in self.opened:
            stream.silent = True
