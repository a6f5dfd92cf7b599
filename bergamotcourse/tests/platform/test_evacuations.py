"""Zones that are evacuated: nothing more starts there, until they are taken back."""

from contextlib import asynccontextmanager

import trio

from bergamotcourse.tests.platform.cluster import Cluster, submit

PATIENCE_SECONDS = 60.0
"""For processes on a busy machine to start, and for what they are to do."""

EVACUATED_SECONDS = 2.0
"""In which an evacuation must be in force where nothing is disturbed."""

ZONES = ("north", "south")


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


async def run_jobs(cluster, number, jobs=4):
    """Run jobs one after the other; return the answers and where they ran."""
    entry = cluster.entries()[0]
    before = len(cluster.history)
    answers = [await submit(entry, number + n, 0.05) for n in range(jobs)]
    return (
        {answer.status for answer in answers},
        {run.upstream for run in cluster.history[before:]},
    )


class TestEvacuations:
    def test_nothing_starts_in_a_zone_until_it_is_taken_back(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                north, south = (worker_in(cluster, zone) for zone in ZONES)
                assert await run_jobs(cluster, 10) == ({200}, {north, south})
                cluster.evacuate("south")
                await trio.sleep(EVACUATED_SECONDS)
                assert await run_jobs(cluster, 20) == ({200}, {north})
                cluster.take_back("south")
                await trio.sleep(EVACUATED_SECONDS)
                assert await run_jobs(cluster, 30) == ({200}, {north, south})

        trio.run(main)
