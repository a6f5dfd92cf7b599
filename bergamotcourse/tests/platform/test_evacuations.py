"""Zones that are evacuated: nothing more starts there, until they are taken back."""

from contextlib import asynccontextmanager

import trio

from bergamotcourse.tests.platform.cluster import Cluster, submit

PATIENCE_SECONDS = 60.0
"""For processes on a busy machine to start, and for what they are to do."""

EVACUATED_SECONDS = 2.0
"""In which an evacuation must be in force where nothing is disturbed."""

ZONES = ("north", "south")

WIDTH = 16
"""Tasks of a job; a worker has room for ten."""


@asynccontextmanager
async def running(folder, entries=1, agents=2):
    with trio.fail_after(PATIENCE_SECONDS):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(folder, nursery, ZONES)
            try:
                await cluster.start(entries, agents)
                yield cluster
            finally:
                cluster.end()
                nursery.cancel_scope.cancel()


def worker_in(cluster, zone):
    """Return the id of the worker in a zone."""
    (worker,) = (one for one in cluster.workers.values() if one.zone == zone)
    return worker.upstream.id


async def run_wide_job(cluster, number):
    """Run a job that needs two workers; return its status and where it ran."""
    before = len(cluster.history)
    answer = await submit(cluster.entries()[0], number, 0.2, tasks=WIDTH)
    return answer.status, {run.upstream for run in cluster.history[before:]}


class TestEvacuations:
    def test_nothing_starts_in_a_zone_until_it_is_taken_back(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                north, south = (worker_in(cluster, zone) for zone in ZONES)
                assert await run_wide_job(cluster, 1) == (200, {north, south})
                cluster.evacuate("south")
                await trio.sleep(EVACUATED_SECONDS)
                assert await run_wide_job(cluster, 2) == (200, {north})
                cluster.take_back("south")
                await trio.sleep(EVACUATED_SECONDS)
                assert await run_wide_job(cluster, 3) == (200, {north, south})

        trio.run(main)
