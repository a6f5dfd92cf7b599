"""Tasks that crash every upstream that starts them, and their effect on other jobs."""

from pathlib import Path

import trio

import bergamotcourse
from bergamotcourse.bench.replay.load_file import read_load
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.coordination.jobs import interruptions
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.jobs.chaos import CALLER_RETRY_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job

LOAD = Path(bergamotcourse.__file__).parents[1] / "examples/loads/crashing-tasks.yaml"

STARTS = 3
"""Starts of a task that crashes its upstreams, by one entry until a caller times out
that waits ``SHORT_CALLER_TIMEOUT_SECONDS``."""

MAX_STARTS = 5
"""Bound on the starts by two entries, the second of which does not know of the crashes
that the first has seen."""

SHORT_CALLER_TIMEOUT_SECONDS = 6.0

CALLER_TIMEOUT_SECONDS = 20.0
"""Longer than any of these jobs takes."""


DEPARTURES = 3


def starts_of(fleet, task):
    return sum(run.key.task == task for run in fleet.history)


class TestCrashingTask:
    def test_takes_down_few_upstreams_until_its_caller_times_out(self):
        """Guards against both ways to treat it wrongly.

        Without a delay it takes down one upstream after another. Its job has not
        failed either, as no run of the task has ended as failed.
        """

        async def main(fleet):
            fleet.crashing.add("a.0.0.0")
            answer = await fleet.submit(
                "entry-1", job("a", work=2.0), QUEUE, SHORT_CALLER_TIMEOUT_SECONDS
            )
            assert answer.outcome is JobOutcome.TIMED_OUT
            assert starts_of(fleet, "a.0.0.0") == STARTS

        run_fleet(main, agents=6)

    def test_starts_stay_bounded_while_its_caller_waits_long(self):
        async def main(fleet):
            fleet.crashing.add("a.0.0.0")
            answer = await fleet.submit(
                "entry-1", job("a", work=2.0), QUEUE, CALLER_TIMEOUT_SECONDS
            )
            delays = CALLER_TIMEOUT_SECONDS / interruptions.DELAY_SECONDS
            assert answer.outcome is JobOutcome.TIMED_OUT
            assert starts_of(fleet, "a.0.0.0") <= 2 + delays

        run_fleet(main, agents=6)

    def test_starts_stay_bounded_if_the_entry_is_lost(self):
        async def main(fleet):
            fleet.crashing.add("a.0.0.0")
            spec = job("a", tasks=1, work=4.0)
            fleet.nursery.start_soon(
                fleet.submit, "entry-1", spec, QUEUE, CALLER_TIMEOUT_SECONDS
            )
            while starts_of(fleet, "a.0.0.0") < 2:
                await trio.sleep(0.05)
            fleet.entries["entry-1"].kill()
            await trio.sleep(CALLER_RETRY_SECONDS)
            answer = await fleet.submit(
                "entry-2", spec, QUEUE, SHORT_CALLER_TIMEOUT_SECONDS
            )
            assert answer.outcome is JobOutcome.TIMED_OUT
            assert starts_of(fleet, "a.0.0.0") <= MAX_STARTS

        run_fleet(main, agents=8)


class TestOtherTasks:
    def test_task_on_the_crashed_upstream_completes_elsewhere(self):
        async def main(fleet):
            fleet.crashing.add("b.0.0.0")
            answers = {}

            async def submit(name, tasks):
                spec = job(name, tasks, work=1.0)
                answers[name] = await fleet.submit(
                    "entry-1", spec, QUEUE, CALLER_TIMEOUT_SECONDS
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, "a", 12)
                await trio.sleep(0.1)
                nursery.start_soon(submit, "b", 1)
            assert answers["a"].outcome is JobOutcome.SUCCEEDED
            assert answers["b"].outcome is JobOutcome.TIMED_OUT

        run_fleet(main, agents=3)

    def test_planned_departures_of_upstreams_delay_no_task(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=1.0)
            outcomes = []

            async def submit():
                answer = await fleet.submit(
                    "entry-1", spec, QUEUE, CALLER_TIMEOUT_SECONDS
                )
                outcomes.append(answer.outcome)

            fleet.nursery.start_soon(submit)
            for _ in range(DEPARTURES):
                await trio.sleep(0.3)
                [run] = [run for run in fleet.history if run.ended_at is None]
                self.depart(fleet, run.upstream)
            await trio.sleep(3.0)
            assert outcomes == [JobOutcome.SUCCEEDED]
            assert {again["delay_ms"] for again in fleet.logged("task.again")} == {0}

        run_fleet(main, agents=6)

    def depart(self, fleet, upstream):
        """End an upstream as planned, and notify its agent."""
        [agent] = [n for n, one in fleet.upstreams.items() if one.id == upstream]
        life = fleet.upstreams[agent]
        life.crash()
        gone = LifeKey(life.id, life.incarnation)
        fleet.agents[agent].executor.handle_upstream_departure(gone)

    def test_delaying_crashing_tasks_lets_more_jobs_finish_in_time(self, monkeypatch):
        load = read_load(str(LOAD)).ok
        delayed = replay(load, JobPolicy(), seed=1).total.share_earned()
        monkeypatch.setattr(interruptions, "DELAY_SECONDS", 0.0)
        retried = replay(load, JobPolicy(), seed=1).total.share_earned()
        assert delayed > retried + 0.02
