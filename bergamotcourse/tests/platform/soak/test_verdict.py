"""Each promise that the soak checks, kept and not kept."""

import pytest

from bergamotcourse.ids import UpstreamId
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.standins.order_upstream import Run
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.soak.records import (
    Attempt,
    Evacuation,
    Harm,
    Records,
    Seen,
    StoreOutage,
)
from bergamotcourse.tests.platform.soak.verdict import (
    find_false_returns,
    find_violations,
)

JOB = "0000000000000001"


def make_run(number, started_at, ended_at, kind=EndKind.DONE, task=0):
    key = RunKey(TaskName(f"{JOB}.0.0.{task}"), number)
    run = Run(key, UpstreamId("i-1"), started_at, 1.0, 0.0, Resources(3100, 64, 0))
    run.ended_at = ended_at
    run.kind = kind
    return run


def make_records(*seen, tasks=1, harms=()):
    records = Records(tasks={JOB: tasks}, harms=list(harms))
    for number, one in enumerate(seen):
        sent_at = number * 5.0
        records.attempts.append(Attempt(JOB, "entry-1", sent_at, sent_at + 3.0, one))
    return records


class TestRuns:
    def test_one_after_the_other_is_right(self):
        history = [make_run(1, 0.0, 1.0, EndKind.LAPSED), make_run(2, 1.0, 2.0)]
        assert find_violations(make_records(Seen.SUCCEEDED), history) == []

    def test_two_at_once(self):
        history = [make_run(1, 0.0, 1.0), make_run(2, 0.9, 2.0)]
        [line] = find_violations(make_records(Seen.SUCCEEDED), history)
        assert line.startswith("overlap")

    def test_one_that_never_ended(self):
        history = [make_run(1, 0.0, None), make_run(2, 0.9, 2.0)]
        [line] = find_violations(make_records(Seen.SUCCEEDED), history)
        assert line.startswith("overlap")

    def test_one_on_a_worker_that_has_been_leaving_for_long(self):
        run = make_run(1, 0.0, 1.0)
        run.leaving_seconds = 2.1
        [line] = find_violations(make_records(Seen.SUCCEEDED), [run])
        assert line.startswith("started 2.100 s after")

    @pytest.mark.parametrize("outages, found", [([], 1), ([StoreOutage(-1.0, 1.0)], 0)])
    def test_one_in_a_zone_that_was_evacuated_long_before(self, outages, found):
        run = make_run(1, 5.5, 6.0)
        run.zone = "north"
        records = make_records(Seen.SUCCEEDED)
        records.evacuations = [Evacuation("north", 0.0, 9.0)]
        records.outages = outages
        assert len(find_violations(records, [run])) == found

    @pytest.mark.parametrize(
        "evacuation",
        [
            Evacuation("south", 0.0, 9.0),
            Evacuation("north", 1.0, 9.0),
            Evacuation("north", 0.0, 5.4),
        ],
        ids=["another zone", "just before", "taken back"],
    )
    def test_one_in_a_zone_that_may_be_used(self, evacuation):
        run = make_run(1, 5.5, 6.0)
        run.zone = "north"
        records = make_records(Seen.SUCCEEDED)
        records.evacuations = [evacuation]
        assert find_violations(records, [run]) == []

    def test_one_that_nobody_asked_for(self):
        lines = find_violations(Records(), [make_run(1, 0.0, 1.0)])
        assert lines == [f"nobody asked for {JOB}"]


class TestReturns:
    @pytest.mark.parametrize(
        "outcome, run, seen, found",
        [
            ("returned", 1, [Seen.SUCCEEDED], 1),
            ("stale", 1, [Seen.SUCCEEDED], 1),
            ("lost", 1, [Seen.SUCCEEDED], 0),
            ("returned", 2, [Seen.SUCCEEDED], 0),
            ("returned", 1, [Seen.CUT, Seen.SUCCEEDED], 0),
        ],
    )
    def test_of_runs_that_ran_are_false(self, outcome, run, seen, found):
        event = {
            "event": "task.again",
            "request": JOB,
            "task": f"{JOB}.0.0.0",
            "run": run,
            "outcome": outcome,
        }
        attempts = make_records(*seen).attempts
        lines = find_false_returns(attempts, [make_run(1, 0.0, 1.0)], [event])
        assert len(lines) == found


class TestAnswers:
    def test_a_refusal_of_what_ran_is_false(self):
        records = make_records(Seen.REFUSED)
        assert find_violations(records, []) == []
        [line] = find_violations(records, [make_run(1, 0.0, 1.0)])
        assert line.startswith("refused, and ran")

    def test_after_a_cut_a_refusal_says_nothing_of_the_first_attempt(self):
        harm = Harm("entry-1", 0.0, 1.0)
        records = make_records(Seen.CUT, Seen.REFUSED, harms=[harm])
        assert find_violations(records, [make_run(1, 0.0, 1.0)]) == []

    def test_a_success_needs_each_task_done(self):
        records = make_records(Seen.SUCCEEDED, tasks=2)
        both = [make_run(1, 0.0, 1.0), make_run(1, 0.0, 1.0, task=1)]
        assert find_violations(records, both) == []
        [line] = find_violations(records, both[:1])
        assert line.startswith("succeeded with 1 of 2")

    def test_a_cut_without_a_fault_near(self):
        history = [make_run(1, 0.0, 1.0)]
        [line] = find_violations(make_records(Seen.CUT), history)
        assert line.startswith("cut")
        far = [Harm("entry-1", 10.0, 15.0), Harm("entry-2", 0.0, 5.0)]
        assert find_violations(make_records(Seen.CUT, harms=far), history)
        near = [Harm("entry-1", 2.0, 7.0)]
        assert not find_violations(make_records(Seen.CUT, harms=near), history)

    def test_a_cut_before_anything_began_is_an_idle_connection_that_closed(self):
        assert find_violations(make_records(Seen.CUT), []) == []

    def test_a_status_that_no_caller_should_get(self):
        [line] = find_violations(make_records(Seen.ODD), [])
        assert line.startswith("status")
