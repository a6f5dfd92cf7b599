"""Each guarantee that the soak checks, both kept and violated."""

import pytest

from bergamotcourse.ids import UpstreamId
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.standins.order_upstream import Run
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.cluster import MAX_TASK_ATTEMPTS, Node
from bergamotcourse.tests.platform.soak.records import (
    Absence,
    Attempt,
    CallerOutcome,
    Cancellation,
    Disruption,
    Evacuation,
    Records,
    StoreOutage,
    Throttle,
)
from bergamotcourse.tests.platform.soak.repeats import (
    MAX_CANCELLATION_SECONDS,
    find_cancelled_successes,
    find_cancelled_work,
    find_forgotten_answers,
    find_repeated_starts,
)
from bergamotcourse.tests.platform.soak.responses import read_state
from bergamotcourse.tests.platform.soak.verdict import (
    MIN_JUDGED_ATTEMPTS,
    find_abandoned_starts,
    find_crashes,
    find_false_returns,
    find_lasting_overloads,
    find_violations,
)

JOB = "0000000000000001"


def make_run(number, started_at, ended_at, kind=EndKind.DONE, task=0):
    key = RunKey(TaskName(f"{JOB}.0.0.{task}"), number)
    run = Run(key, UpstreamId("i-1"), started_at, 1.0, 0.0, Resources(3100, 64, 0))
    run.ended_at = ended_at
    run.kind = kind
    return run


def make_records(*outcomes, tasks=1, disruptions=()):
    records = Records(tasks={JOB: tasks}, disruptions=list(disruptions))
    for number, outcome in enumerate(outcomes):
        sent_at = number * 5.0
        records.attempts.append(
            Attempt(JOB, "entry-1", sent_at, sent_at + 3.0, outcome)
        )
    return records


class TestAbandonedStarts:
    """Attempts last 3 s, and the next one begins 2 s later."""

    @pytest.mark.parametrize(
        "started_at, holds_bytes, found",
        [
            (1.0, False, False),
            (3.5, False, False),
            (4.5, False, True),
            (4.5, True, False),
            (5.5, False, False),
        ],
    )
    def test_of_jobs_whose_callers_have_left_are_found(
        self, started_at, holds_bytes, found
    ):
        records = make_records(
            CallerOutcome.NO_RESPONSE,
            CallerOutcome.SUCCEEDED,
            disruptions=[Disruption("entry-1", 1.0, 9.0, holds_bytes)],
        )
        run = make_run(1, started_at, started_at + 0.1)
        assert bool(find_abandoned_starts(records, [run])) == found


class TestRuns:
    def test_consecutive_runs_of_task_are_valid(self):
        history = [make_run(1, 0.0, 1.0, EndKind.LAPSED), make_run(2, 1.0, 2.0)]
        assert find_violations(make_records(CallerOutcome.SUCCEEDED), history) == []

    def test_overlapping_runs_of_task_are_reported(self):
        history = [make_run(1, 0.0, 1.0), make_run(2, 0.9, 2.0)]
        [line] = find_violations(make_records(CallerOutcome.SUCCEEDED), history)
        assert line.startswith("overlap")

    def test_run_without_end_overlaps_later_run(self):
        history = [make_run(1, 0.0, None), make_run(2, 0.9, 2.0)]
        [line] = find_violations(make_records(CallerOutcome.SUCCEEDED), history)
        assert line.startswith("overlap")

    def test_late_start_on_leaving_worker_is_reported(self):
        run = make_run(1, 0.0, 1.0)
        run.leaving_seconds = 2.1
        [line] = find_violations(make_records(CallerOutcome.SUCCEEDED), [run])
        assert line.startswith("started 2.100 s after")

    @pytest.mark.parametrize("outages, found", [([], 1), ([StoreOutage(-1.0, 1.0)], 0)])
    def test_late_start_in_evacuated_zone_is_reported_without_outage(
        self, outages, found
    ):
        run = make_run(1, 5.5, 6.0)
        run.zone = "north"
        records = make_records(CallerOutcome.SUCCEEDED)
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
    def test_start_in_usable_zone_is_valid(self, evacuation):
        run = make_run(1, 5.5, 6.0)
        run.zone = "north"
        records = make_records(CallerOutcome.SUCCEEDED)
        records.evacuations = [evacuation]
        assert find_violations(records, [run]) == []

    @pytest.mark.parametrize("label, found", [("a", 0), ("b", 1), ("", 0)])
    def test_start_without_the_required_label_is_reported(self, label, found):
        run = make_run(1, 0.0, 1.0)
        run.labels = ("a", "rack-1")
        records = make_records(CallerOutcome.SUCCEEDED)
        records.labels = {JOB: label}
        assert len(find_violations(records, [run])) == found

    def test_run_of_unsubmitted_job_is_reported(self):
        lines = find_violations(Records(), [make_run(1, 0.0, 1.0)])
        assert lines == [f"nobody asked for {JOB}"]


