"""Entries and agents as real processes, with workers and a store on loopback."""

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from bergamotcourse.bench.launcher import free_port
from bergamotcourse.standins.order_upstream import OrderUpstream, Run
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.standins import HttpWorker, Rows
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_server import HttpServer

HOME = "127.0.0.1"
CAPACITY = Resources(32000, 65536, 0)
TASK_CPU = 3100
TASK_MEM_MB = 64
REPORT_SECONDS = 0.3
CALLER_MS = 20000
CALL_SECONDS = 25.0

START_SECONDS = 120.0
"""Bound of a start, which takes two seconds on a free machine."""

CLAIM_PORT = 9465
"""Whoever listens on it at a net's last address has the net."""


def make_route(name="r-1", prefix="/a/"):
    return {
        "name": name,
        "host": "one.example",
        "path_prefix": prefix,
        "service": "votes",
        "max_attempts": 3,
        "slack_factor": 20.0,
        "target_latency_ms": 5000,
    }


def make_job(number, work, tasks=3, prefix="/a/", caller_ms=CALLER_MS):
    """Return the request that hands a job in; the spec tells the seconds of work."""
    step = {
        "count": tasks,
        "cpu": TASK_CPU,
        "mem_mb": TASK_MEM_MB,
        "estimated_ms": work * 1000,
    }
    body = {"spec": str(work), "best_effort": True, "steps": [step]}
    headers = [
        ("host", "one.example"),
        ("bergamotcourse-deadline-ms", str(caller_ms)),
    ]
    target = f"{prefix}{number:016x}"
    return HttpRequest("POST", target, headers, msgspec.json.encode(body))


def work_of(payload):
    return Resources(TASK_CPU, TASK_MEM_MB, 0), float(payload)


