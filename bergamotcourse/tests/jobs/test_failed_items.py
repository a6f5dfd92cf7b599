"""Messages of several items of which one raises an exception as it is handled."""

import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of
from bergamotcourse.virtual.job_fleet import QUEUE, job

TASKS = 6
LONG_SECONDS = 60.0
WORK_SECONDS = 0.5


def fail_once(call):
    """Return a function that raises at its first call and then does as another."""
    calls = []

    def wrapped(*args):
        calls.append(args)
        if len(calls) == 1:
            raise RuntimeError("unforeseen")
        return call(*args)

    return wrapped


def record_failures(fleet):
    """Return the list that receives the messages which no process could handle."""
    failed = []
    for process in (*fleet.entries.values(), *fleet.agents.values()):
        process.mailer.on_failed = lambda *fields: failed.append(fields)
    return failed


async def run_then_cancel(fleet, prepare):
    """Cancel a job whose tasks all run at one agent; return its entry and agent."""
    failed = record_failures(fleet)
    spec = job("a", tasks=TASKS, work=LONG_SECONDS)
    fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 90.0)
    while len(runs_of(fleet, "a")) < TASKS:
        await trio.sleep(0.005)
    entry, agent = fleet.entries["entry-1"], fleet.agents["agent-1"]
    prepare(entry, agent)
    assert entry.jobs.cancel(QUEUE.key(spec.id))
    await trio.sleep(2.0)
    assert len(failed) == 1
    return entry, agent


class TestItemThatFails:
    def test_hides_no_other_end_of_a_run_from_an_entry(self):
        """Guards against runs that an entry takes for placed for ever."""

        def prepare(entry, agent):
            entry.links.on_run_ended = fail_once(entry.links.on_run_ended)

        async def main(fleet):
            entry, _ = await run_then_cancel(fleet, prepare)
            assert len(entry.jobs.withdrawn.runs) == 1
            assert [list(one.placed) for one in entry.links.links.values()] == [[]]

        run_fleet(main, entries=1, agents=1)

    def test_hides_no_other_end_at_the_farewell_of_an_agent(self):
        """Guards against the same when the remaining runs of an agent are lost."""

        def prepare(entry, agent):
            entry.links.on_run_ended = fail_once(entry.links.on_run_ended)
            agent.contacts.send_farewells()

        async def main(fleet):
            entry, _ = await run_then_cancel(fleet, prepare)
            assert len(entry.jobs.withdrawn.runs) == 1

        run_fleet(main, entries=1, agents=1)

    def test_hides_no_other_withdrawal_from_an_agent(self):
        """Guards against cancelled runs that nobody stops."""

        def prepare(entry, agent):
            agent.executor.withdraw = fail_once(agent.executor.withdraw)

        async def main(fleet):
            await run_then_cancel(fleet, prepare)
            stops = [one["why"] for one in fleet.logged("run.stop")]
            assert stops.count("withdrawn") == TASKS - 1

        run_fleet(main, entries=1, agents=1)


class TestEndThatFails:
    def test_ends_its_job_at_once(self):
        """Guards against callers that wait for a task that is not running."""

        async def main(fleet):
            failed = record_failures(fleet)
            estimates = fleet.entries["entry-1"].jobs.estimates
            estimates.record_run_time = fail_once(estimates.record_run_time)
            spec = job("a", tasks=TASKS, work=WORK_SECONDS)
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", spec, QUEUE, LONG_SECONDS)
            assert answer.outcome is JobOutcome.TIMED_OUT
            assert answer.at - begun < 2 * WORK_SECONDS
            assert len(failed) == 1
            again = await fleet.submit("entry-1", spec, QUEUE, LONG_SECONDS)
            assert again.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main, entries=1, agents=1)