class TestFalseReturns:
    @pytest.mark.parametrize(
        "outcome, run, caller_outcomes, found",
        [
            ("returned", 1, [CallerOutcome.SUCCEEDED], 1),
            ("stale", 1, [CallerOutcome.SUCCEEDED], 1),
            ("lost", 1, [CallerOutcome.SUCCEEDED], 0),
            ("returned", 2, [CallerOutcome.SUCCEEDED], 0),
            ("returned", 1, [CallerOutcome.CUT, CallerOutcome.SUCCEEDED], 0),
        ],
    )
    def test_run_returned_as_not_started_is_reported_if_it_ran(
        self, outcome, run, caller_outcomes, found
    ):
        event = {
            "event": "task.again",
            "request": JOB,
            "task": f"{JOB}.0.0.0",
            "run": run,
            "outcome": outcome,
        }
        attempts = make_records(*caller_outcomes).attempts
        lines = find_false_returns(attempts, [make_run(1, 0.0, 1.0)], [event])
        assert len(lines) == found


class TestResponses:
    def test_refused_job_that_ran_is_reported(self):
        records = make_records(CallerOutcome.REFUSED)
        assert find_violations(records, []) == []
        [line] = find_violations(records, [make_run(1, 0.0, 1.0)])
        assert line.startswith("refused, and ran")

    def test_refusal_after_cut_attempt_is_no_violation(self):
        disruption = Disruption("entry-1", 0.0, 1.0)
        records = make_records(
            CallerOutcome.CUT, CallerOutcome.REFUSED, disruptions=[disruption]
        )
        assert find_violations(records, [make_run(1, 0.0, 1.0)]) == []

    def test_success_without_all_tasks_done_is_reported(self):
        records = make_records(CallerOutcome.SUCCEEDED, tasks=2)
        both = [make_run(1, 0.0, 1.0), make_run(1, 0.0, 1.0, task=1)]
        assert find_violations(records, both) == []
        [line] = find_violations(records, both[:1])
        assert line.startswith("succeeded with 1 of 2")

    @pytest.mark.parametrize(
        "runs, failures",
        [
            ([(0, EndKind.LAPSED, 1.0)] * MAX_TASK_ATTEMPTS, 0),
            ([(0, EndKind.DONE, 1.0)] * MAX_TASK_ATTEMPTS, 0),
            (
                [(0, EndKind.FAILED, 1.0)] * (MAX_TASK_ATTEMPTS - 1),
                MAX_TASK_ATTEMPTS - 1,
            ),
            ([(task, EndKind.FAILED, 1.0) for task in range(MAX_TASK_ATTEMPTS)], 1),
            ([(0, EndKind.FAILED, 1.0 + 2 * n) for n in range(MAX_TASK_ATTEMPTS)], 2),
            ([], 0),
        ],
        ids=["lapsed", "done", "too few", "of several tasks", "too late", "no run"],
    )
    def test_failure_before_a_task_used_up_its_attempts_is_reported(
        self, runs, failures
    ):
        history = [
            make_run(number, ended_at, ended_at, kind, task)
            for number, (task, kind, ended_at) in enumerate(runs, 1)
        ]
        [line] = find_violations(make_records(CallerOutcome.FAILED), history)
        assert line.startswith(f"failed after {failures} of {MAX_TASK_ATTEMPTS} ")

    def test_failure_after_a_task_used_up_its_attempts_is_valid(self):
        history = [
            make_run(number, number / 2, number / 2 + 0.5, EndKind.FAILED)
            for number in range(MAX_TASK_ATTEMPTS)
        ]
        assert find_violations(make_records(CallerOutcome.FAILED), history) == []

    def test_cut_without_matching_disruption_is_reported(self):
        history = [make_run(1, 0.0, 1.0)]
        [line] = find_violations(make_records(CallerOutcome.CUT), history)
        assert line.startswith("cut")
        far = [Disruption("entry-1", 10.0, 15.0), Disruption("entry-2", 0.0, 5.0)]
        assert find_violations(
            make_records(CallerOutcome.CUT, disruptions=far), history
        )
        near = [Disruption("entry-1", 2.0, 7.0)]
        assert not find_violations(
            make_records(CallerOutcome.CUT, disruptions=near), history
        )

    @pytest.mark.parametrize("answered, found", [(1, True), (2, False)])
    def test_cut_beside_another_call_is_reported_if_it_was_begun(self, answered, found):
        records = make_records(CallerOutcome.CUT)
        beside = Attempt(JOB, "entry-1", 0.5, 2.0, CallerOutcome.SUCCEEDED)
        records.attempts.append(beside)
        kinds = ["job.taken", "job.joined", *["job.answered"] * answered]
        events = [{"event": kind, "node": "entry-1", "request": JOB} for kind in kinds]
        lines = find_violations(records, [make_run(1, 0.0, 1.0)], events)
        assert bool(lines) == found

    def test_cut_before_any_run_is_closed_idle_connection(self):
        assert find_violations(make_records(CallerOutcome.CUT), []) == []

    def test_unexpected_status_is_reported(self):
        [line] = find_violations(make_records(CallerOutcome.UNEXPECTED_STATUS), [])
        assert line.startswith("status")


