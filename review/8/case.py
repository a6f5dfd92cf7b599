"""A client moves to another zone and cancels its job there."""

import asyncio
import time

from standins2.deployment import SERVICE, Deployment, main
from standins2.worker import STOP_SECONDS, Worker

JOB = "00000000000000c3"
CPU = 3100
COUNT = 4
SECONDS = 8.0

CANCEL_SECONDS = 3.0
"""``cancel_ms`` of the settings."""


async def case(deployment: Deployment, trouble: bool) -> bool | None:
    """Return whether the job's tasks ended in time after its cancelling."""
    note = deployment.record.note
    deployment.zones = ("north", "south")
    workers = [
        Worker(f"i-{number}", SERVICE, "127.0.0.1", note, lambda _task: CPU)
        for number in (1, 2)
    ]
    await deployment.start(entries=2, workers=workers)
    in_north, in_south = deployment.entries
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(deployment.submit(in_north, JOB, SECONDS, CPU, COUNT))
        await asyncio.sleep(1.0)
        # New channels of a client lead to an entry of the zone that it is in.
        answer = await deployment.cancel(in_south if trouble else in_north, JOB)
        acknowledged_at = time.monotonic()
    runs = [run for worker in workers for run in worker.runs]
    is_acknowledged = answer is not None and answer.status in (200, 202, 204, 410)
    if not runs or not is_acknowledged:
        return None
    limit = CANCEL_SECONDS + STOP_SECONDS
    late = [
        run
        for run in runs
        if (run.ended_at or time.monotonic()) - acknowledged_at > limit
    ]
    for run in late:
        seconds = run.ended_at - acknowledged_at
        note(f"{run.name} was at work until {seconds:.3f} s after the acknowledgement")
    return not late


if __name__ == "__main__":
    main(case)
