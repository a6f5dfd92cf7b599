import random

import msgspec
import pytest
import trio
from expression import Ok

from bergamotcourse.coordination.config_rows import HEAD_KEY, record_key
from bergamotcourse.coordination.config_watch import (
    PEER_SETTLE_SECONDS,
    ConfigWatch,
    Snapshot,
)
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.platform import Changes, Write
from bergamotcourse.standins.platform_store import CallKind, MemoryPlatform
from bergamotcourse.state import config_record
from bergamotcourse.tests.configs import accept, accept_releases, make_manifest, run
from bergamotcourse.tests.platform.odd_values import DEEP_JSON


def make_watch(platform, client="process"):
    return ConfigWatch(platform.view(client), Timers(random.Random(1)))


async def make_watch_at_version(version):
    """Return a watch that polled each version up to the given one."""
    platform = MemoryPlatform()
    watch = make_watch(platform)
    for done in range(version):
        await accept(platform, make_manifest(f"r{done + 1}"), done)
        await watch.poll()
    return watch


class TestPoll:
    def test_not_ready_before_a_version_is_read(self):
        async def main():
            platform = MemoryPlatform()
            watch = make_watch(platform)
            await watch.poll()
            assert not watch.ready
            await accept_releases(platform, 2)
            platform.faults.down = True
            await watch.poll()
            assert not watch.ready
            assert watch.last_error.took_effect is False
            platform.faults.down = False
            await watch.poll()
            assert watch.ready
            assert (watch.version, watch.manifest.release) == (2, "r2")
            assert watch.last_error is None

        run(main)

    def test_later_versions_need_one_read_and_no_full_manifest(self):
        async def main():
            platform = MemoryPlatform()
            watch = make_watch(platform)
            await accept_releases(platform, 1)
            await watch.poll()
            counters = watch.platform.counters
            counters.clear()
            seen = []
            watch.subscribe(lambda version, manifest: seen.append(version))
            for version in (1, 2, 3):
                await accept(platform, make_manifest(f"n{version}"), version)
            await watch.poll()
            await watch.poll()
            assert seen == [2, 3, 4]
            assert counters == {CallKind.READ_SINCE: 2}
            (head,) = (await platform.get([HEAD_KEY])).ok
            assert watch.table_version == head.version

        run(main)

    def test_full_manifest_is_read_if_record_has_no_changes(self, monkeypatch):
        async def main():
            platform = MemoryPlatform()
            watch = make_watch(platform)
            await accept_releases(platform, 1)
            await watch.poll()
            monkeypatch.setattr(config_record, "MAX_DELTA_BYTES", 0)
            await accept(platform, make_manifest("r2"), 1)
            await watch.poll()
            assert (watch.version, watch.manifest.release) == (2, "r2")
            assert watch.platform.counters[CallKind.GET_OBJECT] == 2

        run(main)

    def test_platform_with_older_version_is_ignored(self):
        async def main():
            watch = await make_watch_at_version(3)
            old = MemoryPlatform()
            await accept_releases(old, 1)
            watch.platform, watch.table_version = old.view("process"), 0
            await watch.poll()
            assert (watch.version, watch.manifest.release) == (3, "r3")

        run(main)

    def test_duplicated_and_reordered_rows_reach_the_head(self):
        async def main():
            platform = MemoryPlatform()
            watch = make_watch(platform)
            await accept_releases(platform, 1)
            await watch.poll()
            for version in range(1, 5):
                await accept(platform, make_manifest(f"r{version + 1}"), version)
            read_since = watch.platform.read_since

            async def shuffled(prefix, version):
                changes = (await read_since(prefix, 0)).ok
                rows = [*changes.rows, *changes.rows]
                random.Random(3).shuffle(rows)
                return Ok(Changes(changes.version, rows))

            watch.platform.read_since = shuffled
            await watch.poll()
            await watch.poll()
            assert watch.version == 5
            assert watch.platform.counters[CallKind.GET_OBJECT] == 1

        run(main)

    def test_new_version_is_in_force_within_four_seconds(self):
        async def main():
            platform = MemoryPlatform()
            timers = Timers(random.Random(1))
            watch = ConfigWatch(platform, timers)
            timers.every(1.5, "config", watch.poll)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timers.run)
                await accept_releases(platform, 1)
                await trio.sleep(4)
                assert watch.version == 1
                nursery.cancel_scope.cancel()

        run(main)

    @pytest.mark.parametrize("odd", ["deep", "unknown deep", "not JSON", "version"])
    def test_odd_record_hides_no_other(self, odd):
        """Guards against an entry that ends, or stays behind, after an odd row."""

        async def main():
            watch = await make_watch_at_version(1)
            platform = watch.platform.platform
            await accept(platform, make_manifest("r2"), 1)
            stored = (await platform.get([record_key(2)])).ok[0].value
            for number, key in enumerate(("config/delta/x", record_key(9))):
                value = odd_variants(stored)[odd]
                await platform.transact([Write(key, value, None)])
                await watch.poll()
                assert watch.version == 2
                assert watch.last_error is None
                assert len(watch.skipped_rows.logged) == number + 1

        run(main)

    @pytest.mark.parametrize("odd", ["deep", "unknown deep", "not JSON"])
    def test_odd_head_does_not_hide_a_record(self, odd):
        async def main():
            watch = await make_watch_at_version(1)
            platform = watch.platform.platform
            await accept(platform, make_manifest("r2"), 1)
            stored = (await platform.get([HEAD_KEY])).ok[0].value
            value = odd_variants(stored)[odd]
            await platform.transact([Write(HEAD_KEY, value, None)])
            await watch.poll()
            assert watch.version == 2
            assert watch.last_error is not None
            assert watch.ready

        run(main)


