"""Upstreams whose capacity shrinks or grows while they run tasks."""

import random

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.state.job_spec import JobId, JobSpec, StepSpec
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import CAPACITY, NEEDS, QUEUE, REPORT_SECONDS, job

REDUCED_CAPACITY = Resources(9_300, 65_536, 0)
"""Capacity for three tasks."""

REPORT_DELAY_SECONDS = REPORT_SECONDS + 0.1
"""Time within which an agent learns a changed capacity of its upstream."""


def whole_upstream_job(name, work=0.5):
    """Return a job whose task needs all of an upstream."""
    return JobSpec(JobId(name), str(work), (StepSpec(1, CAPACITY, work),))


class TestReducedCapacity:
    def test_starts_stay_within_the_reduced_capacity(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.enforces_capacity = False
            upstream.capacity = REDUCED_CAPACITY
            await trio.sleep(REPORT_DELAY_SECONDS)
            most = []
            upstream.on_start = lambda _run: most.append(upstream.used().cpu)
            answer = await fleet.submit("entry-1", job("a", tasks=8, work=0.3))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert max(most) <= REDUCED_CAPACITY.cpu

        run_fleet(main, agents=1)

    def test_runs_beyond_the_reduced_capacity_block_further_starts(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.enforces_capacity = False
            running = job("a", tasks=10, work=3.5)
            fleet.nursery.start_soon(fleet.submit, "entry-1", running)
            await trio.sleep(0.1)
            upstream.capacity = REDUCED_CAPACITY
            await trio.sleep(REPORT_DELAY_SECONDS)
            before = len(fleet.history)
            fleet.nursery.start_soon(fleet.submit, "entry-2", job("b", work=1.0))
            await trio.sleep(1.0)
            assert len(fleet.history) == before

        run_fleet(main, agents=1)

    def test_job_that_fits_only_the_former_capacity_waits_for_it(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.capacity = REDUCED_CAPACITY
            await trio.sleep(4.0)
            answers = []

            async def submit():
                spec = whole_upstream_job("a", work=20.0)
                answers.append(await fleet.submit("entry-1", spec, QUEUE, 60.0))

            fleet.nursery.start_soon(submit)
            await trio.sleep(0.5)
            assert answers == []
            upstream.capacity = CAPACITY
            await trio.sleep(REPORT_DELAY_SECONDS)
            assert len(fleet.history) == 1

        run_fleet(main, agents=1)

    def test_job_larger_than_any_known_capacity_is_refused_at_once(self):
        async def main(fleet):
            await trio.sleep(4.0)
            needs = Resources(CAPACITY.cpu + 1, 64, 0)
            spec = JobSpec(JobId("a"), "0.5", (StepSpec(1, needs, 0.5),))
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", spec)
            assert answer.outcome is JobOutcome.REFUSED
            assert answer.at == begun

        run_fleet(main, agents=1)


class TestIncreasedCapacity:
    def test_new_room_is_used_at_once(self):
        async def main(fleet):
            fleet.upstreams["agent-1"].capacity = REDUCED_CAPACITY
            await trio.sleep(REPORT_DELAY_SECONDS)
            fleet.upstreams["agent-1"].capacity = CAPACITY
            await trio.sleep(REPORT_DELAY_SECONDS)
            await fleet.submit("entry-1", job("a", tasks=10, work=0.3))
            assert len({run.started_at for run in fleet.history}) == 1

        run_fleet(main, agents=1)


class TestChangingCapacity:
    """Upstreams change all the time and do not refuse starts beyond their capacity."""

    @pytest.mark.parametrize("seed", range(4))
    def test_no_upstream_exceeds_its_capacity_under_random_changes(self, seed):
        async def main(fleet):
            rng = random.Random(seed)
            over = []

            def watch(upstream, shrunk_at):
                def started(run):
                    settled = trio.current_time() - shrunk_at[0] > REPORT_DELAY_SECONDS
                    if settled and upstream.used().cpu > upstream.capacity.cpu:
                        over.append((run.key, trio.current_time()))

                upstream.on_start = started

            async def change(upstream):
                shrunk_at = [0.0]
                watch(upstream, shrunk_at)
                while True:
                    slots = rng.randint(0, 10)
                    upstream.capacity = Resources(slots * NEEDS.cpu, 65_536, 0)
                    shrunk_at[0] = trio.current_time()
                    await trio.sleep(rng.uniform(0.5, 4.0))

            for upstream in fleet.upstreams.values():
                upstream.enforces_capacity = False
                fleet.nursery.start_soon(change, upstream)
            for number in range(100):
                entry = rng.choice(list(fleet.entries))
                spec = job(f"j{number}", rng.randint(1, 6), rng.uniform(0.1, 1.0))
                fleet.nursery.start_soon(fleet.submit, entry, spec)
                await trio.sleep(0.1)
            assert fleet.history
            assert over == []

        run_fleet(main, seed=seed, agents=3)
