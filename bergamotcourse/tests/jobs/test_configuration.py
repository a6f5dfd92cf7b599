"""Propagation of the configuration and evacuations from the store and from peers."""

import random

import msgspec
import pytest
import trio
from expression import Error, Ok

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.caller_balance import PEER_KNOWN_SECONDS
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.peers import Peers
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.jobs.store_watch import ConfigFeed
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion, LinkAddress, ZoneName
from bergamotcourse.protocol.job_store import ConfigRead, HistoryGoneError
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.state.evacuations import Evacuations, ZoneChange
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual

IN_FORCE_SECONDS = 2.0
"""Time within which a configuration must be in force at all entries."""


def content(version):
    return msgspec.json.encode(version)


def decode(raw):
    return QueueTable(ConfigVersion(msgspec.json.decode(raw, type=int)), ())


def make_queues():
    return QueuesInForce(decode, EventLog())


def make_zones():
    return EvacuatedZones(EventLog())


def evacuation(version, *zones):
    return Evacuations(version, tuple(ZoneName(zone) for zone in zones))


class FakeStore:
    """A store with one configuration, and zones that may be evacuated.

    Attributes:
        zones: The last change of each zone.
        error: Error of all calls; ``None`` lets them succeed.
        waits: Whether a call for changes is a long poll.
    """

    def __init__(self):
        self.version = 0
        self.position = 0
        self.zones = {}
        self.error = None
        self.waits = True
        self.calls = 0

    def put(self, version):
        self.version = version
        self.position += 1

    def evacuate(self, *zones, evacuated=True):
        """Begin or end the evacuation of zones in one transaction."""
        self.position += 1
        for zone in zones:
            self.zones[zone] = ZoneChange(ZoneName(zone), evacuated, self.position)

    def changes(self, after):
        found = (one for one in self.zones.values() if one.version > after)
        return tuple(sorted(found, key=lambda change: change.version))

    async def read_config(self, timeout):
        self.calls += 1
        if self.error:
            await trio.sleep(0.01)
            return Error(self.error)
        found = content(self.version) if self.version else None
        standing = tuple(one for one in self.zones.values() if one.evacuated)
        return Ok(ConfigRead(self.position, found, standing, is_snapshot=True))

    async def wait_for_config_changes(self, after, wait, timeout):
        self.calls += 1
        if not self.waits and self.position == after:
            return Ok(ConfigRead(self.position, None))
        for _ in range(int(wait / 0.01)):
            if self.error:
                return Error(self.error)
            if self.position > after:
                return Ok(
                    ConfigRead(
                        self.position, content(self.version), self.changes(after)
                    )
                )
            await trio.sleep(0.01)
        return Ok(ConfigRead(self.position, None))


class TestQueuesInForce:
    def test_older_or_equal_version_is_ignored(self):
        queues = make_queues()
        assert queues.adopt(content(7), "store")
        assert not queues.adopt(content(7), "peer")
        assert not queues.adopt(content(4), "peer")
        assert queues.version == 7

    def test_malformed_configuration_is_ignored(self):
        queues = make_queues()
        queues.adopt(content(7), "store")
        assert not queues.adopt(b"{", "peer")
        assert queues.version == 7


def run_feed(scenario, zones=None):
    """Run a scenario with a fake store and the queues that a feed updates from it."""

    async def main():
        store, queues = FakeStore(), make_queues()
        feed = ConfigFeed(
            store, queues, zones or make_zones(), random.Random(1), EventLog()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await scenario(store, queues)
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)


