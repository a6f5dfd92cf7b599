"""Measure the cost of a request through real processes on loopback.

Run as ``python -m bergamotcourse.bench.path``; it takes about a minute. It starts a
stand-in of the platform, two entries, and agents with a stand-in of an upstream each.
The upstreams respond at once, so all measured time is overhead of the system. The
client runs in this process.

Latency: requests are sent one at a time, alternately to an upstream directly and to
the first entry, over keep-alive connections. Throughput: a fixed number of callers send
to the first entry without a pause. Processor time is read from ``/proc/PID/stat``; the
reference work of ``bench.reference`` shows how fast the machine was just before.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from uuid import uuid4

import click
import trio

from bergamotcourse.bench.launcher import (
    AUTHORIZATION,
    SERVICE,
    Launcher,
    call,
    session_request,
)
from bergamotcourse.bench.reference import reference_us
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import HttpClient

ENTRIES = 2
AGENTS = 4
REPETITIONS = 3
REQUEST_PAIRS = 200
"""Pairs of a direct request and one through the entry, per repetition."""

THROUGHPUT_SECONDS = 1.0

CALLERS = 32
PREFIX_HEADER = "idempotency-key-prefix"
US_PER_SECOND = 1e6

MakeRequest = Callable[[int], HttpRequest]


@dataclass(frozen=True)
class Load:
    """One kind of request.

    Attributes:
        make_request: Returns the request of a given number.
        tasks: Tasks in one request.
        callers: Concurrent callers in a throughput measurement.
    """

    name: str
    make_request: MakeRequest
    tasks: int = 1
    callers: int = CALLERS


@dataclass
class Latency:
    """Response times of one repetition, in seconds."""

    direct: list[float]
    through_entry: list[float]

    def added(self, share: float) -> float:
        """Return the added latency at a quantile, in microseconds."""
        return (
            quantile(self.through_entry, share) - quantile(self.direct, share)
        ) * US_PER_SECOND

    def ratio(self) -> float:
        """Return the median through the entry divided by the direct median."""
        return quantile(self.through_entry, 0.5) / quantile(self.direct, 0.5)


@dataclass
class Throughput:
    """Results of one throughput repetition.

    Attributes:
        cpu_us: Processor time per task in microseconds, by kind of process.
        reference_us: Processor time of the reference work just before, in
            microseconds.
    """

    tasks: int
    seconds: float
    cpu_us: dict[str, float]
    reference_us: float

    @property
    def rate(self) -> float:
        """Return the tasks per second."""
        return self.tasks / self.seconds


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values at a share from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def job_request(tasks: int, number: int) -> HttpRequest:
    """Return a job request with a random idempotency key."""
    job = {
        "service": SERVICE,
        "tasks": [
            {"target": "/count", "body": f"ballot {number} {n}"} for n in range(tasks)
        ],
    }
    key = ("idempotency-key", str(uuid4()))
    content = json.dumps(job).encode()
    return HttpRequest("POST", "/v1/jobs", [AUTHORIZATION, key], content)


async def measure_latency(
    direct: HttpClient, entry: HttpClient, make_request: MakeRequest
) -> Latency:
    """Send requests alternately to the upstream directly and through the entry."""
    latency = Latency([], [])
    for number in range(REQUEST_PAIRS):
        latency.direct.append(await timed(direct, session_request(b"ballot")))
        latency.through_entry.append(await timed(entry, make_request(number)))
    return latency


async def timed(client: HttpClient, request: HttpRequest) -> float:
    """Return the response time of one request, in seconds."""
    began = time.perf_counter()
    await call(client, request)
    return time.perf_counter() - began


async def measure_throughput(
    launcher: Launcher, entry: HttpClient, load: Load
) -> Throughput:
    """Send requests from concurrent callers for ``THROUGHPUT_SECONDS``."""
    numbers = count()
    sent = 0
    reference = reference_us()
    before, client_before = cpu_by_kind(launcher), time.process_time()
    began = time.perf_counter()
    end = began + THROUGHPUT_SECONDS

    async def send() -> None:
        nonlocal sent
        while time.perf_counter() < end:
            await call(entry, load.make_request(next(numbers)))
            sent += load.tasks

    async with trio.open_nursery() as nursery:
        for _ in range(load.callers):
            nursery.start_soon(send)
    seconds = time.perf_counter() - began
    after = cpu_by_kind(launcher)
    cpu = {kind: (after[kind] - before[kind]) / sent * US_PER_SECOND for kind in after}
    cpu["client"] = (time.process_time() - client_before) / sent * US_PER_SECOND
    return Throughput(sent, seconds, cpu, reference)


def cpu_by_kind(launcher: Launcher) -> dict[str, float]:
    """Return the processor time used so far in seconds, by kind of process."""
    kinds = {
        "entry": launcher.processes_named("entry-1"),
        "owner": launcher.processes_named("entry-2"),
        "agents": launcher.processes_named("agent"),
        "upstreams": launcher.processes_named("upstream"),
    }
    return {
        kind: sum(one.cpu_seconds() for one in processes)
        for kind, processes in kinds.items()
    }


async def session_loads(entry: HttpClient) -> list[Load]:
    """Return the kinds of session requests."""
    prefix = await key_prefix(entry)

    def prefixed(_: int) -> HttpRequest:
        return session_request(b"ballot", f"{prefix}{uuid4().hex}", idempotent=True)

    def keyed(_: int) -> HttpRequest:
        return session_request(b"ballot", str(uuid4()), idempotent=True)

    def keyed_not_idempotent(_: int) -> HttpRequest:
        return session_request(b"ballot", str(uuid4()))

    return [
        Load("no key", lambda _: session_request(b"ballot")),
        Load("handed-out prefix", prefixed),
        Load("caller's key", keyed),
        Load("caller's key, not idempotent", keyed_not_idempotent),
    ]


async def key_prefix(entry: HttpClient) -> str:
    """Return the key prefix that the entry issues in its responses."""
    response = await call(entry, session_request(b"warm"))
    return dict(response.headers)[PREFIX_HEADER]


def job_loads() -> list[Load]:
    """Return the kinds of job requests."""
    return [
        Load("job of 20", lambda n: job_request(20, n), 20, 8),
        Load("job of 200", lambda n: job_request(200, n), 200, 4),
        Load("job of 1600", lambda n: job_request(1600, n), 1600, 2),
    ]


def format_spread(values: list[float], digits: int = 0) -> str:
    """Format the median, with the minimum and the maximum in brackets."""
    low, middle, high = min(values), quantile(values, 0.5), max(values)
    return f"{middle:.{digits}f} ({low:.{digits}f}–{high:.{digits}f})"


def print_latency(load: Load, repetitions: list[Latency]) -> None:
    """Print one row of the latency table."""
    cells = [
        load.name,
        format_spread(
            [quantile(one.direct, 0.5) * US_PER_SECOND for one in repetitions]
        ),
        format_spread(
            [quantile(one.direct, 0.99) * US_PER_SECOND for one in repetitions]
        ),
        format_spread([one.added(0.5) for one in repetitions]),
        format_spread([one.added(0.99) for one in repetitions]),
        format_spread([one.ratio() for one in repetitions], 2),
    ]
    click.echo(f"| {' | '.join(cells)} |")


def print_throughput(load: Load, repetitions: list[Throughput]) -> None:
    """Print one row of the throughput table."""
    cells = [load.name, str(load.callers), str(sum(one.tasks for one in repetitions))]
    cells.append(format_spread([one.rate for one in repetitions]))
    for kind in repetitions[0].cpu_us:
        cells.append(format_spread([one.cpu_us[kind] for one in repetitions]))
    cells.append(format_spread([one.reference_us for one in repetitions]))
    click.echo(f"| {' | '.join(cells)} |")


async def run() -> None:
    """Start the processes, measure and print the figures, and end the processes."""
    with Launcher.temporary() as launcher:
        await launcher.start_fleet(ENTRIES, AGENTS)
        entry, direct = launcher.client("entry-1"), launcher.client("upstream-1")
        sessions = await session_loads(entry)
        click.echo(
            "| Request | direct p50 µs | direct p99 µs | added p50 µs"
            " | added p99 µs | ratio p50 |\n|---|---|---|---|---|---|"
        )
        for load in sessions:
            await measure_latency(direct, entry, load.make_request)
            rounds = [
                await measure_latency(direct, entry, load.make_request)
                for _ in range(REPETITIONS)
            ]
            print_latency(load, rounds)
        click.echo(
            "\n| Request | callers | tasks | starts/s | entry CPU µs | owner CPU µs"
            " | agents CPU µs | upstreams CPU µs | client CPU µs | reference µs |"
            "\n|---|---|---|---|---|---|---|---|---|---|"
        )
        for load in [*sessions, *job_loads()]:
            rounds = [
                await measure_throughput(launcher, entry, load)
                for _ in range(REPETITIONS)
            ]
            print_throughput(load, rounds)


if __name__ == "__main__":
    trio.run(run)
