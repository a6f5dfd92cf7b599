"""One entry and one agent as real processes, with a stand-in worker and store."""

import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import msgspec
import trio

from bergamotcourse.daemons.job_entry import BALANCER_REACTION_SECONDS
from bergamotcourse.tests.platform.cluster import Cluster, make_job, submit_job
from bergamotcourse.transport.http_client import HttpClient

TEST_TIMEOUT_SECONDS = 60.0
"""Covers the start of processes, and the test itself, on a busy machine."""


@asynccontextmanager
async def running_cluster(folder):
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(folder, nursery)
            try:
                await cluster.start()
                yield cluster, cluster.nodes["entry-1"], cluster.nodes["agent-1"]
            finally:
                cluster.shut_down()
                nursery.cancel_scope.cancel()


@asynccontextmanager
async def submitted_job(cluster, entry, number, work):
    """Submit a job, enter once a task runs, and leave when the job is answered."""
    answers = []

    async def call():
        answers.append(await submit_job(entry, number, work))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        while not cluster.history:
            await trio.sleep(0.02)
        yield answers


class TestProcesses:
    def test_job_runs_and_each_decision_is_logged(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                answer = await submit_job(entry, 1, 0.1)
                assert answer.status == 200
                assert msgspec.json.decode(answer.body) == {"state": "succeeded"}
                assert len(cluster.history) == 3
                await trio.sleep(0.3)
                logged = [e for e in entry.events() if "request" in e]
                kinds = {e["event"] for e in logged if e["request"] == f"{1:016x}"}
                assert kinds == {
                    "job.taken",
                    "task.placed",
                    "job.settled",
                    "job.answered",
                }

        trio.run(main)

    def test_planned_stop_of_entry_completes_running_job(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                async with submitted_job(cluster, entry, 2, 1.5) as answers:
                    entry.send_signal(signal.SIGHUP)
                    entry.send_signal(signal.SIGTERM)
                assert answers[0].status == 200
                assert await entry.wait_until_ended() == 0
                kinds = [e["event"] for e in entry.events()]
                assert "settings.reloaded" in kinds
                assert kinds[-1] == "process.stop"

        trio.run(main)

    def test_stopping_entry_serves_one_more_request_per_connection(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                client = HttpClient(*entry.addresses["front"])
                before = (await client.request(make_job(5, 0.05), 25.0)).ok
                assert len(client.idle) == 1
                entry.send_signal(signal.SIGTERM)
                await entry.wait_for_log_event("entry.stopping")
                after = (await client.request(make_job(6, 0.05), 25.0)).ok
                assert (before.status, after.status) == (200, 200)
                assert not client.idle

        trio.run(main)

    def test_stopping_entry_completes_partly_received_request(self, tmp_path):
        """The entry reads the rest of the request, runs the job and answers."""

        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                request = make_job(7, 0.8)
                head = "".join(
                    f"{name}: {value}\r\n" for name, value in request.headers
                )
                size = f"content-length: {len(request.body)}\r\n\r\n"
                start = f"POST {request.target} HTTP/1.1\r\n{head}{size}"
                stream = await trio.open_tcp_stream(*entry.addresses["front"])
                await stream.send_all(start.encode())
                entry.send_signal(signal.SIGTERM)
                await entry.wait_for_log_event("entry.stopping")
                await trio.sleep(BALANCER_REACTION_SECONDS + 0.2)
                await stream.send_all(request.body)
                answer = b"".join([data async for data in stream])
                await stream.aclose()
                assert answer.startswith(b"HTTP/1.1 200 ")
                assert await entry.wait_until_ended() == 0

        trio.run(main)

    def test_planned_stop_of_agent_completes_running_tasks(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                async with submitted_job(cluster, entry, 3, 1.0) as answers:
                    agent.send_signal(signal.SIGTERM)
                assert answers[0].status == 200
                assert await agent.wait_until_ended() == 0
                assert {run.kind.value for run in cluster.history} == {"done"}

        trio.run(main)

    def test_repeated_signals_do_not_disturb_a_planned_stop(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                for node in (agent, entry):
                    while node.process.poll() is None:
                        node.send_signal(signal.SIGTERM)
                        await trio.sleep(0.002)
                    assert node.process.returncode == 0

        trio.run(main)

    def test_restarted_agent_finds_its_upstream(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                agent.kill()
                cluster.start_process(agent)
                while not any(
                    e["event"] in ("upstream.found", "upstream.recalled")
                    for e in agent.events()[3:]
                ):
                    await trio.sleep(0.1)
                answer = await submit_job(entry, 4, 0.1)
                assert answer.status == 200

        trio.run(main)

    def test_faulty_settings_are_reported_in_one_line(self, tmp_path):
        settings = tmp_path / "node.conf"
        settings.write_text("node_name=x\n")
        done = subprocess.run(
            [sys.executable, "-m", "bergamotcourse.platform.entry"],
            env={**os.environ, "BERGAMOTCOURSE_CONFIG": str(settings)},
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_SECONDS,
        )
        assert done.returncode == 1
        assert len(done.stderr.splitlines()) == 1
        assert "ip is missing" in done.stderr
