"""Measure the resident memory and the start-up time of idle daemons.

Run as ``python -m bergamotcourse.bench.memory``; it takes about 30 s. Memory is that
of real processes on loopback, read from ``/proc/PID/status``. The imports are
measured one after another in a fresh interpreter for each repetition, in the order in
which a daemon needs them; a dependency that two share is counted with the first.
"""

import subprocess
import sys
import time

import click
import trio

from bergamotcourse.bench.launcher import HOST, LaunchedProcess, Launcher
from bergamotcourse.bench.path import format_spread
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import HttpClient

REPETITIONS = 5
IDLE_SECONDS = 3.0
MEMORY_LIMIT_KIB = 64 * 1024
KIB_PER_MIB = 1024
POLL_INTERVAL_SECONDS = 0.005

IMPORTS = [
    "trio",
    "h11",
    "msgspec",
    "pynng",
    "expression",
    "eliot",
    "yaml",
    "click",
    "xxhash",
    "bergamotcourse.daemons.entry",
    "bergamotcourse.daemons.agent",
    "bergamotcourse.__main__",
]
UNWANTED_MODULES = [
    "numpy",
    "matplotlib",
    "hypothesis",
    "pytest",
    "asyncio",
    "jsonschema",
]

IMPORT_SCRIPT = """
import sys, time
def resident():
    with open("/proc/self/status") as status:
        return next(int(l.split()[1]) for l in status if l.startswith("VmRSS:"))
print(resident(), 0.0)
for name in sys.argv[1].split(","):
    began = time.perf_counter()
    __import__(name)
    print(resident(), time.perf_counter() - began)
print(*(name for name in sys.argv[2].split(",") if name in sys.modules))
"""


def measure_imports() -> tuple[list[tuple[int, float]], str]:
    """Return figures for each import, and the unwanted modules that were loaded.

    Returns:
        Resident KiB after each import and the seconds that it took, beginning with the
        bare interpreter; and the names of the unwanted modules, separated by blanks.
    """
    command = [
        sys.executable,
        "-c",
        IMPORT_SCRIPT,
        ",".join(IMPORTS),
        ",".join(UNWANTED_MODULES),
    ]
    lines = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    *measured, unwanted = lines.splitlines()
    pairs = [line.split() for line in measured]
    return [(int(kb), float(seconds)) for kb, seconds in pairs], unwanted


def print_imports() -> None:
    """Print the resident memory that each import adds and the time that it takes."""
    runs = [measure_imports() for _ in range(REPETITIONS)]
    click.echo("| Import | adds MB | takes ms |\n|---|---|---|")
    for index, name in enumerate(["the interpreter", *IMPORTS]):
        added, taken = [], []
        for measured, _ in runs:
            before = measured[index - 1][0] if index else 0
            added.append((measured[index][0] - before) / KIB_PER_MIB)
            taken.append(measured[index][1] * 1000)
        click.echo(f"| {name} | {format_spread(added, 1)} | {format_spread(taken)} |")
    click.echo(f"\nloaded though unwanted: {runs[0][1] or 'none'}")


async def measure_start_seconds(launched: LaunchedProcess) -> float:
    """Return the seconds until a newly started process reports healthy."""
    began = time.perf_counter()
    client = HttpClient(HOST, launched.port)
    while (await client.request(HttpRequest("GET", "/healthz"), 1.0)).is_error():
        await trio.sleep(POLL_INTERVAL_SECONDS)
    return time.perf_counter() - began


async def print_daemons() -> None:
    """Print memory when idle, threads and start-up time of each kind of daemon."""
    with Launcher.temporary() as launcher:
        await launcher.start_fleet(REPETITIONS, REPETITIONS)
        await trio.sleep(IDLE_SECONDS)
        click.echo("\n| Idle daemon | resident MB | threads | under 64 MB |")
        click.echo("|---|---|---|---|")
        for kind in ("entry", "agent"):
            daemons = launcher.processes_named(kind)
            resident = [one.resident_kib() for one in daemons]
            threads = format_spread([float(one.threads()) for one in daemons])
            size = format_spread([kb / KIB_PER_MIB for kb in resident], 1)
            under = "yes" if max(resident) < MEMORY_LIMIT_KIB else "no"
            click.echo(f"| {kind} | {size} | {threads} | {under} |")
        click.echo("\n| Start-up | until healthy, s |\n|---|---|")
        for kind in ("entry", "agent"):
            times = []
            for number in range(REPETITIONS):
                name = f"late-{kind}-{number}"
                times.append(
                    await measure_start_seconds(launcher.run_daemon(kind, name))
                )
            click.echo(f"| {kind} | {format_spread(times, 2)} |")


def main() -> None:
    """Measure the imports and the daemons, and print the figures."""
    print_imports()
    trio.run(print_daemons)


if __name__ == "__main__":
    main()
