"""Placement rounds, which examine all waiting jobs and agents."""

import trio
import trio.testing

from bergamotcourse.coordination.jobs.paced_call import MAX_TIME_SHARE, PacedCall
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import job


class Work:
    """Calls that take some seconds, by a clock that only these and the test advance.

    Attributes:
        calls: When each call began.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.time = 0.0
        self.calls = []
        self.paced = PacedCall(self._work, lambda: self.time)

    def _work(self):
        self.calls.append(self.time)
        self.time += self.seconds

    def request_in_one_pass(self, seconds, interval=0.001):
        """Request a call again and again, as a receiver of many messages does."""
        ends_at = self.time + seconds
        while self.time < ends_at:
            self.paced.request()
            self.time += interval


class TestPacedCalls:
    def test_calls_take_a_limited_share_of_a_pass(self):
        """Guards against a round for each message of an agent while jobs wait."""
        work = Work(0.002)
        work.request_in_one_pass(1.0)
        assert 0.02 < work.seconds * len(work.calls) <= MAX_TIME_SHARE + work.seconds

    def test_delayed_requests_are_answered_by_one_call_in_the_next_pass(self):
        work = Work(1.0)

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(work.paced.run)
                work.request_in_one_pass(2.0)
                calls = len(work.calls)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return len(work.calls) - calls

        assert run_virtual(main, seed=1) == 1

    def test_calls_without_cost_are_made_at_once(self):
        work = Work(0.0)
        for _ in range(5):
            work.paced.request()
        assert len(work.calls) == 5


class TestRounds:
    def count_rounds(self, request):
        """Return how many rounds follow each other at once while a round is due later.

        Args:
            request: Makes requests at an entry whose agents are full.
        """

        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    one = job(f"running-{number}", tasks=2, work=2.0)
                    nursery.start_soon(fleet.submit, "entry-1", one)
                await trio.sleep(0.1)
                jobs.placement_round.due_at = trio.current_time() + 1.0
                rounds = []
                jobs.placement_round.call = lambda: rounds.append(None)
                request(fleet, nursery)
                await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
            return len(rounds)

        return run_fleet(main, entries=1, agents=4)

    def test_arriving_jobs_start_no_rounds_out_of_turn(self):
        def submit(fleet, nursery):
            for number in range(20):
                one = job(f"waiting-{number}", tasks=1, work=2.0)
                nursery.start_soon(fleet.submit, "entry-1", one)

        assert self.count_rounds(submit) == 0

    def test_messages_of_agents_start_no_rounds_out_of_turn(self):
        def report(fleet, nursery):
            for agent in fleet.agents.values():
                agent.contacts.notify_all_entries()
            fleet.entries["entry-1"].links.on_outcomes_reported()

        assert self.count_rounds(report) == 0