def odd_variants(stored):
    """Return variants of a stored record or head, by name."""
    fields = msgspec.json.decode(stored)
    return {
        "deep": DEEP_JSON,
        "unknown deep": msgspec.json.encode({**fields, "x": msgspec.Raw(DEEP_JSON)}),
        "not JSON": b"\xff",
        "version": msgspec.json.encode({**fields, "version": -(2**63)}),
    }


class TestApplyFromPeer:
    def test_odd_content_is_refused(self):
        """Guards against an entry that ends with what another one sends it."""

        async def main():
            watch = await make_watch_at_version(2)
            snapshot = watch.snapshot()
            empty = make_watch(MemoryPlatform())
            for odd in odd_variants(snapshot.record).values():
                assert not empty.apply_records(2, [odd])
                assert not empty.apply_snapshot(Snapshot(odd, snapshot.content))
            for odd in (DEEP_JSON, b'{"x":' + DEEP_JSON + b"}"):
                assert not empty.apply_snapshot(Snapshot(snapshot.record, odd))
            assert empty.apply_snapshot(snapshot)

        run(main)

    def test_records_of_another_process_are_applied_during_outage(self):
        async def main():
            ahead = await make_watch_at_version(5)
            behind = await make_watch_at_version(0)
            records = ahead.records_since(behind.version)
            assert behind.apply_records(ahead.version, records)
            assert behind.manifest == ahead.manifest
            assert not behind.ready
            await trio.sleep(PEER_SETTLE_SECONDS)
            assert behind.ready

        run(main)

    @pytest.mark.parametrize("seed", range(5))
    def test_version_never_decreases_with_records_in_any_order(self, seed):
        async def main():
            ahead = await make_watch_at_version(6)
            records = ahead.records_since(0)
            rng = random.Random(seed)
            watch = await make_watch_at_version(0)
            seen = [watch.version]
            watch.subscribe(lambda version, manifest: seen.append(version))
            for _ in range(60):
                some = rng.choices(records, k=rng.randint(1, 3))
                watch.apply_records(rng.randint(1, 6), some)
            assert seen == sorted(set(seen))
            watch.apply_records(6, records)
            assert seen[-1] == 6
            assert watch.manifest == ahead.manifest

        run(main)

    def test_records_after_a_gap_are_not_applied(self):
        async def main():
            records = (await make_watch_at_version(4)).records_since(0)
            watch = await make_watch_at_version(0)
            assert not watch.apply_records(4, [records[0], records[2], records[3]])
            assert watch.version == 1

        run(main)

    def test_altered_and_foreign_records_are_rejected(self):
        async def main():
            records = (await make_watch_at_version(2)).records_since(0)
            watch = await make_watch_at_version(1)
            foreign = records[1]  # same content, but its predecessor has another hash
            assert not watch.apply_records(2, [foreign])
            fresh = await make_watch_at_version(0)
            assert not fresh.apply_records(1, [records[0].replace(b"r1", b"r7"), b"{}"])
            assert fresh.version == 0

        run(main)

    def test_snapshot_is_applied_without_any_version_and_if_newer(self):
        async def main():
            ahead = await make_watch_at_version(3)
            fresh = await make_watch_at_version(0)
            assert fresh.snapshot() is None
            assert fresh.apply_snapshot(ahead.snapshot())
            assert fresh.manifest == ahead.manifest
            assert fresh.records_since(0) is None
            older = await make_watch_at_version(2)
            assert fresh.apply_snapshot(older.snapshot())
            assert fresh.version == 3

        run(main)
