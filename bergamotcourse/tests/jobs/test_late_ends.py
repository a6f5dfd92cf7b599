"""Ends of runs that are listed only after their lease lapsed by the agent's clock."""

import trio

from bergamotcourse.coordination.jobs.former_ends import MAX_FORMER_ENDS, FormerEnds
from bergamotcourse.coordination.jobs.job_run import JobOutcome, TaskState
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import RunOutcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.state.job_spec import JobId, JobSpec, StepSpec, TaskName
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import NEEDS, QUEUE, job

CALLER_TIMEOUT_SECONDS = 20.0
TASK = TaskName("a.0.0.0")
WORK_SECONDS = 0.6
SLOWNESS_ELSEWHERE = 10.0
"""The second run takes so long that it can't have completed the task."""


def agent_link(fleet):
    """Return the first link of an entry to an agent."""
    return next(iter(fleet.entries["entry-1"].links.links.values()))


def agents_running(fleet, number):
    """Return the agents whose upstreams run the given run of the task."""
    return [
        agent
        for agent, life in fleet.upstreams.items()
        if RunKey(TASK, number) in life.running
    ]


async def wait_for(condition):
    """Wait until a condition holds."""
    while not condition():
        await trio.sleep(0.005)


class LateEnd:
    """One job, the first run of which ends while its upstream doesn't answer.

    Attributes:
        fleet: The fleet.
        spec: The job.
        answers: The answer to its caller, once there is one.
        agent: The agent of the first run.
        answers_again_at: When its upstream answered again.
    """

    def __init__(self, fleet, spec=None):
        self.fleet = fleet
        self.spec = spec or job("a", tasks=1, work=WORK_SECONDS)
        self.answers = []
        self.agent = ""
        self.answers_again_at = 0.0

    async def submit(self):
        """Submit the job at the first entry and keep the answer."""
        self.answers.append(
            await self.fleet.submit("entry-1", self.spec, QUEUE, CALLER_TIMEOUT_SECONDS)
        )

    async def silence_first_run(self):
        """Cut the upstream of the first run off until the task is to run again."""
        await wait_for(lambda: agents_running(self.fleet, 1))
        [self.agent] = agents_running(self.fleet, 1)
        for agent, life in self.fleet.upstreams.items():
            if agent != self.agent:
                life.behaviour.slowness = SLOWNESS_ELSEWHERE
        self.fleet.cut_upstreams.add(self.agent)
        await wait_for(lambda: self.fleet.logged("task.again"))

    def end_silence(self):
        """Let the upstream answer again."""
        self.answers_again_at = trio.current_time()
        self.fleet.cut_upstreams.discard(self.agent)

    def seconds_to_answer(self):
        """Return the seconds from the end of the silence to the caller's answer."""
        [answer] = self.answers
        return answer.at - self.answers_again_at


class TestLateCompletion:
    def test_caller_does_not_wait_for_the_second_run(self):
        """Guards against work that is done and not used."""

        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                await wait_for(lambda: agents_running(fleet, 2))
                late.end_silence()
            [answer] = late.answers
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert late.seconds_to_answer() < 0.6
            await trio.sleep(0.2)
            assert [run.kind for run in fleet.history] == [
                EndKind.DONE,
                EndKind.STOPPED,
            ]
            assert fleet.overlaps() == []
            [done] = fleet.logged("task.end_late")
            assert (done["task"], done["run"], done["was"]) == (TASK, 1, "placed")

        run_fleet(main, agents=2)

    def test_task_that_waits_for_room_is_not_started_again(self):
        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                late.end_silence()
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED
            await trio.sleep(1.0)
            assert [run.kind for run in fleet.history] == [EndKind.DONE]

        run_fleet(main, agents=1)

    def test_run_that_is_on_its_way_is_withdrawn(self):
        """Guards against a second run that nobody waits for and nobody stops."""

        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                [other] = set(fleet.agents) - {late.agent}
                fleet.agents[other].freeze()
                late.end_silence()
                await wait_for(lambda: late.answers)
                fleet.agents[other].thaw()
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED
            await trio.sleep(2.0)
            assert not agents_running(fleet, 2)
            started = [run for run in fleet.history if run.key.number > 1]
            assert all(run.ended_at - run.started_at < 0.2 for run in started)
            assert all(
                not agent.executor.registry.runs for agent in fleet.agents.values()
            )

        run_fleet(main, agents=2)

    def test_steps_that_wait_for_the_task_start_once(self):
        async def main(fleet):
            steps = (
                StepSpec(1, NEEDS, WORK_SECONDS),
                StepSpec(2, NEEDS, WORK_SECONDS, after=(0,)),
            )
            spec = JobSpec(JobId("a"), str(WORK_SECONDS), steps)
            late = LateEnd(fleet, spec)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                await wait_for(lambda: agents_running(fleet, 2))
                late.end_silence()
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED
            second_step = [
                run for run in fleet.history if run.key.task.startswith("a.0.1.")
            ]
            assert sorted(run.key.task for run in second_step) == ["a.0.1.0", "a.0.1.1"]
            first = fleet.history[0]
            assert first.kind is EndKind.DONE
            assert all(run.started_at > first.ended_at for run in second_step)

        run_fleet(main, agents=3)

    def test_end_is_told_in_a_new_session(self):
        """Guards against an end that is lost as the entry's contact ends meanwhile."""

        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                await wait_for(lambda: agents_running(fleet, 2))
                contacts = fleet.agents[late.agent].contacts
                entry = contacts.entries[fleet.entries["entry-1"].address]
                contacts._end_session(entry, "test")
                late.end_silence()
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED
            assert late.seconds_to_answer() < 0.6
            assert fleet.overlaps() == []

        run_fleet(main, agents=2)


