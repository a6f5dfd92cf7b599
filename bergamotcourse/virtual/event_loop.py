"""Models the processor time of a virtual process, whose work otherwise takes no time.

An event loop runs in passes. In each pass every task that is ready runs once, and the
next pass begins once the processor has done the work of all of them. What becomes ready
in the meantime waits for the next pass. A receiver is one task however many payloads
wait for it, so what it receives in a pass is limited by its ``ReceiveBudget``.
"""

import random
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.timers import Subscription
from bergamotcourse.transport.memory_link import MemoryLink
from bergamotcourse.transport.receive_turns import ReceiveBudget
from bergamotcourse.virtual.pause import Pause, VirtualTimers

SETTLING_SECONDS = 1e-6
"""Time in which all tasks of a pass run, as they take no time by the virtual clock."""


@dataclass(frozen=True)
class WorkCosts:
    """What the work of a process costs, in seconds of its machine's time.

    Attributes:
        receive: A payload that is received and handled.
        send: A payload that is sent.
        place: A placement round.
        submit: A job that is admitted.
        reject: A job that is rejected before it is decoded.
    """

    receive: float
    send: float
    place: float
    submit: float
    reject: float


class EventLoop:
    """The passes of one process.

    Attributes:
        costs: What the work costs.
        busy_until: When the work that was begun is done, on trio's clock.
        used_seconds: Time that all work has taken.
        ready: Where tasks wait for the next pass.
        has_ready: Set while a task waits.
    """

    def __init__(self, costs: WorkCosts):
        self.costs = costs
        self.busy_until = 0.0
        self.used_seconds = 0.0
        self.ready = trio.lowlevel.ParkingLot()
        self.has_ready = trio.Event()

    async def run(self) -> None:
        """Run passes until cancelled."""
        while True:
            await self.has_ready.wait()
            self.has_ready = trio.Event()
            self.ready.unpark_all()
            await trio.sleep(SETTLING_SECONDS)
            await trio.sleep_until(self.busy_until)

    async def next_pass(self) -> None:
        """Wait until the next pass begins."""
        self.has_ready.set()
        await self.ready.park()

    def now(self) -> float:
        """Return the time at which the work that was begun so far is done."""
        return max(self.busy_until, trio.current_time())

    def spend(self, seconds: float) -> None:
        """Do work that takes some seconds."""
        self.used_seconds += seconds
        self.busy_until = self.now() + seconds


class EventLoopTimers(VirtualTimers):
    """Timers whose calls wait for a pass, and are late if the passes are long."""

    def __init__(self, rng: random.Random, pause: Pause, loop: EventLoop):
        super().__init__(rng, pause)
        self.loop = loop

    async def call(self, subscription: Subscription) -> None:
        """Call a subscriber in the next pass."""
        await self.loop.next_pass()
        await super().call(subscription)


class EventLoopLink(MemoryLink):
    """A link whose payloads take processor time.

    Attributes:
        loop: The passes of the process.
        receive_budget: Limits what is received in a pass, as at the real links.
    """

    def __init__(self, network, address, loop: EventLoop):
        super().__init__(network, address)
        self.loop = loop
        self.receive_budget = ReceiveBudget()

    async def send(self, peer, payload):
        """Pass a payload to the network, which accepts any but may drop it."""
        self.loop.spend(self.loop.costs.send)
        return await super().send(peer, payload)

    async def receive(self) -> bytes:
        """Return the next payload received from any peer."""
        await self.receive_budget.spend()
        if self.receive_budget.is_whole:
            await self.loop.next_pass()
        if not self._is_ready():
            self.receive_budget.reset()
            await self.wait_ready()
            await self.loop.next_pass()
        self.loop.spend(self.loop.costs.receive)
        return self.pop()

    def backlog_seconds(self) -> float:
        """Return for how long there have been payloads to receive without a break."""
        return self.receive_budget.backlog_seconds(trio.current_time())
