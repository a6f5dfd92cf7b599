import msgspec
import trio

from bergamotcourse.bench.configuration import ConfigChangeRun, Figures
from bergamotcourse.coordination.config_announce import announce
from bergamotcourse.coordination.config_store import apply
from bergamotcourse.coordination.in_force import (
    in_force,
    read_in_force,
    read_lease_rows,
    wait_in_force,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.lease_rows import LeaseRow, lease_key
from bergamotcourse.tests.configs import make_manifest, run
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet, default_manifest


def run_fleet(main):
    async def start():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(entries=3, agents=1))
            await fleet.start()
            await main(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(start, 1)


async def put_row(platform, name, config, **more):
    row = LeaseRow(name, f"tcp://{name}", "a", "", 1, config=config, **more)
    write = Write(lease_key(name), msgspec.json.encode(row), None)
    await platform.transact([write])


class TestReadInForce:
    def test_reports_entries_with_older_versions_as_lagging(self):
        async def main():
            platform = MemoryPlatform()
            await put_row(platform, "one", 3)
            await put_row(platform, "two", 2)
            await put_row(platform, "gone", 1, released=True)
            await put_row(platform, "dead", 1, fenced_by="one")
            report = (await read_in_force(platform, 3)).ok
            assert (report.total, report.current) == (2, 1)
            assert report.lagging == ["two"]
            assert not report.everywhere

        run(main)

    def test_wait_ends_when_the_last_entry_is_current_or_at_timeout(self):
        async def main():
            platform = MemoryPlatform()
            await put_row(platform, "one", 2)
            assert not (await wait_in_force(platform, 3, 2.0)).ok.everywhere
            assert trio.current_time() <= 2.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_in_force, platform, 3, 60.0)
                await trio.sleep(5)
                await put_row(platform, "one", 3)
            assert trio.current_time() < 9.0

        run(main)

    def test_unavailable_platform_is_an_error(self):
        async def main():
            platform = MemoryPlatform()
            platform.faults.down = True
            assert (await wait_in_force(platform, 3, 1.0)).is_error()

        run(main)


class TestInForce:
    def test_entry_reports_peers_with_older_versions_as_lagging(self):
        async def main(fleet):
            entry = fleet.entries["entry-1"].entry
            await trio.sleep(3)
            assert in_force(entry).everywhere
            assert in_force(entry).total == 3
            fleet.network.cut_all(LinkAddress("tcp://entry-3"))
            fleet.platform.cut_off(["entry-3"])
            manifest = default_manifest("getxo")
            await apply(fleet.platform.view("operator"), manifest, 1, "ane", "why")
            await trio.sleep(4)
            report = in_force(entry)
            assert report.version == 2
            assert [name.rpartition("-")[0] for name in report.lagging] == ["entry-3"]

        run_fleet(main)


class TestAnnounce:
    def test_version_reaches_entries_if_platform_fails_after_accepting(self):
        async def main(fleet):
            operator = fleet.platform.view("operator")
            rows = (await read_lease_rows(operator)).ok
            applied = await apply(operator, make_manifest(), 1, "ane", "why")
            fleet.platform.faults.down = True
            link = fleet.network.link(LinkAddress("tcp://operator"))
            addresses = [LinkAddress(row.address) for row in rows]
            reported_versions = await announce(
                link, operator, addresses, applied.ok.accepted
            )
            assert set(reported_versions.values()) == {2}
            for process in fleet.entries.values():
                assert process.entry.config.manifest == make_manifest()

        run_fleet(main)

    def test_changes_too_long_for_records_are_in_force_in_time(self, monkeypatch):
        monkeypatch.setattr("bergamotcourse.state.config_record.MAX_DELTA_BYTES", 0)

        async def main(fleet):
            figures = Figures()
            await ConfigChangeRun(fleet, 3, figures).run(6)
            assert not figures.late

        run_fleet(main)

    def test_entries_without_reply_are_returned_with_no_version(self):
        async def main(fleet):
            operator = fleet.platform.view("operator")
            applied = await apply(operator, make_manifest(), 1, "ane", "why")
            link = fleet.network.link(LinkAddress("tcp://operator"))
            nobody = LinkAddress("tcp://nobody")
            reported_versions = await announce(
                link, operator, [nobody], applied.ok.accepted
            )
            assert reported_versions == {nobody: 0}

        run_fleet(main)
