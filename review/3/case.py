"""The delayed ping of a crashed boot arrives after the next boot has registered.

With ``PING=other`` it is a ping of another writer instead, with fields missing.
"""

import json
import os
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
"""The sheet's ``ballot-cast``: 4 tasks of 1.8 s."""

MAX_JOBS = 6
AGENT = "agent-2"
SETTLING_SECONDS = 4.0
"""More than two heartbeats."""

OTHER_ID = "i-7f3a91c2"
MISSING_FIELDS = ("version", "slots", "labels", "born")

LATER_JOBS = 8
LATER_TASKS = 24


async def case(deployment, record, trouble):
    """Return the broken rules."""
    if os.environ.get("PING") == "other":
        deployment.tells_born = True
        await deployment.start(entries=2, agents=3)
        sender, ping = OTHER_ID, other_ping(deployment)
        record.write(f"to come: a ping without {', '.join(MISSING_FIELDS)}")
    else:
        deployment.cut_off_at = AGENT
        await deployment.start(entries=2, agents=3)
        sender, ping = deployment.held_ping
        record.write(
            f"beside {AGENT}: {sender} started, was cut off as it sent its first ping, "
            "and crashed; the present boot has registered at its address"
        )
    entry = deployment.nodes["entry-1"]
    present = deployment.workers[AGENT].upstream
    for number in range(MAX_JOBS):
        deployment.nursery.start_soon(submit, entry, f"{number:02x}{JOB[2:]}", record)
        await trio.sleep(0.2)
        if present.running:
            break
    if not present.running:
        raise CaseError(f"no task started on the worker beside {AGENT}")
    if trouble:
        await deliver(deployment.nodes[AGENT], sender, ping, record)
    await trio.sleep(SETTLING_SECONDS)
    for run in deployment.history:
        record.write(run_text(run, record.began))
    found = overlaps(deployment.history)
    await note_later_work(deployment, record, entry)
    return [
        f"TWICE: run {first.key.number} and run {second.key.number} of "
        f"{first.key.task} at the same time, on {first.upstream} and {second.upstream}"
        for first, second in found
    ]


async def submit(entry, job, record):
    """Submit a job, and record the answer."""
    body = job_body(WORK_SECONDS, [TASKS])
    record.write(f"POST {PREFIX}{job} to {entry.name}: {body.decode()}")
    answer = await call(entry, "POST", PREFIX + job, body, 20.0)
    record.write(f"POST {PREFIX}{job} answered {answer}")


def other_ping(deployment):
    """Return the body of another writer's ping; nobody listens at its address."""
    ping = {
        "service": SERVICE,
        "address": f"{deployment.net}.200:8080",
        "zone": deployment.nodes[AGENT].zone,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
        "clock_ms": 482113,
        "sequence": 4,
    }
    return json.dumps(ping).encode()


async def deliver(node, upstream, ping, record):
    """Deliver the ping that was held up, and record the answer."""
    target = f"/bergamotcourse/Instances.Heartbeat/{upstream}"
    record.write(f"the ping of {upstream} arrives at {node.name}: {ping.decode()}")
    request = HttpRequest("POST", target, [], ping)
    answer = await send_request(node.addresses["control"], request, 2.0)
    status = answer.ok.status if answer.is_ok() else answer.error
    record.write(f"the ping was answered {status}")


async def note_later_work(deployment, record, entry):
    """Record where the tasks of later jobs start; no part of the check."""
    before = len(deployment.history)
    for number in range(LATER_JOBS):
        path = f"{PREFIX}{0xA0 + number:016x}"
        await call(entry, "POST", path, job_body(0.1, [LATER_TASKS]), 5.0)
    places = [deployment.worker_of(run) for run in deployment.history[before:]]
    counts = {name: places.count(name) for name in deployment.workers}
    record.write(f"starts of later jobs, by agent: {counts} (the ping: {AGENT})")


main(case, Path(__file__).resolve().parent)
