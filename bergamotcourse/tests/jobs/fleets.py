"""Runs a job fleet on a virtual clock."""

import trio

from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import JobFleet, job

LOAD_WORK_SECONDS = 0.4


def runs_of(fleet, name):
    """Return the runs of the tasks of a job."""
    return [run for run in fleet.history if run.key.task.startswith(f"{name}.")]


async def submit_all_the_time(fleet, entry, tasks, interval):
    """Keep the agents busy: submit a job of some tasks every ``interval`` seconds."""
    number = 0
    while True:
        number += 1
        spec = job(f"{entry}-load-{number}", tasks=tasks, work=LOAD_WORK_SECONDS)
        fleet.nursery.start_soon(fleet.submit, entry, spec)
        await trio.sleep(interval)


def run_fleet(main, seed=1, **shape):
    """Start a fleet, run ``main`` with it, and return the result of ``main``."""

    async def start_and_run():
        async with trio.open_nursery() as nursery:
            fleet = JobFleet(nursery, seed=seed, **shape)
            await fleet.start()
            result = await main(fleet)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(start_and_run, seed)
