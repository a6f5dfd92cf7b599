"""The operator evacuates two zones in one transaction."""

import asyncio
import itertools
import time

from standins2.deployment import SERVICE, Deployment, main
from standins2.worker import Worker

ZONES = ("north", "south", "east")
EVACUATED = ("north", "south")

EVACUATE_SECONDS = 5.0
"""``evacuate_ms`` of the settings."""

OBSERVED_SECONDS = 10.0
JOBS_PER_SECOND = 20
COUNT = 3
CPU = 1000
SECONDS = 0.2


async def case(deployment: Deployment, trouble: bool) -> bool | None:
    """Return whether nothing started in an evacuated zone after the bound."""
    note = deployment.record.note
    workers = [
        Worker(f"i-{number}", SERVICE, "127.0.0.1", note, lambda _task: CPU, zone=zone)
        for number, zone in enumerate(ZONES, start=1)
    ]
    await deployment.start(entries=2, workers=workers)
    jobs = asyncio.create_task(submit_jobs(deployment))
    await asyncio.sleep(2.0)
    started_before = {worker.zone: len(worker.runs) for worker in workers}
    rows = {f"evacuate/{zone}": {"zone": zone} for zone in EVACUATED}
    transactions = [rows] if trouble else [{key: rows[key]} for key in rows]
    for transaction in transactions:
        await deployment.store.write_documents(transaction)
        note(f"operator: evacuates in one transaction: {', '.join(transaction)}")
    acknowledged_at = time.monotonic()
    await asyncio.sleep(OBSERVED_SECONDS)
    jobs.cancel()
    if not all(started_before.values()):
        return None
    held = True
    for worker in workers:
        late = [
            run.started_at - acknowledged_at
            for run in worker.runs
            if run.started_at - acknowledged_at > EVACUATE_SECONDS
        ]
        note(
            f"zone {worker.zone}: {started_before[worker.zone]} starts before; "
            f"{len(late)} later than {EVACUATE_SECONDS} s after the acknowledgement"
        )
        if worker.zone in EVACUATED and late:
            held = False
            note(f"zone {worker.zone}: the last of them {late[-1]:.3f} s after it")
    return held


async def submit_jobs(deployment: Deployment) -> None:
    """Submit short jobs to both entries until cancelled."""
    entries = itertools.cycle(deployment.entries)
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count(1):
            job = f"{number:016x}"
            entry = next(entries)
            tasks.create_task(deployment.submit(entry, job, SECONDS, CPU, COUNT))
            await asyncio.sleep(1 / JOBS_PER_SECOND)


if __name__ == "__main__":
    main(case)
