"""Upstreams that leave orders unanswered, and what is concluded from their silence."""

import trio

from bergamotcourse.coordination.jobs.lease_terms import UPSTREAM_LEASE_EXPIRY_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job

CALLER_TIMEOUT_SECONDS = 20.0


def agent_running_task(fleet):
    """Return an agent on whose upstream a task runs, or ``None``."""
    return next(
        (agent for agent, life in fleet.upstreams.items() if life.running), None
    )


class TestLapsedLeases:
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
