"""Tasks that crash each upstream that starts them, and what the others get."""

from pathlib import Path

import trio

import bergamotcourse
from bergamotcourse.bench.replay.load_file import read_load
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.coordination.jobs import job_dispatcher
from bergamotcourse.coordination.jobs.job_dispatcher import MAX_UPSTREAM_CRASHES
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.jobs.chaos import RESEND_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job

LOAD = Path(bergamotcourse.__file__).parents[1] / "examples/loads/crashing-tasks.yaml"

MOST_STARTS = 5
"""Of a task that crashes its upstreams: three, and two that were under way or are
ordered by an entry that does not know of them."""

LONG = 20.0
"""Seconds that a caller waits, longer than any of these jobs takes."""


def starts_of(fleet, task):
    return sum(run.key.task == task for run in fleet.history)


class TestCrashingTask:
    def test_is_given_up_and_its_job_has_failed(self):
        async def main(fleet):
            fleet.crashing.add("a.0.0.0")
            answer = await fleet.submit("entry-1", job("a", work=2.0), QUEUE, LONG)
            assert answer.outcome is JobOutcome.FAILED
            assert starts_of(fleet, "a.0.0.0") == MAX_UPSTREAM_CRASHES
            [settled] = fleet.logged("job.settled")
            assert "3 upstreams crashed under a.0.0.0" in settled["why"]

        run_fleet(main, agents=6)

    def test_is_started_a_bounded_number_of_times_by_entries_that_are_lost(self):
        async def main(fleet):
            fleet.crashing.add("a.0.0.0")
            spec = job("a", tasks=1, work=4.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, LONG)
            while starts_of(fleet, "a.0.0.0") < 2:
                await trio.sleep(0.05)
            fleet.entries["entry-1"].kill()
            await trio.sleep(RESEND_SECONDS)
            answer = await fleet.submit("entry-2", spec, QUEUE, LONG)
            assert answer.outcome is JobOutcome.FAILED
            assert starts_of(fleet, "a.0.0.0") <= MOST_STARTS

        run_fleet(main, agents=8)


class TestOthers:
    def test_one_that_ran_beside_it_is_done_elsewhere(self):
        async def main(fleet):
            fleet.crashing.add("b.0.0.0")
            answers = {}

            async def submit(name, tasks):
                spec = job(name, tasks, work=1.0)
                answers[name] = await fleet.submit("entry-1", spec, QUEUE, LONG)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, "a", 12)
                await trio.sleep(0.1)
                nursery.start_soon(submit, "b", 1)
            assert answers["a"].outcome is JobOutcome.SUCCEEDED
            assert answers["b"].outcome is JobOutcome.FAILED

        run_fleet(main, agents=3)

    def test_the_planned_end_of_an_upstream_counts_for_nothing(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=1.0)
            outcomes = []

            async def submit():
                answer = await fleet.submit("entry-1", spec, QUEUE, LONG)
                outcomes.append(answer.outcome)

            fleet.nursery.start_soon(submit)
            for _ in range(MAX_UPSTREAM_CRASHES):
                await trio.sleep(0.3)
                [run] = [run for run in fleet.history if run.ended_at is None]
                self.leave(fleet, run.upstream)
            await trio.sleep(3.0)
            assert outcomes == [JobOutcome.SUCCEEDED]

        run_fleet(main, agents=6)

    def leave(self, fleet, upstream):
        """Let an upstream end as planned, and tell its agent."""
        [agent] = [n for n, one in fleet.upstreams.items() if one.id == upstream]
        life = fleet.upstreams[agent]
        life.crash()
        gone = LifeKey(life.id, life.incarnation)
        fleet.agents[agent].executor.take_departure(gone)

    def test_more_of_them_are_in_time_than_if_it_was_tried_on(self, monkeypatch):
        load = read_load(str(LOAD)).ok
        given_up = replay(load, JobPolicy(), seed=1).total.share_earned()
        monkeypatch.setattr(job_dispatcher, "MAX_UPSTREAM_CRASHES", 1000)
        tried_on = replay(load, JobPolicy(), seed=1).total.share_earned()
        assert given_up > tried_on + 0.02
