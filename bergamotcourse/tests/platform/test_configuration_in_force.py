"""A configuration is in force everywhere in time, whatever becomes of connections."""

import base64
import random
from dataclasses import dataclass

import msgspec
import pytest
import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.peers import Peers
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.jobs.store_watch import (
    ConfigFeed,
    EntryRows,
    UpstreamRows,
)
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.platform.documents import decode_queues
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.tests.platform.silenced_store import SilencedStore
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual

LINK_DELAY = 0.001


@dataclass(frozen=True)
class Deployment:
    """How many entries there are, and what their users ask.

    Attributes:
        calm: Seconds after a disturbance from which on the bound holds.
        apply: Seconds after a version was accepted until it is in force everywhere.
    """

    entries: int
    calm: float
    apply: float


ALONE = Deployment(1, 3.0, 2.0)
SMALL = Deployment(3, 3.0, 2.0)
GROWN = Deployment(13, 4.0, 3.0)
LARGE = Deployment(35, 5.0, 4.0)

DEPLOYMENTS = pytest.mark.parametrize(
    "deployment", [SMALL, GROWN, LARGE], ids=["small", "grown", "large"]
)
SEEDS = pytest.mark.parametrize("seed", range(1, 6))


class Entry:
    """The parts of an entry by which it learns of configurations."""

    def __init__(self, number, network, store, rng):
        self.address = LinkAddress(f"udp://10.0.0.{number}:7720")
        log = EventLog()
        self.mailer = Mailer(network.link(self.address), rng=rng)
        self.queues = QueuesInForce(decode_queues, log)
        zones = EvacuatedZones(log)
        client = store.client(log)
        self.peers = Peers(
            self.address, self.mailer, Timers(rng), self.queues, zones, log, rng
        )
        self.peers.agents = lambda: [LinkAddress("udp://10.0.1.1:7720")]
        self.mailer.handler = self.peers.handle_message
        self.feed = ConfigFeed(
            client, self.queues, zones, rng, log, lambda: len(self.peers.peers)
        )
        self.rows = EntryRows(client, rng, log)
        self.upstreams = UpstreamRows(client, rng, log)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.mailer.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.feed.run)
            nursery.start_soon(self.rows.announce, self.address)
            nursery.start_soon(self.upstreams.read)
            nursery.start_soon(self.rows.poll_entries, self.peers.learn)


class Fleet:
    """The entries of a deployment, and the store that they follow."""

    def __init__(self, deployment, nursery, rng):
        self.store = SilencedStore(nursery)
        network = MemoryNetwork(random.Random(rng.random()), LINK_DELAY)
        self.entries = [
            Entry(number, network, self.store, random.Random(rng.random()))
            for number in range(1, deployment.entries + 1)
        ]

    def configure(self, version):
        """Let the store accept a version."""
        config = msgspec.json.encode({"version": version, "routes": []})
        value = base64.b64encode(config).decode()
        row = {"table": "op", "key": "config", "value": value}
        self.store.rows.transact({"put": [row]})

    def behind(self, version):
        """Return how many entries have not got as far as a version."""
        return sum(entry.queues.version < version for entry in self.entries)


def play(deployment, seed, scenario):
    """Run a scenario with a fleet that has started and is calm."""

    async def main():
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            fleet = Fleet(deployment, nursery, rng)
            fleet.configure(3)
            for entry in fleet.entries:
                nursery.start_soon(entry.run)
            await trio.sleep(rng.uniform(10.0, 25.0))
            assert fleet.behind(3) == 0
            await scenario(fleet, rng)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)


class TestOutage:
    """The store refuses all calls while the operators change the configuration."""

    @DEPLOYMENTS
    @SEEDS
    def test_the_last_version_is_in_force_in_time(self, deployment, seed):
        async def scenario(fleet, rng):
            fleet.store.rows.status = 503
            await trio.sleep(rng.uniform(0.5, 6.0))
            for version in (7, 11, 15):
                fleet.configure(version)
            fleet.store.rows.status = 200
            await trio.sleep(max(deployment.calm, deployment.apply))
            assert fleet.behind(15) == 0

        play(deployment, seed, scenario)


class TestUnreachableStore:
    """No call is answered or refused for some seconds."""

    @pytest.mark.parametrize("seed", range(1, 41))
    def test_an_entry_without_peers_follows_in_time(self, seed):
        async def scenario(fleet, rng):
            fleet.store.silence()
            fleet.store.unreachable = True
            await trio.sleep(rng.uniform(3.0, 9.0))
            fleet.store.unreachable = False
            fleet.configure(7)
            await trio.sleep(ALONE.calm)
            assert fleet.behind(7) == 0

        play(ALONE, seed, scenario)


class TestSilentConnections:
    """All connections to the store go silent at once; new ones work."""

    @DEPLOYMENTS
    @SEEDS
    def test_a_version_accepted_after_that_is_in_force_in_time(self, deployment, seed):
        async def scenario(fleet, rng):
            fleet.store.silence()
            calm_at = trio.current_time() + deployment.calm
            await trio.sleep(rng.uniform(0.0, deployment.calm))
            fleet.configure(7)
            in_force_by = max(calm_at, trio.current_time() + deployment.apply)
            await trio.sleep_until(in_force_by)
            assert fleet.behind(7) == 0

        play(deployment, seed, scenario)
