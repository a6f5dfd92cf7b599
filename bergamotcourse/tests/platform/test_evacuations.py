"""No task starts in an evacuated zone until its evacuation is withdrawn."""

from contextlib import asynccontextmanager

import trio

from bergamotcourse.tests.platform.cluster import Cluster, submit_job

TEST_TIMEOUT_SECONDS = 60.0
"""Covers the start of processes, and the test itself, on a busy machine."""

EVACUATION_EFFECT_SECONDS = 2.0
"""Bound for an evacuation to take effect where there are no faults."""

ZONES = ("north", "south")
THREE_ZONES = ("north", "south", "east")

TASKS_PER_JOB = 16
"""More than the ten that fit on a worker, so that a job needs two workers."""


@asynccontextmanager
async def running_cluster(folder, entries=1, agents=2, zones=ZONES):
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(folder, nursery, zones)
            try:
                await cluster.start(entries, agents)
                yield cluster
            finally:
                cluster.shut_down()
                nursery.cancel_scope.cancel()


def worker_in(cluster, zone):
    """Return the id of the only worker in a zone."""
    (worker,) = (one for one in cluster.workers.values() if one.zone == zone)
    return worker.upstream.id


async def run_wide_job(cluster, number):
    """Run a job that needs two workers; return its status and the workers used."""
    before = len(cluster.history)
    answer = await submit_job(cluster.entries()[0], number, 0.2, tasks=TASKS_PER_JOB)
    return answer.status, {run.upstream for run in cluster.history[before:]}


class TestEvacuations:
    def test_no_task_starts_in_evacuated_zone_until_withdrawn(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as cluster:
                north, south = (worker_in(cluster, zone) for zone in ZONES)
                assert await run_wide_job(cluster, 1) == (200, {north, south})
                cluster.evacuate("south")
                await trio.sleep(EVACUATION_EFFECT_SECONDS)
                assert await run_wide_job(cluster, 2) == (200, {north})
                cluster.end_evacuation("south")
                await trio.sleep(EVACUATION_EFFECT_SECONDS)
                assert await run_wide_job(cluster, 3) == (200, {north, south})

        trio.run(main)

    def test_zones_that_change_in_one_transaction_all_change(self, tmp_path):
        """Guards against applying only the first of several changes at once."""

        async def main():
            async with running_cluster(
                tmp_path, agents=3, zones=THREE_ZONES
            ) as cluster:
                north, south, east = (worker_in(cluster, zone) for zone in THREE_ZONES)
                cluster.evacuate("north", "south")
                await trio.sleep(EVACUATION_EFFECT_SECONDS)
                assert await run_wide_job(cluster, 1) == (200, {east})
                cluster.change_evacuations(begun=("east",), ended=("north", "south"))
                await trio.sleep(EVACUATION_EFFECT_SECONDS)
                assert await run_wide_job(cluster, 2) == (200, {north, south})

        trio.run(main)
