"""Runs of an agent's earlier process whose entry was lost together with it."""

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.tests.jobs.chaos import CALLER_RETRY_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of, submit_all_the_time
from bergamotcourse.virtual.job_fleet import job

RESTART_SECONDS = 0.05
WORK_SECONDS = 1.8


async def start_job(fleet, name="a", tasks=4):
    """Submit a job at the first entry, and wait until all its tasks run."""
    fleet.nursery.start_soon(
        fleet.submit, "entry-1", job(name, tasks=tasks, work=WORK_SECONDS)
    )
    while len(runs_of(fleet, name)) < tasks:
        await trio.sleep(0.005)


def kill(fleet, *names):
    for name in names:
        (fleet.agents.get(name) or fleet.entries[name]).kill()


def start(fleet, *names):
    for name in names:
        if name in fleet.agents:
            fleet.start_agent(name)
        else:
            fleet.start_entry(name)


class TestLostEntry:
    @pytest.mark.parametrize("entry_after", [-0.3, -0.1, 0.0, 0.1])
    @pytest.mark.parametrize("unanswered", [0.0, 0.5])
    def test_its_runs_have_ended_when_its_callers_come_back(
        self, entry_after, unanswered
    ):
        """Guards against two runs of a task after its entry and its agent are lost.

        An upstream's lease covers all its runs. If a new agent process renews it, runs
        of the earlier process go on that no entry asks about any more.
        """

        async def main(fleet):
            fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 8, 0.1)
            await start_job(fleet)
            agents = list(fleet.agents)
            if entry_after < 0:
                kill(fleet, "entry-1")
                await trio.sleep(-entry_after)
            kill(fleet, *agents)
            for upstream in fleet.upstreams.values():
                upstream.behaviour.unanswered = unanswered
            if entry_after >= 0:
                await trio.sleep(entry_after)
                kill(fleet, "entry-1")
            await trio.sleep(RESTART_SECONDS)
            start(fleet, *agents, "entry-1")
            await trio.sleep(CALLER_RETRY_SECONDS - RESTART_SECONDS)
            assert [run for run in runs_of(fleet, "a") if run.ended_at is None] == []
            await fleet.submit("entry-2", job("a", tasks=4, work=WORK_SECONDS))
            assert fleet.overlaps() == []

        run_fleet(main, agents=2)

    def test_end_is_reported_to_a_surviving_entry(self):
        """Guards against a completed task that runs again as its agent restarted."""

        async def main(fleet):
            spec = job("a", tasks=1, work=0.2)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            while not fleet.history:
                await trio.sleep(0.005)
            kill(fleet, "agent-1")
            await trio.sleep(0.25)
            start(fleet, "agent-1")
            await trio.sleep(1.0)
            assert [run.kind for run in fleet.history] == [EndKind.DONE]

        run_fleet(main, agents=1)


class TestNewAgentProcess:
    def test_starts_nothing_while_unclaimed_runs_use_the_upstream(self):
        """Guards against exceeding a capacity that the upstream doesn't enforce.

        A new agent process doesn't count the needs of runs that it has not started.
        """

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.enforces_capacity = False
            most = 0

            def note_use(_run):
                nonlocal most
                most = max(most, upstream.used().cpu)

            upstream.on_start = note_use
            await start_job(fleet, tasks=8)
            kill(fleet, "agent-1", "entry-1")
            await trio.sleep(RESTART_SECONDS)
            start(fleet, "agent-1")
            answer = await fleet.submit("entry-2", job("b", tasks=8, work=0.2))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert most <= upstream.capacity.cpu

        run_fleet(main, agents=1)

    def test_stops_each_unclaimed_run_until_the_stop_is_confirmed(self):
        """Guards against a run that goes on because its only stop order was lost."""

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            await start_job(fleet, tasks=1)
            kill(fleet, "agent-1", "entry-1")
            carry_out, lost = upstream.stop, []

            def lose_first(key: RunKey, token: int):
                if len(lost) < 2:
                    lost.append(key)
                    return None
                return carry_out(key, token)

            upstream.stop = lose_first
            await trio.sleep(RESTART_SECONDS)
            start(fleet, "agent-1")
            await trio.sleep(0.4)
            assert len(lost) == 2
            assert [run.kind for run in runs_of(fleet, "a")] == [EndKind.STOPPED]

        run_fleet(main, agents=1)
