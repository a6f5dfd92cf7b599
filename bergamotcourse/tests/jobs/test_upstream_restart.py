"""Upstreams that restart under their former id and restart their numbering."""

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.ids import Incarnation
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of
from bergamotcourse.virtual.job_fleet import REPORT_SECONDS, job

DOWNTIME_SECONDS = 1.0


async def serve_jobs(fleet, count, tasks=8):
    """Run some jobs, so that the upstream has numbered ends and reports."""
    for number in range(count):
        answer = await fleet.submit("entry-1", job(f"before-{number}", tasks))
        assert answer.outcome is JobOutcome.SUCCEEDED


async def restart(fleet, agent="agent-1", seconds=DOWNTIME_SECONDS):
    """Crash an upstream and restart it under its id."""
    fleet.upstreams[agent].crash()
    await trio.sleep(seconds)
    return fleet.restart_upstream(agent)


class TestDraining:
    def test_of_a_restarted_upstream_is_applied(self):
        """Guards against placing tasks on an upstream that has announced its departure.

        A restarted upstream numbers its reports from 1 again. An agent that compares
        only id and sequence ignores the report as outdated: it acknowledges the report
        but does not log "upstream.draining".
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
    def test_of_a_restarted_upstream_are_processed(self):
        """Guards against refusing a job as not run that has run.

        A restarted upstream numbers its ends from 1 again. An agent that goes by the id
        alone acknowledges higher numbers of the former life, so the upstream discards
        the end of a completed task, and the agent considers the run stalled.
        """

        async def main(fleet):
            await serve_jobs(fleet, count=4)
            await restart(fleet)
            await trio.sleep(2 * REPORT_SECONDS)
            answer = await fleet.submit("entry-1", job("after", tasks=2))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(runs_of(fleet, "after")) == 2

        run_fleet(main, agents=1)


class TestUnlistedRuns:
    @pytest.mark.parametrize("after", [0.0, 0.05, 0.2, 0.4])
    def test_started_run_is_not_reported_as_not_run(self, after):
        """Guards against refusing a job as not run that has run.

        An agent that reports every barred and unlisted run as "stopped before it
        started" includes runs whose start was confirmed. The entry counts such a run as
        not run, and refuses the job.
        """

        async def main(fleet):
            fleet.reports_incarnations = False
            await serve_jobs(fleet, count=4)
            fleet.upstreams["agent-1"].crash()
            fleet.restart_upstream("agent-1")
            await trio.sleep(after)
            answer = await fleet.submit("entry-1", job("after", tasks=1))
            assert runs_of(fleet, "after")
            assert answer.outcome is not JobOutcome.REFUSED

        run_fleet(main, agents=1)


class TestFormerLife:
    def test_late_report_is_ignored(self):
        async def main(fleet):
            late = fleet.upstreams["agent-1"].report()
            await restart(fleet)
            await trio.sleep(REPORT_SECONDS)
            executor = fleet.agents["agent-1"].executor
            assert not executor.handle_upstream_report(late)
            assert executor.life.report.incarnation == late.incarnation + 1

        run_fleet(main)

    def test_late_departure_is_ignored(self):
        async def main(fleet):
            former = fleet.upstreams["agent-1"].report().life
            await restart(fleet)
            await trio.sleep(REPORT_SECONDS)
            executor = fleet.agents["agent-1"].executor
            executor.handle_upstream_departure(former)
            assert executor.refusal() is None
            executor.handle_upstream_departure(executor.life.report.life)
            assert executor.refusal() == "no upstream"

        run_fleet(main)

    def test_departed_upstream_may_restart_under_its_id(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.crash()
            executor = fleet.agents["agent-1"].executor
            executor.handle_upstream_departure(LifeKey(upstream.id, Incarnation(0)))
            assert executor.refusal() == "no upstream"
            fleet.restart_upstream("agent-1")
            await trio.sleep(REPORT_SECONDS)
            assert executor.refusal() is None

        run_fleet(main)


class TestOrdersToTheFormerLife:
    @pytest.mark.parametrize("downtime", [0.05, 0.1, 0.2, 0.3])
    def test_do_not_reach_the_next_life(self, downtime):
        """Guards against a run reported as ended or never started that still runs.

        Until a restarted upstream sends its first report, orders for the former life
        must not reach the new one. The new life does not list earlier runs, so the
        agent would report such a run as "stopped before it started". A run that the new
        life starts would be abandoned with the former life, and overlap the next run of
        its task.
        """

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            carry_out = upstream.start

            def start_and_cut_off(order, token):
                fleet.cut_upstreams.add("agent-1")
                return carry_out(order, token)

            async def restart_later():
                while not fleet.history:
                    await trio.sleep(0.01)
                await trio.sleep(downtime)
                upstream.crash()
                fleet.restart_upstream("agent-1")
                fleet.cut_upstreams.clear()

            upstream.start = start_and_cut_off
            fleet.nursery.start_soon(restart_later)
            await fleet.submit("entry-1", job("a", tasks=1, work=2.0))
            started = {run.key.number for run in fleet.history}
            ends = fleet.logged("run.end")
            never_started = {end["run"] for end in ends if end["outcome"] == "returned"}
            assert started & never_started == set()
            assert fleet.overlaps() == []

        run_fleet(main, agents=1)

    @pytest.mark.parametrize("silence", [0.30, 0.34, 0.38])
    def test_do_not_extend_a_lease_beyond_the_assumed_expiry(self, silence):
        """Guards against overlapping runs of a task after its agent is lost.

        The clock of a restarted upstream begins at 0. If the first order requests a
        lease by the clock of the former life, 15 s ahead, the upstream grants its
        longest lease of 1.0 s instead of 0.65 s.
        """

        async def main(fleet):
            await trio.sleep(10 * REPORT_SECONDS)
            await restart(fleet, seconds=0.0)
            # The entry receives nothing more from the agent.
            fleet.network.cut("tcp://agent-1", "tcp://entry-1")
            await trio.sleep(silence)
            spec = job("a", tasks=20, work=3.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.02)
            fleet.agents["agent-1"].kill()
            await trio.sleep(3.0)
            assert fleet.overlaps() == []

        run_fleet(main, agents=3)

    @pytest.mark.parametrize("same_id", [True, False])
    def test_are_not_repeated_until_the_next_report(self, same_id):
        """Guards against an agent that offers the room of a replaced upstream.

        An idle agent sends no holds, so only the verdict "other boot" of a start order
        shows that another life answers. Unless that verdict ends the life, tasks are
        placed and returned until the next report: 715 "run.start" lines for a job of
        four tasks.
        """

        async def main(fleet):
            await trio.sleep(3 * REPORT_SECONDS)
            fleet.upstreams["agent-1"].crash()
            if same_id:
                fleet.restart_upstream("agent-1")
            else:
                fleet.replace_at_address("agent-1")
            answer = await fleet.submit("entry-1", job("a", tasks=4, work=0.2))
            starts = fleet.logged("run.start")
            refused = [one for one in starts if one["verdict"] == "other boot"]
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(refused) <= 4

        run_fleet(main, agents=2)
