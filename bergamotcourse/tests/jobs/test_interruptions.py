"""Late ends, delays and mixed versions while upstreams are silent."""

from enum import Enum

import msgspec
import pytest
import trio
from msgspec import structs

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.interruptions import Interruptions
from bergamotcourse.coordination.jobs.job_run import (
    JobOutcome,
    JobRun,
    TaskRun,
    TaskState,
)
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress
from bergamotcourse.protocol.task_messages import (
    AgentRoom,
    AgentTurn,
    RunOutcome,
    TaskEnded,
)
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.state.job_spec import JobId
from bergamotcourse.state.resources import NO_RESOURCES
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.tests.jobs.test_late_ends import (
    TASK,
    WORK_SECONDS,
    LateEnd,
    agents_running,
    wait_for,
)
from bergamotcourse.virtual.job_fleet import CAPACITY, QUEUE, SERVICE, job


class TestReusedJobId:
    def test_end_of_a_cancelled_job_does_not_complete_another_job_of_its_id(self):
        """Guards against a success for work that was never done.

        The runs of both jobs are numbered from 1, so the number alone does not tell
        which of the two a late end belongs to.
        """

        async def main(fleet):
            late = LateEnd(fleet)
            answers = []

            async def submit_other_body():
                spec = job("a", tasks=1, work=5.0)
                answers.append(await fleet.submit("entry-1", spec, QUEUE, 20.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                fleet.entries["entry-1"].jobs.cancel(QUEUE.key(JobId("a")))
                await wait_for(lambda: late.answers)
                for life in fleet.upstreams.values():
                    life.behaviour.slowness = 1.0
                nursery.start_soon(submit_other_body)
                await trio.sleep(0.05)
                late.end_silence()
            [answer] = answers
            done = [run for run in fleet.history if run.kind is EndKind.DONE]
            longest = max(run.total for run in done)
            assert answer.outcome is not JobOutcome.SUCCEEDED or longest == 5.0

        run_fleet(main, agents=2)

    def test_room_of_an_agent_is_free_again_after_a_resubmitted_job(self):
        """Guards against room that an entry never uses again.

        The second job places a run of the same key before the first run has ended.
        """

        async def main(fleet):
            entry = fleet.entries["entry-1"]
            answers = []

            async def submit():
                spec = job("a", tasks=1, work=WORK_SECONDS)
                answers.append(await fleet.submit("entry-1", spec))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await wait_for(lambda: agents_running(fleet, 1))
                entry.jobs.cancel(QUEUE.key(JobId("a")))
                await wait_for(lambda: answers)
                nursery.start_soon(submit)
            await trio.sleep(1.0)
            [link] = entry.links.links.values()
            assert not link.placed
            assert link.placed_needs == NO_RESOURCES

        run_fleet(main, agents=1)


class TestAttempts:
    def test_task_is_not_started_after_its_last_attempt_failed(self):
        """Guards against an attempt beyond ``max_attempts``.

        The upstream lists the first run as failed and its agent acknowledges that, but
        the entry is cut off from the agent and hears it only after it has placed the
        task again.
        """

        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await wait_for(lambda: agents_running(fleet, 1))
                [agent] = agents_running(fleet, 1)
                for life in fleet.upstreams.values():
                    life.behaviour.fails = True
                await trio.sleep(WORK_SECONDS - 0.1)
                entry, address = "tcp://entry-1", f"tcp://{agent}"
                fleet.network.cut(entry, address)
                fleet.network.cut(address, entry)
                await trio.sleep(0.3)
                [first] = fleet.history
                acknowledged = not fleet.upstreams[agent].ended
                await wait_for(lambda: agents_running(fleet, 2))
                fleet.network.heal(entry, address)
                fleet.network.heal(address, entry)
            assert first.kind is EndKind.FAILED
            assert acknowledged
            assert late.answers[0].outcome is JobOutcome.FAILED
            assert len(fleet.history) == QUEUE.max_attempts

        run_fleet(main, agents=3)


class TestInnocentTask:
    @pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4])
    def test_short_job_succeeds_after_two_crashes(self, phase):
        """Guards against a job that times out while five of six upstreams are free.

        Each upstream is replaced at its address, which shows that it has crashed. The
        replacement reports at another phase of the interval between reports each time.
        """

        async def main(fleet):
            await trio.sleep(phase)
            answers = []

            async def submit():
                spec = job("a", tasks=1, work=0.5)
                answers.append(await fleet.submit("entry-1", spec, QUEUE, 20.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                for number in (1, 2):
                    await wait_for(lambda n=number: agents_running(fleet, n))
                    [agent] = agents_running(fleet, number)
                    await trio.sleep(0.1)
                    fleet.upstreams[agent].crash()
                    fleet.replace_at_address(agent)
            assert answers[0].outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=6)


class OlderOutcome(Enum):
    """The outcomes that an entry of the previous version knows."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    CRASHED = "crashed"
    RETURNED = "returned"
    MOVED = "moved"
    STALE = "stale"


class TestOlderEntry:
    def test_silence_of_an_upstream_leaves_its_agent_usable(self):
        """Guards against an agent that an older entry loses for good.

        An entry drops a message with an outcome that it can't decode. The agent repeats
        that outcome, and the outcomes of all later runs wait behind it.
        """

        async def main(fleet):
            entry = fleet.entries["entry-1"]
            handle = entry.mailer.handler

            def handle_if_decodable(sender, message):
                try:
                    for item in getattr(message, "items", ()):
                        if isinstance(item, TaskEnded):
                            msgspec.convert(item.outcome.value, OlderOutcome)
                except msgspec.ValidationError:
                    return
                handle(sender, message)

            entry.mailer.handler = handle_if_decodable
            answers = []

            async def submit(name):
                spec = job(name, tasks=1, work=0.2)
                answers.append(await fleet.submit("entry-1", spec))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, "a")
                await wait_for(lambda: agents_running(fleet, 1))
                fleet.cut_upstreams.add("agent-1")
                await trio.sleep(1.5)
                fleet.cut_upstreams.discard("agent-1")
            await trio.sleep(5.0)
            await submit("b")
            assert answers[-1].outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=1)


class TestOlderAgent:
    def test_short_silences_delay_no_task(self):
        """Guards against innocent tasks that wait while agents are being upgraded.

        An older agent reports a lapsed lease as a crash, and no life that refutes it.
        """

        async def main(fleet):
            entry = fleet.entries["entry-1"]
            handle = entry.mailer.handler

            def handle_as_sent_by_an_older_agent(sender, message):
                if isinstance(message, AgentTurn):
                    items = [
                        structs.replace(
                            item, outcome=RunOutcome.CRASHED, interrupted=NO_LIFE
                        )
                        if item.interrupted
                        else item
                        for item in message.items
                    ]
                    room = structs.replace(message.room, life=NO_LIFE)
                    message = structs.replace(message, items=items, room=room)
                handle(sender, message)

            entry.mailer.handler = handle_as_sent_by_an_older_agent
            async with trio.open_nursery() as nursery:
                spec = job("a", tasks=1, work=2.0)
                nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 20.0)
                for number in (1, 2):
                    await wait_for(lambda n=number: agents_running(fleet, n))
                    [agent] = agents_running(fleet, number)
                    fleet.cut_upstreams.add(agent)
                    await trio.sleep(1.0)
                    fleet.cut_upstreams.discard(agent)
            lapses = fleet.logged("task.again")
            assert [again["detail"] for again in lapses] == ["its lease lapsed"] * 2
            assert [again["delay_ms"] for again in lapses] == [0, 0]

        run_fleet(main, agents=6)


def make_turn(life, sent_ms, items=()):
    """Return an agent's message that reports a life of its upstream."""
    room = AgentRoom(SERVICE, (), CAPACITY, NO_RESOURCES, NO_RESOURCES, False, life)
    return AgentTurn(
        agent="agent-1",
        zone="zone-1",
        boot=1,
        session=1,
        sent_ms=sent_ms,
        next_ms=150,
        seen=0,
        first=1,
        items=items,
        room=room,
    )


class TestRefutation:
    def test_next_life_does_not_refute_an_interruption_of_the_former(self):
        """Guards against a task that crashes its upstreams and is not delayed.

        The message with the outcome arrives late and reports the next life already.
        """
        link = AgentLink(LinkAddress("tcp://agent-1"), "agent-1", "zone-1")
        link.begin_session(1, 1)
        interruptions = Interruptions()
        former, present = LifeChecksum(1), LifeChecksum(2)
        link.receive_turn(make_turn(former, 100), 0.1)
        for number, at in enumerate((1.0, 1.5), 1):
            ended = TaskEnded(RunKey(TASK, number), RunOutcome.LOST, interrupted=former)
            link.receive_turn(make_turn(present, int(at * 1000), (ended,)), at)
            interruptions.add(link, ended, at)
        link.receive_turn(make_turn(present, 2000), 2.0)
        assert interruptions.delayed_until() > 2.0

    def test_restart_of_an_agent_does_not_keep_its_upstream_suspect(self):
        """Guards against delaying a task by upstreams that answer in the same life."""

        async def main(fleet):
            submission = job("a", tasks=1, work=10.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.submit, "entry-1", submission, QUEUE, 40.0)
                for number in (1, 2):
                    await wait_for(lambda n=number: agents_running(fleet, n))
                    [agent] = agents_running(fleet, number)
                    fleet.cut_upstreams.add(agent)
                    await wait_for(
                        lambda n=number: len(fleet.logged("task.again")) == n
                    )
                    fleet.agents[agent].kill()
                    fleet.cut_upstreams.discard(agent)
                    fleet.start_agent(agent)
                healed_at = trio.current_time()
                await wait_for(lambda: agents_running(fleet, 3))
                assert trio.current_time() - healed_at < 2.0
                nursery.cancel_scope.cancel()

        run_fleet(main, agents=6)


class TestDelayedTasks:
    def test_release_compares_each_task_a_few_times(self, monkeypatch):
        """Guards against an entry that stalls when many upstreams answer again.

        The entry's contact leases expire after 0.45 s; releasing 1,000 tasks by
        comparing each with each takes that long.
        """
        count = 300
        comparisons = 0
        compare = TaskRun.__eq__

        def count_comparison(one, other):
            nonlocal comparisons
            comparisons += 1
            return compare(one, other)

        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            run = JobRun(job("a", tasks=count), QUEUE, jobs.timers.now())
            run.finish(JobOutcome.TIMED_OUT)
            for task in run.tasks:
                task.state = TaskState.DELAYED
            jobs.delayed = list(run.tasks)
            monkeypatch.setattr(TaskRun, "__eq__", count_comparison)
            jobs.release_delayed_tasks()
            assert jobs.delayed == []
            assert comparisons <= 5 * count

        run_fleet(main)

    def test_task_of_a_cancelled_job_is_dropped_at_once(self):
        """Guards against payloads that are kept although nobody waits for them."""

        async def main(fleet):
            fleet.crashing.add(TASK)
            jobs = fleet.entries["entry-1"].jobs
            async with trio.open_nursery() as nursery:
                spec = job("a", tasks=1, work=2.0)
                nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 20.0)
                await wait_for(lambda: jobs.delayed)
                jobs.cancel(QUEUE.key(JobId("a")))
            await trio.sleep(0.5)
            assert jobs.delayed == []

        run_fleet(main, agents=6)
