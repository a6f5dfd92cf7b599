"""Starts real processes on loopback for measurements, and ends each by its own PID."""

import os
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Self

import trio
from expression import Result

from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient

HOST = "127.0.0.1"
TOKEN = "open-sesame"
SERVICE = "voting"
AUTHORIZATION = ("authorization", f"Bearer {TOKEN}")

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 30.0
MAX_CONNECTIONS = 256

MANIFEST = f"""
release: "bench"
services:
  - {{name: {SERVICE}, timeout_seconds: 30}}
upstreams:
  - {{name: all, services: [{SERVICE}]}}
teams:
  - name: barakaldo
    credentials: ["{sha256(TOKEN.encode()).hexdigest()}"]
    services: [{SERVICE}]
    quota_starts_per_second: 1000000
"""

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
"""Indexes of fields of ``/proc/PID/stat``, counted after the command's name."""


@dataclass
class LaunchedProcess:
    """A process that the launcher started.

    Attributes:
        port: TCP port of its HTTP listener.
    """

    name: str
    process: subprocess.Popen
    port: int

    def cpu_seconds(self) -> float:
        """Return the processor time that all its threads have used, in seconds."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ticks / CLOCK_TICKS

    def resident_kib(self) -> int:
        """Return its resident memory in KiB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def threads(self) -> int:
        """Return the number of its threads."""
        return len(os.listdir(f"/proc/{self.process.pid}/task"))


