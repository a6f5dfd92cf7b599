"""Run of one soak: cluster, callers, faults, recovery, then the verdict."""

import itertools
import random
from dataclasses import dataclass
from pathlib import Path

import trio

from bergamotcourse.tests.platform.cluster import Node, make_job, send_request
from bergamotcourse.tests.platform.soak.callers import Callers
from bergamotcourse.tests.platform.soak.faults import Faults
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.recorded_calls import job_of
from bergamotcourse.tests.platform.soak.records import DEFAULT_VARIANT, Records, Variant
from bergamotcourse.tests.platform.soak.standstill import record_stalls
from bergamotcourse.tests.platform.soak.verdict import (
    find_crashes,
    find_false_returns,
    find_violations,
    summarise,
)
from bergamotcourse.transport.http import HttpRequest

ZONES = ("north", "south", "east")

RECOVERY_SECONDS = 90.0
"""Limit on recovery after the faults, generous for a busy machine."""

CONFIG_PROPAGATION_SECONDS = 3.0
"""Time without faults after which each entry uses the latest configuration."""

RECOVERY_JOB_BASE = 1 << 40
"""Base of the numbers of jobs that are submitted after the faults."""


@dataclass
class Result:
    """Violations and summary of one soak."""

    seed: int
    violations: list[str]
    summary: dict[str, dict[str, int]]


def zones_in(variant: Variant) -> tuple[str, ...]:
    """Return the zones of the processes in a variant of the soak."""
    if variant.evacuates_together:
        return ZONES
    return ZONES[:2] if variant.evacuates else ZONES[:1]


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    variant: Variant = DEFAULT_VARIANT,
) -> Result:
    """Run the soak of a seed.

    Args:
        seed: Seed of all random choices.
        seconds: Duration of fault injection.
        folder: Folder of the processes' logs.
        variant: What the soak does in addition to the default.
    """
    async with trio.open_nursery() as nursery:
        zones = zones_in(variant)
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
    """Run the soak of a seed on an existing cluster."""
    rng = random.Random(seed)
    records = Records()
    await cluster.start(variant.entries, variant.agents)
    await cluster.open_fronts()
    callers = Callers(cluster, records, rng, variant)
    async with trio.open_nursery() as nursery:
        names = [node.name for node in cluster.entries()]
        nursery.start_soon(record_stalls, records, names)
        async with trio.open_nursery() as calling:
            calling.start_soon(callers.run)
            await Faults(cluster, records, rng, variant).run(seconds)
            late = await find_stale_configurations(cluster)
            late += await wait_for_recovery(cluster, records)
            callers.stopping = True
        nursery.cancel_scope.cancel()
    late += await wait_until_upstreams_idle(cluster)
    events = [event for node in cluster.entries() for event in node.events()]
    violations = [
        *find_violations(records, cluster.history, events),
        *find_false_returns(records.attempts, cluster.history, events),
        *find_crashes(cluster.nodes.values()),
        *late,
    ]
    return Result(seed, violations, summarise(records))


async def find_stale_configurations(cluster: ProxiedCluster) -> list[str]:
    """Wait without faults; return which entries lack the route added last."""
    await trio.sleep(CONFIG_PROPAGATION_SECONDS)
    path = cluster.newest_route_prefix()
    request = HttpRequest("GET", path, [("host", "one.example")])
    old = []

    async def ask(node: Node) -> None:
        answer = await send_request(node.addresses["front"], request)
        if answer.is_ok() and answer.ok.status == 404:
            old.append(f"{node.name} does not know {path}")

    async with trio.open_nursery() as nursery:
        for node in cluster.entries():
            nursery.start_soon(ask, node)
    return sorted(old)


async def wait_for_recovery(cluster: ProxiedCluster, records: Records) -> list[str]:
    """Wait until each entry serves the latest route; return which did not in time.

    The limit counts from the end of the faults for all entries alike.
    """
    late = []
    numbers = itertools.count(RECOVERY_JOB_BASE + 1)

    async def wait_for(node: Node) -> None:
        with trio.move_on_after(RECOVERY_SECONDS):
            while not await serves_latest_route(cluster, records, node, next(numbers)):
                await trio.sleep(0.1)
            return
        late.append(f"{node.name} does not serve after the faults")

    async with trio.open_nursery() as nursery:
        for node in cluster.entries():
            nursery.start_soon(wait_for, node)
    return sorted(late)


async def serves_latest_route(
    cluster: ProxiedCluster, records: Records, node: Node, number: int
) -> bool:
    """Return whether an entry answers a new job on the latest route with success."""
    request = make_job(number, 0.05, 2, prefix=cluster.newest_route_prefix())
    records.tasks[job_of(request)] = 2
    answer = await send_request(node.addresses["front"], request)
    return answer.is_ok() and answer.ok.status == 200


async def wait_until_upstreams_idle(cluster: ProxiedCluster) -> list[str]:
    """Wait until nothing runs and all ends are acknowledged; return where not."""
    upstreams = [worker.upstream for worker in cluster.workers.values()]
    with trio.move_on_after(RECOVERY_SECONDS):
        while any(one.running or one.ended for one in upstreams):
            await trio.sleep(0.05)
        return []
    return [
        f"{one.id} has {len(one.running)} runs and {len(one.ended)} unacknowledged ends"
        for one in upstreams
        if one.running or one.ended
    ]
