"""Placement of tasks whose data is in one rack, and its effect on other tasks."""

import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.rack_demand import RACK_DEMAND_SECONDS, RackDemand
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of
from bergamotcourse.virtual.job_fleet import QUEUE, REMOTE_FACTOR, job

FLEET = {"agents": 4, "racks": 4}


def racks_of(fleet, name):
    """Return the racks in which the tasks of a job ran."""
    agents = {upstream.id: agent for agent, upstream in fleet.upstreams.items()}
    runs = runs_of(fleet, name)
    return [fleet.rack_of(agents[run.upstream]) for run in runs]


def fill_rack(fleet, work):
    """Occupy all room of rack-3 for ``work`` seconds."""
    full = job("full", tasks=10, work=work, rack="rack-3")
    fleet.nursery.start_soon(fleet.submit, "entry-1", full)


class TestPlacement:
    def test_tasks_run_in_rack_of_their_data(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=8, rack="rack-3"))
            assert set(racks_of(fleet, "a")) == {"rack-3"}

        run_fleet(main, **FLEET)

    def test_other_tasks_avoid_rack_in_demand(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=2, rack="rack-3"))
            await fleet.submit("entry-1", job("b", tasks=30))
            assert "rack-3" not in racks_of(fleet, "b")

        run_fleet(main, **FLEET)

    def test_other_tasks_use_rack_in_demand_when_others_are_full(self):
        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=2, rack="rack-3"))
            answer = await fleet.submit("entry-1", job("b", tasks=40))
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, **FLEET)

    def test_tasks_run_remotely_when_rack_is_full_and_time_suffices(self):
        """The rack stays full, and the job has time for the longer remote run."""

        async def main(fleet):
            fill_rack(fleet, work=3.0)
            await trio.sleep(0.1)
            begun = trio.current_time()
            answer = await fleet.submit(
                "entry-1", job("a", tasks=4, work=0.1, rack="rack-3")
            )
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert answer.at - begun < 0.1 * REMOTE_FACTOR + 0.02

        run_fleet(main, **FLEET)

    def test_tasks_wait_for_rack_when_remote_run_would_be_late(self):
        async def main(fleet):
            fill_rack(fleet, work=0.5)
            await trio.sleep(0.4)
            begun = trio.current_time()
            answer = await fleet.submit(
                "entry-1", job("a", tasks=4, work=1.0, rack="rack-3")
            )
            assert racks_of(fleet, "a") == ["rack-3"] * 4
            assert answer.at - begun < QUEUE.objective(1.0)

        run_fleet(main, **FLEET)

    def test_job_waiting_for_rack_does_not_block_later_jobs(self):
        async def main(fleet):
            fill_rack(fleet, work=0.5)
            await trio.sleep(0.3)
            waiting = job("a", tasks=4, work=1.0, rack="rack-3")
            fleet.nursery.start_soon(fleet.submit, "entry-1", waiting)
            await trio.sleep(0.01)
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("b", tasks=4, work=0.1))
            assert answer.at - begun < 0.12

        run_fleet(main, **FLEET)


class TestHotRack:
    """Half of all jobs need data that is in one of two racks."""

    async def run_load(self, fleet):
        in_time = []

        async def submit(spec):
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", spec)
            took = answer.at - begun
            served = answer.outcome is JobOutcome.SUCCEEDED
            in_time.append(served and took <= QUEUE.objective(0.2))

        for number in range(120):
            rack = "rack-1" if number % 2 else ""
            spec = job(f"j{number}", tasks=4, work=0.2, rack=rack)
            fleet.nursery.start_soon(submit, spec)
            await trio.sleep(0.04)
        await trio.sleep(2.0)
        return sum(in_time)

    def test_more_jobs_in_time_than_without_data_placement(self):
        without = JobPolicy.without(["places_near_data"])
        apart = JobPolicy.without(["places_near_data", "keeps_jobs_together"])
        shape = {"agents": 4, "racks": 2}
        in_time = run_fleet(self.run_load, **shape)
        assert in_time >= 115
        # A job whose tasks are kept together is either entirely in the wrong rack or
        # not at all.
        assert run_fleet(self.run_load, policy=without, **shape) <= in_time - 15
        assert run_fleet(self.run_load, policy=apart, **shape) <= 90


class TestRackDemand:
    def test_request_expires(self):
        demand = RackDemand()
        assert demand.racks_in_demand(0.0) == frozenset()
        demand.record_request("rack-1", 1.0)
        demand.record_request("rack-2", 1.5)
        assert demand.racks_in_demand(1.6) == {"rack-1", "rack-2"}
        assert demand.racks_in_demand(1.1 + RACK_DEMAND_SECONDS) == {"rack-2"}
