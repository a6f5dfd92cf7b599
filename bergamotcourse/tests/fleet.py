"""A fleet of real processes on loopback for end-to-end tests.

Each process is killed through its own handle at the end.
"""

import json
import random
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

WAIT_SECONDS = 30.0

LISTENING_PORTS = range(10_000, 32_768)
"""Below the ports that the kernel gives to outgoing connections: one of these may take
a port between its choice and the start of the process that listens there."""

TOKEN = "open-sesame"

MANIFEST = f"""
release: "test"
services:
  - {{name: voting, timeout_seconds: 20}}
upstreams:
  - {{name: all, services: [voting]}}
teams:
  - name: barakaldo
    credentials: ["{sha256(TOKEN.encode()).hexdigest()}"]
    services: [voting]
"""


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        return json.loads(self.body)


@dataclass
class Fleet:
    folder: Path
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)

    def port(self, name):
        """Return the port of a name, a free one chosen at its first use."""
        while name not in self.ports:
            port = random.choice(LISTENING_PORTS)
            with socket.socket() as probe, suppress(OSError):
                probe.bind(("127.0.0.1", port))
                self.ports[name] = port
        return self.ports[name]

    def start_process(self, name, *arguments):
        command = [sys.executable, "-m", "bergamotcourse", *arguments]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def run_command(self, *arguments):
        command = [sys.executable, "-m", "bergamotcourse", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def write_file(self, name, content):
        path = self.folder / name
        path.write_text(content)
        return str(path)

    def start_platform(self):
        self.start_process(
            "platform", "standin", "platform", "--port", str(self.port("platform"))
        )
        self.wait_until_accepting("platform")

    def apply(self, manifest=MANIFEST, reviewed=0):
        file = self.write_file("manifest.yaml", manifest)
        result = self.run_command(
            "apply", file, "--platform", f"127.0.0.1:{self.port('platform')}",
            "--reviewed-version", str(reviewed), "--who", "test", "--reason", "test",
        )  # fmt: skip
        assert result.returncode == 0, result.stderr
        return result

    def write_settings(self, name, zone, **more):
        lines = [
            f"name: {name}",
            f"zone: {zone}",
            "region: test",
            f"link: {{host: 127.0.0.1, port: {self.port(name + ' link')}}}",
            f"http: {{host: 127.0.0.1, port: {self.port(name)}}}",
            f"platform: {{host: 127.0.0.1, port: {self.port('platform')}}}",
            *(f"{key}: {value}" for key, value in more.items()),
        ]
        return self.write_file(f"{name}.yaml", "\n".join(lines))

    def start_entry(self, name, zone="a", **more):
        more.setdefault("lease_seconds", 1.5)
        more.setdefault("heartbeat_seconds", 0.3)
        file = self.write_settings(name, zone, **more)
        self.start_process(name, "entry", "--settings", file)

    def start_agent(self, name, zone="a", **more):
        more.setdefault("heartbeat_seconds", 0.3)
        file = self.write_settings(name, zone, worker=f"worker-{name}", **more)
        self.start_process(name, "agent", "--settings", file)

    def start_upstream(self, name, agent, slots=8):
        self.start_process(
            name, "standin", "upstream", "--name", name, "--service", "voting",
            "--slots", str(slots), "--port", str(self.port(name)),
            "--agent", f"127.0.0.1:{self.port(agent)}",
        )  # fmt: skip

    def wait_until_accepting(self, name):
        self.wait(lambda: self._accepts(name), f"{name} accepts")

    def wait_until_ready(self, name):
        self.wait(lambda: self.get(name, "/readyz").status == 200, f"{name} ready")

    def wait(self, condition, what):
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError(f"timed out waiting for: {what}\n{self.logs()}")

    def _accepts(self, name):
        try:
            socket.create_connection(("127.0.0.1", self.port(name)), 1).close()
        except OSError:
            return False
        return True

    def get(self, name, path, **headers):
        return self.request(name, "GET", path, **headers)

    def request(self, name, method, path, body=None, **headers):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port(name)}{path}", data=body, method=method
        )
        request.add_header("authorization", f"Bearer {TOKEN}")
        for key, value in headers.items():
            request.add_header(key.replace("_", "-"), value)
        try:
            with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as response:
                return Reply(response.status, dict(response.headers), response.read())
        except urllib.error.HTTPError as error:
            return Reply(error.code, dict(error.headers), error.read())
        except OSError as error:
            return Reply(0, {}, str(error).encode())

    def count_starts(self, upstreams):
        """Return the number of starts by task, summed over the given upstreams."""
        starts = {}
        for name in upstreams:
            for task, count in (
                self.get(name, "/standin/record").json()["starts"].items()
            ):
                starts[task] = starts.get(task, 0) + count
        return starts

    def logs(self):
        texts = []
        for path in sorted(self.folder.glob("*.log")):
            texts.append(f"--- {path.name}\n{path.read_text()[-3000:]}")
        return "\n".join(texts)

    def terminate(self, name):
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(WAIT_SECONDS)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait(WAIT_SECONDS)

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(WAIT_SECONDS)
