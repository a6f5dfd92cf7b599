"""Upstreams that start again under the id that they had, and count anew."""

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.ids import Incarnation
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import REPORT_SECONDS, job

AWAY_SECONDS = 1.0


async def serve_jobs(fleet, count, tasks=8):
    """Let some jobs run, so that ends and reports have been counted."""
    for number in range(count):
        answer = await fleet.submit("entry-1", job(f"before-{number}", tasks))
        assert answer.outcome is JobOutcome.SUCCEEDED


async def restart(fleet, agent="agent-1", seconds=AWAY_SECONDS):
    """Let an upstream crash and start again under its id."""
    fleet.upstreams[agent].crash()
    await trio.sleep(seconds)
    return fleet.restart_upstream(agent)


def runs_of(fleet, name):
    return [run for run in fleet.history if run.key.task.startswith(f"{name}.")]


class TestLeaving:
    def test_of_a_life_that_counts_anew_is_heeded(self):
        """Tasks reached an upstream two seconds after it had said that it leaves.

        It had started again 3.3 s before, under the id that it had, and counted its
        reports from 1. Its agent went by the id alone, so it took the report for one
        that had been overtaken: it logged "upstream.answers" after the start, and no
        "upstream.draining", though it had acknowledged the report within 1 ms.
        """

        async def main(fleet):
            await trio.sleep(4 * REPORT_SECONDS)
            upstream = await restart(fleet)
            await trio.sleep(REPORT_SECONDS)
            upstream.draining = True
            await trio.sleep(2 * REPORT_SECONDS)
            await fleet.submit("entry-1", job("after", tasks=1), seconds=2.0)
            assert runs_of(fleet, "after") == []

        run_fleet(main, agents=1)


class TestEnds:
    def test_of_a_life_that_counts_anew_are_taken(self):
        """A job was refused with the word that it had not run, and had run.

        Its upstream had started again 0.15 s before, under the id that it had, and
        numbered its ends from 1. Its agent went by the id alone and had noted higher
        numbers, so the upstream, which ended the task as done after 174 ms, forgot that
        end as noted. The agent logged "no progress at 0.98" half a second later.
        """

        async def main(fleet):
            await serve_jobs(fleet, count=4)
            await restart(fleet)
            await trio.sleep(2 * REPORT_SECONDS)
            answer = await fleet.submit("entry-1", job("after", tasks=2))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(runs_of(fleet, "after")) == 2

        run_fleet(main, agents=1)


class TestUnlisted:
    @pytest.mark.parametrize("after", [0.0, 0.05, 0.2, 0.4])
    def test_a_run_that_has_started_is_not_told_as_not_run(self, after):
        """A job was refused with the word that it had not run, and had run.

        Its agent logged "started" for the task, and 0.76 s later that it had been
        "stopped before it started": it took each run that was barred and not listed for
        one that had never begun, also those whose start it had been told. The entry
        counts such a run as none, and refused the job within 1 ms.
        """

        async def main(fleet):
            fleet.tells_incarnations = False
            await serve_jobs(fleet, count=4)
            fleet.upstreams["agent-1"].crash()
            fleet.restart_upstream("agent-1")
            await trio.sleep(after)
            answer = await fleet.submit("entry-1", job("after", tasks=1))
            assert runs_of(fleet, "after")
            assert answer.outcome is not JobOutcome.REFUSED

        run_fleet(main, agents=1)


