"""Log lines for ignored reports of an upstream and for runs that it does not list."""

from dataclasses import replace

import trio

from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job


class TestOldReports:
    def test_are_logged_with_the_last_known_report(self):
        async def main(fleet):
            executor = fleet.agents["agent-1"].executor
            late = replace(executor.life.report, sequence=0, draining=True)
            executor.handle_upstream_report(late)
            [line] = fleet.logged("upstream.report_old")
            assert (line["sequence"], line["last_sequence"]) == (0, 1)
            assert line["draining"]

        run_fleet(main)


class TestUnlistedRuns:
    def test_are_logged(self):
        async def main(fleet):
            fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", 2, 2.0))
            await trio.sleep(0.3)
            fleet.upstreams["agent-1"].running.clear()
            await trio.sleep(0.3)
            assert {line["run"] for line in fleet.logged("run.unlisted")} == {1}
            assert len(fleet.logged("run.unlisted")) == 2

        run_fleet(main, agents=1)

    def test_are_not_logged_for_healthy_runs(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", 8, 0.3))
            assert fleet.logged("run.unlisted") == []

        run_fleet(main)
