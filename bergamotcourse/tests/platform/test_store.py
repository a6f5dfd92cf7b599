"""The store's calls, against an HTTP server that keeps rows as the store does."""

import base64

import trio

from bergamotcourse.ids import LinkAddress, ServiceName, UpstreamId, ZoneName
from bergamotcourse.platform.store import Store
from bergamotcourse.protocol.job_store import HistoryGoneError
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.standins import Rows
from bergamotcourse.transport.http_server import HttpServer

ENTRY = LinkAddress("tcp://10.0.0.1:7720")


def with_store(rows, use):
    async def main():
        server = HttpServer("127.0.0.1", 0, rows.handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await server.wait_open()
            store = Store(Endpoint("127.0.0.1", server.port))
            await use(store)
            await store.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestConfig:
    def test_is_read_with_the_position_of_its_changes(self):
        rows = Rows()
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def use(store):
            read = (await store.read_config(1.0)).ok
            assert (read.content, read.position) == (b"{}", 1)
            changes = (await store.config_changes(1, 0.0, 1.0)).ok
            assert changes.content is None

        with_store(rows, use)

    def test_there_may_be_none(self):
        async def use(store):
            assert (await store.read_config(1.0)).ok.content is None

        with_store(Rows(), use)

    def test_lost_history_is_told_apart(self):
        rows = Rows()
        rows.status = 410

        async def use(store):
            result = await store.config_changes(1, 0.0, 1.0)
            assert isinstance(result.error, HistoryGoneError)

        with_store(rows, use)

    def test_a_refusal_is_an_error(self):
        rows = Rows()
        rows.status = 503

        async def use(store):
            assert (await store.read_config(1.0)).is_error()
            assert (await store.put_entry(ENTRY, 1.0)).is_error()

        with_store(rows, use)


class TestEntries:
    def test_come_and_go(self):
        async def use(store):
            assert (await store.put_entry(ENTRY, 1.0)).is_ok()
            assert (await store.read_entries(1.0)).ok == [ENTRY]
            assert (await store.remove_entry(ENTRY, 1.0)).is_ok()
            assert (await store.read_entries(1.0)).ok == []

        with_store(Rows(), use)


class TestUpstreams:
    def test_are_kept_as_reported(self):
        report = UpstreamReport(
            UpstreamId("i-1"),
            ServiceName("votes"),
            "10.0.0.9:8080",
            ZoneName("north"),
            Resources(1, 2, 3),
            ("a", "rack-1"),
            False,
            4,
            1.5,
        )

        async def use(store):
            assert (await store.put_upstream(ENTRY, report, 1.0)).is_ok()
            assert (await store.read_upstreams(1.0)).ok == {ENTRY: report}

        with_store(Rows(), use)

    def test_one_that_cannot_be_read_is_passed_over(self):
        rows = Rows()
        rows.transact({"put": [{"table": "upstreams", "key": "x", "value": "AAAA"}]})

        async def use(store):
            assert (await store.read_upstreams(1.0)).ok == {}

        with_store(rows, use)