@dataclass
class Launcher:
    """Starts a stand-in of the platform, entries, agents and stand-ins of upstreams.

    Attributes:
        folder: Directory for settings and logs.
        launched: Processes that were started, by name.
    """

    folder: Path
    launched: dict[str, LaunchedProcess] = field(default_factory=dict)

    @classmethod
    def temporary(cls) -> Self:
        """Return a launcher with a temporary directory."""
        return cls(Path(tempfile.mkdtemp(prefix="bergamotcourse-bench-")))

    def __enter__(self) -> Self:
        """Return this launcher."""
        return self

    def __exit__(self, *_) -> None:
        """Terminate all processes; kill those that do not exit in time."""
        for launched in self.launched.values():
            launched.process.terminate()
        for launched in self.launched.values():
            try:
                launched.process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                launched.process.kill()
                launched.process.wait(STOP_TIMEOUT_SECONDS)

    async def start_fleet(self, entries: int, agents: int, slots: int = 8) -> None:
        """Start all processes and return once each entry serves requests.

        Raises:
            TimeoutError: A process is not ready within ``START_TIMEOUT_SECONDS``.
        """
        platform = self.run("platform", "standin", "platform")
        await self._wait_until(
            self._accepts_connections(platform.port), "the platform accepts"
        )
        self._apply_manifest()
        for number in range(1, agents + 1):
            agent = self.run_daemon("agent", f"agent-{number}")
            self.run_upstream(f"upstream-{number}", agent, slots)
        for number in range(1, entries + 1):
            self.run_daemon("entry", f"entry-{number}")
        for number in range(1, entries + 1):
            entry = self.launched[f"entry-{number}"]
            await self._wait_until(
                self._serves_requests(entry.port), f"{entry.name} serves"
            )
        # An entry may serve before it has learned of every agent; a few more heartbeats
        # complete its directory.
        await trio.sleep(1.0)

    def run(self, name: str, *arguments: str) -> LaunchedProcess:
        """Start a ``bergamotcourse`` command, with an HTTP port of its own."""
        port = free_port()
        command = [sys.executable, "-m", "bergamotcourse", *arguments]
        command += ["--port", str(port)] if arguments[0] == "standin" else []
        return self._start(name, command, port)

    def run_daemon(self, kind: str, name: str) -> LaunchedProcess:
        """Start an entry or an agent with its own settings file."""
        port = free_port()
        settings = self.folder / f"{name}.yaml"
        settings.write_text(self._settings(kind, name, port))
        command = [sys.executable, "-m", "bergamotcourse", kind]
        return self._start(name, [*command, "--settings", str(settings)], port)

    def run_upstream(
        self, name: str, agent: LaunchedProcess, slots: int
    ) -> LaunchedProcess:
        """Start a stand-in of an upstream that announces itself to an agent."""
        announce = ["--agent", f"{HOST}:{agent.port}", "--slots", str(slots)]
        service = ["--name", name, "--service", SERVICE]
        return self.run(name, "standin", "upstream", *service, *announce)

    def client(self, name: str) -> HttpClient:
        """Return a new HTTP client for a process."""
        return HttpClient(HOST, self.launched[name].port, MAX_CONNECTIONS)

    def processes_named(self, prefix: str) -> list[LaunchedProcess]:
        """Return the processes whose names begin with a prefix."""
        return [one for one in self.launched.values() if one.name.startswith(prefix)]

    def _start(self, name: str, command: list[str], port: int) -> LaunchedProcess:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.launched[name] = LaunchedProcess(name, process, port)
        return self.launched[name]

    def _apply_manifest(self) -> None:
        manifest = self.folder / "manifest.yaml"
        manifest.write_text(MANIFEST)
        platform = f"{HOST}:{self.launched['platform'].port}"
        command = [sys.executable, "-m", "bergamotcourse", "apply", str(manifest)]
        command += ["--platform", platform, "--reviewed-version", "0"]
        command += ["--who", "bench", "--reason", "bench"]
        subprocess.run(command, check=True, capture_output=True)

    def _settings(self, kind: str, name: str, port: int) -> str:
        lines = [
            f"name: {name}",
            "zone: a",
            "region: bench",
            f"link: {{host: {HOST}, port: {free_port()}}}",
            f"http: {{host: {HOST}, port: {port}}}",
            f"platform: {{host: {HOST}, port: {self.launched['platform'].port}}}",
            f"log: {self.folder / name}.eliot",
        ]
        if kind == "agent":
            lines.append(f"worker: worker-{name}")
        return "\n".join(lines)

    async def _wait_until(self, condition, what: str) -> None:
        with trio.move_on_after(START_TIMEOUT_SECONDS):
            while not await condition():
                await trio.sleep(POLL_INTERVAL_SECONDS)
            return
        raise TimeoutError(
            f"not within {START_TIMEOUT_SECONDS} s: {what}; see {self.folder}"
        )

    def _accepts_connections(self, port: int):
        async def accepts() -> bool:
            try:
                stream = await trio.open_tcp_stream(HOST, port)
            except OSError:
                return False
            await stream.aclose()
            return True

        return accepts

    def _serves_requests(self, port: int):
        client = HttpClient(HOST, port)

        async def serves() -> bool:
            warm = session_request(b"warm")
            result = await client.request(warm, CALL_TIMEOUT_SECONDS)
            served = result.is_ok() and result.ok.status == 200
            ready = await client.request(
                HttpRequest("GET", "/readyz"), CALL_TIMEOUT_SECONDS
            )
            return served and ready.is_ok() and ready.ok.status == 200

        return serves


def free_port(host: str = HOST) -> int:
    """Return a free TCP port that the kernel chose."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def session_request(
    body: bytes, key: str = "", idempotent: bool = False
) -> HttpRequest:
    """Return a session request, with an idempotency key if one is given."""
    headers = [AUTHORIZATION, ("content-type", "text/plain")]
    if key:
        headers.append(("idempotency-key", key))
    if idempotent:
        headers.append(("idempotent", "?1"))
    return HttpRequest("POST", f"/s/{SERVICE}/cast", headers, body)


async def call(client: HttpClient, request: HttpRequest) -> HttpResponse:
    """Send a request and return its response.

    Raises:
        RuntimeError: No response arrived, or its status is not 200.
    """
    match await client.request(request, CALL_TIMEOUT_SECONDS):
        case Result(tag="ok", ok=response) if response.status == 200:
            return response
        case result:
            raise RuntimeError(f"{request.target} was not served: {result}")
