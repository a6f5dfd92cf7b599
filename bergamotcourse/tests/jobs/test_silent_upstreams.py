"""Upstreams that leave orders unanswered, and what is concluded from their silence."""

import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.lease_terms import UPSTREAM_LEASE_EXPIRY_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job

CALLER_TIMEOUT_SECONDS = 20.0

INTERRUPTIONS = 4
"""More than any limit on how often a task may be interrupted."""

INTERRUPTED_WORK_SECONDS = 3.0
"""No run of an interrupted task is done before its upstream is: a late end of one would
complete the task, whatever the interruptions are taken for."""


async def submit_interrupted(fleet, interrupt):
    """Submit a job of one task, interrupt it several times, and return the answer."""
    answers = []

    async def submit():
        spec = job("a", tasks=1, work=INTERRUPTED_WORK_SECONDS)
        answers.append(
            await fleet.submit("entry-1", spec, QUEUE, CALLER_TIMEOUT_SECONDS)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit)
        for _ in range(INTERRUPTIONS):
            while not answers and (agent := agent_running_task(fleet)) is None:
                await trio.sleep(0.05)
            if not answers:
                await interrupt(agent)
    [answer] = answers
    return answer


def agent_running_task(fleet):
    """Return an agent on whose upstream a task runs, or ``None``."""
    return next(
        (agent for agent, life in fleet.upstreams.items() if life.running), None
    )


class TestLapsedLeases:
    def test_job_is_not_failed_by_upstreams_that_do_not_answer(self):
        """Guards against taking silence for failures of the task."""

        async def main(fleet):
            async def silence(agent):
                fleet.cut_upstreams.add(agent)
                await trio.sleep(2 * UPSTREAM_LEASE_EXPIRY_SECONDS)
                fleet.cut_upstreams.discard(agent)

            answer = await submit_interrupted(fleet, silence)
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=6)

    def test_end_that_is_listed_after_the_lease_lapsed_is_logged(self):
        async def main(fleet):
            answers = []

            async def submit():
                spec = job("a", tasks=1, work=0.6)
                answers.append(
                    await fleet.submit("entry-1", spec, QUEUE, CALLER_TIMEOUT_SECONDS)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.1)
                agent = agent_running_task(fleet)
                fleet.cut_upstreams.add(agent)
                await trio.sleep(3 * UPSTREAM_LEASE_EXPIRY_SECONDS)
                fleet.cut_upstreams.discard(agent)
            await trio.sleep(1.0)
            [late] = fleet.logged("run.end_late")
            assert (late["task"], late["run"]) == ("a.0.0.0", 1)

        run_fleet(main, agents=2)


class TestCrashes:
    def test_job_is_not_failed_by_upstreams_that_crash_under_it(self):
        """Guards against taking crashes for failures of the task."""

        async def main(fleet):
            async def crash(agent):
                fleet.upstreams[agent].crash()
                await trio.sleep(UPSTREAM_LEASE_EXPIRY_SECONDS)
                fleet.start_upstream(agent)

            answer = await submit_interrupted(fleet, crash)
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=6)


class TestDelays:
    def test_task_is_placed_at_once_if_its_upstreams_answer_again(self):
        """Guards against holding a short silence against the task."""

        async def main(fleet):
            async def silence(agent):
                fleet.cut_upstreams.add(agent)
                await trio.sleep(2 * UPSTREAM_LEASE_EXPIRY_SECONDS)
                fleet.cut_upstreams.discard(agent)

            await submit_interrupted(fleet, silence)
            lapses = fleet.logged("task.again")
            assert len(lapses) >= INTERRUPTIONS
            assert {again["delay_ms"] for again in lapses} == {0}

        run_fleet(main, agents=6)
