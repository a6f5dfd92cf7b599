"""All entries apply an accepted configuration in time despite failed connections."""

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
    """The number of entries, and the bounds that its users require.

    Attributes:
        calm: Seconds after a disturbance from which on ``apply`` holds.
        apply: Seconds from the acceptance of a version until all entries have it in
            force.
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
    """The components of an entry through which it receives configurations."""

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
    """The entries of a deployment, and their store."""

    def __init__(self, deployment, nursery, rng):
        self.store = SilencedStore(nursery)
        network = MemoryNetwork(random.Random(rng.random()), LINK_DELAY)
        self.entries = [
            Entry(number, network, self.store, random.Random(rng.random()))
            for number in range(1, deployment.entries + 1)
        ]

    def configure(self, version):
        """Write a version of the configuration to the store."""
        config = msgspec.json.encode({"version": version, "routes": []})
        value = base64.b64encode(config).decode()
        row = {"table": "op", "key": "config", "value": value}
        self.store.rows.transact({"put": [row]})

    def count_entries_behind(self, version):
        """Return how many entries have an older version in force than the given one."""
        return sum(entry.queues.version < version for entry in self.entries)


def run_scenario(deployment, seed, scenario):
    """Run a scenario with a fleet in which version 3 is in force everywhere."""

    async def main():
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            fleet = Fleet(deployment, nursery, rng)
            fleet.configure(3)
            for entry in fleet.entries:
                nursery.start_soon(entry.run)
            await trio.sleep(rng.uniform(10.0, 25.0))
            assert fleet.count_entries_behind(3) == 0
            await scenario(fleet, rng)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)


class TestOutage:
    """The store refuses all calls while the configuration changes."""

    @DEPLOYMENTS
    @SEEDS
    def test_last_version_is_in_force_in_time_after_outage(self, deployment, seed):
        async def scenario(fleet, rng):
            fleet.store.rows.status = 503
            await trio.sleep(rng.uniform(0.5, 6.0))
            for version in (7, 11, 15):
                fleet.configure(version)
            fleet.store.rows.status = 200
            await trio.sleep(max(deployment.calm, deployment.apply))
            assert fleet.count_entries_behind(15) == 0

        run_scenario(deployment, seed, scenario)


class TestUnreachableStore:
    """Calls to the store get no answer for some seconds."""

    @pytest.mark.parametrize("seed", range(1, 41))
    def test_single_entry_applies_next_version_in_time(self, seed):
        async def scenario(fleet, rng):
            fleet.store.silence_open_connections()
            fleet.store.unreachable = True
            await trio.sleep(rng.uniform(3.0, 9.0))
            fleet.store.unreachable = False
            fleet.configure(7)
            await trio.sleep(ALONE.calm)
            assert fleet.count_entries_behind(7) == 0

        run_scenario(ALONE, seed, scenario)


class TestSilentConnections:
    """All open connections to the store go silent at once; new ones work."""

    @DEPLOYMENTS
    @SEEDS
    def test_version_accepted_later_is_in_force_in_time(self, deployment, seed):
        async def scenario(fleet, rng):
            fleet.store.silence_open_connections()
            calm_at = trio.current_time() + deployment.calm
            await trio.sleep(rng.uniform(0.0, deployment.calm))
            fleet.configure(7)
            in_force_by = max(calm_at, trio.current_time() + deployment.apply)
            await trio.sleep_until(in_force_by)
            assert fleet.count_entries_behind(7) == 0

        run_scenario(deployment, seed, scenario)
