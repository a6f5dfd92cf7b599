import msgspec
import trio

from bergamotcourse.coordination.takeover import LeaseEnd
from bergamotcourse.state.lease_rows import LeaseRow, lease_key
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

SHAPE = FleetShape(entries=2, agents=2, lease_seconds=2.0, heartbeat_seconds=0.4)


def run_fleet(test):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, SHAPE)
            await fleet.start()
            await trio.sleep(2)
            one, other = (process.entry for process in fleet.entries.values())
            await test(fleet, one, other)
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)


def lease_row(fleet, entry):
    row = fleet.platform.table.get(lease_key(entry))
    return msgspec.json.decode(row.value, type=LeaseRow)


async def take_over(entry, other):
    seen = entry.view.leases[other]
    await entry.takeover._take_over(other, seen, LeaseEnd())


class TestTakeover:
    def test_two_entries_do_not_take_over_each_other(self):
        async def test(fleet, one, other):
            names = one.id, other.id
            await one.view.refresh()
            await other.view.refresh()
            await take_over(one, names[1])
            await take_over(other, names[0])
            fenced = [lease_row(fleet, name).fenced_by for name in names]
            assert fenced == ["", names[0]]

        run_fleet(test)

    def test_no_promise_while_takeover_may_have_taken_effect(self):
        async def test(fleet, one, other):
            assert lease_row(fleet, other.id).successor == one.id
            assert one.takeover.promise(other.id) > 0
            fleet.platform.faults.drop_calls = 1.0
            await take_over(one, other.id)
            assert one.takeover.promise(other.id) == 0
            fleet.platform.faults.drop_calls = 0.0
            await trio.sleep(1)
            assert one.takeover.promise(other.id) > 0

        run_fleet(test)


class TestRelease:
    def test_late_release_keeps_fencing_mark(self):
        async def test(fleet, one, other):
            name = other.id
            await one.view.refresh()
            await take_over(one, name)
            await other.lease.release()
            row = lease_row(fleet, name)
            assert (row.fenced_by, row.released) == (one.id, False)

        run_fleet(test)

    def test_late_renewal_does_not_revalidate_ended_lease(self):
        async def test(fleet, one, other):
            lease = other.lease
            assert lease.valid(other.timers.now())
            lease.end()
            lease._record_renewal(other.timers.now(), lease.version, "")
            assert not lease.valid(other.timers.now())

        run_fleet(test)


class TestTakeoverCleanup:
    """Rows of entries that were taken over are removed once they are not needed."""

    def test_restarts_do_not_grow_the_table(self):
        async def main():
            async with trio.open_nursery() as nursery:
                shape = FleetShape(
                    entries=2,
                    agents=2,
                    lease_seconds=2.0,
                    heartbeat_seconds=0.4,
                    retention_seconds=20.0,
                )
                fleet = VirtualFleet(nursery, 1, shape)
                await fleet.start()
                sizes = []
                for _ in range(3):
                    for name in list(fleet.entries):
                        fleet.entries[name].kill()
                        fleet.start_entry(name)
                        await fleet.wait_ready(name)
                        await trio.sleep(5)
                    await trio.sleep(50)
                    rows = fleet.platform.table.rows.values()
                    keys = [row.key for row in rows if row.value is not None]
                    sizes.append(sum(not key.startswith("config") for key in keys))
                nursery.cancel_scope.cancel()
            return sizes

        sizes = run_virtual(main, 1)
        assert sizes[0] == sizes[1] == sizes[2]


class TestEpochsOfRestartedAgent:
    def test_restarted_agent_loads_epochs_before_opening_start_log(self):
        async def test(fleet, one, other):
            name = other.id
            await one.view.refresh()
            await take_over(one, name)
            fleet.agents["agent-1"].kill()
            agent = fleet.start_agent("agent-1").agent
            assert not agent.start_log.epochs_loaded
            await trio.sleep(1)
            assert agent.start_log.epochs_loaded
            taken_over = [r for r, s in one.view.ranges.items() if s.row.former == name]
            assert taken_over
            assert all(agent.start_log.epochs[r] == 2 for r in taken_over)

        run_fleet(test)
