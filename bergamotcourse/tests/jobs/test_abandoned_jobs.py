"""Jobs whose callers have disconnected, which the server notices later."""

import pytest
import trio
from msgspec import structs

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of
from bergamotcourse.virtual.job_fleet import QUEUE, job

WORK_SECONDS = 0.5
FREEZE_SECONDS = 4.0


class Caller:
    """A caller of the first entry; the entry isn't told that it disconnects."""

    def __init__(self, fleet, spec):
        self.has_disconnected = False
        self.run = None
        self.fleet = fleet
        self.spec = spec
        fleet.nursery.start_soon(self.submit)

    async def submit(self):
        entry = self.fleet.entries["entry-1"]
        self.run = await entry.jobs.submit(
            self.spec, QUEUE, 20.0, lambda: self.has_disconnected
        )

    def runs(self):
        return runs_of(self.fleet, self.spec.id)

    async def wait_for_start(self):
        while not self.runs():
            await trio.sleep(0.005)


def two_step_job(name):
    """Return a job of two steps with two tasks each."""
    spec = job(name, tasks=2, work=WORK_SECONDS)
    second = structs.replace(spec.steps[0], after=(0,))
    return structs.replace(spec, steps=(spec.steps[0], second))


class TestAbandonedJob:
    def test_is_not_placed_when_room_becomes_free(self):
        """Guards against running a queued job that its caller has sent elsewhere."""

        async def main(fleet):
            before = Caller(fleet, job("before", tasks=20, work=0.1))
            await before.wait_for_start()
            queued = Caller(fleet, job("queued", tasks=1, work=2.0))
            await trio.sleep(0.01)
            queued.has_disconnected = True
            await trio.sleep(2.0)
            assert queued.runs() == []
            assert queued.run.outcome is JobOutcome.CANCELLED

        run_fleet(main, agents=2)

    def test_starts_no_further_step(self):
        async def main(fleet):
            caller = Caller(fleet, two_step_job("a"))
            await caller.wait_for_start()
            caller.has_disconnected = True
            await trio.sleep(2.0)
            assert len(caller.runs()) == 2
            assert caller.run.outcome is JobOutcome.CANCELLED

        run_fleet(main)

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_is_not_placed_again_by_an_entry_that_wakes(self, seed):
        """Guards against a retry of runs that the agents stopped during the pause."""

        async def main(fleet):
            caller = Caller(fleet, job("a", tasks=6, work=2.0))
            await caller.wait_for_start()
            fleet.entries["entry-1"].freeze()
            await trio.sleep(1.0)
            caller.has_disconnected = True
            await trio.sleep(FREEZE_SECONDS - 1.0)
            fleet.entries["entry-1"].thaw()
            await trio.sleep(2.0)
            assert len(caller.runs()) == 6

        run_fleet(main, seed=seed)

    def test_placed_before_a_silence_is_withdrawn_after_it(self):
        """Guards against an echo that starts runs which the agent has held.

        The agent holds a run that arrives after the contact has ended, until the entry
        echoes a later message. An entry that was paused does so as it wakes.
        """

        async def main(fleet):
            ends = ("tcp://entry-1", "tcp://agent-1")
            fleet.network.cut(*ends)
            fleet.network.cut(*reversed(ends))
            caller = Caller(fleet, job("a", tasks=2, work=WORK_SECONDS))
            await trio.sleep(0.6)
            caller.has_disconnected = True
            fleet.network.heal(*ends)
            fleet.network.heal(*reversed(ends))
            await trio.sleep(2.0)
            assert caller.runs() == []

        run_fleet(main, agents=1)


class TestJobWithSeveralCallers:
    def test_runs_while_one_of_them_waits(self):
        """Guards against cancelling a job that another connection waits for."""

        async def main(fleet):
            spec = two_step_job("a")
            callers = [Caller(fleet, spec) for _ in range(2)]
            await callers[0].wait_for_start()
            callers[0].has_disconnected = True
            await trio.sleep(3.0)
            assert callers[1].run.outcome is JobOutcome.SUCCEEDED

        run_fleet(main)
