"""Upstreams that announce the time until they leave."""

from dataclasses import replace

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.protocol.upstream_orders import EndKind, StartReply, StartVerdict
from bergamotcourse.standins.order_upstream import TICK_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, REPORT_SECONDS, job

LONG_SECONDS = 2.0
BEGUN_SECONDS = 0.3
"""Age of the long runs when the upstream announces that it leaves."""


async def run_long_job(fleet, leave, tasks=1):
    """Run a job; call ``leave`` with the agent of its first run. Return the seconds."""
    begun_at = trio.current_time()
    answers = []

    async def submit():
        spec = job("long", tasks, work=LONG_SECONDS)
        answers.append(await fleet.submit("entry-1", spec, seconds=9.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit)
        await trio.sleep(BEGUN_SECONDS)
        first = fleet.history[0].upstream
        await leave(next(n for n, u in fleet.upstreams.items() if u.id == first))
    [answer] = answers
    assert answer.outcome is JobOutcome.SUCCEEDED
    assert fleet.overlaps() == []
    return answer.at - begun_at


def hide_progress(upstream):
    hold = upstream.handle_hold

    def hold_without_progress(*order):
        holding = hold(*order)
        running = tuple(replace(run, progress=0.0) for run in holding.running)
        return replace(holding, running=running)

    upstream.handle_hold = hold_without_progress


def leave_after(fleet, notice, stays):
    async def leave(agent):
        fleet.drain_upstream(agent, notice)
        await trio.sleep(stays)
        fleet.upstreams[agent].crash()

    return leave


class TestMoves:
    def test_run_that_cannot_end_moves_at_once_and_is_in_time(self):
        """Guards against a run that is lost with its upstream, and its job late."""

        async def main(fleet):
            leave = leave_after(fleet, 1.0, stays=1.0)
            assert await run_long_job(fleet, leave) <= QUEUE.objective(LONG_SECONDS)
            stopped = fleet.history[0]
            assert stopped.kind is EndKind.STOPPED
            assert stopped.ended_at <= stopped.started_at + BEGUN_SECONDS + 0.1
            [told] = fleet.logged("upstream.leaving")
            assert (told["remaining_ms"], told["moved"]) == (1000, 1)
            ends = [end["outcome"] for end in fleet.logged("run.end")]
            assert ends == ["moved", "done"]

        run_fleet(main)

    def test_run_that_ends_in_time_stays(self):
        async def main(fleet):
            await run_long_job(fleet, leave_after(fleet, 2.0, stays=2.0))
            assert [run.kind for run in fleet.history] == [EndKind.DONE]

        run_fleet(main)

    def test_answer_that_shows_a_run_to_be_late_moves_it(self):
        """Guards against a decision that is made only when the notice comes."""

        async def main(fleet):
            async def leave(agent):
                fleet.drain_upstream(agent, 1.9)
                fleet.upstreams[agent].behaviour.slowness = 4.0
                await trio.sleep(1.0)
                assert fleet.history[0].kind is EndKind.STOPPED

            await run_long_job(fleet, leave)

        run_fleet(main, policy=JobPolicy.without(["moves_runs"]))

    @pytest.mark.parametrize("answers", [False, True])
    def test_run_without_progress_moves_before_the_upstream_leaves(self, answers):
        """Guards against waiting for an answer that does not come in time."""

        async def main(fleet):
            async def leave(agent):
                upstream = fleet.upstreams[agent]
                fleet.drain_upstream(agent, 1.6)
                await trio.sleep(1.0)
                if not answers:
                    upstream.handle_hold = lambda *_order: None
                await trio.sleep(0.6 - TICK_SECONDS)
                assert fleet.history[0].kind is EndKind.STOPPED
                upstream.crash()

            for upstream in fleet.upstreams.values():
                hide_progress(upstream)
            await run_long_job(fleet, leave)

        run_fleet(main, policy=JobPolicy.without(["moves_runs"]))


class TestNotices:
    @pytest.mark.parametrize("later", [0.5, 4.0])
    def test_later_report_replaces_the_time_left(self, later):
        async def main(fleet):
            executor = fleet.agents["agent-1"].executor
            fleet.drain_upstream("agent-1", 2.0)
            fleet.drain_upstream("agent-1", later)
            left = executor.life.leaves_at - executor.timers.now()
            assert left == pytest.approx(later)
            fleet.upstreams["agent-1"].leaves_at = None
            fleet.agents["agent-1"].receive_report()
            assert executor.life.leaves_at is not None

        run_fleet(main)

    def test_new_life_under_the_same_id_has_no_notice(self):
        async def main(fleet):
            executor = fleet.agents["agent-1"].executor
            fleet.drain_upstream("agent-1", 0.5)
            fleet.upstreams["agent-1"].crash()
            fleet.restart_upstream("agent-1")
            await trio.sleep(REPORT_SECONDS)
            assert executor.refusal() is None
            assert executor.life.leaves_at is None
            answer = await fleet.submit("entry-1", job("a", 1, LONG_SECONDS))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(fleet.history) == 1

        run_fleet(main, agents=1)

    def test_restarted_agent_takes_the_time_from_the_next_report(self):
        async def main(fleet):
            async def leave(agent):
                fleet.drain_upstream(agent, 1.5)
                fleet.agents[agent].kill()
                await trio.sleep(0.2)
                process = fleet.start_agent(agent)
                await trio.sleep(0.1)
                life = process.executor.life
                assert life.leaves_at == pytest.approx(
                    life.report.remaining_seconds + trio.current_time() - 0.1
                )
                await trio.sleep(1.2)
                fleet.upstreams[agent].crash()

            await run_long_job(fleet, leave, tasks=4)

        run_fleet(main)


class TestFaultyNotices:
    @pytest.mark.parametrize("stays", [0.2, 1.0, 6.0])
    def test_job_is_done_if_the_upstream_leaves_at_another_time(self, stays):
        async def main(fleet):
            await run_long_job(fleet, leave_after(fleet, 1.0, stays), tasks=20)
            done = [run.key.task for run in fleet.history if run.kind is EndKind.DONE]
            assert len(done) == len(set(done)) == 20

        run_fleet(main)

    def test_stepped_clock_does_not_change_the_time_left(self):
        async def main(fleet):
            async def leave(agent):
                fleet.upstreams[agent].clock_began += 100.0
                await leave_after(fleet, 1.9, stays=1.9)(agent)

            await run_long_job(fleet, leave)
            assert [run.kind for run in fleet.history] == [EndKind.DONE]

        run_fleet(main)


class TestStartsAfterTheReport:
    def test_placement_by_an_entry_that_has_not_heard_is_returned(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            fleet.drain_upstream("agent-1", 1.5)
            answer = await fleet.submit("entry-1", job("a", tasks=16))
            assert answer.outcome is JobOutcome.SUCCEEDED
            ends = [end["detail"] for end in fleet.logged("run.end")]
            assert "the upstream is draining" in ends
            assert upstream.id not in {run.upstream for run in fleet.history}

        run_fleet(main, agents=2)

    def test_unanswered_start_order_is_not_repeated(self):
        """Guards against a start by the copy of an order sent before the report."""

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            fleet.cut_upstreams.add("agent-1")
            spec = job("a", tasks=1)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 1.0)
            await trio.sleep(0.01)
            fleet.cut_upstreams.clear()
            fleet.drain_upstream("agent-1", 1.5)
            await trio.sleep(1.0)
            assert fleet.logged("run.start")
            assert upstream.running == {} and fleet.history == []

        run_fleet(main, agents=1)

    def test_run_refused_for_lack_of_room_is_returned(self):
        """Guards against a run in a queue that is not served until the end."""

        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]

            def refuse(_order, _token):
                fleet.drain_upstream("agent-1", 1.5)
                return StartReply(StartVerdict.NO_ROOM, upstream.clock())

            upstream.start = refuse
            spec = job("a", tasks=1)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 1.0)
            await trio.sleep(0.1)
            assert fleet.logged("run.start")
            assert fleet.agents["agent-1"].executor.registry.runs == {}

        run_fleet(main, agents=1)
