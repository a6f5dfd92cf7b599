"""Callers of real entries behind a small balancer, in memory on a virtual clock."""

import random
import re
import zlib
from types import SimpleNamespace

import pytest
import trio
from trio.testing import memory_stream_pair

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.daemons.job_entry import JobEntry
from bergamotcourse.ids import LinkAddress, ZoneName
from bergamotcourse.platform.entry_machine import EntryMachine
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.state.node_settings import Endpoint, NodeSettings
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.pause import Pause, VirtualTimers

GET = b"GET /unknown HTTP/1.1\r\nhost: a\r\n\r\n"
THINK_SECONDS = 0.5
AT_MOST_EVERY_SECONDS = 5.0
"""Callers of an entry are rebalanced at most that often."""

SETTLED_SECONDS = 15.0
"""Time after the last start within which callers are dealt out again: 1.5 s until the
balancer knows the entry, twice ``AT_MOST_EVERY_SECONDS``, for the entry and for the
connection, 2 s of spreading, and requests and greetings in between."""


class Process:
    """An entry process with real parts; only agents and TCP are left out."""

    def __init__(self, world, name, zone, cores):
        self.world = world
        self.pause = Pause()
        self.scope = trio.CancelScope()
        rng = random.Random(world.rng.random())
        self.address = LinkAddress(f"tcp://{name}")
        mailer = Mailer(world.network.link(self.address), rng=rng)
        log = EventLog(
            lambda kind, fields: world.events.append(
                (trio.current_time(), name, kind, fields)
            )
        )
        where = Endpoint("127.0.0.1", 0)
        settings = NodeSettings(
            name, ZoneName(zone), where, where, where, None, (), where, "", 6.0, cores
        )
        self.node = SimpleNamespace(
            settings=settings,
            platform=EntryMachine(),
            policy=world.policy,
            rng=rng,
            timers=VirtualTimers(rng, self.pause),
            boot=1,
            log=log,
            mailer=mailer,
            address=self.address,
            store=None,
            metrics=SimpleNamespace(),
        )
        self.entry = JobEntry(self.node)
        self.entry.service.processor.process_cpu_seconds = lambda: 0.0
        self.entry.queues.adopt(b'{"version": 1, "routes": []}', "test")
        self.entry.links.reachable_agents = lambda: ["agent"]
        self.entry.peers.agents = lambda: [LinkAddress("tcp://agent")]
        self.entry.peers.learn(world.addresses, from_settings=True)

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.node.mailer.run)
                nursery.start_soon(self.node.timers.run)
                nursery.start_soon(self.entry.peers.run)
                await trio.sleep_forever()

    def runs(self):
        return not self.scope.cancel_called and not self.pause.frozen


class World:
    """Entries, a balancer that deals by hash among the ready ones, and callers.

    Attributes:
        ready: Names of the entries that the balancer uses.
        placed: By caller, the name of the entry that it is connected to.
        closings: By caller, when an entry closed its connection with a response.
    """

    def __init__(self, nursery, zones, cores, policy):
        self.nursery = nursery
        self.rng = random.Random(5)
        self.network = MemoryNetwork(random.Random(6), 0.001)
        self.zones, self.cores, self.policy = zones, cores, policy
        self.addresses = [LinkAddress(f"tcp://{name}") for name in zones]
        self.events = []
        self.entries = {}
        self.misses = {}
        self.ready = set()
        self.placed = {}
        self.closings = {}

    def start_entry(self, name):
        self.entries[name] = Process(self, name, self.zones[name], self.cores)
        self.nursery.start_soon(self.entries[name].run)

    def kill(self, name):
        self.entries[name].scope.cancel()

    async def restart(self, name, down_seconds):
        self.kill(name)
        await trio.sleep(down_seconds)
        self.start_entry(name)

    async def check_entries(self):
        while True:
            for name, process in self.entries.items():
                if process.runs() and process.entry.answer_check():
                    self.misses[name] = 0
                    self.ready.add(name)
                else:
                    self.misses[name] = self.misses.get(name, 0) + 1
                    if self.misses[name] >= 2:
                        self.ready.discard(name)
            await trio.sleep(1.0)

    def deal(self, caller, zone):
        names = sorted(name for name in self.ready if self.zones[name] == zone)
        names = names or sorted(self.ready)
        return names[zlib.crc32(caller.encode()) % len(names)] if names else None

    async def call(self, caller, zone):
        """Request again and again on a connection, as a caller."""
        while True:
            name = self.deal(caller, zone)
            if name and self.entries[name].runs():
                self.placed[caller] = name
                await self._use_connection(caller, self.entries[name])
            await trio.sleep(0.1)

    async def _use_connection(self, caller, process):
        client, server = memory_stream_pair()
        process.entry.server.start_connection(server, caller, process.nursery)
        async with client:
            try:
                while True:
                    await client.send_all(GET)
                    head = b""
                    while b"\r\n\r\n" not in head:
                        part = await client.receive_some()
                        if not part:
                            return
                        head += part
                    if b"connection: close" in head.lower():
                        self.closings[caller].append(trio.current_time())
                        return
                    length = int(re.search(rb"content-length: (\d+)", head)[1])
                    while len(head.partition(b"\r\n\r\n")[2]) < length:
                        head += await client.receive_some()
                    await trio.sleep(THINK_SECONDS)
            except trio.BrokenResourceError:
                return

    def misplaced(self):
        """Return how many callers the balancer would send to another entry now."""
        return sum(
            name != self.deal(caller, caller.partition("/")[0])
            for caller, name in self.placed.items()
        )

    def kinds(self, since=0.0):
        return [kind for at, _, kind, _ in self.events if at >= since]


