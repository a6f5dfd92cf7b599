import trio
import trio.testing

from bergamotcourse.tests.platform.soak.faults import AFTERMATH_SECONDS
from bergamotcourse.tests.platform.soak.records import CallerOutcome, Records
from bergamotcourse.tests.platform.soak.standstill import (
    CALLER_GRACE_SECONDS,
    CHECK_INTERVAL_SECONDS,
    record_stalls,
)
from bergamotcourse.tests.platform.soak.test_verdict import make_records, make_run
from bergamotcourse.tests.platform.soak.verdict import find_violations


def record_clock_jumps(*jumps):
    """Return the records after the clock jumped by each of ``jumps`` seconds."""
    records = Records()
    clock = trio.testing.MockClock()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_stalls, records, ["entry-1", "entry-2"])
            for jump in jumps:
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(jump)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)
    return records


class TestStalls:
    def test_timely_checks_and_short_pauses_are_not_stalls(self):
        records = record_clock_jumps(
            CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS + CALLER_GRACE_SECONDS / 2
        )
        assert (records.disruptions, records.faults) == ([], {})

    def test_long_stall_disrupts_all_entries(self):
        records = record_clock_jumps(CHECK_INTERVAL_SECONDS, 7.0)
        assert records.faults == {"stood still": 1}
        assert [disruption.entry for disruption in records.disruptions] == [
            "entry-1",
            "entry-2",
        ]
        [begun_at] = {disruption.begun_at for disruption in records.disruptions}
        [ended_at] = {disruption.ended_at for disruption in records.disruptions}
        assert ended_at - begun_at == 7.0 + AFTERMATH_SECONDS

    def test_missing_response_during_stall_is_no_violation(self):
        disruptions = record_clock_jumps(3.0).disruptions
        history = [make_run(1, 1.0, 2.0)]
        assert (
            find_violations(
                make_records(CallerOutcome.NO_RESPONSE, disruptions=disruptions),
                history,
            )
            == []
        )

    def test_missing_response_outside_stall_is_violation(self):
        disruptions = record_clock_jumps(
            *[CHECK_INTERVAL_SECONDS] * 200, 3.0
        ).disruptions
        history = [make_run(1, 1.0, 2.0)]
        [line] = find_violations(
            make_records(CallerOutcome.NO_RESPONSE, disruptions=disruptions), history
        )
        assert line.startswith("silent")
