import trio
import trio.testing

from bergamotcourse.tests.platform.soak.faults import AFTERMATH_SECONDS
from bergamotcourse.tests.platform.soak.records import Records, Seen
from bergamotcourse.tests.platform.soak.standstill import (
    LOOK_SECONDS,
    MARGIN_SECONDS,
    watch_standstills,
)
from bergamotcourse.tests.platform.soak.test_verdict import make_records, make_run
from bergamotcourse.tests.platform.soak.verdict import find_violations


def watched(*jumps):
    """Return what was noted while the clock jumped so."""
    records = Records()
    clock = trio.testing.MockClock()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_standstills, records, ["entry-1", "entry-2"])
            for jump in jumps:
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(jump)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)
    return records


class TestStandstills:
    def test_looks_in_time_and_short_pauses_are_none(self):
        records = watched(LOOK_SECONDS, LOOK_SECONDS + MARGIN_SECONDS / 2)
        assert (records.harms, records.faults) == ([], {})

    def test_a_long_one_harms_the_callers_of_all_entries(self):
        records = watched(LOOK_SECONDS, 7.0)
        assert records.faults == {"stood still": 1}
        assert [harm.entry for harm in records.harms] == ["entry-1", "entry-2"]
        [begun_at] = {harm.begun_at for harm in records.harms}
        [ended_at] = {harm.ended_at for harm in records.harms}
        assert ended_at - begun_at == 7.0 + AFTERMATH_SECONDS

    def test_an_answer_that_nobody_read_meanwhile_is_no_violation(self):
        harms = watched(3.0).harms
        history = [make_run(1, 1.0, 2.0)]
        assert find_violations(make_records(Seen.SILENT, harms=harms), history) == []

    def test_one_that_is_missing_at_another_time_is(self):
        harms = watched(*[LOOK_SECONDS] * 200, 3.0).harms
        history = [make_run(1, 1.0, 2.0)]
        [line] = find_violations(make_records(Seen.SILENT, harms=harms), history)
        assert line.startswith("silent")
