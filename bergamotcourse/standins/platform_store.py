"""An in-memory platform whose faults can be changed at any time.

It waits on trio's clock only, so that tests can run it on a virtual clock.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import Step
from bergamotcourse.protocol.platform import (
    Changes,
    Committed,
    Conflict,
    PlatformError,
    Row,
    Write,
)
from bergamotcourse.protocol.platform_wire import SincePage, StoredRow
from bergamotcourse.standins.platform_table import Table

PEER = "platform"

T = TypeVar("T")


class CallKind(Enum):
    """The kinds of calls that are counted."""

    TRANSACT = "transact"
    GET = "get"
    READ_SINCE = "read_since"
    PUT_OBJECT = "put_object"
    GET_OBJECT = "get_object"


WRITES = frozenset({CallKind.TRANSACT, CallKind.PUT_OBJECT})


@dataclass
class Faults:
    """Faults that affect all clients.

    Attributes:
        delay: Seconds that each call takes: half before its effect, half after.
        down: Calls fail and are known not to take effect.
        fail_after: Seconds until a call fails while down or cut off.
        lose_answers: Writes take effect, but their callers get an unknown outcome.
        lose_next_answers: Like ``lose_answers``, for this many of the next writes.
        drop_calls: Share of calls, from 0 to 1, that are lost before they take
            effect; their callers get an unknown outcome.
    """

    delay: float = 0.0
    down: bool = False
    fail_after: float = 0.0
    lose_answers: bool = False
    lose_next_answers: int = 0
    drop_calls: float = 0.0

    def consume_answer_loss(self) -> bool:
        """Return whether the current write loses its answer, and count it if so."""
        if self.lose_answers:
            return True
        if self.lose_next_answers <= 0:
            return False
        self.lose_next_answers -= 1
        return True


@dataclass(frozen=True)
class ObjectExistsError(PlatformError):
    """An object of this name with other content exists already."""


class ClientView:
    """One client's access to the platform; implements ``Platform``.

    Attributes:
        cut: Whether the client is cut off from the platform, so that its calls fail.
        counters: Number of the client's calls by kind.
    """

    def __init__(self, platform: "MemoryPlatform", client: str):
        self.platform = platform
        self.client = client
        self.cut = False
        self.counters: Counter[CallKind] = Counter()

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflict, PlatformError]:
        """Apply all writes or none."""
        return await self.transact_as("", writes)

    async def transact_as(
        self, writer: str, writes: list[Write]
    ) -> Result[Committed | Conflict, PlatformError]:
        """Apply all writes or none; a repeated writer id gets its first verdict."""
        return await self._call(
            CallKind.TRANSACT, lambda: Ok(self.platform.table.transact(writer, writes))
        )

    async def get(self, keys: list[str]) -> Result[list[Row], PlatformError]:
        """Return one row for each key, in order; missing rows are ``ABSENT``."""
        stored = await self.get_stored(keys)
        return stored.map(lambda rows: [row.row() for row in rows])

    async def get_stored(
        self, keys: list[str]
    ) -> Result[list[StoredRow], PlatformError]:
        """Return one row for each key, in order, with its writer."""
        table = self.platform.table
        return await self._call(
            CallKind.GET, lambda: Ok([table.get(key) for key in keys])
        )

    async def read_since(
        self, prefix: str, version: int
    ) -> Result[Changes, PlatformError]:
        """Return the rows under a prefix that changed after a version."""
        table = self.platform.table
        return await self._call(
            CallKind.READ_SINCE, lambda: Ok(table.read_since(prefix, version))
        )

    async def read_page(
        self, prefix: str, version: int, limit: int
    ) -> Result[SincePage, PlatformError]:
        """Return one page of the rows that changed after a version."""
        table = self.platform.table
        return await self._call(
            CallKind.READ_SINCE, lambda: Ok(table.read_page(prefix, version, limit))
        )

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store an object; fails if the name has another content already."""
        return await self._call(
            CallKind.PUT_OBJECT, lambda: self._put_object(name, content)
        )

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object's content, or ``None`` if there is no such object."""
        objects = self.platform.table.objects
        return await self._call(CallKind.GET_OBJECT, lambda: Ok(objects.get(name)))

    def _put_object(self, name: str, content: bytes) -> Result[None, PlatformError]:
        if self.platform.table.put_object(name, content):
            return Ok(None)
        detail = f"object {name} has another content"
        return Error(ObjectExistsError(Step.STORE, PEER, detail, took_effect=False))

    async def _call(
        self, kind: CallKind, effect: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        faults = self.platform.faults
        self.counters[kind] += 1
        half = faults.delay / 2
        if not self._reachable():
            return await self._unreachable()
        await trio.sleep(half)
        if not self._reachable():
            return await self._unreachable()
        if self.platform.drops_call():
            return Error(failed("call lost", None))
        answer = effect()
        await trio.sleep(half)
        if kind in WRITES and faults.consume_answer_loss():
            return Error(failed("answer lost", None))
        return answer

    def _reachable(self) -> bool:
        return not (self.platform.faults.down or self.cut)

    async def _unreachable(self) -> Result[T, PlatformError]:
        await trio.sleep(self.platform.faults.fail_after)
        return Error(failed("cut off" if self.cut else "down", False))


class MemoryPlatform:
    """An in-memory platform; implements ``Platform`` for a client without a name.

    Attributes:
        faults: The faults in force; its fields may be set at any time.
        table: The rows and objects.
        views: Each client's access by the client's name.
    """

    def __init__(self, faults: Faults | None = None, rng: random.Random | None = None):
        self.faults = faults or Faults()
        self.rng = rng or random.Random(0)
        self.table = Table()
        self.views: dict[str, ClientView] = {}
        self.unnamed_view = self.view("")

    @property
    def counters(self) -> dict[str, Counter[CallKind]]:
        """Return the number of each client's calls by kind."""
        return {name: view.counters for name, view in self.views.items()}

    def view(self, client: str) -> ClientView:
        """Return a client's access, creating it at the first call."""
        if client not in self.views:
            self.views[client] = ClientView(self, client)
        return self.views[client]

    def cut_off(self, clients: list[str]) -> None:
        """Cut off these clients and reconnect all others."""
        for client in clients:
            self.view(client)
        for client, view in self.views.items():
            view.cut = client in clients

    def drops_call(self) -> bool:
        """Decide at random whether the current call is lost before it takes effect."""
        return self.faults.drop_calls > 0 and self.rng.random() < self.faults.drop_calls

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflict, PlatformError]:
        """Apply all writes or none."""
        return await self.unnamed_view.transact(writes)

    async def get(self, keys: list[str]) -> Result[list[Row], PlatformError]:
        """Return one row for each key, in order; missing rows are ``ABSENT``."""
        return await self.unnamed_view.get(keys)

    async def read_since(
        self, prefix: str, version: int
    ) -> Result[Changes, PlatformError]:
        """Return the rows under a prefix that changed after a version."""
        return await self.unnamed_view.read_since(prefix, version)

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store an object; fails if the name has another content already."""
        return await self.unnamed_view.put_object(name, content)

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object's content, or ``None`` if there is no such object."""
        return await self.unnamed_view.get_object(name)


def failed(detail: str, took_effect: bool | None) -> PlatformError:
    """Return an error of a call to the platform."""
    return PlatformError(Step.STORE, PEER, detail, took_effect)
