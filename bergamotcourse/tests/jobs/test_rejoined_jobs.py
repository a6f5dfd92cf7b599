"""Calls for a job that is already known at the entry, or has an outcome there."""

import pytest
import trio

from bergamotcourse.coordination.jobs.cancellations import (
    MAX_CANCELLATIONS,
    RETENTION_SECONDS,
    Cancellations,
)
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of, wait_for_runs
from bergamotcourse.virtual.job_fleet import QUEUE, job

WORK_SECONDS = 0.5
TIMEOUT_SECONDS = 20.0


class Call:
    """One call that submits a job to the first entry and waits for the answer."""

    def __init__(self, fleet, spec, seconds=TIMEOUT_SECONDS):
        self.dispatcher = fleet.entries["entry-1"].jobs
        self.has_disconnected = False
        self.spec = spec
        self.seconds = seconds
        self.answer = None
        self.answered_at = None
        self.done = trio.Event()
        fleet.nursery.start_soon(self.submit)

    async def submit(self):
        try:
            self.answer = await self.dispatcher.submit(
                self.spec, QUEUE, self.seconds, lambda: self.has_disconnected
            )
        finally:
            self.answered_at = trio.current_time()
            self.done.set()

    def notice_disconnect(self):
        """Let the dispatcher notice it before the server cancels the call."""
        for link in self.dispatcher.links.links.values():
            self.dispatcher.handle_contact_resumed(link)


class TestCallThatFindsAnAbandonedJob:
    def test_gets_the_outcome_of_its_own_run(self):
        """Guards against an answer that belongs to calls whose callers have left."""

        async def main(fleet):
            spec = job("a", tasks=2, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec, 2)
            first.has_disconnected = True
            first.notice_disconnect()
            again = Call(fleet, spec)
            await again.done.wait()
            assert first.answer.outcome is JobOutcome.CANCELLED
            assert again.answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main)

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_starts_no_task_while_its_former_run_is_being_stopped(self, seed):
        async def main(fleet):
            spec = job("a", tasks=6, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec, 6)
            first.has_disconnected = True
            first.notice_disconnect()
            again = Call(fleet, spec)
            await again.done.wait()
            assert again.answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main, seed=seed)

    def test_is_not_refused_while_its_former_run_may_go_on(self):
        """Guards against 503 for a job of which a task runs to its end afterwards."""

        async def main(fleet):
            spec = job("a", tasks=1, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec)
            for agent in fleet.agents.values():
                agent.freeze()
            first.has_disconnected = True
            first.notice_disconnect()
            again = Call(fleet, spec)
            await again.done.wait()
            assert runs_of(fleet, "a")[0].ended_at is None
            assert again.answer.outcome is JobOutcome.TIMED_OUT

        run_fleet(main)


class TestCallWithTimeLeft:
    def test_outlasts_the_deadline_of_an_earlier_call(self):
        """Guards against telling a caller that another caller's time is over."""

        async def main(fleet):
            spec = job("a", tasks=1, work=1.0)
            short = Call(fleet, spec, seconds=0.5)
            await wait_for_runs(fleet, spec)
            long = Call(fleet, spec, seconds=5.0)
            await short.done.wait()
            await long.done.wait()
            assert short.answer.outcome is JobOutcome.TIMED_OUT
            assert long.answer.outcome is JobOutcome.SUCCEEDED
            assert len(runs_of(fleet, "a")) == 1

        run_fleet(main)


class TestCallForACancelledJob:
    def test_starts_nothing_after_the_cancellation(self):
        """Guards against a late submission that runs a job its caller has cancelled."""

        async def main(fleet):
            spec = job("a", tasks=2, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec, 2)
            assert first.dispatcher.cancel(QUEUE.key(spec.id))
            at_once = Call(fleet, spec)
            await first.done.wait()
            await at_once.done.wait()
            await trio.sleep(5.0)
            late = Call(fleet, spec)
            await late.done.wait()
            outcomes = {call.answer.outcome for call in (first, at_once, late)}
            assert outcomes == {JobOutcome.CANCELLED}
            assert len(runs_of(fleet, "a")) == 2

        run_fleet(main)

    @pytest.mark.parametrize("outcome", list(JobOutcome))
    def test_starts_nothing_if_the_job_had_an_outcome_when_it_was_cancelled(
        self, outcome
    ):
        """Guards against an acknowledged cancellation that is forgotten."""

        async def main(fleet):
            spec = job("a", tasks=1, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec)
            first.dispatcher.jobs[spec.id].finish(outcome)
            assert first.dispatcher.cancel(QUEUE.key(spec.id))
            await first.done.wait()
            again = Call(fleet, spec)
            await again.done.wait()
            assert first.answer.outcome is outcome
            is_final = outcome in (JobOutcome.SUCCEEDED, JobOutcome.FAILED)
            expected = outcome if is_final else JobOutcome.CANCELLED
            assert again.answer.outcome is expected
            assert len(runs_of(fleet, "a")) == 1

        run_fleet(main)

    def test_gets_the_success_of_a_job_that_was_cancelled_after_it(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=WORK_SECONDS)
            first = Call(fleet, spec)
            await wait_for_runs(fleet, spec)
            first.dispatcher.jobs[spec.id].finish(JobOutcome.SUCCEEDED)
            assert first.dispatcher.cancel(QUEUE.key(spec.id))
            at_once = Call(fleet, spec)
            await at_once.done.wait()
            assert at_once.answer == first.answer
            assert len(runs_of(fleet, "a")) == 1

        run_fleet(main)

    def test_gets_the_outcome_of_a_job_that_had_ended_before(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=0.1)
            first = Call(fleet, spec)
            await first.done.wait()
            assert not first.dispatcher.cancel(QUEUE.key(spec.id))
            again = Call(fleet, spec)
            await again.done.wait()
            assert again.answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main)


class TestCancellations:
    def test_are_forgotten_after_the_retention_time(self):
        cancellations = Cancellations()
        cancellations.add("a", 0.0)
        cancellations.add("b", RETENTION_SECONDS)
        assert cancellations.contains("a", RETENTION_SECONDS)
        assert not cancellations.contains("a", RETENTION_SECONDS + 1)
        assert list(cancellations.times) == ["b"]

    def test_are_bounded_in_number(self):
        cancellations = Cancellations()
        for number in range(MAX_CANCELLATIONS + 1):
            cancellations.add(str(number), 0.0)
        assert len(cancellations.times) == MAX_CANCELLATIONS
        assert not cancellations.contains("0", 0.0)