class TestIdentity:
    def test_a_report_of_the_life_before_is_ignored(self):
        async def main(fleet):
            late = fleet.upstreams["agent-1"].report()
            await restart(fleet)
            await trio.sleep(REPORT_SECONDS)
            executor = fleet.agents["agent-1"].executor
            assert not executor.take_report(late)
            assert executor.life.report.incarnation == late.incarnation + 1

        run_fleet(main)

    def test_the_late_departure_of_the_life_before_is_ignored(self):
        async def main(fleet):
            former = fleet.upstreams["agent-1"].report().life
            await restart(fleet)
            await trio.sleep(REPORT_SECONDS)
            executor = fleet.agents["agent-1"].executor
            executor.take_departure(former)
            assert executor.refusal() is None
            executor.take_departure(executor.life.report.life)
            assert executor.refusal() == "no upstream"

        run_fleet(main)

    def test_one_that_left_may_start_again_under_its_id(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.crash()
            executor = fleet.agents["agent-1"].executor
            executor.take_departure(LifeKey(upstream.id, Incarnation(0)))
            assert executor.refusal() == "no upstream"
            fleet.restart_upstream("agent-1")
            await trio.sleep(REPORT_SECONDS)
            assert executor.refusal() is None

        run_fleet(main)


class TestOrdersToTheLifeBefore:
    @pytest.mark.parametrize("away", [0.05, 0.1, 0.2, 0.3])
    def test_do_not_reach_the_life_after_it(self, away):
        """A run was told as over, or as never begun, and had begun or ran on.

        Its upstream had started again under its id, and until that life reported itself
        the agent's orders reached it. It lists nothing of before: at 0.36 s the agent
        told a run of the former life as "stopped before it started". A run that it had
        begun was given up with the former life at 1.08 s, "the upstream is gone", and
        went on until 2.08 s, beside the next run of its task.
        """

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            carry_out = upstream.start

            def start_and_be_cut_off(order, token):
                fleet.cut_upstreams.add("agent-1")
                return carry_out(order, token)

            async def come_back():
                while not fleet.history:
                    await trio.sleep(0.01)
                await trio.sleep(away)
                upstream.crash()
                fleet.restart_upstream("agent-1")
                fleet.cut_upstreams.clear()

            upstream.start = start_and_be_cut_off
            fleet.nursery.start_soon(come_back)
            await fleet.submit("entry-1", job("a", tasks=1, work=2.0))
            began = {run.key.number for run in fleet.history}
            told = fleet.logged("run.end")
            never_began = {end["run"] for end in told if end["outcome"] == "returned"}
            assert began & never_began == set()
            assert fleet.overlaps() == []

        run_fleet(main, agents=1)

    @pytest.mark.parametrize("quiet", [0.30, 0.34, 0.38])
    def test_do_not_keep_a_run_longer_than_is_counted(self, quiet):
        """Two runs of a task overlapped after its agent was lost.

        Its upstream had started again under its id, with a clock that begins at 0. The
        first order asked for a lease until 0.65 s on by the clock of the life before,
        15 s ahead: the upstream kept the run for 1.0 s, the longest that it grants.
        """

        async def main(fleet):
            await trio.sleep(10 * REPORT_SECONDS)
            await restart(fleet, seconds=0.0)
            # Its entry hears nothing more of the agent.
            fleet.network.cut("tcp://agent-1", "tcp://entry-1")
            await trio.sleep(quiet)
            spec = job("a", tasks=20, work=3.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.02)
            fleet.agents["agent-1"].kill()
            await trio.sleep(3.0)
            assert fleet.overlaps() == []

        run_fleet(main, agents=3)

    @pytest.mark.parametrize("again", [True, False])
    def test_are_not_given_on_and_on(self, again):
        """Tasks came back again and again from an agent whose upstream was another.

        An agent without work renews nothing, and only a renewal that another life
        answered told it that its upstream was over. It went on to offer all its room
        until the next report: 715 "run.start" with the verdict "other boot" for a job
        of four tasks.
        """

        async def main(fleet):
            await trio.sleep(3 * REPORT_SECONDS)
            fleet.upstreams["agent-1"].crash()
            if again:
                fleet.restart_upstream("agent-1")
            else:
                fleet.replace_at_address("agent-1")
            answer = await fleet.submit("entry-1", job("a", tasks=4, work=0.2))
            starts = fleet.logged("run.start")
            refused = [one for one in starts if one["verdict"] == "other boot"]
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(refused) <= 4

        run_fleet(main, agents=2)
