"""A worker starts again as another kind while an entry is frozen."""

import asyncio
import itertools
import signal
import time
from collections.abc import Callable

from standins2.deployment import SERVICE, Deployment, main
from standins2.worker import Worker

WORKERS = 8
CPU = 4000
COUNT = 4
SECONDS = 0.1
DEADLINE = 3.0
CLIENTS = 24
PAUSE_SECONDS = 0.02
LABEL, OTHER_LABEL = "a", "b"

ROUNDS = 22
FREEZE_SECONDS = 0.9
CRASH_AFTER_SECONDS = 0.05
DOWN_SECONDS = 0.45
CALM_SECONDS = 1.2


async def case(deployment: Deployment, trouble: bool) -> bool | None:
    """Return whether each task started on a worker with the label that it requires."""
    note = deployment.record.note
    lines: list[tuple[float, str]] = []

    def collect(line: str) -> None:
        lines.append((time.monotonic(), line))

    boots: list[Worker] = []

    def boot(number: int, label: str) -> Worker:
        worker = Worker(
            f"i-{len(boots) + 1}",
            SERVICE,
            "127.0.0.1",
            collect,
            lambda _task: CPU,
            labels=(label, f"r{number}"),
        )
        boots.append(worker)
        return worker

    workers = [boot(number, LABEL) for number in range(1, WORKERS + 1)]
    await deployment.start(entries=2, workers=workers)
    ids = itertools.count(1)
    clients = [
        asyncio.create_task(submit_jobs(deployment, number, ids, collect))
        for number in range(CLIENTS)
    ]
    entry = deployment.entries[0].process
    for number in range(ROUNDS):
        await asyncio.sleep(CALM_SECONDS)
        if trouble:
            entry.send_signal(signal.SIGSTOP)
            note("entry-1 is frozen")
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        await deployment.replace_crashed(0, boot(1, OTHER_LABEL), DOWN_SECONDS)
        await asyncio.sleep(FREEZE_SECONDS - CRASH_AFTER_SECONDS - DOWN_SECONDS)
        if trouble:
            entry.send_signal(signal.SIGCONT)
            note("entry-1 goes on")
        await asyncio.sleep(CALM_SECONDS)
        if number < ROUNDS - 1:
            await deployment.replace_crashed(0, boot(1, LABEL), DOWN_SECONDS)
    for client in clients:
        client.cancel()
    others = [worker for worker in boots if LABEL not in worker.labels]
    jobs = {run.task.partition(".")[0] for worker in others for run in worker.runs}
    note("the jobs that started on a worker without the label:")
    for at, line in lines:
        if any(job in line for job in jobs):
            note(line, at)
    for worker in others:
        for run in worker.runs:
            note(f"{run.name} started on {worker.id}, labels {worker.labels}")
    wrong = sum(len(worker.runs) for worker in others)
    rounds = sum(bool(worker.runs) for worker in others)
    total = sum(len(one.runs) for one in boots)
    note(f"{total} starts, {wrong} without the label, in {rounds} of {ROUNDS} rounds")
    return wrong == 0 if total else None


async def submit_jobs(
    deployment: Deployment,
    number: int,
    ids: itertools.count,
    note: Callable[[str], None],
) -> None:
    """Submit one job after the other to an entry, until cancelled."""
    # Most callers are those of the entry that is frozen.
    entry = deployment.entries[number % 8 == 7]
    while True:
        job = f"{next(ids):016x}"
        await deployment.submit(
            entry,
            job,
            SECONDS,
            CPU,
            COUNT,
            deadline=DEADLINE,
            label=LABEL,
            note=note,
        )
        await asyncio.sleep(PAUSE_SECONDS)


if __name__ == "__main__":
    main(case)
