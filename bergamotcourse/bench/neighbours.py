"""Measure the cost of limiting the number of agents that an entry attaches to.

Run as ``python -m bergamotcourse.bench.neighbours``. A virtual fleet serves a steady
load of single requests, with the bound and without it. The fleet is a quarter of 520
workers and the bound a quarter of 32, so that a run takes a minute. Times are on the
virtual clock.
"""

import random
import statistics
from collections import Counter
from dataclasses import dataclass, field

import click
import trio

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import SERVICE, FleetShape, VirtualFleet

MEAN_RUN_SECONDS = 0.3
WARM_UP_SECONDS = 3.0


@dataclass(frozen=True)
class Plan:
    """Parameters of one measurement.

    Attributes:
        neighbours: Maximum number of agents that an entry attaches to.
        load: Share of all slots in use.
        skewed: Whether the first entry receives half of the requests.
        seconds: Length of the measurement on the virtual clock.
    """

    agents: int
    entries: int
    neighbours: int
    load: float
    skewed: bool = False
    seconds: float = 5.0


@dataclass
class RunResult:
    """Results of a run.

    Attributes:
        seconds: Response times of the measured requests, less their run times.
        failed: Measured requests that did not succeed.
        starts: Starts by agent.
        attached: Agents attached at the end, by entry.
        retried: Starts that were retried because an agent refused them.
    """

    seconds: list[float] = field(default_factory=list)
    failed: int = 0
    starts: Counter[str] = field(default_factory=Counter)
    attached: list[int] = field(default_factory=list)
    retried: int = 0


async def send_requests(
    fleet: VirtualFleet, plan: Plan, result: RunResult, seed: int
) -> None:
    """Send requests at the plan's rate and record their times."""
    rng = random.Random(seed)
    rate = plan.load * plan.agents * fleet.shape.slots / MEAN_RUN_SECONDS
    entries = list(fleet.entries)
    weights = [1.0] * len(entries)
    if plan.skewed:
        weights[0] = len(entries) - 1.0
    began = trio.current_time()

    async def call(number: int) -> None:
        run_ms = rng.expovariate(1 / (MEAN_RUN_SECONDS * 1000))
        request = HttpRequest("POST", f"/s/{SERVICE}/cast?run_ms={run_ms:.1f}")
        request.body = f"ballot-{number}".encode()
        sent_at = trio.current_time()
        answer = await fleet.call(rng.choices(entries, weights)[0], request)
        if sent_at - began >= WARM_UP_SECONDS:
            result.seconds.append(trio.current_time() - sent_at - run_ms / 1000)
            result.failed += answer is None or answer.status != 200

    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < began + WARM_UP_SECONDS + plan.seconds:
            nursery.start_soon(call, number)
            number += 1
            await trio.sleep(rng.expovariate(rate))
        result.attached = [
            sum(view.attached for view in process.entry.directory)
            for process in fleet.entries.values()
        ]


def measure(plan: Plan, seed: int) -> RunResult:
    """Run a virtual fleet under load and return the results."""
    result = RunResult()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(
                entries=plan.entries, agents=plan.agents, neighbours=plan.neighbours
            )
            fleet = VirtualFleet(nursery, seed, shape)
            fleet.on_start = lambda name, _request: result.starts.update([name])
            await fleet.start()
            await send_requests(fleet, plan, result, seed)
            counters = [p.entry.dispatcher.counters for p in fleet.entries.values()]
            result.retried = sum(one.retried for one in counters)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)
    return result


def print_row(plan: Plan, result: RunResult) -> None:
    """Print one measurement, with the overhead over the run time in milliseconds."""
    overhead_ms = sorted(1000 * seconds for seconds in result.seconds)
    mean = sum(result.starts.values()) / plan.agents
    click.echo(
        f"{plan.entries:7} {plan.neighbours:5} {plan.load:4.1f}"
        f" {'skewed' if plan.skewed else 'even':6}"
        f" {statistics.mean(result.attached):8.1f} {max(result.attached):4}"
        f" {len(result.starts):5} {max(result.starts.values()) / mean:9.2f}"
        f" {statistics.mean(overhead_ms):8.2f}"
        f" {overhead_ms[int(0.99 * len(overhead_ms))]:8.2f}"
        f" {len(overhead_ms):8} {result.retried:7} {result.failed:6}"
    )


@click.command()
@click.option("--agents", default=130)
@click.option("--bound", default=8)
@click.option("--entries", default="3,6,17")
@click.option("--loads", default="0.1,0.3,0.7")
@click.option("--seed", default=1)
def main(agents: int, bound: int, entries: str, loads: str, seed: int) -> None:
    """Measure the cost of the bound."""
    click.echo(
        "entries bound load share  attached most  used busiest/m  mean ms   p99 ms"
        " requests retried failed"
    )
    for count in map(int, entries.split(",")):
        for load in map(float, loads.split(",")):
            for neighbours in (bound, agents):
                for skewed in (False, True):
                    plan = Plan(agents, count, neighbours, load, skewed)
                    print_row(plan, measure(plan, seed))


if __name__ == "__main__":
    main()
