import trio

from bergamotcourse.coordination.agents import AgentHealth
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet


def run_fleet(main, shape=None, seed=1):
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed, shape)
            await fleet.start()
            await main(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(run, seed)


def attached(fleet, entry):
    return {view.id for view in fleet.entries[entry].entry.directory if view.attached}


def health(fleet, entry, agent):
    directory = fleet.entries[entry].entry.directory
    return directory.health(directory.views[agent], trio.current_time())


class Load:
    """Callers that each send one request after another until ``ended`` is set."""

    def __init__(self, fleet, run_ms=80):
        self.fleet = fleet
        self.run_ms = run_ms
        self.ended = False
        self.answers = []

    def entries(self):
        return [
            name
            for name, process in self.fleet.entries.items()
            if not process.ended.is_set() and process.entry.ready()
        ]

    async def caller(self, number):
        count = 0
        while not self.ended:
            entries = self.entries()
            entry = entries[(number + count) % len(entries)]
            request = HttpRequest("POST", f"/s/voting/cast?run_ms={self.run_ms}")
            request.body = f"ballot-{number}-{count}".encode()
            answer = await self.fleet.call(entry, request)
            self.answers.append(answer.status if answer else None)
            count += 1

    async def run_during(self, callers, action):
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(self.caller, number)
            await action()
            self.ended = True


class TestBoundedNeighbours:
    shape = FleetShape(entries=3, agents=60, neighbours=8)

    def test_idle_entries_keep_few_neighbours_and_share_none(self):
        async def main(fleet):
            await trio.sleep(5)
            sets = [attached(fleet, name) for name in fleet.entries]
            assert [len(one) for one in sets] == [8, 8, 8]
            assert len(set.union(*sets)) == 24

        run_fleet(main, self.shape)

    def test_demand_adds_neighbours_and_its_end_removes_them(self):
        async def main(fleet):
            load = Load(fleet, run_ms=500)

            async def wait():
                await trio.sleep(3)
                assert all(len(attached(fleet, n)) > 8 for n in fleet.entries)

            await load.run_during(240, wait)
            assert set(load.answers) == {200}
            await trio.sleep(45)
            assert all(len(attached(fleet, n)) <= 10 for n in fleet.entries)

        run_fleet(main, self.shape)

    def test_dead_neighbours_are_replaced(self):
        async def main(fleet):
            dead = attached(fleet, "entry-1")
            for name in dead:
                fleet.agents[name].kill()
            await trio.sleep(8)
            alive = attached(fleet, "entry-1") - dead
            assert len(alive) >= 8
            for name in dead:
                assert health(fleet, "entry-1", name) is AgentHealth.SILENT

        run_fleet(main, self.shape)


class TestReplacement:
    def test_graceful_restart_of_every_process_fails_no_request(self):
        async def main(fleet):
            load = Load(fleet)

            async def replace():
                for name in list(fleet.agents):
                    await fleet.agents[name].stop()
                    fleet.start_agent(name)
                    await trio.sleep(1)
                for name in list(fleet.entries):
                    await fleet.entries[name].stop()
                    fleet.start_entry(name)
                    await fleet.wait_ready(name)

            await load.run_during(24, replace)
            assert set(load.answers) == {200}
            assert set(fleet.starts().values()) == {1}

        run_fleet(main)

    def test_killed_agents_fail_only_requests_in_flight_to_them(self):
        async def main(fleet):
            load = Load(fleet)
            lost = 0

            async def replace():
                nonlocal lost
                for name in list(fleet.agents)[:6]:
                    fleet.agents[name].kill()
                    fleet.agents[name].upstream.kill()
                    await trio.sleep(1)
                    for process in fleet.entries.values():
                        view = process.entry.directory.views[name]
                        lost += sum(view.in_flight.values())
                    fleet.start_agent(name)
                    await trio.sleep(2)

            await load.run_during(12, replace)
            failed = [status for status in load.answers if status != 200]
            assert len(failed) <= lost
            assert set(fleet.starts().values()) == {1}

        run_fleet(main)


class TestPlatformOutage:
    def test_long_platform_outage_fails_no_request(self):
        async def main(fleet):
            load = Load(fleet, run_ms=500)

            async def outage():
                fleet.platform.faults.down = True
                await trio.sleep(120)
                fleet.platform.faults.down = False
                await trio.sleep(5)

            await load.run_during(2, outage)
            assert set(load.answers) == {200}
            assert all(len(attached(fleet, n)) == 11 for n in fleet.entries)

        run_fleet(main)

    def test_entry_started_in_an_outage_is_not_ready_until_its_end(self):
        async def main(fleet):
            fleet.platform.faults.down = True
            fleet.entries["entry-1"].kill()
            process = fleet.start_entry("entry-1")
            await trio.sleep(30)
            assert not process.entry.ready()
            fleet.platform.faults.down = False
            await fleet.wait_ready("entry-1")
            assert process.entry.config.version == 1

        run_fleet(main)


class TestZoneLoss:
    def test_other_zones_serve_when_a_zone_is_lost(self):
        async def main(fleet):
            load = Load(fleet)

            async def lose_zone():
                await trio.sleep(2)
                for name, process in fleet.agents.items():
                    if process.agent.location.zone == "zone-2":
                        fleet.network.cut_all(process.address)
                        assert name in attached(fleet, "entry-1")
                await trio.sleep(6)
                load.answers.clear()
                await trio.sleep(5)

            await load.run_during(12, lose_zone)
            assert set(load.answers) == {200}
            assert health(fleet, "entry-1", "agent-2") is AgentHealth.SILENT
            for process in fleet.agents.values():
                fleet.network.heal_all(process.address)
            await trio.sleep(10)
            assert health(fleet, "entry-1", "agent-2") is AgentHealth.USABLE

        run_fleet(main)


class TestNetworkPartition:
    def test_both_sides_of_a_partition_serve(self):
        async def main(fleet):
            processes = [*fleet.entries.values(), *fleet.agents.values()]
            near = {p.address for p in processes if p.name.endswith("-1")}
            far = {p.address for p in processes} - near
            load = Load(fleet)

            async def partition():
                for one in near:
                    for other in far:
                        fleet.network.cut(one, other)
                        fleet.network.cut(other, one)
                await trio.sleep(8)
                load.answers.clear()
                await trio.sleep(4)

            await load.run_during(9, partition)
            assert set(load.answers) == {200}
            assert health(fleet, "entry-1", "agent-1") is AgentHealth.USABLE
            assert health(fleet, "entry-1", "agent-2") is AgentHealth.SILENT
            assert health(fleet, "entry-2", "agent-1") is AgentHealth.SILENT

        run_fleet(main)
