"""Measure for how long a leaver still gets new work.

Run as ``python -m bergamotcourse.bench.leaving``. A virtual fleet serves a steady
load; then something leaves or is drained. Times are on the virtual clock.
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

REQUESTS_A_SECOND = 100.0
RUN_MS = 60
BEFORE_SECONDS = 2.0
AFTER_SECONDS = 5.0
OLD_RELEASE = "old"


class Leaver(Enum):
    """What leaves.

    Attributes:
        UPSTREAM_LEAVES: It tells its agent.
        AGENT_STOPS: As planned.
    """

    UPSTREAM_LEAVES = "upstream says it leaves"
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
AGENT = "agent-2"


@dataclass
class LeavingRun:
    """One run.

    Attributes:
        told: The operator's machine reaches the entries.
        store_goes: The platform goes away at the accept.
        left_at: Seconds; when it left, or the drain was accepted.
        last_start: Seconds; the last new work there.
        starts_before: New work there before.
        failed: Requests that were not answered with success.
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
        """For how long new work still came."""
        return max(0.0, self.last_start - self.left_at)


async def serve_load(fleet: VirtualFleet, run: LeavingRun, rng: random.Random) -> None:
    """Send requests for a while and wait for their answers."""

    async def call(number: int) -> None:
        request = HttpRequest("POST", f"/s/{SERVICE}/cast?run_ms={RUN_MS}")
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
            await trio.sleep(rng.expovariate(REQUESTS_A_SECOND))


async def leave(fleet: VirtualFleet, run: LeavingRun) -> None:
    """Let the leaver leave."""
    drain = DRAINS.get(run.leaver)
    if drain is not None:
        await accept_drain(fleet, run, drain)
        return
    run.left_at = trio.current_time()
    process = fleet.agents[AGENT]
    if run.leaver is Leaver.AGENT_STOPS:
        await process.stop()
        return
    upstream = next(iter(process.agent.upstreams.upstreams.values()))
    process.upstream.leaving = True
    process.agent.mark_upstream_leaving(upstream)


async def accept_drain(fleet: VirtualFleet, run: LeavingRun, drain: Drain) -> None:
    """Accept a drain as the command does."""
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


def covered(fleet: VirtualFleet, leaver: Leaver) -> set[str]:
    """Return the names of the agents whose upstreams leave."""
    places = {name: process.agent.location for name, process in fleet.agents.items()}
    match leaver:
        case Leaver.RACK:
            return {name for name, place in places.items() if place.rack == "rack-1"}
        case Leaver.ZONE:
            return {name for name, place in places.items() if place.zone == "zone-2"}
        case Leaver.RELEASE:
            return {"agent-2", "agent-4"}
        case _:
            return {AGENT}


def measure(seed: int, run: LeavingRun) -> LeavingRun:
    """Run a virtual fleet in which something leaves; return the filled-in run."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed)
            await fleet.start()
            gone = covered(fleet, run.leaver)
            if run.leaver is Leaver.RELEASE:
                for name in gone:
                    fleet.agents[name].upstream.release = OLD_RELEASE

            def note(name: str, _request: HttpRequest) -> None:
                if name in gone:
                    run.starts_before += trio.current_time() < run.left_at
                    run.last_start = trio.current_time()

            fleet.on_start = note
            rng = random.Random(seed)

            async def leave_later() -> None:
                await trio.sleep(BEFORE_SECONDS + rng.random())
                await leave(fleet, run)

            async with trio.open_nursery() as inner:
                inner.start_soon(serve_load, fleet, run, rng)
                inner.start_soon(leave_later)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)
    return run


def print_row(name: str, runs: list[LeavingRun]) -> None:
    """Print the distribution of the times."""
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
    """Measure how long leavers still get work."""
    click.echo(
        f"{'leaver':44} {'runs':>5} {'median':>7} {'p95':>7} {'max':>7}"
        f" {'answered':>8} {'failed':>6}"
    )
    for leaver in Leaver:
        ways = [("", {})]
        if leaver in DRAINS:
            ways += [
                (", operator cannot tell", {"told": False}),
                (", store goes at once", {"store_goes": True}),
            ]
        for words, options in ways:
            runs = [
                measure(seed, LeavingRun(leaver, **options)) for seed in range(seeds)
            ]
            print_row(leaver.value + words, runs)


if __name__ == "__main__":
    main()
