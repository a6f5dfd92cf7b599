"""The store's calls, against an HTTP server that keeps rows as the store does."""

import base64

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.ids import LinkAddress, ServiceName, UpstreamId, ZoneName
from bergamotcourse.platform.store import Rows as StoreRows
from bergamotcourse.platform.store import Store
from bergamotcourse.protocol.job_store import HistoryGoneError
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import ZoneChange
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.standins import Rows
from bergamotcourse.transport.http_server import HttpServer

ENTRY = LinkAddress("udp://10.0.0.1:7720")
REPORT = UpstreamReport(
    id=UpstreamId("i-1"),
    service=ServiceName("votes"),
    address="10.0.0.9:8080",
    zone=ZoneName("north"),
    capacity=Resources(1, 2, 3),
    labels=("a", "rack-1"),
    draining=False,
    sequence=4,
    clock=1.5,
)


def with_store(rows, use):
    """Run a use of the store, and return what the store's client logged."""
    lines = []

    async def main():
        server = HttpServer("127.0.0.1", 0, rows.handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await server.wait_open()
            log = EventLog(lambda kind, fields: lines.append((kind, fields)))
            store = Store(Endpoint("127.0.0.1", server.port), log)
            try:
                await use(store)
            finally:
                await store.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return lines


class TestConfig:
    def test_is_read_with_the_position_of_its_changes(self):
        rows = Rows()
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def use(store):
            read = (await store.read_config(1.0)).ok
            assert (read.content, read.position) == (b"{}", 1)
            changes = (await store.wait_for_config_changes(1, 0.0, 1.0)).ok
            assert changes.content is None

        with_store(rows, use)

    def test_the_last_of_several_changes_is_taken(self):
        """The store tells each change, though only the last is in force."""
        rows = Rows()
        for content in (b"1", b"2", b"3"):
            value = base64.b64encode(content).decode()
            rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def use(store):
            assert (await store.wait_for_config_changes(1, 0.0, 1.0)).ok.content == b"3"

        with_store(rows, use)

    def test_comes_with_the_zones_that_are_evacuated(self):
        """The key tells the zone, whatever stands in the row."""
        rows = Rows()
        put = [
            {"table": "op", "key": f"evacuate/{zone}", "value": value}
            for zone, value in [("north", "e30="), ("south", "?"), ("", "e30=")]
        ]
        rows.transact({"put": put})

        async def use(store):
            read = (await store.read_config(1.0)).ok
            assert read.is_snapshot
            assert [change.zone for change in read.zones] == ["north", "south"]

        with_store(rows, use)

    def test_tells_which_zones_are_taken_back_since(self):
        rows = Rows()
        for zone in ("north", "south"):
            row = {"table": "op", "key": f"evacuate/{zone}", "value": "e30="}
            rows.transact({"put": [row]})
        rows.transact({"remove": [{"table": "op", "key": "evacuate/north"}]})

        async def use(store):
            read = (await store.wait_for_config_changes(1, 0.0, 1.0)).ok
            assert not read.is_snapshot
            assert read.zones == (
                ZoneChange(ZoneName("south"), True, 2),
                ZoneChange(ZoneName("north"), False, 3),
            )

        with_store(rows, use)

    def test_there_may_be_none(self):
        async def use(store):
            assert (await store.read_config(1.0)).ok.content is None

        with_store(Rows(), use)

    def test_lost_history_is_told_apart(self):
        rows = Rows()
        rows.status = 410

        async def use(store):
            result = await store.wait_for_config_changes(1, 0.0, 1.0)
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
        async def use(store):
            assert (await store.put_upstream(ENTRY, REPORT, 1.0)).is_ok()
            assert (await store.read_upstreams(1.0)).ok == {ENTRY: REPORT}

        with_store(Rows(), use)

    def test_an_agent_reads_its_own_alone(self):
        rows = Rows()
        agents = [LinkAddress(f"udp://10.0.0.{number}:7720") for number in (1, 10, 2)]

        async def use(store):
            for agent in agents:
                await store.put_upstream(agent, REPORT, 1.0)
            for agent in agents:
                assert (await store.read_upstream(agent, 1.0)).ok == REPORT
                assert rows.returned == 1
            absent = LinkAddress("udp://10.0.0.3:7720")
            assert (await store.read_upstream(absent, 1.0)).ok is None

        with_store(rows, use)

    def test_one_that_cannot_be_read_is_passed_over(self):
        rows = Rows()
        rows.transact({"put": [{"table": "upstreams", "key": "x", "value": "AAAA"}]})

        async def use(store):
            assert (await store.read_upstreams(1.0)).ok == {}

        with_store(rows, use)


class ForeignRows(Rows):
    """Rows of which some were written by others, in ways of their own."""

    def __init__(self, table, foreign):
        super().__init__()
        self.table = table
        self.foreign = foreign

    async def handle(self, request):
        if f"table={self.table}" in request.target:
            own = [{"key": key, "value": value} for key, value in self.own()]
            return self.answer([*self.foreign, *own])
        return await super().handle(request)

    def own(self):
        return [
            (key, value)
            for (table, key), (value, _) in self.rows.items()
            if table == self.table
        ]


FOREIGN_ROWS = [
    {"value": ""},
    {"key": 7, "value": "x"},
    {"key": "udp://10.0.0.9:7720", "value": [1]},
    {"key": "udp://nowhere:7720", "value": "AAAA"},
    {"key": "10.0.0.9:7720", "value": "AAAA"},
    {"key": "tcp://10.0.0.9:7720", "value": "AAAA"},
    {"key": "udp://10.0.0.9:99999", "value": "?"},
    {"key": "", "value": "", "ver": "x"},
    None,
    [],
    "row",
]
"""Rows that name no process of ours."""


OWN_ROW = msgspec.json.encode({"key": ENTRY, "value": ""})


class TestRowsOfAnotherWriter:
    def test_name_no_entry_and_hide_none(self):
        rows = ForeignRows("entries", FOREIGN_ROWS)

        async def use(store):
            await store.put_entry(ENTRY, 1.0)
            assert (await store.read_entries(1.0)).ok == [ENTRY]
            assert (await store.read_entries(1.0)).ok == [ENTRY]

        lines = with_store(rows, use)
        assert len(lines) == len(FOREIGN_ROWS)
        assert {kind for kind, _ in lines} == {"store.row_skipped"}

    def test_name_no_upstream_and_hide_none(self):
        unreadable = {"key": ENTRY, "value": base64.b64encode(b"\xc1\xff").decode()}
        rows = ForeignRows("upstreams", [*FOREIGN_ROWS, unreadable])

        async def use(store):
            await store.put_upstream(ENTRY, REPORT, 1.0)
            assert (await store.read_upstreams(1.0)).ok == {ENTRY: REPORT}

        lines = with_store(rows, use)
        assert len(lines) == len(FOREIGN_ROWS) + 1

    def test_leave_the_configuration_alone(self):
        foreign = [*FOREIGN_ROWS, {"key": "config", "value": "%%"}]
        rows = ForeignRows("op", foreign)
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def use(store):
            assert (await store.read_config(1.0)).ok.content == b"{}"
            assert (
                await store.wait_for_config_changes(0, 0.0, 1.0)
            ).ok.content == b"{}"

        with_store(rows, use)

    def test_nested_too_deep_to_be_read_hides_none(self):
        nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        store = Store(Endpoint("127.0.0.1", 1), EventLog())
        rows = [msgspec.Raw(nested), msgspec.Raw(OWN_ROW)]
        assert [row.key for row in store._decode_rows("entries", rows)] == [ENTRY]

    @given(
        st.lists(
            st.dictionaries(
                st.sampled_from(["key", "value", "ver", "deleted"]),
                st.none() | st.booleans() | st.integers() | st.text(max_size=9),
            ),
            max_size=4,
        )
    )
    def test_whatever_they_hold_the_others_are_read(self, foreign):
        rows = [*map(msgspec.json.encode, foreign), OWN_ROW]
        store = Store(Endpoint("127.0.0.1", 1), EventLog())
        read = StoreRows(1, store._decode_rows("entries", map(msgspec.Raw, rows)))
        assert ENTRY in store._entries_in(read)
        assert store._upstreams_in(read) == {}
