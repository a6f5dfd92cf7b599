import random

import pytest
import trio

from bergamotcourse.coordination import config_exchange
from bergamotcourse.coordination.config_exchange import ConfigExchange
from bergamotcourse.coordination.config_watch import PEER_SETTLE_SECONDS, ConfigWatch
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import ConfigAsk, ConfigOffer, Detach
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.tests.configs import accept, accept_releases, make_manifest
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual

IN_FORCE_LIMIT_SECONDS = 4.0


class Node:
    """A process that runs only the parts for the configuration."""

    def __init__(self, cluster, name):
        rng = random.Random(f"{cluster.seed}/{name}")
        self.address = LinkAddress(name)
        self.timers = Timers(rng)
        self.mailer = Mailer(cluster.network.link(self.address), rng=rng)
        self.watch = ConfigWatch(cluster.platform.view(name), self.timers)
        self.seen = []
        self.watch.subscribe(lambda version, _: self.seen.append(version))
        self.exchange = ConfigExchange(
            self.watch, self.mailer, self.timers, lambda: self.peers, rng
        )
        self.peers = {peer: 0 for peer in cluster.names if peer != name}
        self.mailer.handler = self.exchange.handle
        self.mailer.on_envelope = self.exchange.handle_envelope

    async def run(self):
        async with trio.open_nursery() as nursery:
            self.exchange.nursery = nursery
            nursery.start_soon(self.mailer.run)
            nursery.start_soon(self.timers.run)


class Cluster:
    def __init__(self, nursery, seed, count=3):
        self.seed = seed
        self.names = [f"node-{n}" for n in range(count)]
        self.network = MemoryNetwork(random.Random(seed))
        self.platform = MemoryPlatform()
        self.nodes = [Node(self, name) for name in self.names]
        for node in self.nodes:
            nursery.start_soon(node.run)

    def versions(self):
        return [node.watch.version for node in self.nodes]

    async def accept_known_to_first(self, count=1):
        """Have versions accepted that only the first node reads before an outage."""
        reviewed = self.nodes[0].watch.version
        for version in range(reviewed, reviewed + count):
            await accept(self.platform, make_manifest(f"r{version + 1}"), version)
            await self.nodes[0].watch.poll()
        self.platform.faults.down = True

    async def poll_all_nodes(self):
        for node in self.nodes:
            await node.watch.poll()
        await trio.sleep(PEER_SETTLE_SECONDS)
        for node in self.nodes:
            node.mailer.counters.sent.clear()

    def connect_in_line(self):
        """Cut all links except those between adjacent nodes."""
        for i, one in enumerate(self.names):
            for k, other in enumerate(self.names):
                if abs(i - k) > 1:
                    self.network.cut(one, other)

    def count_sent(self, kind):
        return sum(node.mailer.counters.sent[kind] for node in self.nodes)


def run_cluster(main, seed=1, count=3):
    async def run():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, seed, count)
            await trio.sleep(0)
            await main(cluster)
            nursery.cancel_scope.cancel()

    run_virtual(run, seed)


