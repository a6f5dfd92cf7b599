"""Starts a small deployment on loopback: entries, agents, workers and the store."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins2.http_io import Response, call, port_of, serve
from standins2.store import Store
from standins2.worker import Worker, WorkerHost

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "votes"
HOST_NAME = "one.example"
PREFIX = "/a/"
RETRANSMIT_SECONDS = 1.3
START_SECONDS = 20.0
METRICS_PORT = 9464

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

ROUTE = {
    "name": "r-1",
    "host": HOST_NAME,
    "path_prefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "max_attempts": 3,
    "slack_factor": 3.0,
    "target_latency_ms": 1000,
}

SETTINGS = """\
node_name={name}
role={role}
machine_class={serves}
serves={serves}
ip={host}
zone={zone}
region=one
zones.north=one
zones.south=one
zones.east=one
listen_addrs.frontend={host}:{front}
listen_addrs.ready={host}:{ready}
listen_addrs.control_plane={host}:{control}
internal_ports={link},{link}
seed_nodes={seeds}
bootstrap=true
limits.cpu_share=1.0
limits.cpu_cores=1
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_hold_ms=1000
bounds.stop_ms=50
bounds.cancel_ms=3000
bounds.evacuate_ms=5000
bounds.remote_factor=1.5
bounds.lease_ms=3000
bounds.retransmit_ms=1300
orders=call
platform.address={store}
platform.form=table
"""


class Record:
    """The record of a run, with the seconds since its begin."""

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.began = time.monotonic()

    def note(self, line: str, at: float | None = None) -> None:
        """Write a line, of the present or of an earlier moment."""
        seconds = (at or time.monotonic()) - self.began
        self.file.write(f"{seconds:8.3f}  {line}\n")
        self.file.flush()


@dataclass
class Node:
    """An entry or an agent process."""

    name: str
    role: str
    host: str
    ports: dict[str, int]
    zone: str = "north"
    process: subprocess.Popen | None = None

    def address(self, purpose: str) -> tuple[str, int]:
        """Return one of its addresses."""
        return self.host, self.ports[purpose]


@dataclass
class Deployment:
    """The processes, their workers and the store.

    Attributes:
        zones: The zones of the entries, in turn.
        commands: The command of each role in the deploy file.
    """

    record: Record
    folder: Path
    zones: tuple[str, ...] = ("north",)
    entries: list[Node] = field(default_factory=list)
    agents: list[Node] = field(default_factory=list)
    hosts: list[WorkerHost] = field(default_factory=list)
    store: Store = field(default_factory=Store)
    tasks: list[asyncio.Task] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    commands: dict[str, list[str]] = field(default_factory=dict)
    store_address: str = ""

    async def start(self, entries: int, workers: list[Worker]) -> None:
        """Start everything, and return once all entries are ready.

        Raises:
            TimeoutError: They are not ready in time.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role, fields in deploy["roles"].items():
            self.commands[role] = shlex.split(fields["run"])
        config = {"version": 1, "routes": [ROUTE], "services": [], "limits": {}}
        await self.store.write_documents({"config": config})
        server = await self._serve(self.store.handle)
        self.store_address = f"127.0.0.1:{port_of(server)}"
        self._add_nodes(entries, workers)
        for agent, worker in zip(self.agents, workers, strict=True):
            host = WorkerHost(worker)
            self.hosts.append(host)
            server = await self._serve(host.handle)
            worker.address = f"127.0.0.1:{port_of(server)}"
            self._start_worker(worker, agent)
        for node in [*self.entries, *self.agents]:
            self.start_process(node)
        async with asyncio.timeout(START_SECONDS):
            for node in self.entries:
                while not await self._is_ready(node):
                    await asyncio.sleep(0.1)
            while not all(worker.token for worker in workers):
                await asyncio.sleep(0.1)
        # Until the entries know the load of all agents.
        await asyncio.sleep(2.0)

    def _add_nodes(self, entries: int, workers: list[Worker]) -> None:
        net = f"127.{random.randint(64, 250)}.{random.randint(0, 250)}"
        shared = free_ports(f"{net}.1", 4)
        ports = dict(zip(("link", "control", "front", "ready"), shared, strict=True))
        for number in range(1, entries + 1):
            zone = self.zones[(number - 1) % len(self.zones)]
            node = Node(f"entry-{number}", "entry", f"{net}.{number}", ports, zone)
            self.entries.append(node)
        for number, worker in enumerate(workers, start=1):
            host = f"{net}.{100 + number}"
            node = Node(f"agent-{number}", "agent", host, ports, worker.zone)
            self.agents.append(node)

    def _start_worker(self, worker: Worker, agent: Node) -> None:
        self._spawn(worker.advance())
        self._spawn(worker.report(agent.address("control")))

    async def replace_crashed(
        self, number: int, worker: Worker, seconds: float
    ) -> None:
        """Crash a worker; another boot starts at its address some seconds later."""
        host = self.hosts[number]
        host.worker.crash()
        await asyncio.sleep(seconds)
        worker.address = host.worker.address
        host.worker = worker
        self._start_worker(worker, self.agents[number])
        self.record.note(f"{worker.id}: starts, labels {', '.join(worker.labels)}")

    async def _serve(self, handler) -> asyncio.Server:
        server = await serve(handler, "127.0.0.1")
        self.servers.append(server)
        return server

    def _spawn(self, coroutine) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def start_process(self, node: Node) -> None:
        """Start or restart a process with the command of the deploy file."""
        settings = self.folder / f"{node.name}.conf"
        seeds = ",".join(f"{one.host}:{one.ports['control']}" for one in self.entries)
        settings.write_text(
            SETTINGS.format(
                name=node.name,
                role=node.role,
                serves="edge,control_plane" if node.role == "entry" else "side",
                host=node.host,
                zone=node.zone,
                seeds=seeds,
                store=self.store_address,
                **node.ports,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BERGAMOTCOURSE_CONFIG": str(settings),
        }
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                self.commands[node.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"{node.name} is started")

    def kill(self, node: Node) -> None:
        """End a process at once."""
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        self.record.note(f"{node.name} is killed")

    async def _is_ready(self, node: Node) -> bool:
        target = "/bergamotcourse/ready"
        answer = await call(node.address("ready"), "GET", target, timeout=1.0)
        return answer is not None and answer.status == 200

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in [*self.entries, *self.agents]:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()

    async def submit(
        self,
        entry: Node,
        job: str,
        seconds: float,
        cpu: int,
        count: int = 1,
        estimate: float | None = None,
        deadline: float = 20.0,
        label: str = "",
        note: Callable[[str], None] | None = None,
    ) -> Response | None:
        """Submit a job that needs not be kept, and return the response.

        Args:
            entry: The entry.
            job: The id of the job.
            seconds: Seconds of work of each task.
            cpu: Needs of each task.
            count: Number of tasks.
            estimate: The seconds that the job declares; those of the work if ``None``.
            deadline: Seconds for which the client waits.
            label: The label that the worker must have; empty for any worker.
            note: Called with the lines for the record; writes them by default.
        """
        note = note or self.record.note
        step = {
            "count": count,
            "cpu": cpu,
            "mem_mb": 64,
            "estimated_ms": round(1000 * (estimate or seconds)),
        }
        if label:
            step["required_label"] = label
        body = {"spec": str(seconds), "best_effort": True, "steps": [step]}
        headers = {
            "host": HOST_NAME,
            "bergamotcourse-deadline-ms": str(round(1000 * deadline)),
        }
        note(f"client: POST {job} to {entry.name}")
        response = await call(
            entry.address("front"), "POST", PREFIX + job, body, headers, deadline
        )
        note(f"client: {job} at {entry.name}: {describe(response)}")
        return response

    async def cancel(self, entry: Node, job: str) -> Response | None:
        """Cancel a job, and return the response."""
        self.record.note(f"client: DELETE {job} at {entry.name}")
        response = await call(
            entry.address("front"),
            "DELETE",
            PREFIX + job,
            headers={"host": HOST_NAME},
            timeout=4.0,
        )
        self.record.note(f"client: {job} at {entry.name}: {describe(response)}")
        return response


def describe(response: Response | None) -> str:
    """Return the status and the body of a response, for the record."""
    if response is None:
        return "no response"
    return f"{response.status} {response.body.decode()[:100]}"


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that are free."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def run_case(folder: Path, case) -> int:
    """Run a case, and return its exit code.

    Args:
        folder: Where ``record.txt`` is written.
        case: Called with a deployment and with whether there is a disruption; returns
            whether the rule held, or ``None`` if the case did not run.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory() as temporary:
        held = asyncio.run(_run_case(Path(temporary), record, case, trouble))
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for log in Path(temporary).glob("*.log"):
                shutil.copy(log, logs)
    if held is None:
        record.note("verdict: the case did not run")
        return NOT_RUN
    record.note("verdict: the rule held" if held else "verdict: the rule was broken")
    return HELD if held else BROKEN


async def _run_case(folder: Path, record: Record, case, trouble: bool) -> bool | None:
    deployment = Deployment(record, folder)
    # An ended script must not leave its processes behind.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    try:
        return await case(deployment, trouble)
    except asyncio.CancelledError:
        record.note("it was ended")
        return None
    except Exception as error:
        # An error of the script must not count as a broken rule.
        record.note(f"it did not run: {error!r}")
        return None
    finally:
        await deployment.stop()


def main(case) -> None:
    """Run the case of the script that was started."""
    sys.exit(run_case(Path(sys.argv[0]).resolve().parent, case))
