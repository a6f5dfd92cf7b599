"""A simulated network in memory: links for tests that run on a virtual clock.

It runs no task or thread of its own. A payload waits in the inbox of its receiver until
its arrival time, so the same seed and the same schedule give the same deliveries.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from expression import Ok, Result

from bergamotcourse.errors import StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.bottleneck import Bottleneck

DEFAULT_DELAY_SECONDS = 0.0005

Pair = tuple[LinkAddress, LinkAddress]
"""The addresses of a sender and a receiver."""


@dataclass
class Traffic:
    """What one sender sent to one receiver, including payloads that were lost."""

    payloads: int = 0
    bytes: int = 0


@dataclass(order=True)
class Delivery:
    """A payload in transit.

    Attributes:
        due: Arrival time on trio's clock.
        number: Keeps payloads that arrive at the same time in the order of sending.
    """

    due: float
    number: int
    payload: bytes = field(compare=False)


class MemoryNetwork:
    """Connects memory links and injects faults between them.

    Faults apply to payloads sent after they begin; payloads in transit still arrive.

    Attributes:
        rng: Seeded source of loss, duplication and jitter.
        delay: One-way delay in seconds.
        pair_delay: Returns the one-way delay in seconds from a sender to a receiver;
            replaces ``delay``.
        loss: Share of payloads that are lost, from 0 to 1.
        duplicate: Share of payloads that arrive twice, from 0 to 1.
        reorder: Upper bound in seconds of a random additional delay for each payload.
            At 0 the payloads of a pair arrive in the order of sending.
        sent: Traffic by pair.
        links: The open links by address.
        bottlenecks: The outbound and the inbound interface of addresses whose rate is
            limited.
        frozen: Addresses of paused processes.
        held: Payloads that frozen addresses have sent, by sender.
        tap: Called with the sender, the receiver and the payload before each send; the
            payload is dropped if this returns false.
    """

    def __init__(
        self,
        rng: random.Random,
        delay: float = DEFAULT_DELAY_SECONDS,
        pair_delay: Callable[[LinkAddress, LinkAddress], float] | None = None,
        loss: float = 0.0,
        duplicate: float = 0.0,
        reorder: float = 0.0,
    ):
        self.rng = rng
        self.delay = delay
        self.pair_delay = pair_delay
        self.loss = loss
        self.duplicate = duplicate
        self.reorder = reorder
        self.sent: dict[Pair, Traffic] = defaultdict(Traffic)
        self.links: dict[LinkAddress, MemoryLink] = {}
        self.bottlenecks: dict[LinkAddress, tuple[Bottleneck, Bottleneck]] = {}
        self.cut_pairs: set[Pair] = set()
        self.cut_addresses: set[LinkAddress] = set()
        self.frozen: set[LinkAddress] = set()
        self.held: dict[LinkAddress, list[tuple[LinkAddress, bytes]]] = defaultdict(
            list
        )
        self.tap: Callable[[LinkAddress, LinkAddress, bytes], bool] | None = None
        self.last_due: dict[Pair, float] = {}
        self.numbers = itertools.count()

    def link(self, address: LinkAddress) -> "MemoryLink":
        """Return a new link, which receives while its ``run`` is running."""
        return MemoryLink(self, address)

    def cut(self, sender: LinkAddress, receiver: LinkAddress) -> None:
        """Drop what one address sends to another; the other direction still works."""
        self.cut_pairs.add((sender, receiver))

    def heal(self, sender: LinkAddress, receiver: LinkAddress) -> None:
        """Undo ``cut``."""
        self.cut_pairs.discard((sender, receiver))

    def cut_all(self, address: LinkAddress) -> None:
        """Drop everything sent by or to an address."""
        self.cut_addresses.add(address)

    def heal_all(self, address: LinkAddress) -> None:
        """Undo ``cut_all``, and each ``cut`` to or from the address."""
        self.cut_addresses.discard(address)
        self.cut_pairs = {pair for pair in self.cut_pairs if address not in pair}

    def freeze(self, address: LinkAddress) -> None:
        """Hold back what arrives at an address and what it sends from now on."""
        self.frozen.add(address)

    def thaw(self, address: LinkAddress) -> None:
        """Undo ``freeze``: deliver and send the held payloads, in order."""
        self.frozen.discard(address)
        for receiver, payload in self.held.pop(address, []):
            self._send(address, receiver, payload)
        if address in self.links:
            self.links[address].inbox_changed.unpark_all()

    def drop_held(self, address: LinkAddress) -> None:
        """Drop what a frozen address has sent, as if its process had died."""
        self.held.pop(address, None)

    def carry(self, sender: LinkAddress, receiver: LinkAddress, payload: bytes) -> None:
        """Send a payload, hold it if the sender is frozen, or drop it."""
        if self.tap is not None and not self.tap(sender, receiver, payload):
            return
        if sender in self.frozen:
            self.held[sender].append((receiver, payload))
            return
        self._send(sender, receiver, payload)

    def _send(self, sender: LinkAddress, receiver: LinkAddress, payload: bytes) -> None:
        traffic = self.sent[sender, receiver]
        traffic.payloads += 1
        traffic.bytes += len(payload)
        link = self.links.get(receiver)
        if link is None or self._is_lost(sender, receiver):
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            due = self._arrival_time(sender, receiver, len(payload))
            if due is not None:
                link.deliver(Delivery(due, next(self.numbers), payload))

    def _arrival_time(
        self, sender: LinkAddress, receiver: LinkAddress, size: int
    ) -> float | None:
        """Return when a payload arrives, or ``None`` if a bottleneck drops it."""
        due = self._arrival_after_delay(sender, receiver)
        if sender in self.bottlenecks:
            out, _ = self.bottlenecks[sender]
            passed = out.enqueue(size, trio.current_time())
            if passed is None:
                return None
            due += passed - trio.current_time()
        if receiver in self.bottlenecks:
            _, into = self.bottlenecks[receiver]
            return into.enqueue(size, due)
        return due

    def _is_lost(self, sender: LinkAddress, receiver: LinkAddress) -> bool:
        if (sender, receiver) in self.cut_pairs:
            return True
        if sender in self.cut_addresses or receiver in self.cut_addresses:
            return True
        return self.rng.random() < self.loss

    def _arrival_after_delay(self, sender: LinkAddress, receiver: LinkAddress) -> float:
        delay = self.delay
        if self.pair_delay is not None:
            delay = self.pair_delay(sender, receiver)
        due = trio.current_time() + delay
        if self.reorder > 0:
            return due + self.rng.uniform(0, self.reorder)
        due = max(due, self.last_due.get((sender, receiver), due))
        self.last_due[sender, receiver] = due
        return due


class MemoryLink:
    """A ``Link`` over a ``MemoryNetwork``.

    Attributes:
        address: Address on which this process receives.
    """

    def __init__(self, network: MemoryNetwork, address: LinkAddress):
        self.network = network
        self.address = address
        self.opened = trio.Event()
        self.inbox: list[Delivery] = []
        self.inbox_changed = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Open the link and serve it until cancelled."""
        # A link that is already cancelled must not replace its successor.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.network.links[self.address] = self
        self.opened.set()
        try:
            await trio.sleep_forever()
        finally:
            self._close()

    async def wait_open(self) -> None:
        """Return once the link receives."""
        await self.opened.wait()

    async def send(self, peer: LinkAddress, payload: bytes) -> Result[None, StepError]:
        """Pass a payload to the network, which accepts any but may drop it."""
        await trio.lowlevel.checkpoint()
        self.network.carry(self.address, peer, payload)
        return Ok(None)

    async def receive(self) -> bytes:
        """Return the next payload received from any peer."""
        await trio.lowlevel.checkpoint()
        await self.wait_ready()
        return self.pop()

    async def wait_ready(self) -> None:
        """Wait until a payload has arrived."""
        while not self._is_ready():
            with trio.move_on_at(self._next_due()):
                await self.inbox_changed.park()

    def pop(self) -> bytes:
        """Remove and return the payload that has arrived first."""
        return heapq.heappop(self.inbox).payload

    def backlog_seconds(self) -> float:
        """Return 0: receiving takes no time."""
        return 0.0

    def forget(self, peer: LinkAddress) -> None:
        """Do nothing: no resources are held for a peer."""

    def deliver(self, delivery: Delivery) -> None:
        """Add a payload to the inbox, to be received at its arrival time."""
        heapq.heappush(self.inbox, delivery)
        self.inbox_changed.unpark_all()

    def _is_ready(self) -> bool:
        return self._next_due() <= trio.current_time()

    def _next_due(self) -> float:
        if not self.inbox or self.address in self.network.frozen:
            return float("inf")
        return self.inbox[0].due

    def _close(self) -> None:
        self.inbox.clear()
        if self.network.links.get(self.address) is self:
            del self.network.links[self.address]
