import random

import msgspec
import trio

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.membership import (
    EVICTION_SECONDS,
    AgentDiscovery,
    AgentRegistration,
)
from bergamotcourse.coordination.neighbours import ProcessLocation
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.messages import AgentState, Attach, Detach, Offer
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.lease_rows import AgentRow, agent_key
from bergamotcourse.tests.configs import run

ME = ProcessLocation("entry-1", "zone-a")


class RecordingMailer:
    """Test double of the mailer that records posted messages."""

    def __init__(self):
        self.posted = []

    def post(self, peer, message):
        self.posted.append((peer, message))
        return True

    def forget(self, peer):
        pass

    def recipients_of(self, kind):
        return [peer for peer, message in self.posted if isinstance(message, kind)]


class DiscoveryHarness:
    def __init__(self, neighbours=2):
        self.platform = MemoryPlatform()
        self.mailer = RecordingMailer()
        self.directory = AgentDirectory(3.0)
        self.queued = {}
        self.agent_discovery = AgentDiscovery(
            ME,
            lambda: [ME],
            lambda: self.queued,
            self.directory,
            self.platform.view("entry-1"),
            self.mailer,
            Timers(random.Random(1)),
            1.0,
            neighbours,
        )

    async def add(self, name, *services, zone="zone-a"):
        row = AgentRow(name, f"tcp://{name}", zone, "", "", 1, services=[*services])
        write = Write(agent_key(name), msgspec.json.encode(row), None)
        await self.platform.transact([write])

    def receive_state(self, name, service="voting", running=0):
        state = AgentState(
            agent=name, boot=1, zone="zone-a", rack="", worker="", token=1 << 40,
            leaving=False, offers=[Offer(service, 8, running, 0, 0)], upstreams=[],
            closed_version=0, number=1,
        )  # fmt: skip
        self.directory.record_state(f"tcp://{name}", state, trio.current_time())

    async def has_row(self, name):
        return (await self.platform.get([agent_key(name)])).ok[0].value is not None


class TestUpdateAttachments:
    def test_limit_applies_to_each_service(self):
        async def main():
            harness = DiscoveryHarness()
            for number in range(6):
                await harness.add(f"voting-{number}", "voting")
                await harness.add(f"tally-{number}", "tally")
            await harness.agent_discovery.watch()
            attached = harness.mailer.recipients_of(Attach)
            assert sorted(name[6:9] for name in attached) == [
                "tal",
                "tal",
                "vot",
                "vot",
            ]

        run(main)

    def test_agents_with_unknown_services_are_attached(self):
        async def main():
            harness = DiscoveryHarness()
            for number in range(4):
                await harness.add(f"agent-{number}")
            await harness.agent_discovery.watch()
            assert len(harness.mailer.recipients_of(Attach)) == 2

        run(main)

    def test_unresponsive_agent_is_replaced_by_another(self):
        async def main():
            harness = DiscoveryHarness()
            for number in range(4):
                await harness.add(f"agent-{number}", "voting")
            await harness.agent_discovery.watch()
            first, _ = harness.mailer.recipients_of(Attach)
            harness.receive_state(first.removeprefix("tcp://"))
            await trio.sleep(2)
            harness.receive_state(first.removeprefix("tcp://"))
            await trio.sleep(2)
            await harness.agent_discovery.update_attachments()
            assert len(set(harness.mailer.recipients_of(Attach))) == 3

        run(main)

    def test_limit_follows_demand_and_surplus_agents_are_detached(self):
        async def main():
            harness = DiscoveryHarness(neighbours=1)
            for number in range(9):
                await harness.add(f"agent-{number}", "voting")
            await harness.agent_discovery.watch()
            (first,) = harness.mailer.recipients_of(Attach)
            harness.receive_state(first.removeprefix("tcp://"), running=8)
            harness.queued = {"voting": 20}
            await harness.agent_discovery.adjust_attachment_limit()
            assert len(set(harness.mailer.recipients_of(Attach))) >= 4
            harness.queued = {}
            for peer in set(harness.mailer.recipients_of(Attach)):
                harness.receive_state(peer.removeprefix("tcp://"))
            for _ in range(40):
                await harness.agent_discovery.adjust_attachment_limit()
                await trio.sleep(1)
                for peer in set(harness.mailer.recipients_of(Attach)) - set(
                    harness.mailer.recipients_of(Detach)
                ):
                    harness.receive_state(peer.removeprefix("tcp://"))
            assert sum(view.attached for view in harness.directory) == 1

        run(main)


class TestEviction:
    def test_silent_agent_without_row_renewal_is_evicted(self):
        async def main():
            harness = DiscoveryHarness()
            await harness.add("agent-1", "voting")
            await harness.agent_discovery.watch()
            for _ in range(4):
                await trio.sleep(EVICTION_SECONDS / 4 + 1)
                await harness.agent_discovery.watch()
            assert not harness.directory.views
            assert "agent-1" in harness.directory.departed
            assert not await harness.has_row("agent-1")

        run(main)

    def test_agent_that_sends_messages_is_not_evicted(self):
        async def main():
            harness = DiscoveryHarness()
            await harness.add("agent-1", "voting")
            await harness.agent_discovery.watch()
            for _ in range(6):
                await trio.sleep(EVICTION_SECONDS / 4)
                harness.receive_state("agent-1")
                await harness.agent_discovery.watch()
            assert await harness.has_row("agent-1")

        run(main)

    def test_platform_outage_evicts_no_agent(self):
        async def main():
            harness = DiscoveryHarness()
            await harness.add("agent-1", "voting")
            await harness.agent_discovery.watch()
            harness.platform.faults.down = True
            await trio.sleep(2 * EVICTION_SECONDS)
            harness.platform.faults.down = False
            await harness.agent_discovery.watch()
            assert await harness.has_row("agent-1")

        run(main)


class TestRegistration:
    def test_row_is_rewritten_only_when_services_change(self):
        async def main():
            platform = MemoryPlatform()
            row = AgentRow("agent-1", "tcp://agent-1", "a", "", "", 1)
            registration = AgentRegistration(row, platform, Timers(random.Random(1)))
            for services in ([], ["voting"], ["voting"]):
                registration.set_services(services)
                await registration.watch()
            (found,) = (await platform.get([agent_key("agent-1")])).ok
            assert msgspec.json.decode(found.value)["services"] == ["voting"]
            assert found.version == 2

        run(main)