class TestCutLink:
    def test_end_that_the_entry_could_not_hear_completes_the_task(self):
        """Guards against work that is done and not used after a cut link heals."""

        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await wait_for(lambda: agents_running(fleet, 1))
                [agent] = agents_running(fleet, 1)
                for other, life in fleet.upstreams.items():
                    if other != agent:
                        life.behaviour.slowness = SLOWNESS_ELSEWHERE
                await trio.sleep(WORK_SECONDS - 0.1)
                entry, address = "tcp://entry-1", f"tcp://{agent}"
                fleet.network.cut(entry, address)
                fleet.network.cut(address, entry)
                await wait_for(lambda: agents_running(fleet, 2))
                fleet.network.heal(entry, address)
                fleet.network.heal(address, entry)
                late.answers_again_at = trio.current_time()
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED
            assert late.seconds_to_answer() < 0.6
            assert fleet.overlaps() == []

        run_fleet(main, agents=2)


class TestLateCompletionOfOthers:
    def test_settled_job_stays_settled(self):
        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                fleet.entries["entry-1"].jobs.cancel(QUEUE.key(JobId("a")))
                await wait_for(lambda: late.answers)
                late.end_silence()
            await trio.sleep(1.0)
            assert late.answers[0].outcome is JobOutcome.CANCELLED
            assert len(fleet.logged("run.end_late")) == 1
            assert fleet.logged("task.end_late") == []

        run_fleet(main, agents=1)

    def test_job_that_waits_for_its_caller_to_take_the_answer_starts_no_step(self):
        """Guards against a step that starts after the job was answered."""

        async def main(fleet):
            steps = (
                StepSpec(1, NEEDS, WORK_SECONDS),
                StepSpec(1, NEEDS, WORK_SECONDS, after=(0,)),
            )
            spec = JobSpec(JobId("a"), str(WORK_SECONDS), steps)
            jobs = fleet.entries["entry-1"].jobs
            run = jobs._admit(spec, QUEUE, 5.0)
            run.finish(JobOutcome.TIMED_OUT)
            [task] = [task for task in run.tasks if task.name == TASK]
            link = agent_link(fleet)
            task.agents[1] = link.name
            jobs.handle_late_end(link, TaskEnded(RunKey(TASK, 1), RunOutcome.DONE))
            assert run.pending_tasks() == []
            assert run not in jobs.waiting
            assert fleet.logged("task.end_late") == []

        run_fleet(main, agents=1)

    def test_restarted_entry_ignores_ends_of_jobs_that_it_does_not_know(self):
        async def main(fleet):
            late = LateEnd(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                await late.silence_first_run()
                fleet.entries["entry-1"].kill()
                await trio.sleep(0.1)
                fleet.start_entry("entry-1")
                await trio.sleep(0.1)
                late.end_silence()
                nursery.cancel_scope.cancel()
            await trio.sleep(1.0)
            assert len(fleet.logged("run.end_late")) == 1
            assert fleet.logged("task.end_late") == []
            again = await fleet.submit("entry-1", job("b", tasks=1, work=0.1))
            assert again.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=1)

    def test_run_that_the_job_has_not_placed_does_not_complete_it(self):
        """Guards against ends of an earlier arrival of the job under the same id."""

        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            run = jobs._admit(job("a", tasks=1, work=WORK_SECONDS), QUEUE, 5.0)
            [task] = run.tasks
            key = RunKey(TASK, task.number + 1)
            jobs.handle_late_end(agent_link(fleet), TaskEnded(key, RunOutcome.DONE))
            assert task.state is not TaskState.DONE
            assert run.outcome is None

        run_fleet(main, agents=1)

    def test_repeated_end_completes_a_task_once(self):
        """Guards against a job of two tasks that one task's two ends complete."""

        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            run = jobs._admit(job("a", tasks=2, work=WORK_SECONDS), QUEUE, 5.0)
            link = agent_link(fleet)
            run.tasks[0].agents[1] = link.name
            for _ in range(2):
                jobs.handle_late_end(link, TaskEnded(RunKey(TASK, 1), RunOutcome.DONE))
            assert run.unfinished_tasks == 1
            assert run.outcome is None

        run_fleet(main, agents=1)


