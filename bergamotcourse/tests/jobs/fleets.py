"""Runs a job fleet on a virtual clock."""

import trio

from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import JobFleet


def runs_of(fleet, name):
    """Return the runs of the tasks of a job."""
    return [run for run in fleet.history if run.key.task.startswith(f"{name}.")]


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
