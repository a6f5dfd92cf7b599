"""Faults from outside, in series that overlap, drawn from a seed."""

import random
import signal
from contextlib import asynccontextmanager

import trio

from bergamotcourse.standins.order_upstream import Behaviour
from bergamotcourse.tests.platform.cluster import Node, make_route
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.proxy import Direction, Proxy
from bergamotcourse.tests.platform.soak.records import (
    USUAL,
    Evacuation,
    Harm,
    Records,
    StoreOutage,
    Variant,
)
from bergamotcourse.tests.platform.soak.verdict import LEAVING_SECONDS

SERIES = 3
"""Faults that may be under way at once."""

RESTARTS = 5
"""Times as often, where workers keep their ids: a life is mistaken for the one before
only once that has counted up."""

PAUSE_SECONDS = (0.05, 1.0)
SECONDS = (0.05, 2.5)
EVACUATED_FOR = (0.5, 9.0)
DELAY_SECONDS = (0.01, 0.4)
DRIFT = (0.98, 1.02)
STOP_SECONDS = 8.0
"""After which a process that was told to stop is killed, as the platform does."""

AFTERMATH_SECONDS = 5.0
"""For how long after a fault its effects may show at callers."""


class Faults:
    """Throws faults at a cluster.

    Attributes:
        busy: The processes that a series of faults holds.
    """

    def __init__(
        self,
        cluster: ProxiedCluster,
        records: Records,
        rng: random.Random,
        variant: Variant = USUAL,
    ):
        self.variant = variant
        self.cluster = cluster
        self.records = records
        self.rng = rng
        self.busy: set[str] = set()
        self.kinds = (
            self._kill,
            self._pause,
            self._stop,
            self._signal_in_series,
            self._disturb_proxy,
            self._disturb_proxy,
            self._disturb_store,
            self._disturb_worker,
            self._replace_worker,
            self._configure,
        )
        if variant.keeps_ids:
            self.kinds += (self._replace_worker,) * RESTARTS
        if variant.deafens:
            self.kinds += (self._deafen, self._configure)

    async def run(self, seconds: float) -> None:
        """Throw faults for so long, and return when all are over."""
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            if self.variant.evacuates:
                nursery.start_soon(self._evacuate_in_turn, ends_at)
            for _ in range(SERIES):
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(self._throw, ends_at, rng)

    async def _throw(self, ends_at: float, rng: random.Random) -> None:
        while trio.current_time() < ends_at:
            await trio.sleep(rng.uniform(*PAUSE_SECONDS))
            fault = rng.choice(self.kinds)
            self.records.count(fault.__name__.strip("_"))
            await fault(rng)

    @asynccontextmanager
    async def _hold(self, rng: random.Random):
        """Hold one process, and note the harm to callers if it is an entry."""
        free = sorted(set(self.cluster.nodes) - self.busy)
        if not free:
            yield None
            return
        node = self.cluster.nodes[rng.choice(free)]
        self.busy.add(node.name)
        try:
            yield node
        finally:
            self.busy.discard(node.name)

    @asynccontextmanager
    async def _harm(self, entry: str):
        begun_at = trio.current_time()
        try:
            yield
        finally:
            ended_at = trio.current_time() + AFTERMATH_SECONDS
            self.records.harms.append(Harm(entry, begun_at, ended_at))

    # Processes.

    async def _kill(self, rng: random.Random) -> None:
        async with self._hold(rng) as node:
            if node is not None:
                async with self._harm(node.name):
                    node.kill()
                    await self._restart(node, rng)

    async def _pause(self, rng: random.Random) -> None:
        async with self._hold(rng) as node:
            if node is not None:
                await self._pause_node(node, rng)

    async def _pause_node(self, node: Node, rng: random.Random) -> None:
        async with self._harm(node.name):
            node.send_signal(signal.SIGSTOP)
            await trio.sleep(rng.uniform(*SECONDS))
            node.send_signal(signal.SIGCONT)

    async def _stop(self, rng: random.Random) -> None:
        async with self._hold(rng) as node:
            if node is not None:
                node.send_signal(signal.SIGTERM)
                await self._see_stopped(node)
                await self._restart(node, rng)

    async def _signal_in_series(self, rng: random.Random) -> None:
        """Signals that overlap: a stop while it reloads, is paused, is killed."""
        async with self._hold(rng) as node:
            if node is None:
                return
            for _ in range(rng.randint(2, 5)):
                match rng.randrange(4):
                    case 0:
                        node.send_signal(signal.SIGTERM)
                    case 1 | 2:
                        node.send_signal(signal.SIGHUP)
                    case 3:
                        await self._pause_node(node, rng)
                await trio.sleep(rng.uniform(0.0, 0.7))
            if rng.random() < 0.3:
                async with self._harm(node.name):
                    node.kill()
            else:
                node.send_signal(signal.SIGTERM)
            await self._see_stopped(node)
            await self._restart(node, rng)

    async def _see_stopped(self, node: Node) -> None:
        with trio.move_on_after(STOP_SECONDS):
            await node.wait_until_ended()
            return
        self.records.count("killed as it did not stop")
        node.kill()

    async def _restart(self, node: Node, rng: random.Random) -> None:
        await trio.sleep(rng.uniform(0.0, 1.0))
        self.cluster.start_process(node)

    # Connections.

    async def _disturb_proxy(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self.cluster.proxies))
        proxy = self.cluster.proxies[name]
        async with self._harm(name.removeprefix("front of ")):
            await self._disturb(proxy, rng)
            proxy.heal()

    async def _disturb(self, proxy: Proxy, rng: random.Random) -> None:
        match rng.randrange(5):
            case 0:
                proxy.delay = rng.uniform(*DELAY_SECONDS)
            case 1:
                proxy.silence(Direction.TO_SERVER)
            case 2:
                proxy.silence(Direction.TO_CLIENT)
            case 3:
                proxy.silence(*Direction)
            case 4:
                proxy.refusing = True
                proxy.reset()
        await trio.sleep(rng.uniform(*SECONDS))
        if rng.random() < 0.2:
            proxy.reset()

    async def _deafen(self, rng: random.Random) -> None:
        """Let all connections to the store and to workers go silent, without a sign."""
        for name, proxy in self.cluster.proxies.items():
            if name.startswith(("store of", "worker of")):
                proxy.deafen()
        await trio.sleep(rng.uniform(*SECONDS))

    async def _disturb_store(self, rng: random.Random) -> None:
        rows = self.cluster.rows
        rows.status = rng.choice((503, 429, 500))
        begun_at = trio.current_time()
        await trio.sleep(rng.uniform(*SECONDS))
        rows.status = 200
        self.records.outages.append(StoreOutage(begun_at, trio.current_time()))

    # Workers.

    async def _disturb_worker(self, rng: random.Random) -> None:
        upstream = rng.choice(sorted(self.cluster.workers.items()))[1].upstream
        upstream.behaviour = rng.choice(
            (
                Behaviour(slowness=rng.uniform(2.0, 8.0)),
                Behaviour(hangs=True),
                Behaviour(fails=True),
                Behaviour(unhealthy=True),
            )
        )
        await trio.sleep(rng.uniform(*SECONDS))
        upstream.behaviour = Behaviour()

    async def _replace_worker(self, rng: random.Random) -> None:
        """Let a worker drain or crash, and a new life come at its address."""
        worker = rng.choice(sorted(self.cluster.workers.items()))[1]
        if worker.upstream.draining:
            return
        worker.upstream.draining = True
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(*SECONDS))
            if self.variant.keeps_ids:
                # What it is given until then is not counted.
                await trio.sleep(LEAVING_SECONDS)
        former = worker.upstream
        former.crash()
        await trio.sleep(rng.uniform(*SECONDS))
        rate = rng.uniform(*DRIFT)
        again = former if self.variant.keeps_ids else None
        worker.begin_life(self.cluster.make_upstream(rate, again))
        self.cluster.nursery.start_soon(worker.upstream.run)

    # The configuration, and the zones.

    async def _evacuate_in_turn(self, ends_at: float) -> None:
        """Evacuate one zone after the other, some for longer than it may take."""
        rng = random.Random(self.rng.getrandbits(64))
        while trio.current_time() < ends_at:
            zone = rng.choice(self.cluster.zones)
            begun_at = trio.current_time()
            self.records.count("evacuate")
            self.cluster.evacuate(zone)
            await trio.sleep(rng.uniform(*EVACUATED_FOR))
            self.cluster.end_evacuation(zone)
            evacuation = Evacuation(zone, begun_at, trio.current_time())
            self.records.evacuations.append(evacuation)
            await trio.sleep(rng.uniform(*PAUSE_SECONDS))

    async def _configure(self, rng: random.Random) -> None:
        """Change the configuration several times in quick succession."""
        for _ in range(rng.randint(1, 4)):
            extra = make_route("r-2", f"/b{self.cluster.version}/")
            self.cluster.configure([make_route(), extra])
            await trio.sleep(rng.uniform(0.0, 0.5))
