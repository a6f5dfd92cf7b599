"""How the configuration reaches an entry, from the store and from its peers."""

import random

import msgspec
import pytest
import trio
from expression import Error, Ok

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.peers import Peers
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.jobs.store_watch import ConfigFeed
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.job_store import ConfigRead, HistoryGoneError
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual

IN_FORCE_SECONDS = 2.0
"""In which a configuration must be in force everywhere."""


def content(version):
    return msgspec.json.encode(version)


def decode(raw):
    return QueueTable(ConfigVersion(msgspec.json.decode(raw, type=int)), ())


def make_queues():
    return QueuesInForce(decode, EventLog())


class FakeStore:
    """A store with one configuration.

    Attributes:
        error: Fails all calls.
        waits: Whether a call for changes waits for one.
    """

    def __init__(self):
        self.version = 0
        self.position = 0
        self.error = None
        self.waits = True
        self.calls = 0

    def put(self, version):
        self.version = version
        self.position += 1

    async def read_config(self, timeout):
        self.calls += 1
        if self.error:
            await trio.sleep(0.01)
            return Error(self.error)
        found = content(self.version) if self.version else None
        return Ok(ConfigRead(self.position, found))

    async def config_changes(self, after, wait, timeout):
        self.calls += 1
        if not self.waits and self.position == after:
            return Ok(ConfigRead(self.position, None))
        for _ in range(int(wait / 0.01)):
            if self.error:
                return Error(self.error)
            if self.position > after:
                return Ok(ConfigRead(self.position, content(self.version)))
            await trio.sleep(0.01)
        return Ok(ConfigRead(self.position, None))


class TestQueuesInForce:
    def test_only_move_forward(self):
        queues = make_queues()
        assert queues.adopt(content(7), "store")
        assert not queues.adopt(content(7), "peer")
        assert not queues.adopt(content(4), "peer")
        assert queues.version == 7

    def test_a_malformed_one_changes_nothing(self):
        queues = make_queues()
        queues.adopt(content(7), "store")
        assert not queues.adopt(b"{", "peer")
        assert queues.version == 7


class TestConfigFeed:
    def follow(self, scenario):
        async def main():
            store, queues = FakeStore(), make_queues()
            feed = ConfigFeed(store, queues, random.Random(1), EventLog())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(feed.run)
                await scenario(store, queues)
                nursery.cancel_scope.cancel()

        run_virtual(main, 1)

    def test_the_first_and_each_change_are_in_force_at_once(self):
        async def scenario(store, queues):
            await trio.sleep(1.0)
            for version in (3, 8, 9):
                store.put(version)
                await trio.sleep(0.3)
                assert queues.version == version

        self.follow(scenario)

    @pytest.mark.parametrize(
        ("error", "seconds", "version"),
        [
            (StepError(Step.STORE, "store", "status 503"), 5.0, 4),
            (HistoryGoneError(Step.STORE, "store", "history is gone"), 0.2, 5),
        ],
        ids=["status 503", "history gone"],
    )
    def test_a_store_that_comes_back_is_followed_again(self, error, seconds, version):
        async def scenario(store, queues):
            store.put(3)
            await trio.sleep(0.5)
            store.error = error
            await trio.sleep(seconds)
            store.put(version)
            store.error = None
            await trio.sleep(IN_FORCE_SECONDS)
            assert queues.version == version

        self.follow(scenario)

    def test_a_store_that_refuses_is_not_pressed(self):
        async def scenario(store, queues):
            store.error = StepError(Step.STORE, "store", "status 429")
            await trio.sleep(10.0)
            assert store.calls <= 20

        self.follow(scenario)

    def test_a_store_that_answers_at_once_is_not_pressed(self):
        async def scenario(store, queues):
            store.put(3)
            store.waits = False
            await trio.sleep(10.0)
            assert store.calls <= 210
            store.put(4)
            await trio.sleep(0.1)
            assert queues.version == 4

        self.follow(scenario)


class TestPeers:
    def converse(self, scenario, entries=3):
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
                    peers = Peers(address, mailer, timers, queues, EventLog(), rng)
                    mailer.handler = peers.take
                    peers.learn(addresses, from_settings=True)
                    nursery.start_soon(mailer.run)
                    nursery.start_soon(peers.run)
                    entries.append((peers, queues))
                await trio.sleep(0.1)
                await scenario(network, addresses, entries)
                nursery.cancel_scope.cancel()

        run_virtual(main, 1)

    def test_one_that_the_store_turns_away_learns_it_from_the_others(self):
        async def scenario(network, addresses, entries):
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert [queues.version for _, queues in entries] == [5, 5, 5]

        self.converse(scenario)

    def test_so_do_thirty_others(self):
        async def scenario(network, addresses, entries):
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(IN_FORCE_SECONDS)
            assert {queues.version for _, queues in entries} == {5}

        self.converse(scenario, entries=35)

    def test_the_greetings_of_many_are_bounded(self):
        """Each greets six in a round, and knows agents and a configuration."""

        async def scenario(network, addresses, entries):
            for peers, queues in entries:
                queues.adopt(content(5), "store")
                peers.agents = lambda: [LinkAddress("tcp://agent-1")]
            await trio.sleep(2.0)
            before = sum(sent.payloads for sent in network.sent.values())
            await trio.sleep(10.0)
            sent = sum(sent.payloads for sent in network.sent.values()) - before
            assert sent / 10.0 / len(entries) <= 18

        self.converse(scenario, entries=35)

    def test_the_first_greeting_may_be_lost(self):
        async def scenario(network, addresses, entries):
            network.cut(addresses[0], addresses[1])
            network.cut(addresses[0], addresses[2])
            entries[0][1].adopt(content(5), "store")
            await trio.sleep(0.5)
            network.heal_all(addresses[0])
            await trio.sleep(IN_FORCE_SECONDS)
            assert [queues.version for _, queues in entries] == [5, 5, 5]

        self.converse(scenario)

    def test_an_entry_that_is_known_to_one_becomes_known_to_all(self):
        async def scenario(network, addresses, entries):
            stranger = LinkAddress("tcp://entry-9")
            entries[0][0].learn([stranger])
            await trio.sleep(5.0)
            assert all(stranger in peers.peers for peers, _ in entries)

        self.converse(scenario)
