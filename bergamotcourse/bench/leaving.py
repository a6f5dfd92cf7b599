"""Measure how long a leaving process still receives new work.

Run as ``python -m bergamotcourse.bench.leaving``. A virtual fleet serves a steady
load; then an upstream or agent leaves, or a drain is accepted. Times are on the
virtual clock.
"""

import random
from dataclasses import dataclass, field, replace
from enum import Enum

import click
import trio

from bergamotcourse.coordination.config_announce import announce
from bergamotcourse.coordination.config_store import apply
from bergamotcourse.coordination.in_force import read_lease_rows
from bergamotcourse.ids import LinkAddress
from bergamotcourse.state.manifest import Drain, DrainKind, Policy
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import SERVICE, VirtualFleet, default_manifest

REQUESTS_PER_SECOND = 100.0
TASK_RUN_MS = 60
BEFORE_SECONDS = 2.0
AFTER_SECONDS = 5.0
OLD_RELEASE = "old"


class Leaver(Enum):
    """What leaves the fleet, and how.

    Attributes:
        UPSTREAM_ANNOUNCES_LEAVING: An upstream reports to its agent that it leaves.
        AGENT_STOPS: An agent stops in an orderly way, as planned.
    """

    UPSTREAM_ANNOUNCES_LEAVING = "upstream says it leaves"
    AGENT_STOPS = "agent stops"
    UPSTREAM = "drain of an upstream"
    WORKER = "drain of a worker"
    RACK = "drain of a rack"
    ZONE = "drain of a zone"
    RELEASE = "drain of a release"


DRAINS = {
    Leaver.UPSTREAM: Drain(kind=DrainKind.UPSTREAM, name="upstream-2"),
    Leaver.WORKER: Drain(kind=DrainKind.WORKER, name="worker-2"),
    Leaver.RACK: Drain(kind=DrainKind.RACK, name="rack-1"),
    Leaver.ZONE: Drain(kind=DrainKind.ZONE, name="zone-2"),
    Leaver.RELEASE: Drain(kind=DrainKind.RELEASE, name=OLD_RELEASE),
}
LEAVING_AGENT = "agent-2"


@dataclass
class LeavingRun:
    """Parameters and results of one run.

    Attributes:
        told: Whether the operator's machine can reach the entries to announce the
            drain.
        store_goes: Whether the platform becomes unavailable at the accept.
        left_at: Time in seconds when the process began to leave or the drain was
            accepted.
        last_start: Time in seconds of the last start at a leaving upstream.
        starts_before: Starts at leaving upstreams before ``left_at``.
        answered: Requests that have ended, with success or not.
        failed: Statuses of the requests that did not succeed; 0 without a response.
    """

    leaver: Leaver
    told: bool = True
    store_goes: bool = False
    left_at: float = float("inf")
    last_start: float = 0.0
    starts_before: int = 0
    answered: int = 0
    failed: list[int] = field(default_factory=list)

    @property
    def seconds(self) -> float:
        """Seconds from ``left_at`` to the last start; 0 if none came after it."""
        return max(0.0, self.last_start - self.left_at)


async def serve_load(fleet: VirtualFleet, run: LeavingRun, rng: random.Random) -> None:
    """Send requests at a steady mean rate and wait for their responses."""

    async def call(number: int) -> None:
        request = HttpRequest("POST", f"/s/{SERVICE}/cast?run_ms={TASK_RUN_MS}")
        request.body = f"ballot-{number}".encode()
        answer = await fleet.call(rng.choice(list(fleet.entries)), request)
        run.answered += 1
        if answer is None or answer.status >= 300:
            run.failed.append(answer.status if answer else 0)

    async with trio.open_nursery() as nursery:
        number = 0
        end = trio.current_time() + BEFORE_SECONDS + AFTER_SECONDS
        while trio.current_time() < end:
            nursery.start_soon(call, number)
            number += 1
            await trio.sleep(rng.expovariate(REQUESTS_PER_SECOND))