class TestLastingOverloads:
    """A throttle from 0 to 3 s; the attempts from 6 to 9 s are judged."""

    def find(self, own, others, disruptions=()):
        records = Records(disruptions=list(disruptions))
        records.throttles.append(Throttle("entry-1", 0.0, 3.0))
        for entry, outcome in (("entry-1", own), ("entry-2", others)):
            for number in range(MIN_JUDGED_ATTEMPTS):
                sent_at = 6.0 + number / 10
                records.attempts.append(
                    Attempt(JOB, entry, sent_at, sent_at + 0.1, outcome)
                )
        return find_lasting_overloads(records)

    def test_entry_that_serves_nothing_while_others_serve_is_reported(self):
        [line] = self.find(CallerOutcome.REFUSED, CallerOutcome.SUCCEEDED)
        assert line.startswith("entry-1 served none")

    def test_entry_that_serves_again_is_valid(self):
        assert not self.find(CallerOutcome.SUCCEEDED, CallerOutcome.SUCCEEDED)

    def test_refusals_by_all_entries_are_valid(self):
        assert not self.find(CallerOutcome.REFUSED, CallerOutcome.REFUSED)

    def test_another_fault_after_the_throttle_explains_refusals(self):
        for entry, found in (("entry-1", 0), ("entry-2", 1)):
            kill = Disruption(entry, 5.0, 10.0)
            lines = self.find(CallerOutcome.REFUSED, CallerOutcome.SUCCEEDED, [kill])
            assert len(lines) == found


def make_cancellation(sent_at, acknowledged=True):
    return Cancellation(JOB, "entry-1", sent_at, sent_at + 0.1, acknowledged)


class TestCancellations:
    @pytest.mark.parametrize(
        "body, outcome",
        [
            (b'{"state":"succeeded"}', CallerOutcome.SUCCEEDED),
            (b'{"state":"failed"}', CallerOutcome.FAILED),
            (b'{"state":"cancelled"}', CallerOutcome.UNREADABLE),
            (b'{"state":"succe', CallerOutcome.UNREADABLE),
            (b'{"state":1}', CallerOutcome.UNREADABLE),
            (b"{}", CallerOutcome.UNREADABLE),
            (b"", CallerOutcome.UNREADABLE),
        ],
    )
    def test_answer_has_one_of_two_states(self, body, outcome):
        assert read_state(body) is outcome

    def test_answer_without_a_state_is_reported(self):
        records = make_records(CallerOutcome.UNREADABLE)
        assert len(find_violations(records, [])) == 1

    @pytest.mark.parametrize("sent_at, found", [(1.0, False), (4.0, True)])
    def test_failure_is_explained_by_an_earlier_cancellation(self, sent_at, found):
        records = make_records(CallerOutcome.FAILED)
        records.cancellations.append(make_cancellation(sent_at))
        assert bool(find_violations(records, [])) == found

    @pytest.mark.parametrize(
        "after, acknowledged, elsewhere, restarted, found",
        [
            (1.0, True, False, False, True),
            (-0.5, True, False, False, False),
            (1.0, False, False, False, False),
            (1.0, True, True, False, True),
            (1.0, True, False, True, False),
        ],
    )
    def test_late_start_is_reported(
        self, after, acknowledged, elsewhere, restarted, found
    ):
        records = make_records(CallerOutcome.FAILED)
        cancellation = make_cancellation(1.0, acknowledged)
        records.cancellations.append(cancellation)
        if elsewhere:
            attempt = Attempt(JOB, "entry-2", 1.0, 2.0, CallerOutcome.SUCCEEDED)
            records.attempts.append(attempt)
        if restarted:
            records.absences.append(Absence("entry-1", 1.5, 2.0, True))
        started_at = cancellation.ended_at + MAX_CANCELLATION_SECONDS + after
        runs = [make_run(1, started_at, started_at + 0.1)]
        assert bool(find_cancelled_work(records, runs)) == found

    @pytest.mark.parametrize("ended_at, found", [(3.9, 0), (4.2, 1), (None, 1)])
    def test_run_that_goes_on_is_reported(self, ended_at, found):
        records = make_records(CallerOutcome.FAILED)
        records.cancellations.append(make_cancellation(1.0))
        runs = [make_run(1, 0.5, ended_at)]
        assert len(find_cancelled_work(records, runs)) == found

    @pytest.mark.parametrize("sent_at, found", [(1.0, 1), (0.05, 0), (4.0, 0)])
    def test_job_called_gone_is_judged_if_a_call_waited(self, sent_at, found):
        records = make_records(CallerOutcome.TIMED_OUT)
        gone = Cancellation(JOB, "entry-2", sent_at, sent_at + 0.1, False, gone=True)
        records.cancellations.append(gone)
        assert len(find_cancelled_work(records, [make_run(1, 8.0, 9.0)])) == found

    @pytest.mark.parametrize("ended_at, found", [(4.0, 0), (4.2, 1)])
    def test_late_success_of_waiting_call_is_reported(self, ended_at, found):
        call = Attempt(JOB, "entry-1", 0.0, ended_at, CallerOutcome.SUCCEEDED)
        records = Records(attempts=[call], cancellations=[make_cancellation(1.0)])
        assert len(find_cancelled_successes(records, [])) == found