class TestConfigFeed:
    def test_first_version_and_each_change_take_effect_promptly(self):
        async def scenario(store, queues):
            await trio.sleep(1.0)
            for version in (3, 8, 9):
                store.put(version)
                await trio.sleep(0.3)
                assert queues.version == version

        run_feed(scenario)

    @pytest.mark.parametrize(
        ("error", "seconds", "version"),
        [
            (StepError(Step.STORE, "store", "status 503"), 5.0, 4),
            (HistoryGoneError(Step.STORE, "store", "history is gone"), 0.2, 5),
        ],
        ids=["status 503", "history gone"],
    )
    def test_feed_resumes_after_store_failure(self, error, seconds, version):
        async def scenario(store, queues):
            store.put(3)
            await trio.sleep(0.5)
            store.error = error
            await trio.sleep(seconds)
            store.put(version)
            store.error = None
            await trio.sleep(IN_FORCE_SECONDS)
            assert queues.version == version

        run_feed(scenario)

    def test_call_rate_is_bounded_while_store_refuses(self):
        async def scenario(store, queues):
            store.error = StepError(Step.STORE, "store", "status 429")
            await trio.sleep(10.0)
            assert store.calls <= 20

        run_feed(scenario)

    def test_call_rate_is_bounded_when_store_replies_immediately(self):
        async def scenario(store, queues):
            store.put(3)
            store.waits = False
            await trio.sleep(10.0)
            assert store.calls <= 210
            store.put(4)
            await trio.sleep(0.1)
            assert queues.version == 4

        run_feed(scenario)


class TestEvacuationFeed:
    """Zones are read with the configuration, and are subject to the same failures."""

    def test_each_zone_change_takes_effect_promptly(self):
        zones = make_zones()

        async def scenario(store, queues):
            store.put(3)
            store.evacuate("north")
            await trio.sleep(1.0)
            assert zones.latest.zones == ("north",)
            store.evacuate("south")
            await trio.sleep(0.3)
            assert zones.latest.zones == ("north", "south")
            store.evacuate("north", evacuated=False)
            await trio.sleep(0.3)
            assert zones.latest.zones == ("south",)

        run_feed(scenario, zones)

    def test_zones_that_change_in_one_transaction_all_change(self):
        """Guards against applying only the first of several changes at once."""
        zones = make_zones()

        async def scenario(store, queues):
            store.put(3)
            await trio.sleep(1.0)
            store.evacuate("north", "south", "west")
            await trio.sleep(0.3)
            assert zones.latest.zones == ("north", "south", "west")
            store.evacuate("north", "west", evacuated=False)
            await trio.sleep(0.3)
            assert zones.latest.zones == ("south",)

        run_feed(scenario, zones)

    def test_set_of_a_peer_of_an_earlier_release_is_corrected(self):
        """Guards against a wrong set that stays in force as its version is right."""
        zones = make_zones()

        async def scenario(store, queues):
            store.put(3)
            await trio.sleep(1.0)
            zones.adopt(evacuation(store.position + 1, "north"), "peer")
            store.evacuate("north", "south")
            await trio.sleep(0.3)
            assert zones.latest.zones == ("north", "south")
            store.evacuate("north", evacuated=False)
            await trio.sleep(0.3)
            assert zones.latest.zones == ("south",)

        run_feed(scenario, zones)

    @pytest.mark.parametrize("evacuated", [True, False])
    def test_zone_change_missing_from_history_is_read_from_snapshot(self, evacuated):
        zones = make_zones()

        async def scenario(store, queues):
            store.put(3)
            store.evacuate("north", evacuated=not evacuated)
            await trio.sleep(0.5)
            store.error = HistoryGoneError(Step.STORE, "store", "history is gone")
            await trio.sleep(0.2)
            store.evacuate("north", evacuated=evacuated)
            store.error = None
            await trio.sleep(IN_FORCE_SECONDS)
            assert zones.is_evacuated("north") is evacuated

        run_feed(scenario, zones)


