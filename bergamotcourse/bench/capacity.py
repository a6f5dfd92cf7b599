"""Slopes for the capacity page: memory a record, store calls a process.

Run as ``python -m bergamotcourse.bench.capacity``; takes about a minute.
"""

import tracemalloc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import click
import trio

from bergamotcourse.ids import Attempt, EntryId, LinkAddress, RangeId
from bergamotcourse.state.ledger import Ledger, LedgerRecord
from bergamotcourse.state.start_log import StartLog
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

RECORDS = (2_000, 4_000, 8_000, 16_000)
FLEETS = ((3, 11), (3, 50), (3, 100), (6, 50), (10, 50))
IDLE_SECONDS = 60.0
KEEP_MS = 600_000
ENTRY = EntryId("entry-1-00000000")
ADDRESS = LinkAddress("tcp://10.20.1.11:7400")


@dataclass(frozen=True)
class Order:
    """A start as the start log reads it."""

    submission: bytes
    token: int
    index: int = 0
    attempt: int = 1
    dispatch: int = 1
    range: int = 7
    epoch: int = 1
    digest: bytes = bytes(16)


@dataclass(frozen=True)
class Slope:
    """A straight line fitted to measured points.

    Attributes:
        spread: Greatest distance of a point from the line, as a share of the value.
    """

    base: float
    slope: float
    spread: float


def fit(points: list[tuple[float, float]]) -> Slope:
    """Return the line of least squares through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = over / sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    spread = max(abs(base + slope * x - y) / y for x, y in points)
    return Slope(base, slope, spread)


def identity(number: int) -> bytes:
    """Return a submission's identity that no other number has."""
    return number.to_bytes(16, "big")


def fill_ledger(count: int) -> Ledger:
    """Return a ledger with so many records."""
    ledger = Ledger(KEEP_MS)
    for number in range(count):
        record = LedgerRecord(
            range=RangeId(number % 64),
            digest=identity(number + 1),
            entry=ENTRY,
            address=ADDRESS,
            attempt=Attempt(1),
            at_ms=number,
            claimed_ms=number,
        )
        ledger.put(identity(number), record)
    return ledger


def fill_start_log(count: int) -> StartLog:
    """Return a start log with so many submissions of one task."""
    log = StartLog(boot=9, token_ms=5_000, retention_ms=KEEP_MS, epochs_loaded=True)
    for number in range(count):
        order = Order(identity(number), log.issue_token(0))
        log.admit(order, ADDRESS, 0)
    return log


def bytes_of(fill: Callable[[int], object], count: int) -> int:
    """Return the bytes that a filled structure holds."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = fill(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return after - before


def store_calls(entries: int, agents: int) -> tuple[float, float, float, float]:
    """Return reads and writes a second of an idle entry and an idle agent."""

    async def main() -> tuple[float, float, float, float]:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(entries=entries, agents=agents)
            fleet = VirtualFleet(nursery, 1, shape)
            await fleet.start()
            await trio.sleep(IDLE_SECONDS / 2)
            before = totals(fleet)
            await trio.sleep(IDLE_SECONDS)
            after = totals(fleet)
            nursery.cancel_scope.cancel()
        change = Counter({key: after[key] - before[key] for key in after})
        return (
            change["entry", False] / IDLE_SECONDS / entries,
            change["entry", True] / IDLE_SECONDS / entries,
            change["agent", False] / IDLE_SECONDS / agents,
            change["agent", True] / IDLE_SECONDS / agents,
        )

    return run_virtual(main, seed=1)


def totals(fleet: VirtualFleet) -> Counter[tuple[str, bool]]:
    """Return all calls so far, by kind of process and whether they write."""
    total: Counter[tuple[str, bool]] = Counter()
    for client, kinds in fleet.platform.counters.items():
        for kind, count in kinds.items():
            writes = kind.value in ("transact", "put_object")
            total[client.partition("-")[0], writes] += count
    return total


@click.command()
def main() -> None:
    """Measure and print the slopes."""
    for name, fill in (("ledger", fill_ledger), ("start log", fill_start_log)):
        points = [(count, bytes_of(fill, count)) for count in RECORDS]
        line = fit(points)
        click.echo(
            f"{name}: {line.slope:.0f} B a record (sizes {RECORDS},"
            f" greatest distance from the line {line.spread:.1%})"
        )
    click.echo("idle store calls a second (reads, writes) of an entry and of an agent:")
    for entries, agents in FLEETS:
        calls = store_calls(entries, agents)
        shown = ", ".join(f"{one:.3f}" for one in calls)
        click.echo(f"  {entries} entries, {agents} agents: {shown}")


if __name__ == "__main__":
    main()