class TestOffer:
    def test_version_read_by_one_entry_reaches_all_during_outage(self):
        async def main(cluster):
            await accept_releases(cluster.platform, 1)
            await cluster.poll_all_nodes()
            await cluster.accept_known_to_first()
            await trio.sleep(0.1)
            assert cluster.versions() == [2, 2, 2]
            assert cluster.count_sent("ConfigOffer") == 2
            assert cluster.count_sent("ConfigAsk") == 0

        run_cluster(main)

    def test_peers_with_current_version_in_their_rows_get_no_offer(self):
        async def main(cluster):
            cluster.nodes[0].peers = {"node-1": 1, "node-2": 1}
            await cluster.accept_known_to_first()
            await trio.sleep(1)
            assert cluster.count_sent("ConfigOffer") == 0

        run_cluster(main)

    def test_version_is_forwarded_to_entries_without_direct_link(self):
        async def main(cluster):
            cluster.connect_in_line()
            await accept_releases(cluster.platform, 1)
            await cluster.poll_all_nodes()
            await cluster.accept_known_to_first()
            await trio.sleep(IN_FORCE_LIMIT_SECONDS)
            assert cluster.versions() == [2] * 4

        run_cluster(main, count=4)

    @pytest.mark.parametrize("seed", range(20))
    def test_version_never_decreases_with_lost_copied_reordered_messages(self, seed):
        async def main(cluster):
            network = cluster.network
            network.loss, network.duplicate, network.reorder = 0.3, 0.3, 0.5
            await accept_releases(cluster.platform, 1)
            await cluster.poll_all_nodes()
            for _ in range(3):
                cluster.platform.faults.down = False
                await cluster.accept_known_to_first(2)
                await trio.sleep(0.3)
            await trio.sleep(12)
            assert cluster.versions() == [7, 7, 7]
            for node in cluster.nodes:
                assert node.seen == sorted(set(node.seen))

        run_cluster(main, seed)

    def test_offer_without_sender_address_is_applied_without_reply(self):
        async def main(cluster):
            first, other = cluster.nodes[:2]
            first.peers = other.peers = {}
            await cluster.accept_known_to_first(3)
            other.watch.apply_records(1, first.watch.records_since(0)[:1])
            records = first.watch.records_since(1)
            other.exchange.handle(LinkAddress(""), ConfigOffer(0, 3, records))
            await trio.sleep(0.1)
            assert other.watch.version == 3
            assert other.mailer.counters.sent["ConfigHave"] == 0

        run_cluster(main)


class TestAsk:
    def test_newer_version_in_envelopes_is_requested_once(self):
        async def main(cluster):
            first, other = cluster.nodes[:2]
            first.peers = {}
            await cluster.accept_known_to_first(5)
            for _ in range(10):
                first.mailer.post(other.address, Detach("x"))
                await trio.sleep(0.0001)
            await trio.sleep(0.1)
            assert other.watch.version == 5
            assert other.mailer.counters.sent["ConfigAsk"] == 1

        run_cluster(main)

    def test_lost_request_does_not_block_the_next_one(self):
        async def main(cluster):
            first, other = cluster.nodes[:2]
            first.peers = {}
            await cluster.accept_known_to_first()
            cluster.network.cut(other.address, first.address)
            first.mailer.post(other.address, Detach("x"))
            await trio.sleep(1)
            cluster.network.heal(other.address, first.address)
            first.mailer.post(other.address, Detach("x"))
            await trio.sleep(0.1)
            assert other.watch.version == 1

        run_cluster(main)

    @pytest.mark.parametrize("part_bytes", [100, 1 << 20])
    def test_snapshot_is_sent_in_parts_if_records_are_missing(
        self, monkeypatch, part_bytes
    ):
        async def main(cluster):
            monkeypatch.setattr(config_exchange, "SNAPSHOT_PART_BYTES", part_bytes)
            first, other = cluster.nodes[:2]
            await cluster.accept_known_to_first(5)
            del first.watch.records[3]
            await trio.sleep(PEER_SETTLE_SECONDS / 4)
            assert other.watch.version == 5
            assert other.watch.manifest == first.watch.manifest
            assert not other.watch.ready
            await trio.sleep(PEER_SETTLE_SECONDS)
            assert other.watch.ready

        run_cluster(main)

    def test_requests_rotate_over_entries_during_outage(self):
        async def main(cluster):
            for node in cluster.nodes[:2]:
                node.peers = {}
            await accept_releases(cluster.platform, 1)
            await cluster.nodes[1].watch.poll()
            cluster.platform.faults.down = True
            fresh = cluster.nodes[2]
            cluster.network.cut(fresh.address, cluster.names[0])
            await fresh.watch.poll()
            await trio.sleep(IN_FORCE_LIMIT_SECONDS)
            assert fresh.watch.version == 1

        run_cluster(main)

    def test_no_requests_while_all_versions_are_equal(self):
        async def main(cluster):
            await accept_releases(cluster.platform, 1)
            await cluster.poll_all_nodes()
            cluster.nodes[0].exchange.handle(cluster.names[1], ConfigAsk(1, 1))
            await trio.sleep(30)
            assert cluster.count_sent("ConfigAsk") == 0
            assert cluster.count_sent("ConfigRecords") == 1

        run_cluster(main)
