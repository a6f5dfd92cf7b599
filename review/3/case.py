"""A ping of another writer, with fields missing, reaches the agent beside a worker."""

import json
import sys
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bergamotcourse.tests.platform.cluster import send_request
from bergamotcourse.transport.http import HttpRequest
from review.stand_ins import (
    PREFIX,
    SERVICE,
    CaseError,
    call,
    job_body,
    main,
    overlaps,
    run_text,
)

JOB = "5c0e7a21d94b36f8"
WORK_SECONDS = 1.8
TASKS = 4
"""The sheet's ``order-lock``: 4 tasks of 1.8 s."""

OTHER_ID = "i-7f3a91c2"
MISSING_FIELDS = ("version", "slots", "labels", "born")
SETTLING_SECONDS = 4.0
"""More than two heartbeats."""

LATER_JOBS = 8
LATER_TASKS = 24


async def case(deployment, record, trouble):
    """Return the broken rules."""
    deployment.tells_born = True
    await deployment.start(entries=2, agents=3)
    entry = deployment.nodes["entry-1"]
    deployment.nursery.start_soon(submit, entry, record)
    with trio.move_on_after(10):
        while len(deployment.history) < TASKS:
            await trio.sleep(0.01)
    if len(deployment.history) < TASKS:
        raise CaseError("the job's tasks didn't start")
    await trio.sleep(0.2)
    agent = deployment.worker_of(deployment.history[0])
    if trouble:
        await send_foreign_ping(deployment, agent, record)
    await trio.sleep(SETTLING_SECONDS)
    for run in deployment.history:
        record.write(run_text(run, record.began))
    found = overlaps(deployment.history)
    await note_later_work(deployment, record, entry, agent)
    return [
        f"TWICE: run {first.key.number} and run {second.key.number} of "
        f"{first.key.task} at the same time, on {first.upstream} and {second.upstream}"
        for first, second in found
    ]


async def submit(entry, record):
    """Submit the job, and record the answer."""
    body = job_body(WORK_SECONDS, [TASKS])
    record.write(f"POST {PREFIX}{JOB} to {entry.name}: {body.decode()}")
    answer = await call(entry, "POST", PREFIX + JOB, body, 20.0)
    record.write(f"POST {PREFIX}{JOB} answered {answer}")


async def send_foreign_ping(deployment, agent, record):
    """Send a ping with fields missing, and record the answer."""
    node = deployment.nodes[agent]
    ping = {
        "service": SERVICE,
        "address": f"{deployment.net}.200:8080",
        "zone": node.zone,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
        "clock_ms": 482113,
        "sequence": 4,
    }
    target = f"/bergamotcourse/Instances.Heartbeat/{OTHER_ID}"
    record.write(
        f"ping of another writer to {agent}, without {', '.join(MISSING_FIELDS)}: "
        f"POST {target} {json.dumps(ping)}"
    )
    request = HttpRequest("POST", target, [], json.dumps(ping).encode())
    answer = await send_request(node.addresses["control"], request, 2.0)
    status = answer.ok.status if answer.is_ok() else answer.error
    record.write(f"the ping was answered {status}")


async def note_later_work(deployment, record, entry, agent):
    """Record where the tasks of later jobs start; no part of the check."""
    before = len(deployment.history)
    for number in range(LATER_JOBS):
        path = f"{PREFIX}{0xA0 + number:016x}"
        await call(entry, "POST", path, job_body(0.1, [LATER_TASKS]), 5.0)
    places = [deployment.worker_of(run) for run in deployment.history[before:]]
    counts = {name: places.count(name) for name in deployment.workers}
    record.write(f"starts of later jobs, by agent: {counts} (the ping: {agent})")


main(case, Path(__file__).resolve().parent)