class TestLateFailures:
    def test_failure_that_is_listed_late_is_no_attempt(self):
        """Guards against a job that fails by ends that were not acknowledged in time.

        The upstream's lease has lapsed before the agent could acknowledge the end, so
        the end doesn't count towards ``max_attempts``; it is only logged.
        """

        async def main(fleet):
            late = LateEnd(fleet)

            async def wait_for_run(number):
                await wait_for(lambda: agents_running(fleet, number))
                [agent] = agents_running(fleet, number)
                return fleet.upstreams[agent].behaviour

            async with trio.open_nursery() as nursery:
                nursery.start_soon(late.submit)
                (await wait_for_run(1)).fails = True
                await late.silence_first_run()
                behaviour = await wait_for_run(2)
                behaviour.fails = True
                late.end_silence()
                await wait_for(lambda: fleet.logged("run.end_late"))
                for upstream in fleet.upstreams.values():
                    upstream.behaviour.slowness = 1.0
                assert len(agents_running(fleet, 2)) == 1
                await wait_for_run(3)
            [end] = fleet.logged("run.end_late")
            assert (end["task"], end["run"], end["outcome"]) == (TASK, 1, "failed")
            kinds = [run.kind for run in fleet.history]
            assert kinds == [EndKind.FAILED, EndKind.FAILED, EndKind.DONE]
            assert QUEUE.max_attempts == 2
            assert late.answers[0].outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=3)


class TestSafety:
    def test_no_two_runs_overlap_and_no_unfinished_task_counts_as_done(self):
        """Guards against answers by the ends of other tasks."""

        async def main(fleet):
            answers = {}

            async def submit(number):
                name = f"job{number}"
                entry = f"entry-{number % 2 + 1}"
                answers[name] = await fleet.submit(entry, job(name, tasks=2, work=0.4))

            async with trio.open_nursery() as nursery:
                for upstream in fleet.upstreams.values():
                    upstream.behaviour.unanswered = 0.6
                for number in range(60):
                    nursery.start_soon(submit, number)
                    await trio.sleep(0.1)
                for upstream in fleet.upstreams.values():
                    upstream.behaviour.unanswered = 0.0
            assert fleet.overlaps() == []
            done = {run.key.task for run in fleet.history if run.kind is EndKind.DONE}
            for name, answer in answers.items():
                if answer.outcome is JobOutcome.SUCCEEDED:
                    assert {f"{name}.0.0.0", f"{name}.0.0.1"} <= done
            return len(fleet.logged("task.end_late"))

        late = sum(run_fleet(main, seed=seed, agents=6) for seed in range(1, 7))
        assert late > 0


class TestMemory:
    def test_runs_given_up_are_bounded(self):
        ends = FormerEnds()
        entry = LinkAddress("tcp://entry-1")
        for number in range(MAX_FORMER_ENDS + 5):
            ends.record_given_up(RunKey(TASK, number), entry)
        assert len(ends.given_up) == MAX_FORMER_ENDS
        assert ends.pop_given_up(RunKey(TASK, 4)) is None
        assert ends.pop_given_up(RunKey(TASK, 5)) == entry
