from dataclasses import replace

import pytest

from bergamotcourse.coordination import drain_changes
from bergamotcourse.coordination.config_audit import AuditFilter, read_audit
from bergamotcourse.coordination.config_rows import read_head_row, read_version
from bergamotcourse.coordination.config_store import Applied, LostRace, Unchanged
from bergamotcourse.coordination.drain_changes import add_drain, cancel_drain
from bergamotcourse.coordination.drains import Drains
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.manifest import Drain, DrainKind, digest
from bergamotcourse.tests.configs import accept, make_manifest, run

RACK_DRAIN = Drain(kind=DrainKind.RACK, name="r1")
ZONE_DRAIN = Drain(kind=DrainKind.ZONE, name="r1")


class TestDrainChanges:
    def test_cancelling_restores_content_from_before_the_drain(self):
        async def main():
            platform = MemoryPlatform()
            await accept(platform, make_manifest())
            assert (await add_drain(platform, RACK_DRAIN, "ane", "why")).ok.version == 2
            drained = (await read_version(platform, 2)).ok
            assert drained.policy.drains == [RACK_DRAIN]
            assert (
                await cancel_drain(platform, RACK_DRAIN, "jon", "ok")
            ).ok.version == 3
            _, head = (await read_head_row(platform)).ok
            assert head.digest == digest(make_manifest())
            records = (await read_audit(platform, AuditFilter(path="drains"))).ok
            assert [(one.version, one.who) for one in records] == [
                (2, "ane"),
                (3, "jon"),
            ]

        run(main)

    def test_adding_existing_drain_changes_nothing(self):
        async def main():
            platform = MemoryPlatform()
            await accept(platform, make_manifest())
            await add_drain(platform, RACK_DRAIN, "ane", "why")
            again = await add_drain(platform, RACK_DRAIN, "jon", "why")
            assert isinstance(again.ok, Unchanged)
            missing = await cancel_drain(platform, ZONE_DRAIN, "jon", "why")
            assert "no drain zone/r1" in missing.error.detail

        run(main)

    def test_retry_after_lost_race_keeps_both_changes(self, monkeypatch):
        platform = MemoryPlatform()
        races = [make_manifest("r2"), make_manifest("r3")]
        apply = drain_changes.config_store.apply

        async def apply_after_another(store, manifest, version, *more):
            if races:
                await apply(store, races.pop(0), version, "pipeline", "why")
            return await apply(store, manifest, version, *more)

        async def main():
            await accept(platform, make_manifest())
            monkeypatch.setattr(
                drain_changes.config_store, "apply", apply_after_another
            )
            result = await add_drain(platform, RACK_DRAIN, "ane", "why")
            assert (type(result.ok), result.ok.version) == (Applied, 4)
            newest = (await read_version(platform, 4)).ok
            policy = replace(newest.policy, drains=[RACK_DRAIN])
            assert newest == replace(make_manifest("r3"), policy=policy)

        run(main)

    def test_lost_race_is_returned_after_too_many_races(self, monkeypatch):
        async def always_lost(*_arguments):
            return drain_changes.Ok(LostRace(None, None))

        async def main():
            platform = MemoryPlatform()
            await accept(platform, make_manifest())
            monkeypatch.setattr(drain_changes.config_store, "apply", always_lost)
            result = await add_drain(platform, RACK_DRAIN, "ane", "why")
            assert isinstance(result.ok, LostRace)

        run(main)

    def test_drain_without_configuration_is_an_error(self):
        async def main():
            result = await add_drain(MemoryPlatform(), RACK_DRAIN, "ane", "why")
            assert "no configuration" in result.error.detail

        run(main)


class TestDrains:
    @pytest.mark.parametrize(
        ("kind", "covered"),
        [("zone", True), ("rack", True), ("worker", True), ("upstream", False)],
    )
    def test_covers_agents_by_zone_rack_and_worker(self, kind, covered):
        class Location:
            zone = rack = worker = "x"

        drains = Drains([Drain(kind=DrainKind(kind), name="x")])
        assert drains.covers(Location) is covered
        assert not Drains([Drain(kind=DrainKind(kind), name="y")]).covers(Location)
