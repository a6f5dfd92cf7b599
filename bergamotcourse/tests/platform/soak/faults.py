"""Faults injected from outside, in overlapping sequences drawn from a seed."""

import math
import random
import signal
from contextlib import AsyncExitStack, asynccontextmanager

import trio

from bergamotcourse.standins.order_upstream import Behaviour
from bergamotcourse.tests.platform.cluster import Node, make_route, send_request
from bergamotcourse.tests.platform.soak.odd_entries import OddEntries
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.proxy import Direction, Proxy
from bergamotcourse.tests.platform.soak.records import (
    DEFAULT_VARIANT,
    KIND_LABELS,
    RACK_LABEL,
    Absence,
    Disruption,
    Evacuation,
    Records,
    StoreOutage,
    Throttle,
    Variant,
)
from bergamotcourse.tests.platform.soak.verdict import MAX_LEAVING_DELAY_SECONDS
from bergamotcourse.tests.platform.standins import (
    REPORT_TIMEOUT_SECONDS,
    HttpWorker,
    report_request,
)

CONCURRENT_FAULTS = 3
"""Number of sequences of faults that run concurrently."""

EXTRA_REPLACEMENT_WEIGHT = 5
"""Additional weight of worker replacement where workers keep their ids. An incarnation
can be mistaken for its predecessor only once that has advanced its counters."""

EXTRA_VARIANT_WEIGHT = 5
"""Additional weight of the faults that a variant is about."""

FREEZE_SECONDS = (3.4, 4.6)
"""Around the time after which the job of a caller that left has started elsewhere."""

QUICK_RESTART_SECONDS = (0.0, 0.2)
"""Short enough for the next process to be ready before the lease of a worker lapses."""

SURVIVING_ENTRY_SHARE = 0.8
"""Share of the common kills of entries and agents that at least one entry survives."""

THROTTLE_SECONDS = (2.0, 4.0)
THROTTLE_PERIOD_SECONDS = 0.1
THROTTLED_SHARE = (0.03, 0.15)
"""Range of the share of the processor that a throttled entry gets in each period."""

DROPPED_FIELDS = (1, 4)
"""Range of the number of fields that an incomplete report lacks."""

FAULT_INTERVAL_SECONDS = (0.05, 1.0)
FAULT_SECONDS = (0.05, 2.5)
EVACUATION_SECONDS = (0.5, 9.0)
JOINT_EVACUATION_SECONDS = (5.5, 8.0)
"""Longer than the time after which nothing may start in an evacuated zone."""

LOST_STOPS_SECONDS = (1.0, 4.0)
LOST_STOPS_SHARE = (0.9, 1.0)
CALM_STOPS_SECONDS = (0.2, 1.5)
BOOT_SECONDS = (0.0, 0.1)
"""Time until a worker that changes its kind answers again."""

ODD_ENTRIES_SECONDS = (0.0, 0.3)
DELAYED_ORDERS_SECONDS = (0.5, 3.0)
DELAYED_ORDERS_SHARE = (0.5, 0.8)
DELAY_SECONDS = (0.01, 0.4)
NOTICE_SECONDS = (0.5, 3.0)
LEAVING_INTERVAL_SECONDS = (0.5, 3.0)
STAY_FACTORS = (0.3, 1.0, 1.0, 1.5)
"""Time that a leaving worker stays, relative to the time that it announces."""
CLOCK_RATES = (0.98, 1.02)
STOP_TIMEOUT_SECONDS = 8.0
"""Time after SIGTERM until a process is killed, as the platform does."""

AFTERMATH_SECONDS = 5.0
"""Time after the end of a fault during which callers may still see its effects."""


