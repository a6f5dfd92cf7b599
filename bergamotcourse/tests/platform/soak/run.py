"""One soak: a cluster, callers, faults, then calm, then the verdict."""

import random
from dataclasses import dataclass
from pathlib import Path

import trio

from bergamotcourse.tests.platform.cluster import make_job, send_request
from bergamotcourse.tests.platform.soak.callers import Callers
from bergamotcourse.tests.platform.soak.faults import Faults
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.records import USUAL, Records, Variant
from bergamotcourse.tests.platform.soak.standstill import watch_standstills
from bergamotcourse.tests.platform.soak.verdict import (
    find_false_returns,
    find_violations,
    summarise,
)
from bergamotcourse.transport.http import HttpRequest

ENTRIES = 2
AGENTS = 3
CALLERS = 8
ZONES = ("north", "south")

RECOVERY_SECONDS = 90.0
"""Bound of the calm afterwards, generous for a busy machine."""

IN_FORCE_SECONDS = 3.0
"""Of calm, after which the last configuration is in force at each entry."""

LAST_JOB = 1 << 40
"""Numbers of jobs handed in after the faults."""


@dataclass
class Result:
    """What a soak found."""

    seed: int
    violations: list[str]
    summary: dict[str, dict[str, int]]


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    variant: Variant = USUAL,
) -> Result:
    """Run the soak of a seed.

    Args:
        seed: Of all that is drawn.
        seconds: For how long faults are thrown.
        folder: Where the processes' logs go.
        variant: What it does beside the usual.
    """
    async with trio.open_nursery() as nursery:
        zones = ZONES if variant.evacuates else ZONES[:1]
        cluster = ProxiedCluster(folder, nursery, zones)
        try:
            result = await soak(cluster, seed, seconds, variant)
        finally:
            cluster.shut_down()
            nursery.cancel_scope.cancel()
    return result


async def soak(
    cluster: ProxiedCluster, seed: int, seconds: float, variant: Variant
) -> Result:
    """Run the soak of a seed on a cluster."""
    rng = random.Random(seed)
    records = Records()
    await cluster.start(ENTRIES, AGENTS)
    await cluster.open_fronts()
    callers = Callers(cluster, records, rng)
    async with trio.open_nursery() as nursery:
        names = [node.name for node in cluster.entries()]
        nursery.start_soon(watch_standstills, records, names)
        async with trio.open_nursery() as calling:
            calling.start_soon(callers.run, CALLERS)
            await Faults(cluster, records, rng, variant).run(seconds)
            late = await find_old_configurations(cluster)
            late += await recover(cluster, records)
            callers.stopping = True
        nursery.cancel_scope.cancel()
    late += await settle(cluster)
    events = [event for node in cluster.entries() for event in node.events()]
    violations = [
        *find_violations(records, cluster.history),
        *find_false_returns(records.attempts, cluster.history, events),
        *late,
    ]
    return Result(seed, violations, summarise(records))


async def find_old_configurations(cluster: ProxiedCluster) -> list[str]:
    """Return which entries do not know the route added last, after some calm."""
    await trio.sleep(IN_FORCE_SECONDS)
    path = cluster.newest_route_prefix()
    request = HttpRequest("GET", path, [("host", "one.example")])
    old = []
    for node in cluster.entries():
        answer = await send_request(node.addresses["front"], request)
        if answer.is_ok() and answer.ok.status == 404:
            old.append(f"{node.name} does not know {path}")
    return old


async def recover(cluster: ProxiedCluster, records: Records) -> list[str]:
    """Wait until each entry serves the last configuration; return what did not."""
    late = []
    number = LAST_JOB
    for node in cluster.entries():
        with trio.move_on_after(RECOVERY_SECONDS) as scope:
            while True:
                number += 1
                request = make_job(
                    number, 0.05, 2, prefix=cluster.newest_route_prefix()
                )
                records.tasks[request.target.rpartition("/")[2]] = 2
                answer = await send_request(node.addresses["front"], request)
                if answer.is_ok() and answer.ok.status == 200:
                    break
                await trio.sleep(0.1)
        if scope.cancelled_caught:
            late.append(f"{node.name} does not serve after the faults")
    return late


async def settle(cluster: ProxiedCluster) -> list[str]:
    """Wait until nothing runs and all ends are noted; return where not."""
    upstreams = [worker.upstream for worker in cluster.workers.values()]
    with trio.move_on_after(RECOVERY_SECONDS):
        while any(one.running or one.ended for one in upstreams):
            await trio.sleep(0.05)
        return []
    return [
        f"{one.id} has {len(one.running)} runs and {len(one.ended)} ends not noted"
        for one in upstreams
        if one.running or one.ended
    ]
