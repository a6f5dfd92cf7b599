import trio

from bergamotcourse.ids import AgentId, LinkAddress
from bergamotcourse.protocol.messages import Detach
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

NAME = AgentId("agent-1")
NEW = LinkAddress("tcp://agent-1-new")


class TestSupersededAgent:
    """The platform's row decides which of two processes of one name is the agent."""

    def test_state_of_superseded_process_is_ignored_and_detached(self):
        posted = []

        async def main():
            async with trio.open_nursery() as nursery:
                fleet = VirtualFleet(nursery, 1, FleetShape(entries=1, agents=1))
                await fleet.start()
                entry = fleet.entries["entry-1"].entry
                entry.mailer.post = lambda peer, message: posted.append((peer, message))
                former = fleet.agents["agent-1"]
                state = former.agent.reports.state(entry.mailer.link.address)
                entry.directory.add(NAME, NEW)
                entry.handle(former.address, state)
                assert entry.directory.views[NAME].address == NEW
                assert not entry.directory.views[NAME].attached
                assert (former.address, Detach(entry.id)) in posted
                nursery.cancel_scope.cancel()

        run_virtual(main, 1)
