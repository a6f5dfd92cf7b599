"""Jobs from submission to response, without process or link faults."""

from collections import Counter

import msgspec
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.state.job_spec import JobId, JobSpec, StepSpec
from bergamotcourse.state.resources import NO_RESOURCES
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import CAPACITY, NEEDS, QUEUE, job


class TestOneJob:
    def test_each_task_runs_once_and_caller_is_answered_after_last(self):
        async def main(fleet):
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("a", tasks=6, work=0.2))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert 0.2 <= answer.at - begun < 0.25
            assert sorted(run.key.task for run in fleet.history) == [
                f"a.0.0.{index}" for index in range(6)
            ]

        run_fleet(main)

    def test_tasks_share_one_upstream_that_has_room(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=8))
            assert len({run.upstream for run in fleet.history}) == 1

        run_fleet(main)

    def test_tasks_are_spread_when_no_upstream_has_room_for_all(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=40))
            used = Counter(run.upstream for run in fleet.history)
            assert len(used) == 4
            assert set(used.values()) == {10}

        run_fleet(main)

    def test_concurrent_jobs_use_different_upstreams(self):
        async def main(fleet):
            async with trio.open_nursery() as nursery:
                for name in "abcd":
                    nursery.start_soon(fleet.submit, "entry-1", job(name, tasks=4))
            assert len({run.upstream for run in fleet.history}) == 4

        run_fleet(main)

    def test_payload_is_sent_once_to_each_agent(self):
        """Tasks of a job share the payload, which is most of an entry's traffic."""

        async def main(fleet):
            sent = []

            def tap(sender, receiver, payload):
                sent.append(payload.count(b"\xa30.2"))
                return True

            fleet.network.tap = tap
            await fleet.submit("entry-1", job("a", tasks=20))
            assert sum(sent) == 2
            assert len(fleet.history) == 20

        run_fleet(main)

    def test_duplicate_submission_runs_once_and_answers_both(self):
        async def main(fleet):
            answers = []

            async def submit_job():
                answers.append(await fleet.submit("entry-1", job("a")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit_job)
                nursery.start_soon(submit_job)
            assert [a.outcome for a in answers] == [JobOutcome.SUCCEEDED] * 2
            assert len(fleet.history) == 4

        run_fleet(main)

    def test_job_fails_after_max_attempts_of_a_task(self):
        async def main(fleet):
            for upstream in fleet.upstreams.values():
                upstream.behaviour.fails = True
            answer = await fleet.submit("entry-1", job("a", tasks=1, work=0.05))
            assert answer.outcome is JobOutcome.FAILED
            assert len(fleet.history) == QUEUE.max_attempts

        run_fleet(main)

    def test_task_failed_by_one_upstream_succeeds_on_another(self):
        async def main(fleet):
            fleet.upstreams["agent-1"].behaviour.fails = True
            for number in range(6):
                spec = job(f"j{number}", tasks=4, work=0.05)
                answer = await fleet.submit("entry-1", spec)
                assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main)


class TestRoom:
    def test_room_freed_between_heartbeats_is_reported_to_waiting_entry(self):
        """Tasks of another entry end between two heartbeats of the agent."""

        async def main(fleet):
            waits = []
            for number in range(8):
                full = job(f"full{number}", tasks=10, work=0.31)
                await fleet.submit("entry-1", full)
                begun = trio.current_time()
                answer = await fleet.submit("entry-2", job(f"j{number}", 1, 0.2))
                assert answer.outcome is JobOutcome.SUCCEEDED
                waits.append(answer.at - begun - 0.2)
                await trio.sleep(0.037 * number)
            assert max(waits) < 0.03

        run_fleet(main, agents=1)


class TestRefusal:
    def test_refusal_for_lack_of_room_is_early_and_final(self):
        """Without room, the refusal comes within a quarter of the objective."""

        async def main(fleet):
            async def fill(number):
                await fleet.submit("entry-1", job(f"long{number}", 10, 2.0))

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(fill, number)
                await trio.sleep(0.2)
                begun = trio.current_time()
                answer = await fleet.submit("entry-2", job("late", 2, 0.8))
                assert answer.outcome is JobOutcome.REFUSED
                assert answer.at - begun <= 0.25 * QUEUE.objective(0.8)
                nursery.cancel_scope.cancel()
            assert not [run for run in fleet.history if run.key.task[:4] == "late"]

        run_fleet(main)

    def test_room_after_refusal_does_not_start_refused_job(self):
        """Room that appears between the refusal and its response must not be used."""

        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            links = jobs.links.links
            rooms = {address: link.room for address, link in links.items()}
            for link in links.values():
                link.room = msgspec.structs.replace(link.room, capacity=NO_RESOURCES)
            spec = job("a")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.submit, "entry-1", spec)
                while spec.id not in jobs.jobs:
                    await trio.lowlevel.checkpoint()
                jobs.jobs[spec.id].finish(JobOutcome.REFUSED, "no room in time")
                for address, link in links.items():
                    link.room = rooms[address]
                jobs.place_waiting_jobs()
            await trio.sleep(0.5)
            assert fleet.history == []

        run_fleet(main)

    def test_refused_jobs_of_a_burst_never_start(self):
        async def main(fleet):
            refused = []

            async def submit_job(number):
                spec = job(f"j{number}", tasks=3, work=0.15)
                answer = await fleet.submit(f"entry-{number % 2 + 1}", spec)
                if answer.outcome is JobOutcome.REFUSED:
                    refused.append(spec.id)

            async with trio.open_nursery() as nursery:
                for number in range(400):
                    nursery.start_soon(submit_job, number)
                    await trio.sleep(0.002)
            await trio.sleep(1.0)
            assert refused
            started = {run.key.task.split(".")[0] for run in fleet.history}
            assert not started.intersection(refused)

        run_fleet(main, agents=2)

    def test_job_too_large_for_any_upstream_is_refused_immediately(self):
        async def main(fleet):
            begun = trio.current_time()
            step = StepSpec(1, CAPACITY + NEEDS, 0.2)
            big = JobSpec(JobId("big"), "0.2", (step,))
            answer = await fleet.submit("entry-1", big)
            assert answer.outcome is JobOutcome.REFUSED
            assert answer.at == begun

        run_fleet(main)

    def test_job_longer_than_caller_timeout_is_refused(self):
        async def main(fleet):
            answer = await fleet.submit("entry-1", job("a", work=1.0), seconds=0.2)
            assert answer.outcome is JobOutcome.REFUSED
            assert fleet.history == []

        run_fleet(main)

    def test_stopping_entry_refuses_job_that_it_cannot_finish(self):
        async def main(fleet):
            entry = fleet.entries["entry-1"]
            entry.jobs.ends_at = entry.timers.now() + 1.0
            answer = await fleet.submit("entry-1", job("long", work=4.0), seconds=9.0)
            assert answer.outcome is JobOutcome.REFUSED
            answer = await fleet.submit("entry-1", job("short", work=0.2))
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main)