async def start_leaving(fleet: VirtualFleet, run: LeavingRun) -> None:
    """Make the process of the run leave, or accept its drain."""
    drain = DRAINS.get(run.leaver)
    if drain is not None:
        await accept_drain(fleet, run, drain)
        return
    run.left_at = trio.current_time()
    process = fleet.agents[LEAVING_AGENT]
    if run.leaver is Leaver.AGENT_STOPS:
        await process.stop()
        return
    upstream = next(iter(process.agent.upstreams.upstreams.values()))
    process.upstream.leaving = True
    process.agent.mark_upstream_leaving(upstream)


async def accept_drain(fleet: VirtualFleet, run: LeavingRun, drain: Drain) -> None:
    """Accept a drain and announce it, as the ``drain`` command does."""
    operator = fleet.platform.view("operator")
    rows = (await read_lease_rows(operator)).default_value([])
    manifest = replace(default_manifest(), policy=Policy(drains=[drain]))
    applied = (await apply(operator, manifest, 1, "operator", "bench")).ok
    run.left_at = trio.current_time()
    fleet.platform.faults.down = run.store_goes
    if run.told:
        link = fleet.network.link(LinkAddress("tcp://operator"))
        addresses = [LinkAddress(row.address) for row in rows]
        await announce(link, operator, addresses, applied.accepted)


def leaving_agents(fleet: VirtualFleet, leaver: Leaver) -> set[str]:
    """Return the names of the agents whose upstreams leave or are drained."""
    places = {name: process.agent.location for name, process in fleet.agents.items()}
    match leaver:
        case Leaver.RACK:
            return {name for name, place in places.items() if place.rack == "rack-1"}
        case Leaver.ZONE:
            return {name for name, place in places.items() if place.zone == "zone-2"}
        case Leaver.RELEASE:
            return {"agent-2", "agent-4"}
        case _:
            return {LEAVING_AGENT}


def measure(seed: int, run: LeavingRun) -> LeavingRun:
    """Run a virtual fleet in which a process leaves; return the filled-in run."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed)
            await fleet.start()
            leaving = leaving_agents(fleet, run.leaver)
            if run.leaver is Leaver.RELEASE:
                for name in leaving:
                    fleet.agents[name].upstream.release = OLD_RELEASE

            def record_start(name: str, _request: HttpRequest) -> None:
                if name in leaving:
                    run.starts_before += trio.current_time() < run.left_at
                    run.last_start = trio.current_time()

            fleet.on_start = record_start
            rng = random.Random(seed)

            async def leave_later() -> None:
                await trio.sleep(BEFORE_SECONDS + rng.random())
                await start_leaving(fleet, run)

            async with trio.open_nursery() as inner:
                inner.start_soon(serve_load, fleet, run, rng)
                inner.start_soon(leave_later)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)
    return run


def print_row(name: str, runs: list[LeavingRun]) -> None:
    """Print the distribution of the times in seconds, and the failures."""
    times = sorted(run.seconds for run in runs)
    answered = sum(run.answered for run in runs)
    failed = sum(len(run.failed) for run in runs)
    click.echo(
        f"{name:44} {len(runs):5} {times[len(times) // 2]:7.3f}"
        f" {times[int(0.95 * len(times))]:7.3f} {times[-1]:7.3f}"
        f" {answered:8} {failed:6}"
    )


@click.command()
@click.option("--seeds", default=20)
def main(seeds: int) -> None:
    """Measure how long leaving processes still receive work."""
    click.echo(
        f"{'leaver':44} {'runs':>5} {'median':>7} {'p95':>7} {'max':>7}"
        f" {'answered':>8} {'failed':>6}"
    )
    for leaver in Leaver:
        variants = [("", {})]
        if leaver in DRAINS:
            variants += [
                (", operator cannot tell", {"told": False}),
                (", store goes at once", {"store_goes": True}),
            ]
        for suffix, options in variants:
            runs = [
                measure(seed, LeavingRun(leaver, **options)) for seed in range(seeds)
            ]
            print_row(leaver.value + suffix, runs)


if __name__ == "__main__":
    main()
