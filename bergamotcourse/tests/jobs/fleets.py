"""Runs a job fleet on a virtual clock."""

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import JobFleet, job

LOAD_WORK_SECONDS = 0.4


def runs_of(fleet, name):
    """Return the runs of the tasks of a job."""
    return [run for run in fleet.history if run.key.task.startswith(f"{name}.")]


async def wait_for_runs(fleet, spec, count=1):
    """Wait until so many runs of the tasks of a job have started."""
    while len(runs_of(fleet, spec.id)) < count:
        await trio.sleep(0.005)


def make_service(entry, queues):
    """Return the job operations of an entry that has processor time."""
    processor = ProcessorLag(Timers(), EventLog())
    return JobService(queues, entry.jobs, processor, EventLog(), entry.peer_jobs)


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
