"""Placement rounds, which examine all waiting jobs and agents."""

import trio
import trio.testing

from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job

JOBS = 20


class TestRounds:
    def count_rounds_of(self, act):
        """Return how many rounds an act takes at an entry whose agents are full."""

        async def main(fleet):
            entry = fleet.entries["entry-1"]
            async with trio.open_nursery() as nursery:
                for number in range(JOBS):
                    one = job(f"running-{number}", tasks=2, work=2.0)
                    nursery.start_soon(fleet.submit, "entry-1", one)
                await trio.sleep(0.1)
                rounds = []
                place = entry.jobs.placement_round.call
                entry.jobs.placement_round.call = lambda: rounds.append(place())
                act(fleet, entry, nursery)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return len(rounds)

        return run_fleet(main, entries=1, agents=4)

    def test_jobs_of_one_pass_are_placed_in_one_round(self):
        """Guards against a round for each job, which takes longer the more wait."""

        def submit(fleet, entry, nursery):
            for number in range(JOBS):
                one = job(f"waiting-{number}", tasks=1, work=2.0)
                nursery.start_soon(fleet.submit, "entry-1", one)

        assert self.count_rounds_of(submit) == 1

    def test_outcomes_of_one_pass_are_followed_by_one_round(self):
        """Guards against a round for each message of an agent while jobs wait."""

        def report(fleet, entry, nursery):
            for _ in fleet.agents:
                entry.links.on_outcomes_reported()

        assert self.count_rounds_of(report) == 1