class TestRepeatedJobs:
    """A job that entry 1 answered at 3 s comes again to some entry at 5 s."""

    def make_records(self, entry, outcome, absences=()):
        records = make_records(CallerOutcome.SUCCEEDED)
        records.attempts.append(Attempt(JOB, entry, 5.0, 6.0, outcome))
        records.absences = list(absences)
        return records

    @pytest.mark.parametrize("entry", ["entry-1", "entry-2"])
    @pytest.mark.parametrize(
        "outcome, found",
        [
            (CallerOutcome.SUCCEEDED, 0),
            (CallerOutcome.FAILED, 1),
            (CallerOutcome.REFUSED, 1),
            (CallerOutcome.TIMED_OUT, 1),
            (CallerOutcome.UNEXPECTED_STATUS, 1),
            (CallerOutcome.CUT, 0),
        ],
    )
    def test_contradicting_answer_is_reported(self, entry, outcome, found):
        records = self.make_records(entry, outcome)
        assert len(find_forgotten_answers(records)) == found

    @pytest.mark.parametrize("started_at, found", [(4.9, 0), (5.1, 1), (6.1, 0)])
    def test_start_as_the_job_comes_again_is_reported(self, started_at, found):
        records = self.make_records("entry-2", CallerOutcome.SUCCEEDED)
        runs = [make_run(1, 0.0, 1.0), make_run(2, started_at, 7.0)]
        assert len(find_repeated_starts(records, runs)) == found

    @pytest.mark.parametrize(
        "entry, absence, found",
        [
            ("entry-1", Absence("entry-1", 3.5, 4.5, True), 0),
            ("entry-1", Absence("entry-1", 2.5, 4.5, False), 1),
            ("entry-1", Absence("entry-1", 5.5, 7.0, True), 1),
            ("entry-1", Absence("entry-2", 3.5, 4.5, True), 1),
            ("entry-2", Absence("entry-1", 3.5, 4.5, True), 0),
            ("entry-2", Absence("entry-1", 4.1, 4.5, True), 1),
            ("entry-2", Absence("entry-2", 4.1, 4.5, True), 0),
            ("entry-2", Absence("entry-2", 3.5, 4.5, False), 0),
            ("entry-2", Absence("entry-2", 4.1, 4.5, False), 1),
            ("entry-2", Absence("entry-3", 3.5, 4.5, True), 1),
        ],
    )
    def test_entry_that_cannot_know_is_excused(self, entry, absence, found):
        records = self.make_records(entry, CallerOutcome.REFUSED, [absence])
        assert len(find_forgotten_answers(records)) == found

    def test_call_within_a_second_of_the_answer_is_not_judged(self):
        records = make_records(CallerOutcome.SUCCEEDED)
        again = Attempt(JOB, "entry-2", 3.9, 4.5, CallerOutcome.REFUSED)
        records.attempts.append(again)
        assert find_forgotten_answers(records) == []


class TestCrashes:
    @pytest.mark.parametrize(
        "code, found",
        [(0, False), (-9, False), (-15, False), (1, True), (-1, True), (-11, True)],
    )
    def test_end_without_an_order_is_reported(self, tmp_path, code, found):
        log = tmp_path / "entry-1.log"
        log.write_text('{"event":"process.start"}\n  | RecursionError: too deep\n')
        node = Node("entry-1", "entry", "127.0.0.1", log, {})
        node.process = FinishedProcess(0)
        node.exit_codes = [0, code]
        lines = find_crashes([node])
        assert bool(lines) == found
        if found:
            assert lines[0].endswith(": RecursionError: too deep")


class FinishedProcess:
    def __init__(self, code):
        self.code = code

    def poll(self):
        return self.code