@dataclass
class Node:
    """One process of ours.

    Attributes:
        addresses: Where it listens, by purpose.
        store: The store's address, as this process knows it.
        zone: Where it is.
    """

    name: str
    role: str
    host: str
    log: Path
    addresses: dict[str, tuple[str, int]]
    store: tuple[str, int] = (HOME, 0)
    zone: str = "north"
    process: subprocess.Popen | None = None

    def kill(self) -> None:
        """End it at once, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def until_ended(self) -> int:
        """Return the exit code."""
        while self.process.poll() is None:
            await trio.sleep(0.02)
        return self.process.returncode

    def events(self) -> list[dict]:
        """Return what it has logged, in all its lives."""
        if not self.log.exists():
            return []
        # The last line may be half written.
        lines = self.log.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines]

    async def until_told(self, kind: str) -> None:
        """Return once it has logged an event of a kind."""
        while not any(event["event"] == kind for event in self.events()):
            await trio.sleep(0.02)


@dataclass
class Cluster:
    """The processes, and what surrounds them.

    Attributes:
        net: The first three numbers of the addresses, claimed for this cluster alone.
        claim: Holds ``net`` for as long as the cluster lives.
        history: All runs on all workers.
        zones: Over which the processes of a role are dealt out.
    """

    folder: Path
    nursery: trio.Nursery
    zones: tuple[str, ...] = ("north",)
    net: str = ""
    claim: socket.socket | None = None
    rows: Rows = field(default_factory=Rows)
    history: list[Run] = field(default_factory=list)
    nodes: dict[str, Node] = field(default_factory=dict)
    workers: dict[str, HttpWorker] = field(default_factory=dict)
    version: int = 0
    routes: list[dict] = field(default_factory=list)
    lives: int = 0

    async def start(self, entries: int = 1, agents: int = 1) -> None:
        """Start all, and return once the entries are ready.

        Raises:
            trio.TooSlowError: They are not in time; the folder has their logs.
        """
        with trio.fail_after(START_SECONDS):
            await self._start(entries, agents)

    async def _start(self, entries: int, agents: int) -> None:
        self.claim, self.net = claim_net()
        self.configure([make_route()])
        store = await self.serve(self.rows.handle)
        link = free_port(HOME)
        control = free_port(HOME)
        for number in range(1, entries + agents + 1):
            host = f"{self.net}.{number}"
            if number <= entries:
                node = self.add_node(f"entry-{number}", "entry", host, link, control)
            else:
                name = f"agent-{number - entries}"
                node = self.add_node(name, "agent", host, link, control)
            node.store = await self.path_to(f"store of {node.name}", (HOME, store))
            node.zone = self.zones[(int(node.name[-1]) - 1) % len(self.zones)]
        for node in self.nodes.values():
            if node.role == "agent":
                await self.add_worker(node)
            self.run(node)
        for node in self.entries():
            await self.until_ready(node)
        while not all(worker.upstream.token for worker in self.workers.values()):
            await trio.sleep(0.05)

    def add_node(self, name, role, host, link, control) -> Node:
        """Note a process and where it is to listen."""
        addresses = {
            "link": (host, link),
            "control": (host, control),
            "front": (host, free_port(host)),
            "ready": (host, free_port(host)),
        }
        log = self.folder / f"{name}.log"
        self.nodes[name] = Node(name, role, host, log, addresses)
        return self.nodes[name]

    async def add_worker(self, node: Node) -> None:
        """Start the worker beside an agent."""
        worker = HttpWorker(self.make_upstream(), node.zone)
        self.workers[node.name] = worker
        port = await self.serve(worker.handle)
        host, port = await self.path_to(f"worker of {node.name}", (HOME, port))
        worker.address = f"{host}:{port}"
        control = await self.path_to(
            f"reports to {node.name}", node.addresses["control"]
        )
        self.nursery.start_soon(worker.upstream.run)
        self.nursery.start_soon(worker.report, *control, REPORT_SECONDS)

    def make_upstream(
        self, clock_rate: float = 1.0, former: OrderUpstream | None = None
    ) -> OrderUpstream:
        """Return a new life of a worker, under the id of a former one if given."""
        self.lives += 1
        return OrderUpstream(
            former.id if former else f"i-{self.lives}",
            "votes",
            CAPACITY,
            work_of,
            self.history,
            clock_rate,
            incarnation=self.lives,
            clock_began=trio.current_time() if former else 0.0,
        )

    async def path_to(self, _name, address) -> tuple[str, int]:
        """Return where others reach an address."""
        return address

    def configure(self, routes) -> None:
        """Put a new configuration into the store."""
        self.version += 1
        self.routes = routes
        config = {"version": self.version, "routes": routes}
        value = base64.b64encode(msgspec.json.encode(config)).decode()
        self.rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

    def evacuate(self, zone: str) -> None:
        """Ask for nothing more to start in a zone."""
        row = {"table": "op", "key": f"evacuate/{zone}", "value": "e30="}
        self.rows.transact({"put": [row]})

    def take_back(self, zone: str) -> None:
        """Let work start in a zone again."""
        self.rows.transact({"remove": [{"table": "op", "key": f"evacuate/{zone}"}]})

    def last_prefix(self) -> str:
        """Return the path of the route added last."""
        return self.routes[-1]["path_prefix"]

    async def serve(self, handler) -> int:
        """Serve a stand-in, and return its port."""
        server = HttpServer(HOME, 0, handler)
        self.nursery.start_soon(server.run)
        await server.wait_open()
        return server.port

    def run(self, node: Node) -> None:
        """Start a process, or start it anew."""
        settings = self.folder / f"{node.name}.conf"
        settings.write_text(self.settings_of(node))
        with open(node.log, "ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-m", f"bergamotcourse.platform.{node.role}"],
                env={**os.environ, "BERGAMOTCOURSE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    def settings_of(self, node: Node) -> str:
        """Return the settings file of a process."""
        where = {name: f"{h}:{p}" for name, (h, p) in node.addresses.items()}
        seeds = ",".join(
            "{}:{}".format(*entry.addresses["control"]) for entry in self.entries()
        )
        link = node.addresses["link"][1]
        serves = "edge,control_plane" if node.role == "entry" else "side"
        store = "{}:{}".format(*node.store)
        return (
            f"node_name={node.name}\nserves={serves}\nip={node.host}\n"
            f"zone={node.zone}\n"
            f"listen_addrs.frontend={where['front']}\n"
            f"listen_addrs.ready={where['ready']}\n"
            f"listen_addrs.control_plane={where['control']}\n"
            f"internal_ports={link},{link}\nseed_nodes={seeds}\n"
            f"bounds.grace_s=6\nplatform.address={store}\n"
        )

    def entries(self) -> list[Node]:
        """Return the entries."""
        return [node for node in self.nodes.values() if node.role == "entry"]

    async def until_ready(self, node: Node) -> None:
        """Return once an entry wants callers."""
        while not await self.is_ready(node):
            await trio.sleep(0.05)

    async def is_ready(self, node: Node) -> bool:
        """Ask an entry whether it wants callers."""
        request = HttpRequest("GET", "/bergamotcourse/ready")
        answer = await ask(node.addresses["ready"], request, 1.0)
        return answer.is_ok() and answer.ok.status == 200

    def end(self) -> None:
        """End all processes, and give their addresses back."""
        for node in self.nodes.values():
            node.kill()
        if self.claim is not None:
            self.claim.close()


def claim_net() -> tuple[socket.socket, str]:
    """Return a net of loopback addresses that no other cluster has, and what holds it.

    All processes listen on one port for their metrics: of two clusters with the same
    addresses, as in two runs of these tests side by side, one would never start.
    """
    numbers = random.SystemRandom()
    while True:
        net = f"127.{numbers.randint(64, 250)}.{numbers.randint(0, 250)}"
        claim = socket.socket()
        try:
            claim.bind((f"{net}.254", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, net


async def ask(address, request, timeout=CALL_SECONDS):
    """Send one request on a connection of its own."""
    client = HttpClient(*address)
    try:
        return await client.request(request, timeout)
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()


async def submit(node: Node, number, work, tasks=3) -> HttpResponse:
    """Hand a job in, and return the answer."""
    return (await ask(node.addresses["front"], make_job(number, work, tasks))).ok
