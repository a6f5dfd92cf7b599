"""What a frozen process can't do: use its network, its platform or its timers.

A pause is modelled as the worst that a stopped process may meet. Code that waits for
nothing goes on, as if the process was stopped only a moment later; but all that it
sends or asks leaves on thaw, and all answers reach it on thaw.
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
    """Whether a process is frozen, and a place to wait until it is not."""

    def __init__(self):
        self.frozen = False
        self.thawed = trio.lowlevel.ParkingLot()

    def freeze(self) -> None:
        """Hold all who pass from now on."""
        self.frozen = True

    def thaw(self) -> None:
        """Let all pass."""
        self.frozen = False
        self.thawed.unpark_all()

    async def passed(self) -> None:
        """Return once the process is not frozen."""
        while self.frozen:
            await self.thawed.park()
        # One that was killed while frozen goes no further.
        await trio.lowlevel.checkpoint_if_cancelled()


class VirtualTimers(Timers):
    """The timers of a virtual process, with a monotonic clock of its own.

    Attributes:
        offset: Seconds that this clock is ahead of the fleet's time.
        rate: Seconds of this clock in a second of the fleet's time.
    """

    def __init__(
        self, rng: random.Random, pause: Pause, offset: float = 0.0, rate: float = 1.0
    ):
        super().__init__(rng)
        self.pause = pause
        self.offset = offset
        self.rate = rate

    def now(self) -> float:
        """Return seconds on this process's clock."""
        return self.offset + self.rate * trio.current_time()

    def lease_now(self) -> float:
        """Return seconds on this process's clock, which runs on while frozen."""
        return self.now()

    def now_ms(self) -> int:
        """Return milliseconds on this process's clock."""
        return int(self.now() * 1000)

    async def call(self, subscription: Subscription) -> None:
        """Call a subscriber, once the process is not frozen."""
        await self.pause.passed()
        await super().call(subscription)


class Outside:
    """Work that a process has begun elsewhere: it goes on when the process dies.

    Attributes:
        nursery: Outlives the process.
        pause: Holds requests and answers while the process is frozen.
        ended: The process is no more.
    """

    def __init__(self, nursery: trio.Nursery, pause: Pause):
        self.nursery = nursery
        self.pause = pause
        self.ended = False

    async def ask(self, work: Callable[[], Awaitable[T]]) -> T:
        """Have work done outside and return its answer."""
        answers: list[T] = []
        done = trio.Event()

        async def run() -> None:
            answers.append(await work())
            done.set()

        await self.pause.passed()
        self.nursery.start_soon(run)
        await done.wait()
        await self.pause.passed()
        return answers[0]


class VirtualPlatform:
    """The platform as a virtual process reaches it; implements ``Platform``.

    Like the client over HTTP, it reads back what became of a transaction whose answer
    was lost.

    Attributes:
        timeout: Seconds for a call. One that takes longer may yet take effect.
    """

    def __init__(
        self,
        view: ClientView,
        outside: Outside,
        rng: random.Random,
        timeout: float = 1.0,
    ):
        self.view = view
        self.outside = outside
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
        """Return one row for each key, in order."""
        return await self._call(lambda: self.view.get(keys), False)

    async def read_since(self, prefix, version):
        """Return the rows under a prefix that changed after a version."""
        return await self._call(lambda: self.view.read_since(prefix, version), False)

    async def put_object(self, name, content):
        """Store an object."""
        return await self._call(lambda: self.view.put_object(name, content), None)

    async def get_object(self, name):
        """Return an object."""
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

    async def _call(self, work: Callable, late: bool | None) -> Result:
        with trio.move_on_after(self.timeout):
            return await self.outside.ask(work)
        await self.outside.pause.passed()
        return Error(PlatformError(Step.STORE, "platform", "timeout", late))

    @property
    def counters(self):
        """Return the calls of this process by kind."""
        return self.view.counters
