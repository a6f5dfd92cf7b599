"""Jobs that are submitted again, cancelled or asked for at any entry."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs import ended_jobs
from bergamotcourse.coordination.jobs.ended_jobs import RETENTION_SECONDS, EndedJobs
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.peer_jobs import (
    MAX_ANNOUNCED_JOBS,
    MAX_OPEN_QUERIES,
    PeerJobs,
)
from bergamotcourse.coordination.jobs.peers import (
    FIRST_GREETING_SECONDS,
    PEER_EXPIRY_SECONDS,
    EntryStatus,
    Peers,
)
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.errors import Step
from bergamotcourse.protocol.task_messages import EndedJob, JobsEnded
from bergamotcourse.state.job_spec import JobState
from bergamotcourse.tests.jobs.fleets import (
    make_service,
    run_fleet,
    runs_of,
    submit_all_the_time,
    wait_for_runs,
)
from bergamotcourse.virtual.job_fleet import QUEUE, job

SECONDS_UNTIL_AGAIN = 1.5
TIMEOUT_SECONDS = 5.0
ENTRIES = ["entry-1", "entry-2"]


def service_of(fleet, name):
    queues = QueuesInForce(lambda _content: None, EventLog())
    return make_service(fleet.entries[name], queues)


async def submit(fleet, name, spec):
    service = service_of(fleet, name)
    return await service.submit(spec, QUEUE, TIMEOUT_SECONDS, lambda: False)


async def cancel(fleet, name, spec):
    return await service_of(fleet, name).cancel(spec.id, QUEUE, TIMEOUT_SECONDS)


async def state(fleet, name, spec):
    return await service_of(fleet, name).state(spec.id, QUEUE, TIMEOUT_SECONDS)


async def start_job(fleet, spec, answers):
    """Submit a job to the first entry, and wait until its tasks run."""

    async def wait_for_answer():
        answers.append(await submit(fleet, "entry-1", spec))

    fleet.nursery.start_soon(wait_for_answer)
    await wait_for_runs(fleet, spec, spec.steps[0].count)


class TestJobThatComesAgainAfterItsSuccess:
    @pytest.mark.parametrize("name", ENTRIES)
    def test_is_told_the_same_and_starts_nothing(self, name):
        async def main(fleet):
            spec = job("a", tasks=2)
            first = await submit(fleet, "entry-1", spec)
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            again = await submit(fleet, name, spec)
            assert first.outcome is again.outcome is JobOutcome.SUCCEEDED
            assert len(runs_of(fleet, spec.id)) == 2

        run_fleet(main)

    @pytest.mark.parametrize("name", ENTRIES)
    def test_is_not_refused_while_other_jobs_take_all_room(self, name):
        """Guards against "not accepted" for a job that was accepted."""

        async def main(fleet):
            specs = [job(f"a-{number}", tasks=2) for number in range(5)]
            for spec in specs:
                await submit(fleet, "entry-1", spec)
            for entry in ENTRIES:
                fleet.nursery.start_soon(submit_all_the_time, fleet, entry, 8, 0.02)
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            answers = [await submit(fleet, name, spec) for spec in specs]
            assert {answer.outcome for answer in answers} == {JobOutcome.SUCCEEDED}

        run_fleet(main)

    def test_is_not_refused_by_an_entry_short_of_processor_time(self):
        async def main(fleet):
            spec = job("a", tasks=1)
            await submit(fleet, "entry-1", spec)
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            for name in ENTRIES:
                service = service_of(fleet, name)
                service.processor.shed_share = 1.0
                assert service.refuse_if_overloaded(spec.id, QUEUE) is None

        run_fleet(main)

    def test_is_run_if_it_has_another_body(self):
        """Guards against the answer of another request under the same id."""

        async def main(fleet):
            await submit(fleet, "entry-1", job("a", tasks=2))
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            other = await submit(fleet, "entry-2", job("a", tasks=3))
            assert other.outcome is JobOutcome.SUCCEEDED
            assert len(runs_of(fleet, "a")) == 5

        run_fleet(main)

    def test_is_known_at_other_entries_if_an_announcement_is_lost(self):
        async def main(fleet):
            spec = job("a", tasks=1)
            peer_jobs = fleet.entries["entry-1"].peer_jobs
            await submit(fleet, "entry-1", spec)
            peers, peer_jobs.peers = peer_jobs.peers, list
            peer_jobs.announce()
            peer_jobs.peers = peers
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            await submit(fleet, "entry-2", spec)
            assert len(runs_of(fleet, spec.id)) == 1

        run_fleet(main)


class TestCancellationAtAnotherEntry:
    def test_stops_the_job(self):
        async def main(fleet):
            spec, answers = job("a", tasks=2, work=3.0), []
            await start_job(fleet, spec, answers)
            cancelled = await cancel(fleet, "entry-2", spec)
            assert cancelled.ok is True
            await trio.sleep(0.5)
            assert [run.kind.value for run in runs_of(fleet, "a")] == ["stopped"] * 2
            assert [answer.outcome for answer in answers] == [JobOutcome.CANCELLED]

        run_fleet(main)

    @pytest.mark.parametrize("name", ENTRIES)
    def test_holds_for_a_submission_that_comes_later(self, name):
        """Guards against a start after the cancellation was acknowledged."""

        async def main(fleet):
            spec = job("a", tasks=2)
            assert (await cancel(fleet, "entry-2", spec)).ok is False
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            await submit(fleet, name, spec)
            assert runs_of(fleet, spec.id) == []

        run_fleet(main)

    def test_at_the_entry_of_the_job_holds_at_the_others(self):
        async def main(fleet):
            spec = job("a", tasks=2, work=3.0)
            await start_job(fleet, spec, [])
            assert (await cancel(fleet, "entry-1", spec)).ok is True
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            again = await submit(fleet, "entry-2", spec)
            assert again.outcome is JobOutcome.CANCELLED
            assert len(runs_of(fleet, spec.id)) == 2

        run_fleet(main)

    def test_is_not_acknowledged_if_an_entry_does_not_answer(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=3.0)
            await start_job(fleet, spec, [])
            fleet.entries["entry-1"].freeze()
            assert (await cancel(fleet, "entry-2", spec)).is_error()

        run_fleet(main)

    def test_of_a_job_that_has_succeeded_asks_nobody(self):
        async def main(fleet):
            spec = job("a", tasks=1)
            await submit(fleet, "entry-1", spec)
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            assert (await cancel(fleet, "entry-2", spec)).ok is False
            sent = fleet.entries["entry-2"].mailer.counters.sent
            assert sent["JobQuery"] == 0

        run_fleet(main)

    def test_stops_a_job_that_is_run_again_by_an_entry_that_has_started_since(self):
        """Guards against a run that goes on where its end was never announced."""

        async def main(fleet):
            spec = job("a", tasks=1, work=3.0)
            await submit(fleet, "entry-2", spec)
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            fleet.entries["entry-1"].kill()
            fleet.start_entry("entry-1")
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            fleet.nursery.start_soon(submit, fleet, "entry-1", spec)
            with trio.fail_after(TIMEOUT_SECONDS):
                await wait_for_runs(fleet, spec, 2)
            assert (await cancel(fleet, "entry-2", spec)).ok is False
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            assert runs_of(fleet, "a")[1].kind.value == "stopped"

        run_fleet(main)

    def test_that_is_repeated_is_acknowledged_again(self):
        """Guards against "no such job" when the answer of an entry was lost."""

        async def main(fleet):
            spec = job("a", tasks=1, work=3.0)
            await start_job(fleet, spec, [])
            for name in ("entry-2", "entry-2", "entry-1"):
                assert (await cancel(fleet, name, spec)).ok is True
                await trio.sleep(SECONDS_UNTIL_AGAIN)
            assert (await state(fleet, "entry-2", spec)).ok is JobState.CANCELLED

        run_fleet(main)

    def test_of_a_job_that_nobody_submitted_shows_no_job(self):
        async def main(fleet):
            spec = job("a")
            assert (await cancel(fleet, "entry-2", spec)).ok is False
            assert (await state(fleet, "entry-1", spec)).ok is None

        run_fleet(main)


class TestStateAtAnotherEntry:
    def test_is_that_of_the_job(self):
        async def main(fleet):
            spec = job("a", tasks=1, work=1.0)
            await start_job(fleet, spec, [])
            assert (await state(fleet, "entry-2", spec)).ok is JobState.RUNNING
            await trio.sleep(SECONDS_UNTIL_AGAIN)
            assert (await state(fleet, "entry-2", spec)).ok is JobState.SUCCEEDED
            assert (await state(fleet, "entry-2", job("b"))).ok is None

        run_fleet(main)


class TestEndedJobs:
    def test_are_remembered_for_the_retention_time(self):
        ended = EndedJobs(0.0)
        ended.add(EndedJob(1, 1, True), RETENTION_SECONDS - 1)
        assert ended.find(1, 2 * RETENTION_SECONDS - 1) is not None
        assert ended.find(1, 4 * RETENTION_SECONDS) is None

    def test_keep_the_first_end(self):
        ended = EndedJobs(0.0)
        ended.add(EndedJob(1, 1, True), 0.0)
        ended.add(EndedJob(1, 1, False), 0.0)
        assert ended.find(1, 0.0).succeeded

    def test_are_bounded_in_number(self, monkeypatch):
        monkeypatch.setattr(ended_jobs, "MAX_JOBS_PER_GENERATION", 10)
        ended = EndedJobs(0.0)
        for number in range(100):
            ended.add(EndedJob(number, 0, True), 0.0)
        assert len(ended.current) + len(ended.former) <= 20
        assert ended.find(99, 0.0) is not None


class TestPeerJobs:
    def test_announcements_and_queries_are_bounded(self):
        async def main(fleet):
            entry = fleet.entries["entry-1"]
            posted = []
            entry.mailer.post = lambda _peer, message: posted.append(message) or True
            peer_jobs = PeerJobs(entry.jobs, entry.mailer, ENTRIES.copy, entry.log)
            for number in range(3 * MAX_ANNOUNCED_JOBS):
                peer_jobs.ended.add(EndedJob(number, 0, True))
                peer_jobs.tell_cancelled(QUEUE.key(str(number)))
            peer_jobs.announce()
            assert isinstance(posted[0], JobsEnded)
            assert len(posted[0].jobs) == MAX_ANNOUNCED_JOBS
            assert len(posted[0].cancelled) == MAX_ANNOUNCED_JOBS
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer_jobs.run)
                await trio.testing.wait_all_tasks_blocked()
                for number in range(MAX_OPEN_QUERIES):
                    key = QUEUE.key(str(number))
                    nursery.start_soon(peer_jobs.ask, key, False, TIMEOUT_SECONDS)
                await trio.testing.wait_all_tasks_blocked()
                asked = await peer_jobs.ask(QUEUE.key("a"), False, TIMEOUT_SECONDS)
                assert asked.error.step is Step.SEND
                nursery.cancel_scope.cancel()

        run_fleet(main)


class TestPeersThatMayHaveJobs:
    def make_peers(self, now):
        clock = SimpleNamespace(now=lambda: now[0])
        queues = SimpleNamespace()
        return Peers("tcp://entry-1", None, clock, queues, None, EventLog())

    def test_include_those_that_are_silent_until_they_expire(self):
        """Guards against "no such job" while a link between two entries is cut."""
        now = [0.0]
        peers = self.make_peers(now)
        peers.learn(["tcp://entry-2"])
        peers.peers["tcp://entry-2"].update(1.0, EntryStatus())
        now[0] = 1.0 + PEER_EXPIRY_SECONDS
        assert peers.may_have_jobs() == ["tcp://entry-2"]
        now[0] += 0.1
        assert peers.may_have_jobs() == []

    def test_include_an_address_that_has_not_greeted_only_at_first(self):
        """Guards against requests that fail for an address of nobody."""
        now = [0.0]
        peers = self.make_peers(now)
        peers.learn(["tcp://nobody"], from_settings=True)
        assert peers.may_have_jobs() == ["tcp://nobody"]
        now[0] = FIRST_GREETING_SECONDS + 0.1
        assert peers.may_have_jobs() == []
