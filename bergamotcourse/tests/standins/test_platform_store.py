"""Tests of the in-memory platform and its faults."""

import random

import pytest
import trio
from trio.testing import MockClock

from bergamotcourse.protocol.platform import ABSENT, Committed, Conflict, Row, Write
from bergamotcourse.standins.platform_store import CallKind, Faults, MemoryPlatform
from bergamotcourse.standins.platform_table import LOG_SLACK_ENTRIES, Table


def run(test):
    return trio.run(test, clock=MockClock(autojump_threshold=0))


def put(key, value=b"x", expected=None):
    return Write(key, value, expected)


class TestTable:
    def test_transaction_applies_all_writes_at_one_version(self):
        table = Table()
        assert table.transact("", [put("a"), put("b")]) == Committed(1)
        assert [table.get(key).version for key in "abc"] == [1, 1, ABSENT]

    def test_conflict_writes_nothing_and_returns_the_stale_rows(self):
        table = Table()
        table.transact("", [put("a", b"old")])
        verdict = table.transact("", [put("b"), put("a", b"new", expected=7)])
        assert verdict == Conflict([Row("a", 1, b"old")])
        assert (table.version, table.get("b").version) == (1, ABSENT)

    def test_check_only_write_leaves_the_row_unchanged(self):
        table = Table()
        table.transact("", [put("a", b"old")])
        check = Write("a", None, 1, check_only=True)
        assert table.transact("", [check, put("b")]) == Committed(2)
        assert table.get("a").row() == Row("a", 1, b"old")

    def test_deleted_row_remains_as_tombstone_and_counts_as_absent(self):
        table = Table()
        table.transact("", [put("a")])
        table.transact("", [put("a", None, expected=1)])
        assert table.read_since("", 1).rows == [Row("a", 2, None)]
        assert table.transact("", [put("a", b"y", ABSENT)]) == Committed(3)

    @pytest.mark.parametrize("expected", [ABSENT, 9])
    def test_repeated_writer_id_gets_its_first_verdict(self, expected):
        table = Table()
        first = table.transact("w1", [put("a", b"x", expected)])
        table.transact("", [put("a", None)])
        version = table.version
        assert table.transact("w1", [put("a", b"x", expected)]) == first
        assert table.version == version

    def test_oldest_writer_ids_are_evicted_beyond_the_limit(self):
        table = Table(writer_limit=1)
        for writer in ("w1", "w2", "w1"):
            table.transact(writer, [put("a")])
        assert table.version == 3

    def test_changes_are_in_version_order_even_after_compaction(self):
        table = Table()
        table.transact("", [put("p/a"), put("q/a")])
        for _ in range(LOG_SLACK_ENTRIES + 10):
            table.transact("", [put("p/b")])
        table.transact("", [put("p/a")])
        assert len(table.log) <= LOG_SLACK_ENTRIES + 10
        changes = table.read_since("p/", 0)
        assert [row.key for row in changes.rows] == ["p/b", "p/a"]
        assert changes.version == table.version
        assert table.read_since("p/", table.version).rows == []

    def test_pages_never_split_a_transaction(self):
        table = Table()
        table.transact("", [put("a")])
        table.transact("", [put("b"), put("c"), put("d")])
        table.transact("", [put("e")])
        page = table.read_page("", 0, 2)
        assert ("".join(row.key for row in page.rows), page.version) == ("abcd", 2)
        page = table.read_page("", page.version, 2)
        assert [row.key for row in page.rows] == ["e"]
        assert (page.version, page.more) == (3, False)

    def test_object_content_is_never_overwritten(self):
        table = Table()
        assert table.put_object("o", b"1") and table.put_object("o", b"1")
        assert not table.put_object("o", b"2")


class TestMemoryPlatform:
    def test_calls_are_counted_by_client_and_kind(self):
        async def test():
            platform = MemoryPlatform()
            view = platform.view("a")
            await view.get(["k"])
            await view.put_object("o", b"1")
            assert (await view.get_object("o")).ok == b"1"
            assert (await platform.read_since("", 0)).ok.rows == []
            assert platform.counters["a"][CallKind.GET] == 1
            assert platform.counters[""] == {CallKind.READ_SINCE: 1}

        run(test)

    def test_object_with_other_content_is_refused(self):
        async def test():
            platform = MemoryPlatform()
            assert (await platform.put_object("o", b"1")).is_ok()
            assert (await platform.put_object("o", b"2")).error.took_effect is False

        run(test)


class TestFaults:
    def test_half_of_the_delay_precedes_the_effect(self):
        async def test():
            platform = MemoryPlatform(Faults(delay=1.0))
            for cancelled_after, version in ((0.4, 0), (0.6, 1)):
                with trio.move_on_after(cancelled_after):
                    await platform.transact([put("a")])
                assert platform.table.version == version

        run(test)

    def test_call_to_a_down_platform_has_no_effect(self):
        async def test():
            platform = MemoryPlatform(Faults(down=True, fail_after=3.0))
            result = await platform.transact([put("a")])
            assert result.error.took_effect is False
            assert (trio.current_time(), platform.table.version) == (3.0, 0)

        run(test)

    def test_call_in_flight_when_the_platform_goes_down_has_no_effect(self):
        async def test():
            platform = MemoryPlatform(Faults(delay=2.0))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(platform.transact, [put("a")])
                await trio.sleep(0.5)
                platform.faults.down = True
            assert platform.table.version == 0

        run(test)

    def test_lost_answers_leave_the_outcome_unknown(self):
        async def test():
            platform = MemoryPlatform(Faults(lose_next_answers=1))
            assert (await platform.get(["a"])).is_ok()
            lost = await platform.transact([put("a")])
            assert (lost.error.took_effect, platform.table.version) == (None, 1)
            assert (await platform.transact([put("a")])).ok == Committed(2)
            platform.faults.lose_answers = True
            assert (await platform.put_object("o", b"1")).error.took_effect is None
            assert platform.table.objects == {"o": b"1"}

        run(test)

    def test_same_seed_drops_the_same_calls(self):
        async def verdicts():
            platform = MemoryPlatform(Faults(drop_calls=0.5), random.Random(4))
            results = [await platform.transact([put("a")]) for _ in range(40)]
            assert platform.table.version == sum(result.is_ok() for result in results)
            assert all(r.is_ok() or r.error.took_effect is None for r in results)
            return [result.is_ok() for result in results]

        assert run(verdicts) == run(verdicts)
        assert 0 < sum(run(verdicts)) < 40

    def test_cut_off_affects_only_the_named_clients(self):
        async def test():
            platform = MemoryPlatform()
            platform.cut_off(["a"])
            assert (await platform.view("a").get(["k"])).error.took_effect is False
            assert (await platform.view("b").get(["k"])).is_ok()
            platform.cut_off([])
            assert (await platform.view("a").get(["k"])).is_ok()

        run(test)