def run_world(scenario, zones, cores=0.5, policy=None, callers=60):
    """Run a scenario 20 s after the start of entries, which are given by zone."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, zones, cores, policy or JobPolicy())
            await trio.sleep(1.0)
            for name in zones:
                world.start_entry(name)
            nursery.start_soon(world.check_entries)
            await trio.sleep(3.0)
            names = sorted(set(zones.values()))
            for number in range(callers):
                zone = names[number % len(names)]
                caller = f"{zone}/{number}"
                world.closings[caller] = []
                nursery.start_soon(world.call, caller, zone)
            await trio.sleep(17.0)
            assert world.misplaced() == 0
            await scenario(world)
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)


def entries_in(**counts):
    return {f"{zone}-{n}": zone for zone, count in counts.items() for n in range(count)}


class TestRestart:
    """Callers stayed with the entries that had taken them over."""

    @pytest.mark.parametrize("cores", [0.5, 0.0, 1.0])
    def test_callers_are_dealt_out_again_by_small_entries(self, cores):
        async def scenario(world):
            await world.restart("north-1", 4.0)
            await trio.sleep(SETTLED_SECONDS)
            affected = [c for c in world.placed if world.deal(c, "north") == "north-1"]
            placed = [c for c, name in world.placed.items() if name == "north-1"]
            if cores == 0.5:
                assert sorted(placed) == sorted(affected)
                assert world.misplaced() == 0
            else:
                assert placed == []
                assert "callers.rebalanced" not in world.kinds()

        run_world(scenario, entries_in(north=3), cores)

    def test_switch_turns_it_off(self):
        async def scenario(world):
            await world.restart("north-1", 4.0)
            await trio.sleep(SETTLED_SECONDS)
            assert "north-1" not in world.placed.values()

        policy = JobPolicy.without(["balances_callers"])
        run_world(scenario, entries_in(north=3), policy=policy)

    def test_only_entry_of_zone_gets_its_callers_back(self):
        async def scenario(world):
            await world.restart("south-0", 4.0)
            await trio.sleep(SETTLED_SECONDS)
            assert world.misplaced() == 0
            assert "south-0" in world.placed.values()

        run_world(scenario, entries_in(north=2, south=1))

    @pytest.mark.parametrize("down", [0.8, 2.5])
    def test_restarts_in_turn_end_in_balance_without_flapping(self, down):
        async def scenario(world):
            world.closings = {caller: [] for caller in world.closings}
            for name in world.zones:
                world.nursery.start_soon(world.restart, name, down)
                await trio.sleep(2.0)
            await trio.sleep(SETTLED_SECONDS)
            assert world.misplaced() == 0
            for times in world.closings.values():
                gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
                assert min(gaps, default=9.0) >= AT_MOST_EVERY_SECONDS
            still = trio.current_time()
            await trio.sleep(SETTLED_SECONDS)
            assert "callers.rebalanced" not in world.kinds(still)

        run_world(scenario, entries_in(north=7, south=3))


class TestFaults:
    def test_peer_that_flaps_gets_no_callers_of_others(self):
        async def scenario(world):
            since = trio.current_time()
            for _ in range(6):
                await world.restart("north-1", 3.0)
                await trio.sleep(4.0)
            rebalanced = world.kinds(since).count("callers.rebalanced")
            assert rebalanced <= 2  # by the two others, after the first restart
            await trio.sleep(SETTLED_SECONDS)
            assert world.misplaced() == 0

        run_world(scenario, entries_in(north=3))

    def test_entry_paused_for_a_second_changes_nothing(self):
        async def scenario(world):
            since = trio.current_time()
            process = world.entries["north-1"]
            process.pause.freeze()
            world.network.freeze(process.address)
            await trio.sleep(1.0)
            world.network.thaw(process.address)
            process.pause.thaw()
            await trio.sleep(SETTLED_SECONDS)
            kinds = world.kinds(since)
            assert "callers.rebalanced" not in kinds
            assert "entry.sheds_callers" not in kinds

        run_world(scenario, entries_in(north=3))

    def test_lost_greetings_close_nothing(self):
        async def scenario(world):
            since = trio.current_time()
            world.network.loss = 0.8
            await trio.sleep(40.0)
            world.network.loss = 0.0
            await trio.sleep(SETTLED_SECONDS)
            assert "callers.rebalanced" not in world.kinds(since)

        run_world(scenario, entries_in(north=3, south=2))


class ShortProcessor:
    """Tells that jobs have been rejected since its creation."""

    def __init__(self):
        self.shedding_since = trio.current_time()
        self.lag = 0.3

    @property
    def last_shed_at(self):
        return trio.current_time()


class TestShortage:
    """An entry short of processor time kept its callers."""

    def shorten(self, world, *names):
        for name in names:
            world.entries[name].entry.balancing.processor = ShortProcessor()

    def test_callers_move_to_entries_that_are_not_short(self):
        async def scenario(world):
            since = trio.current_time()
            before = list(world.placed.values()).count("north-1")
            self.shorten(world, "north-1")
            unready = 0
            for _ in range(600):
                await trio.sleep(0.1)
                unready += world.entries["north-1"].entry.balancing.drain.is_unready(
                    trio.current_time()
                )
            assert list(world.placed.values()).count("north-1") < before
            # Sampled ten times a second: one sample more for each of three drains.
            assert 0 < unready <= 600 / 10 + 3
            assert "entry.ready_again" in world.kinds()
            assert "callers.rebalanced" not in world.kinds(since)

        run_world(scenario, entries_in(north=3))

    @pytest.mark.parametrize(
        ("zones", "short"),
        [
            (entries_in(north=3), ["north-0", "north-1", "north-2"]),
            (entries_in(north=1, south=3), ["north-0"]),
        ],
        ids=["all are short", "one entry in the zone"],
    )
    def test_no_entry_drains_without_relief(self, zones, short):
        async def scenario(world):
            self.shorten(world, *short)
            await trio.sleep(30.0)
            assert "entry.sheds_callers" not in world.kinds()

        run_world(scenario, zones)

    def test_at_most_a_third_of_a_zone_is_unready(self):
        async def scenario(world):
            self.shorten(world, "north-0", "north-1", "north-2", "north-3")
            most = 0
            for _ in range(300):
                await trio.sleep(0.1)
                now = trio.current_time()
                drains = [one.entry.balancing.drain for one in world.entries.values()]
                most = max(most, sum(drain.is_unready(now) for drain in drains))
            assert 0 < most <= 2

        run_world(scenario, entries_in(north=6))

    def test_stop_takes_precedence_over_drain(self):
        async def scenario(world):
            self.shorten(world, "north-1")
            await trio.sleep(1.5)
            entry = world.entries["north-1"].entry
            assert entry.is_ready()
            assert not entry.answer_check()
            entry.stopping = entry.balancing.stopping = True
            entry.server.close_after_next_responses()
            await trio.sleep(4.0)
            assert not entry.answer_check()
            assert all(one.close_after_response for one in entry.server.connections)

        run_world(scenario, entries_in(north=3))
