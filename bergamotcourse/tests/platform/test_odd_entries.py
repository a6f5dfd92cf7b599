"""Real processes that read odd rows and reports of other programs."""

import base64

import msgspec
import trio

from bergamotcourse.tests.platform.cluster import send_request, submit_job
from bergamotcourse.tests.platform.odd_values import json_variants, row_variants
from bergamotcourse.tests.platform.test_processes import running_cluster
from bergamotcourse.tests.platform.test_store import REPORT
from bergamotcourse.transport.http import HttpRequest

LEARN_TIMEOUT_SECONDS = 20.0
"""Covers the start of a process on a busy machine, and two reads of the list."""

STRANGER = "udp://127.1.1.1:7720"

HEARTBEAT_PATH = "/bergamotcourse/Instances.Heartbeat/"


def link_address(node):
    host, port = node.addresses["link"]
    return f"udp://{host}:{port}"


def write_odd_rows(cluster, own_keys):
    """Write each variant of a report, some under the keys of running agents."""
    variants = row_variants(msgspec.to_builtins(REPORT))
    keys = own_keys + [f"udp://127.1.1.{n % 250}:{n + 1}" for n in range(len(variants))]
    ordered = sorted(variants.items(), key=lambda item: "unknown = deep" not in item[0])
    put = []
    for key, (_, value) in zip(keys, ordered, strict=False):
        row = {"key": key, "value": base64.b64encode(value).decode()}
        put += [{"table": "upstreams", **row}, {"table": "entries", **row}]
    for key in ("", "udp://127.1.1.1:65536", "x" * 200):
        put.append({"table": "upstreams", "key": key, "value": "not base64"})
        put.append({"table": "entries", "key": key, "value": ""})
    cluster.rows.transact({"put": put})


def write_entry_after_odd_rows(cluster):
    """Write a page of odd rows, and the row of an entry whose key sorts after them."""
    odd = [{"table": "entries", "key": f"0{n:03}", "value": ""} for n in range(500)]
    cluster.rows.transact({"put": odd})
    row = {"table": "entries", "key": STRANGER, "value": ""}
    cluster.rows.transact({"put": [row]})


async def wait_until_learned(node, peer):
    """Wait until a process has learned of an entry."""
    while not any(
        event["event"] == "peer.learned" and event["peer"] == peer
        for event in node.events()
    ):
        await trio.sleep(0.1)


async def send_odd_reports(cluster, agent):
    """Send each variant of the report of an agent's upstream."""
    worker = cluster.workers[agent.name]
    body = {**worker.report_body(worker.upstream), "remaining_ms": 1}
    for variant in json_variants(body).values():
        target = HEARTBEAT_PATH + worker.upstream.id
        request = HttpRequest("POST", target, [], variant)
        answer = await send_request(agent.addresses["control"], request, 5.0)
        assert answer.is_error() or answer.ok.status in (200, 400, 413)


def assert_running(*nodes):
    """Check that no process has ended by itself."""
    ended = [node.name for node in nodes if node.process.poll() is not None]
    assert ended == []


class TestOddEntries:
    def test_processes_that_read_odd_rows_and_reports_stay_up(self, tmp_path):
        """Guards against a process that ends again and again at a row it reads."""

        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                write_odd_rows(cluster, [link_address(agent)])
                for node in (agent, entry):
                    node.kill()
                    cluster.start_process(node)
                await cluster.wait_until_ready(entry)
                await trio.sleep(0.5)
                assert_running(entry, agent)
                assert (await submit_job(entry, 1, 0.1)).status == 200
                await send_odd_reports(cluster, agent)
                await trio.sleep(0.5)
                assert_running(entry, agent)
                assert (await submit_job(entry, 2, 0.1)).status == 200

        trio.run(main)

    def test_entry_whose_row_follows_a_page_of_odd_rows_is_learned(self, tmp_path):
        async def main():
            async with running_cluster(tmp_path) as (cluster, entry, agent):
                write_entry_after_odd_rows(cluster)
                entry.kill()
                cluster.start_process(entry)
                with trio.fail_after(LEARN_TIMEOUT_SECONDS):
                    await wait_until_learned(entry, STRANGER)
                await cluster.wait_until_ready(entry)
                assert (await submit_job(entry, 1, 0.1)).status == 200

        trio.run(main)
