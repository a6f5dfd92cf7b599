"""A small deployment of the real programs on loopback, for the scripts of the review.

The programs are started with the commands of the deploy file. The store and the workers
are the project's own stand-ins, in this process. They follow the protocol pages.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import trio

from bergamotcourse.standins.order_upstream import OrderUpstream, Run
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.cluster import LOOPBACK_HOST, Cluster, Node
from bergamotcourse.tests.platform.standins import HttpWorker

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT_SECONDS = 1.5
"""``heartbeat_ms`` of the settings page."""

HOST = "one.example"
PREFIX = "/a/"
SERVICE = "votes"
TASK_CPU = 3100
TASK_MEM_MB = 64
CAPACITY = Resources(32000, 65536, 0)

COMMON_SETTINGS = """\
region=norte
zones.north=norte
bootstrap=true
in_tolerance=false
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4096
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=local
entry_mode=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.recovery_s=12
bounds.max_hold_ms=1000
bounds.stop_ms=50
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=1.5
bounds.lease_ms=3000
bounds.retransmit_ms=1300
orders=call
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.history_s=20
"""
"""Settings that are the same for all processes, with the settings page's values."""


class CaseError(Exception):
    """The case could not be run."""


@dataclass
class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    folder: Path
    began: float = field(default_factory=trio.current_time)
    lines: list[str] = field(default_factory=list)

    def write(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{trio.current_time() - self.began:8.3f}  {text}")

    def save(self, verdict: str) -> None:
        """Write ``record.txt``, with the verdict as the last line."""
        text = "\n".join([*self.lines, "", verdict, ""])
        (self.folder / "record.txt").write_text(text)


@dataclass
class Deployment(Cluster):
    """Entries, agents, workers and a store, with settings as the platform gives them.

    Attributes:
        tells_born: Whether workers tell ``born``.
        cut_off_at: Agent whose worker had an earlier boot, which was cut off from the
            agent before its first ping arrived, and crashed.
        held_ping: The id and the ping of that boot.
    """

    tells_born: bool = False
    cut_off_at: str = ""
    held_ping: tuple[str, bytes] = ("", b"")

    def start_process(self, node: Node) -> None:
        """Start a process with the command of the deploy file."""
        settings = self.folder / f"{node.name}.conf"
        settings.write_text(self.settings_of(node))
        words = run_command(node.role)
        if words[0] == "python3":
            # The same interpreter, without a wrapper in between.
            words[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BERGAMOTCOURSE_CONFIG"] = str(settings)
        with open(node.log, "ab") as log:
            node.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def settings_of(self, node: Node) -> str:
        """Return the text of a process's settings file."""
        machine = "edge" if node.role == "entry" else "side"
        extra = f"role={node.role}\nmachine_class={machine}\n{COMMON_SETTINGS}"
        if machine == "side":
            extra += f"service={SERVICE}\n"
        extra += f"limits.cpu_share={1.0 if machine == 'edge' else 0.645}\n"
        return super().settings_of(node) + extra

    async def add_worker(self, node: Node) -> None:
        """Start the stand-in worker beside an agent."""
        cut_off = self.make_upstream() if node.name == self.cut_off_at else None
        worker = HttpWorker(self.make_upstream(), self.nursery, node.zone)
        self.workers[node.name] = worker
        port = await self.serve(worker.handle)
        worker.address = f"{LOOPBACK_HOST}:{port}"
        if cut_off is not None:
            self.held_ping = (cut_off.id, ping_body(self, worker, cut_off))
            cut_off.crash()
        control = await self.expose_address(
            f"reports to {node.name}", node.addresses["control"]
        )
        self.nursery.start_soon(worker.upstream.run)
        self.nursery.start_soon(worker.report_periodically, *control, HEARTBEAT_SECONDS)

    def make_upstream(
        self, clock_rate: float = 1.0, former: OrderUpstream | None = None
    ) -> OrderUpstream:
        """Return a new boot of a worker, with an id of its own and no ``born``."""
        self.life_count += 1
        return OrderUpstream(
            f"i-{self.life_count}",
            SERVICE,
            CAPACITY,
            work_of,
            self.history,
            clock_rate,
            incarnation=round(time.time() * 1000) if self.tells_born else 0,
        )

    def worker_of(self, run: Run) -> str:
        """Return the agent beside the worker on which a run runs or ran."""
        return next(
            (n for n, w in self.workers.items() if w.upstream.id == run.upstream), "?"
        )


def work_of(payload: str) -> tuple[Resources, float]:
    """Return the needs and the seconds of work of a task, by its ``spec``."""
    return Resources(TASK_CPU, TASK_MEM_MB, 0), float(payload)


def run_command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


def job_body(work: float, counts: list[int], after: bool = True) -> bytes:
    """Return the body of a job with a step of each count.

    Args:
        work: Seconds of work of each task.
        counts: The number of tasks of each step.
        after: Whether each step waits for the step before it.
    """
    steps = []
    for index, count in enumerate(counts):
        step = {
            "count": count,
            "cpu": TASK_CPU,
            "mem_mb": TASK_MEM_MB,
            "estimated_ms": round(work * 1000),
        }
        if index and after:
            step["after"] = [index - 1]
        steps.append(step)
    body = {"spec": str(work), "best_effort": True, "steps": steps}
    return json.dumps(body).encode()


def ping_body(deployment: Deployment, worker: HttpWorker, boot: OrderUpstream) -> bytes:
    """Return the body of the first ping of a boot."""
    boot.reports += 1
    body = {
        "service": SERVICE,
        "address": worker.address,
        "zone": worker.zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": boot.capacity.cpu, "mem_mb": 65536, "gpu": 0},
        "labels": list(boot.labels),
        "clock_ms": int(boot.clock() * 1000),
        "sequence": boot.reports,
    }
    if deployment.tells_born:
        body["born"] = boot.incarnation
    return json.dumps(body).encode()


async def call(node, method, path, body=b"", seconds=10.0) -> tuple[int, str]:
    """Send a client's request on a channel of its own.

    Returns:
        The status and the body; status 0 if the channel broke or nothing came in time.
    """
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n"
        f"bergamotcourse-deadline-ms: {round(seconds * 1000)}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    data = b""
    with trio.move_on_after(seconds):
        try:
            async with await trio.open_tcp_stream(*node.addresses["front"]) as stream:
                await stream.send_all(head.encode() + body)
                async for part in stream:
                    data += part
        except (OSError, trio.BrokenResourceError):
            return 0, "the channel broke"
    if not data:
        return 0, "no response"
    top, _, rest = data.partition(b"\r\n\r\n")
    return int(top.split()[1]), rest.decode(errors="replace")


def run_text(run: Run, began: float) -> str:
    """Return a line on a run for the record."""
    end = "-" if run.ended_at is None else f"{run.ended_at - began:.3f}"
    kind = run.kind.value if run.kind else "running"
    return (
        f"task {run.key.task} run {run.key.number} on {run.upstream}: "
        f"from {run.started_at - began:.3f} to {end} ({kind})"
    )


def overlaps(history: list[Run]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that were in progress at the same time."""
    found = []
    for index, run in enumerate(history):
        for other in history[:index]:
            if other.key.task != run.key.task:
                continue
            first, second = sorted((other, run), key=lambda one: one.started_at)
            if first.ended_at is None or first.ended_at > second.started_at:
                found.append((first, second))
    return found


def main(case, folder: Path, limit_seconds: float = 100.0) -> None:
    """Run a case, write its record, and exit with its verdict.

    Args:
        case: ``async case(deployment, record, trouble)``; returns the broken rules as
            lines of text, none if the rule held.
        folder: The folder of the case.
        limit_seconds: Longest time that it may take.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        record = Record(folder)
        record.write(f"trouble: {'yes' if trouble else 'no'}")
        place = Path(tempfile.mkdtemp(prefix="review-"))
        try:
            with trio.fail_after(limit_seconds):
                async with trio.open_nursery() as nursery:
                    deployment = Deployment(place, nursery)
                    try:
                        broken = await case(deployment, record, trouble)
                    finally:
                        deployment.shut_down()
                        nursery.cancel_scope.cancel()
        except BaseException as error:
            record.save(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            shutil.rmtree(place, ignore_errors=True)
        for line in broken:
            record.write(f"BROKEN: {line}")
        verdict = "the rule was broken" if broken else "the rule held"
        record.save(verdict)
        print(verdict)
        return 1 if broken else 0

    sys.exit(trio.run(run))
