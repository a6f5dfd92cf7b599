"""Measure memory per stored record and platform calls per idle process.

The figures are the slopes that the capacity page quotes.

Run as ``python -m bergamotcourse.bench.capacity``; it takes about a minute.
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

RECORD_COUNTS = (2_000, 4_000, 8_000, 16_000)
FLEET_SIZES = ((3, 11), (3, 50), (3, 100), (6, 50), (10, 50))
IDLE_SECONDS = 60.0
RETENTION_MS = 600_000
ENTRY = EntryId("entry-1-00000000")
ADDRESS = LinkAddress("tcp://10.20.1.11:7400")


@dataclass(frozen=True)
class StartStub:
    """Stands in for a ``Start``, with the fields that the start log reads."""

    submission: bytes
    token: int
    index: int = 0
    attempt: int = 1
    dispatch: int = 1
    range: int = 7
    epoch: int = 1
    digest: bytes = bytes(16)


@dataclass(frozen=True)
class LinearFit:
    """A straight line fitted to measured points.

    Attributes:
        max_relative_error: Greatest distance of a point from the line, divided by
            the point's value.
    """

    base: float
    slope: float
    max_relative_error: float


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance_sum / sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    spread = max(abs(base + slope * x - y) / y for x, y in points)
    return LinearFit(base, slope, spread)


def submission_id(number: int) -> bytes:
    """Return a submission ID that is unique to the number."""
    return number.to_bytes(16, "big")


def fill_ledger(count: int) -> Ledger:
    """Return a ledger with ``count`` records."""
    ledger = Ledger(RETENTION_MS)
    for number in range(count):
        record = LedgerRecord(
            range=RangeId(number % 64),
            digest=submission_id(number + 1),
            entry=ENTRY,
            address=ADDRESS,
            attempt=Attempt(1),
            at_ms=number,
            claimed_ms=number,
        )
        ledger.put(submission_id(number), record)
    return ledger


def fill_start_log(count: int) -> StartLog:
    """Return a start log with ``count`` submissions of one task each."""
    log = StartLog(
        boot=9, token_ms=5_000, retention_ms=RETENTION_MS, epochs_loaded=True
    )
    for number in range(count):
        order = StartStub(submission_id(number), log.issue_token(0))
        log.admit(order, ADDRESS, 0)
    return log


def measure_bytes(fill: Callable[[int], object], count: int) -> int:
    """Return the bytes allocated by filling a structure with ``count`` records."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = fill(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return after - before


def measure_idle_store_calls(
    entries: int, agents: int
) -> tuple[float, float, float, float]:
    """Return the platform calls per second of idle processes.

    Returns:
        Reads and writes of an entry, then reads and writes of an agent.
    """

    async def main() -> tuple[float, float, float, float]:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(entries=entries, agents=agents)
            fleet = VirtualFleet(nursery, 1, shape)
            await fleet.start()
            await trio.sleep(IDLE_SECONDS / 2)
            before = count_store_calls(fleet)
            await trio.sleep(IDLE_SECONDS)
            after = count_store_calls(fleet)
            nursery.cancel_scope.cancel()
        change = Counter({key: after[key] - before[key] for key in after})
        return (
            change["entry", False] / IDLE_SECONDS / entries,
            change["entry", True] / IDLE_SECONDS / entries,
            change["agent", False] / IDLE_SECONDS / agents,
            change["agent", True] / IDLE_SECONDS / agents,
        )

    return run_virtual(main, seed=1)


def count_store_calls(fleet: VirtualFleet) -> Counter[tuple[str, bool]]:
    """Return the calls so far, by kind of process and whether they write."""
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
        points = [(count, measure_bytes(fill, count)) for count in RECORD_COUNTS]
        line = fit_line(points)
        click.echo(
            f"{name}: {line.slope:.0f} B a record (sizes {RECORD_COUNTS},"
            f" greatest distance from the line {line.max_relative_error:.1%})"
        )
    click.echo("idle store calls a second (reads, writes) of an entry and of an agent:")
    for entries, agents in FLEET_SIZES:
        calls = measure_idle_store_calls(entries, agents)
        shown = ", ".join(f"{one:.3f}" for one in calls)
        click.echo(f"  {entries} entries, {agents} agents: {shown}")


if __name__ == "__main__":
    main()