class Faults:
    """Injects faults into a cluster.

    Attributes:
        reserved: Names of the processes that a sequence of faults has reserved.
    """

    def __init__(
        self,
        cluster: ProxiedCluster,
        records: Records,
        rng: random.Random,
        variant: Variant = DEFAULT_VARIANT,
    ):
        self.variant = variant
        self.cluster = cluster
        self.records = records
        self.rng = rng
        self.reserved: set[str] = set()
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
            self.kinds += (self._replace_worker,) * EXTRA_REPLACEMENT_WEIGHT
        if variant.kills_together:
            self.kinds += (self._kill_together,) * EXTRA_VARIANT_WEIGHT
        if variant.freezes_entries:
            self.kinds += (self._freeze_entry,) * EXTRA_VARIANT_WEIGHT
        if variant.misreports:
            self.kinds += (self._misreport,) * EXTRA_VARIANT_WEIGHT
        if variant.throttles:
            self.kinds += (self._throttle_entry,) * EXTRA_VARIANT_WEIGHT
        if variant.changes_kinds:
            self.kinds += (self._change_kind,) * EXTRA_VARIANT_WEIGHT
        if variant.deafens:
            self.kinds += (self._deafen, self._configure)

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, and return when all have ended."""
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            if self.variant.evacuates:
                nursery.start_soon(self._evacuate_in_turn, ends_at)
            if self.variant.evacuates_together:
                nursery.start_soon(self._evacuate_together, ends_at)
            if self.variant.loses_stops:
                nursery.start_soon(self._lose_stops_in_turn, ends_at)
            if self.variant.odd_entries:
                nursery.start_soon(self._leave_odd_entries_in_turn, ends_at)
            if self.variant.delays_orders:
                nursery.start_soon(self._delay_orders_in_turn, ends_at)
            if self.variant.announces_leaving:
                nursery.start_soon(self._leave_in_turn, ends_at)
            for _ in range(CONCURRENT_FAULTS):
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(self._inject_in_sequence, ends_at, rng)

    async def _inject_in_sequence(self, ends_at: float, rng: random.Random) -> None:
        while trio.current_time() < ends_at:
            await trio.sleep(rng.uniform(*FAULT_INTERVAL_SECONDS))
            fault = rng.choice(self.kinds)
            self.records.count(fault.__name__.strip("_"))
            await fault(rng)

    def _free_processes(self) -> list[str]:
        return sorted(set(self.cluster.nodes) - self.reserved)

    @asynccontextmanager
    async def _reserve_process(self, rng: random.Random, role: str = ""):
        """Reserve a random free process of a role; yields None if there is none."""
        free = [name for name in self._free_processes() if name.startswith(role)]
        if not free:
            yield None
            return
        node = self.cluster.nodes[rng.choice(free)]
        self.reserved.add(node.name)
        try:
            yield node
        finally:
            self.reserved.discard(node.name)

    @asynccontextmanager
    async def _record_disruption(self, entry: str, holds_bytes: bool = False):
        """Record the time of a fault and its aftermath as a disruption of ``entry``."""
        begun_at = trio.current_time()
        try:
            yield
        finally:
            ended_at = trio.current_time() + AFTERMATH_SECONDS
            self.records.disruptions.append(
                Disruption(entry, begun_at, ended_at, holds_bytes)
            )

    @asynccontextmanager
    async def _record_absence(self, *nodes: Node, replaced: bool = True):
        """Record a time in which processes are paused, or end and are replaced."""
        begun_at = trio.current_time()
        try:
            yield
        finally:
            ended_at = trio.current_time()
            self.records.absences += [
                Absence(node.name, begun_at, ended_at, replaced) for node in nodes
            ]

    # Processes.

    async def _kill(self, rng: random.Random) -> None:
        async with self._reserve_process(rng) as node:
            if node is not None:
                async with (
                    self._record_disruption(node.name),
                    self._record_absence(node),
                ):
                    node.kill()
                    await self._restart(node, rng)

    async def _kill_together(self, rng: random.Random) -> None:
        """Kill entries and agents at once, several times in a row.

        Mostly an entry survives, for which the agents' next processes start work.
        """
        free = self._free_processes()
        entries = [name for name in free if name.startswith("entry")]
        agents = [name for name in free if name.startswith("agent")]
        if not entries or not agents:
            return
        most = (
            len(entries) - 1 if rng.random() < SURVIVING_ENTRY_SHARE else len(entries)
        )
        names = rng.sample(entries, rng.randint(1, max(1, most)))
        names += rng.sample(agents, rng.randint(1, len(agents)))
        self.reserved.update(names)
        try:
            for _ in range(rng.randint(1, 3)):
                await self._kill_and_restart_all(names, rng)
                await trio.sleep(rng.uniform(*FAULT_SECONDS))
        finally:
            self.reserved.difference_update(names)

    async def _kill_and_restart_all(self, names: list[str], rng: random.Random) -> None:
        nodes = [self.cluster.nodes[name] for name in names]
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._record_absence(*nodes))
            for node in nodes:
                await stack.enter_async_context(self._record_disruption(node.name))
                node.process.kill()
            for node in nodes:
                node.process.wait()
            await trio.sleep(rng.uniform(*QUICK_RESTART_SECONDS))
            for node in nodes:
                self.cluster.start_process(node)

    async def _freeze_entry(self, rng: random.Random) -> None:
        """Pause an entry until its callers have submitted their jobs elsewhere."""
        async with self._reserve_process(rng, "entry") as node:
            if node is not None:
                await self._pause_node(node, rng, FREEZE_SECONDS)

    async def _throttle_entry(self, rng: random.Random) -> None:
        """Let an entry run for only a share of each period."""
        async with self._reserve_process(rng, "entry") as node:
            if node is None:
                return
            share = rng.uniform(*THROTTLED_SHARE)
            begun_at = trio.current_time()
            ends_at = begun_at + rng.uniform(*THROTTLE_SECONDS)
            async with (
                self._record_disruption(node.name),
                self._record_absence(node, replaced=False),
            ):
                while trio.current_time() < ends_at:
                    node.send_signal(signal.SIGSTOP)
                    await trio.sleep((1 - share) * THROTTLE_PERIOD_SECONDS)
                    node.send_signal(signal.SIGCONT)
                    await trio.sleep(share * THROTTLE_PERIOD_SECONDS)
            throttle = Throttle(node.name, begun_at, trio.current_time())
            self.records.throttles.append(throttle)

    async def _pause(self, rng: random.Random) -> None:
        async with self._reserve_process(rng) as node:
            if node is not None:
                await self._pause_node(node, rng, FAULT_SECONDS)

    async def _pause_node(
        self, node: Node, rng: random.Random, seconds: tuple[float, float]
    ) -> None:
        async with self._freeze(node):
            await trio.sleep(rng.uniform(*seconds))

    @asynccontextmanager
    async def _freeze(self, node: Node):
        """Keep a process paused meanwhile."""
        async with (
            self._record_disruption(node.name),
            self._record_absence(node, replaced=False),
        ):
            node.send_signal(signal.SIGSTOP)
            try:
                yield
            finally:
                node.send_signal(signal.SIGCONT)

    async def _stop(self, rng: random.Random) -> None:
        async with self._reserve_process(rng) as node:
            if node is not None:
                async with self._record_absence(node):
                    node.send_signal(signal.SIGTERM)
                    await self._wait_for_stop_or_kill(node)
                    await self._restart(node, rng)

    async def _signal_in_series(self, rng: random.Random) -> None:
        """Send overlapping signals: a stop during a reload, a pause or a kill."""
        async with self._reserve_process(rng) as node:
            if node is None:
                return
            stopped_at = math.inf
            for _ in range(rng.randint(2, 5)):
                match rng.randrange(4):
                    case 0:
                        stopped_at = min(stopped_at, trio.current_time())
                        node.send_signal(signal.SIGTERM)
                    case 1 | 2:
                        node.send_signal(signal.SIGHUP)
                    case 3:
                        await self._pause_node(node, rng, FAULT_SECONDS)
                await trio.sleep(rng.uniform(0.0, 0.7))
            stopped_at = min(stopped_at, trio.current_time())
            if rng.random() < 0.3:
                async with self._record_disruption(node.name):
                    node.kill()
            else:
                node.send_signal(signal.SIGTERM)
            await self._wait_for_stop_or_kill(node)
            await self._restart(node, rng)
            started_at = trio.current_time()
            self.records.absences.append(
                Absence(node.name, stopped_at, started_at, replaced=True)
            )

    async def _wait_for_stop_or_kill(self, node: Node) -> None:
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
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
        entry = name.removeprefix("front of ")
        async with self._record_disruption(entry, holds_bytes=True):
            await self._disturb(proxy, rng)
            proxy.clear_faults()

    async def _disturb(self, proxy: Proxy, rng: random.Random) -> None:
        match rng.randrange(5):
            case 0:
                proxy.delay = rng.uniform(*DELAY_SECONDS)
            case 1:
                proxy.hold(Direction.TO_SERVER)
            case 2:
                proxy.hold(Direction.TO_CLIENT)
            case 3:
                proxy.hold(*Direction)
            case 4:
                proxy.refusing = True
                proxy.reset()
        await trio.sleep(rng.uniform(*FAULT_SECONDS))
        if rng.random() < 0.2:
            proxy.reset()

    async def _deafen(self, rng: random.Random) -> None:
        """Black-hole all open connections to the store and to workers."""
        for name, proxy in self.cluster.proxies.items():
            if name.startswith(("store of", "worker of")):
                proxy.deafen()
        await trio.sleep(rng.uniform(*FAULT_SECONDS))

    async def _disturb_store(self, rng: random.Random) -> None:
        rows = self.cluster.rows
        rows.status = rng.choice((503, 429, 500))
        begun_at = trio.current_time()
        await trio.sleep(rng.uniform(*FAULT_SECONDS))
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
        await trio.sleep(rng.uniform(*FAULT_SECONDS))
        upstream.behaviour = Behaviour()

    async def _delay_orders_in_turn(self, ends_at: float) -> None:
        """Leave random shares of the orders of all workers unanswered in turn."""
        rng = random.Random(self.rng.getrandbits(64))
        while trio.current_time() < ends_at:
            self.records.count("delay_orders")
            self._leave_unanswered(rng.uniform(*DELAYED_ORDERS_SHARE))
            await trio.sleep(rng.uniform(*DELAYED_ORDERS_SECONDS))
        self._leave_unanswered(0.0)

    def _leave_unanswered(self, share: float) -> None:
        for worker in self.cluster.workers.values():
            worker.upstream.behaviour.unanswered = share

    async def _lose_stops_in_turn(self, ends_at: float) -> None:
        """Leave most stop orders of all workers unanswered in turn."""
        rng = random.Random(self.rng.getrandbits(64))
        while trio.current_time() < ends_at:
            self.records.count("lose_stops")
            share = rng.uniform(*LOST_STOPS_SHARE)
            for worker in self.cluster.workers.values():
                worker.upstream.behaviour.unanswered_stops = share
            await trio.sleep(rng.uniform(*LOST_STOPS_SECONDS))
            for worker in self.cluster.workers.values():
                worker.upstream.behaviour.unanswered_stops = 0.0
            await trio.sleep(rng.uniform(*CALM_STOPS_SECONDS))

    async def _change_kind(self, rng: random.Random) -> None:
        """Crash workers; the next boots answer soon, with another label.

        In half of the cases an entry is frozen meanwhile.
        """
        async with AsyncExitStack() as stack:
            if rng.random() < 0.5:
                node = await stack.enter_async_context(
                    self._reserve_process(rng, "entry")
                )
                if node is not None:
                    await stack.enter_async_context(self._freeze(node))
            for worker in self._some_workers(rng):
                worker.upstream.crash()
                await trio.sleep(rng.uniform(*BOOT_SECONDS))
                label = rng.choice(KIND_LABELS)
                upstream = self.cluster.make_upstream(labels=(label, RACK_LABEL))
                worker.begin_life(upstream)
                self.cluster.nursery.start_soon(upstream.run)
                self.cluster.nursery.start_soon(worker.report_once)
            await trio.sleep(rng.uniform(*FAULT_INTERVAL_SECONDS))

    def _some_workers(self, rng: random.Random) -> list[HttpWorker]:
        """Return a few workers that do not leave, in a random order."""
        workers = [worker for _, worker in sorted(self.cluster.workers.items())]
        staying = [worker for worker in workers if not worker.upstream.draining]
        return rng.sample(staying, min(len(staying), rng.randint(1, 2)))

    async def _replace_worker(self, rng: random.Random) -> None:
        """Drain or crash a worker, and start a new incarnation at its address."""
        worker = rng.choice(sorted(self.cluster.workers.items()))[1]
        if worker.upstream.draining:
            return
        worker.upstream.draining = True
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(*FAULT_SECONDS))
            if self.variant.keeps_ids:
                # The verdict allows starts within this delay.
                await trio.sleep(MAX_LEAVING_DELAY_SECONDS)
        await self._begin_next_life(worker, rng)

    async def _leave_in_turn(self, ends_at: float) -> None:
        """Replace workers after a short notice, one after the other."""
        rng = random.Random(self.rng.getrandbits(64))
        while trio.current_time() < ends_at:
            await trio.sleep(rng.uniform(*LEAVING_INTERVAL_SECONDS))
            worker = rng.choice(sorted(self.cluster.workers.items()))[1]
            if worker.upstream.draining:
                continue
            self.records.count("announce_leaving")
            notice = rng.uniform(*NOTICE_SECONDS)
            worker.upstream.draining = True
            worker.upstream.leaves_at = trio.current_time() + notice
            await trio.sleep(notice * rng.choice(STAY_FACTORS))
            await self._begin_next_life(worker, rng)

    async def _begin_next_life(self, worker: HttpWorker, rng: random.Random) -> None:
        """Crash a worker, and start a new incarnation at its address."""
        former = worker.upstream
        former.crash()
        await trio.sleep(rng.uniform(*FAULT_SECONDS))
        rate = rng.uniform(*CLOCK_RATES)
        again = former if self.variant.keeps_ids else None
        if self.variant.misreports and rng.random() < 0.5:
            await self.cluster.move_worker(worker)
        worker.begin_life(self.cluster.make_upstream(rate, again))
        self.cluster.nursery.start_soon(worker.upstream.run)

    async def _misreport(self, rng: random.Random) -> None:
        """Send an agent a report that is late or incomplete."""
        name = rng.choice(sorted(self.cluster.workers))
        worker = self.cluster.workers[name]
        crashed = self.cluster.make_upstream()
        crashed.reports = rng.randint(0, 20)
        body = worker.report_body(crashed)
        sender = crashed.id
        if rng.random() < 0.5:
            body["address"] = f"{self.cluster.net}.200:8080"
        if rng.random() < 0.5:
            sender = rng.choice((sender, worker.upstream.id))
            for field in rng.sample(sorted(body), rng.randint(*DROPPED_FIELDS)):
                del body[field]
        control = self.cluster.nodes[name].addresses["control"]
        request = report_request(sender, body)
        await send_request(control, request, REPORT_TIMEOUT_SECONDS)

    async def _leave_odd_entries_in_turn(self, ends_at: float) -> None:
        """Let another program write rows, reports and requests of no use in turn."""
        rng = random.Random(self.rng.getrandbits(64))
        writer = OddEntries(self.cluster, self.records, rng)
        while trio.current_time() < ends_at:
            self.records.count("leave_odd_entries")
            await writer.leave_some()
            await trio.sleep(rng.uniform(*ODD_ENTRIES_SECONDS))

    # Configuration and zones.

    async def _evacuate_in_turn(self, ends_at: float) -> None:
        """Evacuate random zones in turn, some for longer than the allowed delay."""
        rng = random.Random(self.rng.getrandbits(64))
        while trio.current_time() < ends_at:
            zone = rng.choice(self.cluster.zones)
            begun_at = trio.current_time()
            self.records.count("evacuate")
            self.cluster.evacuate(zone)
            await trio.sleep(rng.uniform(*EVACUATION_SECONDS))
            self.cluster.end_evacuation(zone)
            evacuation = Evacuation(zone, begun_at, trio.current_time())
            self.records.evacuations.append(evacuation)
            await trio.sleep(rng.uniform(*FAULT_INTERVAL_SECONDS))

    async def _evacuate_together(self, ends_at: float) -> None:
        """Evacuate zones, and return others to service in the same transaction."""
        rng = random.Random(self.rng.getrandbits(64))
        zones = self.cluster.zones
        begun_at: dict[str, float] = {}
        while trio.current_time() < ends_at or begun_at:
            is_over = trio.current_time() >= ends_at
            wanted = set() if is_over else set(rng.sample(zones, rng.randint(1, 2)))
            ended = sorted(set(begun_at) - wanted)
            begun = sorted(wanted - set(begun_at))
            self.records.count("evacuate_together")
            self.cluster.change_evacuations(begun, ended)
            now = trio.current_time()
            for zone in ended:
                evacuation = Evacuation(zone, begun_at.pop(zone), now)
                self.records.evacuations.append(evacuation)
            begun_at |= dict.fromkeys(begun, now)
            if wanted:
                await trio.sleep(rng.uniform(*JOINT_EVACUATION_SECONDS))

    async def _configure(self, rng: random.Random) -> None:
        """Change the configuration several times in quick succession."""
        for _ in range(rng.randint(1, 4)):
            extra = make_route("r-2", f"/b{self.cluster.version}/")
            self.cluster.configure([make_route(), extra])
            await trio.sleep(rng.uniform(0.0, 0.5))