class TestPeers:
    def run_peers(self, scenario, entries=3):
        numbers = range(1, entries + 1)

        async def main():
            network = MemoryNetwork(random.Random(1), 0.001)
            addresses = [LinkAddress(f"tcp://entry-{n}") for n in numbers]
            entries = []
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    mailer = Mailer(network.link(address), rng=random.Random(2))
                    queues = make_queues()
                    timers = Timers(random.Random(3))
                    rng = random.Random(len(entries))
                    log = EventLog()
                    peers = Peers(
                        address, mailer, timers, queues, make_zones(), log, rng
                    )
                    peers.zones.on_change = peers.announce_change
                    mailer.handler = peers.handle_message
                    peers.learn(addresses, from_settings=True)
                    nursery.start_soon(mailer.run)
                    nursery.start_soon(peers.run)
                    entries.append((peers, queues))
                await trio.sleep(0.1)
                await scenario(network, addresses, entries)
                nursery.cancel_scope.cancel()

        run_virtual(main, 1)

    def test_configuration_spreads_to_peers_without_store(self):
        async def scenario(network, addresses, entries):
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert [queues.version for _, queues in entries] == [5, 5, 5]

        self.run_peers(scenario)

    def test_configuration_spreads_to_34_peers_without_store(self):
        async def scenario(network, addresses, entries):
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert {queues.version for _, queues in entries} == {5}

        self.run_peers(scenario, entries=35)

    def test_evacuations_spread_to_34_peers_without_store(self):
        async def scenario(network, addresses, entries):
            entries[0][0].zones.adopt(evacuation(7, "north"), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert all(peers.zones.is_evacuated("north") for peers, _ in entries)
            entries[5][0].zones.adopt(evacuation(9), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert not any(peers.zones.is_evacuated("north") for peers, _ in entries)

        self.run_peers(scenario, entries=35)

    def test_each_of_34_peers_is_heard_while_it_counts_as_known(self):
        """Peers not drawn for a while were not counted among the entries of a zone."""

        async def scenario(network, addresses, entries):
            for peers, queues in entries:
                queues.adopt(content(5), "store")
                peers.agents = lambda: [LinkAddress("tcp://agent-1")]
            await trio.sleep(5.0)
            for _ in range(100):
                await trio.sleep(0.1)
                now = trio.current_time()
                heard = [p.greeted_at for e, _ in entries for p in e.peers.values()]
                assert min(heard) >= now - PEER_KNOWN_SECONDS

        self.run_peers(scenario, entries=35)

    def test_older_evacuations_from_peer_are_ignored(self):
        async def scenario(network, addresses, entries):
            entries[0][0].zones.adopt(evacuation(9), "store")
            entries[1][0].zones.adopt(evacuation(7, "north"), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert not any(peers.zones.is_evacuated("north") for peers, _ in entries)

        self.run_peers(scenario)

    def test_message_rate_of_35_entries_is_bounded(self):
        """Each entry greets six peers a round; it knows an agent and a version."""

        async def scenario(network, addresses, entries):
            for peers, queues in entries:
                queues.adopt(content(5), "store")
                peers.agents = lambda: [LinkAddress("tcp://agent-1")]
            await trio.sleep(2.0)
            before = sum(sent.payloads for sent in network.sent.values())
            await trio.sleep(10.0)
            sent = sum(sent.payloads for sent in network.sent.values()) - before
            assert sent / 10.0 / len(entries) <= 18

        self.run_peers(scenario, entries=35)

    def test_configuration_spreads_after_first_greeting_is_lost(self):
        async def scenario(network, addresses, entries):
            network.cut(addresses[0], addresses[1])
            network.cut(addresses[0], addresses[2])
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(0.5)
            network.heal_all(addresses[0])
            await trio.sleep(IN_FORCE_SECONDS)
            assert [queues.version for _, queues in entries] == [5, 5, 5]

        self.run_peers(scenario)

    def test_entry_known_to_one_peer_becomes_known_to_all(self):
        async def scenario(network, addresses, entries):
            new_entry = LinkAddress("tcp://entry-9")
            entries[0][0].learn([new_entry])
            await trio.sleep(5.0)
            assert all(new_entry in peers.peers for peers, _ in entries)

        self.run_peers(scenario)
