"""Sequences of callers' requests and faults, with the answers the protocol allows.

To run many more sequences by hand, each time other ones:

    CALLERS_PROTOCOL_EXAMPLES=5000 .venv/bin/python -m pytest \
        bergamotcourse/tests/platform/test_callers_protocol.py -k sequence
"""

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bergamotcourse.tests.platform.callers_protocol import (
    DEADLINE_SECONDS,
    JOB_WORK_SECONDS,
    Ask,
    Body,
    Burst,
    Cancel,
    Cut,
    Freeze,
    Kill,
    Submit,
    Wait,
    calls_of,
    violations_of,
)

EXAMPLES = int(os.environ.get("CALLERS_PROTOCOL_EXAMPLES", "0"))
CI_EXAMPLES = 45
MAX_PARTS = 8

jobs = st.integers(0, len(JOB_WORK_SECONDS) - 1)
entries = st.integers(1, 2)
times = st.sampled_from([1.5, 0.05, 0.4, 3.0, 6.0])
waits = st.builds(Wait, times)
requests = st.one_of(
    st.builds(Submit, jobs, entries),
    st.builds(Cancel, jobs, entries),
    st.builds(Ask, jobs, entries),
    st.builds(
        Submit,
        jobs,
        entries,
        st.sampled_from([DEADLINE_SECONDS + 0.5, 0.02, 0.2, 1.0]),
        st.sampled_from(Body),
    ),
)
faults = st.one_of(
    st.builds(Burst, entries),
    st.builds(Freeze, entries, times),
    st.builds(Cut, entries, times),
    st.builds(Kill, entries, times),
)


def returns_of(job):
    """Return the steps of a caller who submits a job and comes back for it."""
    later = st.one_of(
        *[st.builds(kind, st.just(job), entries) for kind in (Submit, Cancel, Ask)]
    )
    return st.tuples(st.builds(Submit, st.just(job), entries), waits, later)


parts = st.one_of(
    jobs.flatmap(returns_of),
    st.tuples(requests),
    st.tuples(requests, waits),
    st.tuples(faults),
)
sequences = st.lists(parts, min_size=1, max_size=MAX_PARTS).map(
    lambda chosen: [step for part in chosen for step in part]
)


def check(sequence):
    violations = violations_of(sequence)
    assert not violations, "\n".join(violations)


class TestSequencesOfCalls:
    @settings(
        max_examples=EXAMPLES or CI_EXAMPLES,
        derandomize=not EXAMPLES,
        database=None,
        report_multiple_bugs=False,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(sequences)
    def test_each_sequence_keeps_the_protocol(self, sequence):
        check(sequence)


class TestJobThatComesAgainAfterItsEnd:
    def test_does_not_run_again_at_its_entry(self):
        check([Submit(0, 1), Wait(2.0), Submit(0, 1)])

    def test_does_not_run_again_at_another_entry(self):
        check([Submit(0, 1), Wait(2.0), Submit(0, 2)])

    def test_is_not_refused_for_want_of_room(self):
        sequence = [Submit(0, 1), Wait(2.0), Burst(1), Submit(0, 1)]
        check(sequence)

    def test_keeps_a_state_that_any_entry_shows(self):
        sequence = [Submit(0, 1), Wait(2.0), Ask(0, 1), Ask(0, 2)]
        check(sequence)


class TestCancellationAtAnotherEntry:
    def test_acknowledged_cancellation_ends_the_job(self):
        check([Submit(1, 1), Wait(0.05), Cancel(1, 2)])

    def test_cancelled_job_does_not_run_when_it_comes_again(self):
        again = [Wait(1.5), Submit(1, 2)]
        check([Submit(1, 1, 0.2), Wait(0.05), Cancel(1, 2), *again])


class TestStateOfCancelledJob:
    def test_is_shown_after_the_answer_to_its_caller(self):
        calls = calls_of([Submit(1, 1), Wait(0.05), Cancel(1, 1), Wait(1.5), Ask(1, 1)])
        assert [call.status for call in calls] == [200, 200, 200]
        assert calls[-1].state in ("cancelled", "failed")

    def test_job_that_nobody_submitted_is_not_shown(self):
        cancel, ask = calls_of([Cancel(1, 1), Wait(1.5), Ask(1, 1)])
        assert (cancel.status, ask.status) == (410, 410)
