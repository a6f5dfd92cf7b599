"""Models a frozen process, which can't use its network, platform or timers.

A freeze is modelled as the worst case for a stopped process. Code that does not wait
continues, as if the process had been stopped a moment later. But all messages and
calls leave only on thaw, and all answers arrive only on thaw.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from bergamotcourse.coordination.timers import Subscription, Timers
from bergamotcourse.errors import Step
from bergamotcourse.protocol.platform import Committed, PlatformError, Write
from bergamotcourse.protocol.platform_transaction import (
    ReadBackEvidence,
    evaluate_witness,
    find_witness,
)
from bergamotcourse.standins.platform_store import ClientView

TRANSACT_ATTEMPTS = 3

T = TypeVar("T")


class Pause:
    """Whether a process is frozen; lets tasks wait for the thaw."""

    def __init__(self):
        self.frozen = False
        self.thawed = trio.lowlevel.ParkingLot()

    def freeze(self) -> None:
        """Block all calls of ``wait_until_thawed`` from now on."""
        self.frozen = True

    def thaw(self) -> None:
        """Release all waiting tasks."""
        self.frozen = False
        self.thawed.unpark_all()

    async def wait_until_thawed(self) -> None:
        """Return once the process is not frozen."""
        while self.frozen:
            await self.thawed.park()
        # A process that was killed while frozen must not continue.
        await trio.lowlevel.checkpoint_if_cancelled()


class VirtualTimers(Timers):
    """The timers of a virtual process, with its own monotonic clock.

    Attributes:
        offset: Seconds that this clock is ahead of the fleet's time.
        rate: Seconds that this clock advances per second of the fleet's time.
    """

    def __init__(
        self, rng: random.Random, pause: Pause, offset: float = 0.0, rate: float = 1.0
    ):
        super().__init__(rng)
        self.pause = pause
        self.offset = offset
        self.rate = rate

    def now(self) -> float:
        """Return the time in seconds on this process's clock."""
        return self.offset + self.rate * trio.current_time()

    def lease_now(self) -> float:
        """Return the time in seconds on this clock, which advances while frozen."""
        return self.now()

    def now_ms(self) -> int:
        """Return the time in milliseconds on this process's clock."""
        return int(self.now() * 1000)

    async def call(self, subscription: Subscription) -> None:
        """Call a subscriber once the process is not frozen."""
        await self.pause.wait_until_thawed()
        await super().call(subscription)


class ExternalCalls:
    """Calls to other systems, which continue there when the calling process dies.

    Attributes:
        nursery: Runs the calls; outlives the process.
        pause: Holds back calls and answers while the process is frozen.
        ended: Whether the process has ended.
    """

    def __init__(self, nursery: trio.Nursery, pause: Pause):
        self.nursery = nursery
        self.pause = pause
        self.ended = False

    async def run_detached(self, work: Callable[[], Awaitable[T]]) -> T:
        """Run a call that survives cancellation of the caller; return its answer."""
        answers: list[T] = []
        done = trio.Event()

        async def run() -> None:
            answers.append(await work())
            done.set()

        await self.pause.wait_until_thawed()
        self.nursery.start_soon(run)
        await done.wait()
        await self.pause.wait_until_thawed()
        return answers[0]


class VirtualPlatform:
    """A virtual process's client of the platform; implements ``Platform``.

    Like the client over HTTP, it reads back the outcome of a transaction whose answer
    was lost.

    Attributes:
        timeout: Timeout of a call in seconds. A call that times out may still take
            effect.
    """

    def __init__(
        self,
        view: ClientView,
        external_calls: ExternalCalls,
        rng: random.Random,
        timeout: float = 1.0,
    ):
        self.view = view
        self.external_calls = external_calls
        self.rng = rng
        self.timeout = timeout

    async def transact(self, writes):
        """Apply all writes or none."""
        writer = f"{self.rng.getrandbits(64):016x}"
        for _ in range(TRANSACT_ATTEMPTS):
            verdict = await self._call(
                lambda: self.view.transact_as(writer, writes), None
            )
            if verdict.is_ok() or verdict.error.took_effect is False:
                return verdict
            evidence = await self._read_back(writer, writes)
            if isinstance(evidence, Committed):
                return Ok(evidence)
            if evidence is not ReadBackEvidence.NOT_APPLIED_YET:
                return verdict
        return verdict

    async def get(self, keys):
        """Return one row for each key, in order; missing rows are ``ABSENT``."""
        return await self._call(lambda: self.view.get(keys), False)

    async def read_since(self, prefix, version):
        """Return the rows under a prefix that changed after a version."""
        return await self._call(lambda: self.view.read_since(prefix, version), False)

    async def put_object(self, name, content):
        """Store an object; fails if the name has other content already."""
        return await self._call(lambda: self.view.put_object(name, content), None)

    async def get_object(self, name):
        """Return an object's content, or ``None`` if there is no such object."""
        return await self._call(lambda: self.view.get_object(name), False)

    async def _read_back(
        self, writer: str, writes: list[Write]
    ) -> Committed | ReadBackEvidence:
        witness = find_witness(writes)
        if witness is None:
            return ReadBackEvidence.INCONCLUSIVE
        rows = await self._call(lambda: self.view.get_stored([witness.key]), False)
        return (
            evaluate_witness(witness, rows.ok[0], writer)
            if rows.is_ok()
            else ReadBackEvidence.INCONCLUSIVE
        )

    async def _call(self, work: Callable, took_effect: bool | None) -> Result:
        with trio.move_on_after(self.timeout):
            return await self.external_calls.run_detached(work)
        await self.external_calls.pause.wait_until_thawed()
        return Error(PlatformError(Step.STORE, "platform", "timeout", took_effect))

    @property
    def counters(self):
        """Return the number of this process's calls by kind."""
        return self.view.counters
