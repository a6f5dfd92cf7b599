"""Upstreams whose capacity shrinks and grows while they run."""

import random

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.state.job_spec import JobId, JobSpec, StepSpec
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import CAPACITY, NEEDS, QUEUE, REPORT_SECONDS, job

SMALL = Resources(9_300, 65_536, 0)
"""Room for three tasks."""

KNOWN_SECONDS = REPORT_SECONDS + 0.1
"""In which the agent of an upstream knows its capacity."""


def wide_job(name, work=0.5):
    """Return a job whose task needs all of an upstream."""
    return JobSpec(JobId(name), str(work), (StepSpec(1, CAPACITY, work),))


class TestShrunk:
    def test_no_more_is_started_than_it_has_room_for(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.guards = False
            upstream.capacity = SMALL
            await trio.sleep(KNOWN_SECONDS)
            most = []
            upstream.on_start = lambda _run: most.append(upstream.used().cpu)
            answer = await fleet.submit("entry-1", job("a", tasks=8, work=0.3))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert max(most) <= SMALL.cpu

        run_fleet(main, agents=1)

    def test_what_runs_beyond_it_still_counts(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.guards = False
            running = job("a", tasks=10, work=3.5)
            fleet.nursery.start_soon(fleet.submit, "entry-1", running)
            await trio.sleep(0.1)
            upstream.capacity = SMALL
            await trio.sleep(KNOWN_SECONDS)
            before = len(fleet.history)
            fleet.nursery.start_soon(fleet.submit, "entry-2", job("b", work=1.0))
            await trio.sleep(1.0)
            assert len(fleet.history) == before

        run_fleet(main, agents=1)

    def test_a_job_that_fits_only_the_former_size_waits_for_it(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.capacity = SMALL
            await trio.sleep(4.0)
            answers = []

            async def submit():
                spec = wide_job("a", work=20.0)
                answers.append(await fleet.submit("entry-1", spec, QUEUE, 60.0))

            fleet.nursery.start_soon(submit)
            await trio.sleep(0.5)
            assert answers == []
            upstream.capacity = CAPACITY
            await trio.sleep(KNOWN_SECONDS)
            assert len(fleet.history) == 1

        run_fleet(main, agents=1)

    def test_one_that_no_upstream_ever_had_room_for_is_refused_at_once(self):
        async def main(fleet):
            await trio.sleep(4.0)
            needs = Resources(CAPACITY.cpu + 1, 64, 0)
            spec = JobSpec(JobId("a"), "0.5", (StepSpec(1, needs, 0.5),))
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", spec)
            assert answer.outcome is JobOutcome.REFUSED
            assert answer.at == begun

        run_fleet(main, agents=1)


class TestGrown:
    def test_its_room_is_used_at_once(self):
        async def main(fleet):
            fleet.upstreams["agent-1"].capacity = SMALL
            await trio.sleep(KNOWN_SECONDS)
            fleet.upstreams["agent-1"].capacity = CAPACITY
            await trio.sleep(KNOWN_SECONDS)
            await fleet.submit("entry-1", job("a", tasks=10, work=0.3))
            assert len({run.started_at for run in fleet.history}) == 1

        run_fleet(main, agents=1)


class TestChanges:
    """Upstreams that guard nothing change all the time, several entries use each."""

    @pytest.mark.parametrize("seed", range(4))
    def test_none_is_brought_over_its_capacity(self, seed):
        async def main(fleet):
            rng = random.Random(seed)
            over = []

            def watch(upstream, shrunk_at):
                def started(run):
                    settled = trio.current_time() - shrunk_at[0] > KNOWN_SECONDS
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
                upstream.guards = False
                fleet.nursery.start_soon(change, upstream)
            for number in range(100):
                entry = rng.choice(list(fleet.entries))
                spec = job(f"j{number}", rng.randint(1, 6), rng.uniform(0.1, 1.0))
                fleet.nursery.start_soon(fleet.submit, entry, spec)
                await trio.sleep(0.1)
            assert fleet.history
            assert over == []

        run_fleet(main, seed=seed, agents=3)
