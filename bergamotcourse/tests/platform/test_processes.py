"""An entry and an agent as real processes, with a worker and a store on loopback."""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager

import msgspec
import trio

from bergamotcourse.standins.order_upstream import OrderUpstream
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.standins import HttpWorker, Rows
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_server import HttpServer

ENTRY, AGENT = "127.0.77.1", "127.0.77.2"
PATIENCE_SECONDS = 60.0
"""For processes on a busy machine to start, and for what they are to do."""

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "one.example",
            "path_prefix": "/a/",
            "service": "votes",
            "max_attempts": 3,
            "slack_factor": 20.0,
            "target_latency_ms": 5000,
        }
    ],
}


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def job(number, work, tasks=3):
    step = {"count": tasks, "cpu": 3100, "mem_mb": 64, "estimated_ms": work * 1000}
    body = {"spec": str(work), "best_effort": True, "steps": [step]}
    headers = [("host", "one.example"), ("bergamotcourse-deadline-ms", "20000")]
    target = f"/a/{number:016x}"
    return HttpRequest("POST", target, headers, msgspec.json.encode(body))


class Cluster:
    """The processes, and what surrounds them."""

    def __init__(self, folder, nursery):
        self.folder = folder
        self.nursery = nursery
        self.rows = Rows()
        self.history = []
        upstream = OrderUpstream(
            "i-1", "votes", Resources(32000, 65536, 0), self.work_of, self.history
        )
        self.worker = HttpWorker(upstream)
        self.ports = {
            name: free_port(ENTRY) for name in ("link", "front", "ready", "control")
        }
        self.processes = {}

    def work_of(self, payload):
        return Resources(3100, 64, 0), float(payload)

    async def start(self):
        value = base64.b64encode(msgspec.json.encode(CONFIG)).decode()
        self.rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})
        store = await self.serve(self.rows.handle)
        worker = await self.serve(self.worker.handle)
        self.worker.address = f"127.0.0.1:{worker}"
        self.nursery.start_soon(self.worker.upstream.run)
        self.nursery.start_soon(self.worker.report, AGENT, self.ports["control"], 0.3)
        self.store = store
        self.run("entry", ENTRY, "edge,control_plane")
        self.run("agent", AGENT, "side")
        await self.until_ready()

    async def serve(self, handler):
        server = HttpServer("127.0.0.1", 0, handler)
        self.nursery.start_soon(server.run)
        await server.wait_open()
        return server.port

    def run(self, role, host, serves):
        ports = self.ports
        settings = self.folder / f"{role}.conf"
        settings.write_text(
            f"node_name={role}-1\nserves={serves}\nip={host}\nzone=north\n"
            f"listen_addrs.frontend={host}:{ports['front']}\n"
            f"listen_addrs.ready={host}:{ports['ready']}\n"
            f"listen_addrs.control_plane={host}:{ports['control']}\n"
            f"internal_ports={ports['link']},{ports['link']}\n"
            f"seed_nodes={ENTRY}:{ports['control']}\n"
            f"bounds.grace_s=6\nplatform.address=127.0.0.1:{self.store}\n"
        )
        with open(self.folder / f"{role}.log", "ab") as log:
            self.processes[role] = subprocess.Popen(
                [sys.executable, "-m", "bergamotcourse.platform", role],
                env={**os.environ, "BERGAMOTCOURSE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    async def ask(self, port, request, timeout):
        client = HttpClient(ENTRY, self.ports[port])
        try:
            return await client.request(request, timeout)
        finally:
            with trio.CancelScope(shield=True):
                await client.aclose()

    async def until_ready(self):
        request = HttpRequest("GET", "/bergamotcourse/ready")
        while True:
            ready = await self.ask("ready", request, 1.0)
            if ready.is_ok() and ready.ok.status == 200 and self.worker.upstream.token:
                return
            await trio.sleep(0.05)

    async def submit(self, number, work, tasks=3):
        return (await self.ask("front", job(number, work, tasks), 25.0)).ok

    async def until_told(self, role, kind):
        while not any(event["event"] == kind for event in self.events(role)):
            await trio.sleep(0.02)

    async def until_ended(self, role):
        while self.processes[role].poll() is None:
            await trio.sleep(0.05)
        return self.processes[role].returncode

    def events(self, role):
        lines = (self.folder / f"{role}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


@asynccontextmanager
async def running(folder):
    with trio.fail_after(PATIENCE_SECONDS):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(folder, nursery)
            try:
                await cluster.start()
                yield cluster
            finally:
                cluster.end()
                nursery.cancel_scope.cancel()


class TestProcesses:
    def test_a_job_runs_and_each_decision_is_told(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                answer = await cluster.submit(1, 0.1)
                assert answer.status == 200
                assert msgspec.json.decode(answer.body) == {"state": "succeeded"}
                assert len(cluster.history) == 3
                await trio.sleep(0.3)
                told = [e for e in cluster.events("entry") if "request" in e]
                kinds = {e["event"] for e in told if e["request"] == f"{1:016x}"}
                assert kinds == {"job.taken", "task.placed", "job.settled"}

        trio.run(main)

    def test_a_planned_stop_of_the_entry_cuts_nothing(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                answers = []

                async def submit():
                    answers.append(await cluster.submit(2, 1.5))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit)
                    while not cluster.history:
                        await trio.sleep(0.02)
                    cluster.processes["entry"].send_signal(signal.SIGHUP)
                    cluster.processes["entry"].send_signal(signal.SIGTERM)
                assert answers[0].status == 200
                assert await cluster.until_ended("entry") == 0
                kinds = [e["event"] for e in cluster.events("entry")]
                assert "settings.reloaded" in kinds
                assert kinds[-1] == "process.stop"

        trio.run(main)

    def test_a_stopping_entry_serves_open_connections_once_more(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                client = HttpClient(ENTRY, cluster.ports["front"])
                before = (await client.request(job(5, 0.05), 25.0)).ok
                assert len(client.idle) == 1
                cluster.processes["entry"].send_signal(signal.SIGTERM)
                await cluster.until_told("entry", "entry.stopping")
                after = (await client.request(job(6, 0.05), 25.0)).ok
                assert (before.status, after.status) == (200, 200)
                assert not client.idle

        trio.run(main)

    def test_a_planned_stop_of_the_agent_finishes_what_runs(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                answers = []

                async def submit():
                    answers.append(await cluster.submit(3, 1.0))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit)
                    while not cluster.history:
                        await trio.sleep(0.02)
                    cluster.processes["agent"].send_signal(signal.SIGTERM)
                assert answers[0].status == 200
                assert await cluster.until_ended("agent") == 0
                assert {run.kind.value for run in cluster.history} == {"done"}

        trio.run(main)

    def test_more_signals_change_nothing_to_the_very_end(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                for role in ("agent", "entry"):
                    process = cluster.processes[role]
                    while process.poll() is None:
                        process.send_signal(signal.SIGTERM)
                        await trio.sleep(0.002)
                    assert process.returncode == 0

        trio.run(main)

    def test_a_killed_agent_finds_its_upstream_again(self, tmp_path):
        async def main():
            async with running(tmp_path) as cluster:
                cluster.processes["agent"].kill()
                cluster.processes["agent"].wait()
                cluster.run("agent", AGENT, "side")
                while not any(
                    e["event"] in ("upstream.found", "upstream.recalled")
                    for e in cluster.events("agent")[3:]
                ):
                    await trio.sleep(0.1)
                answer = await cluster.submit(4, 0.1)
                assert answer.status == 200

        trio.run(main)

    def test_faulty_settings_are_one_clean_line(self, tmp_path):
        settings = tmp_path / "node.conf"
        settings.write_text("node_name=x\n")
        done = subprocess.run(
            [sys.executable, "-m", "bergamotcourse.platform", "entry"],
            env={**os.environ, "BERGAMOTCOURSE_CONFIG": str(settings)},
            capture_output=True,
            text=True,
            timeout=PATIENCE_SECONDS,
        )
        assert done.returncode == 1
        assert len(done.stderr.splitlines()) == 1
        assert "ip is missing" in done.stderr
