"""The store's client, against a stand-in for the store."""

import base64

import msgspec
import trio
import trio.testing
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.errors import Step
from bergamotcourse.ids import LinkAddress, ServiceName, UpstreamId, ZoneName
from bergamotcourse.platform.store import MAX_LIST_PAGES, DecodedRows, Store
from bergamotcourse.protocol.job_store import HistoryGoneError, ListTooLongError
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import ZoneChange
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.state.resources import Resources
from bergamotcourse.tests.platform.standins import StoreStandIn
from bergamotcourse.transport.http import HttpError, Sent
from bergamotcourse.transport.http_json import json_answer
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


def with_store(rows, scenario):
    """Run a scenario with a client of the store, and return what it logged."""
    lines = []

    async def main():
        server = HttpServer("127.0.0.1", 0, rows.handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await server.wait_open()
            log = EventLog(lambda kind, fields: lines.append((kind, fields)))
            store = Store(Endpoint("127.0.0.1", server.port), log)
            try:
                await scenario(store)
            finally:
                await store.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return lines


def evacuate(rows, *zones):
    """Evacuate zones in one transaction."""
    put = [
        {"table": "op", "key": f"evacuate/{zone}", "value": "e30="} for zone in zones
    ]
    rows.transact({"put": put})


class TestConfig:
    def test_no_configuration_changes_after_the_read_position(self):
        rows = StoreStandIn()
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def scenario(store):
            read = (await store.read_config(1.0)).ok
            assert (read.content, read.position) == (b"{}", 1)
            changes = (await store.wait_for_config_changes(1, 0.0, 1.0)).ok
            assert changes.content is None

        with_store(rows, scenario)

    def test_last_of_several_changes_is_returned(self):
        """The store's feed has each change, and only the last is in force."""
        rows = StoreStandIn()
        for content in (b"1", b"2", b"3"):
            value = base64.b64encode(content).decode()
            rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def scenario(store):
            assert (await store.wait_for_config_changes(1, 0.0, 1.0)).ok.content == b"3"

        with_store(rows, scenario)

    def test_read_returns_all_evacuated_zones(self):
        """The key names the zone, whatever the row's value."""
        rows = StoreStandIn()
        put = [
            {"table": "op", "key": f"evacuate/{zone}", "value": value}
            for zone, value in [("north", "e30="), ("south", "?"), ("", "e30=")]
        ]
        rows.transact({"put": put})

        async def scenario(store):
            read = (await store.read_config(1.0)).ok
            assert read.is_snapshot
            assert [change.zone for change in read.zones] == ["north", "south"]

        with_store(rows, scenario)

    def test_changes_include_ended_evacuations(self):
        rows = StoreStandIn()
        for zone in ("north", "south"):
            row = {"table": "op", "key": f"evacuate/{zone}", "value": "e30="}
            rows.transact({"put": [row]})
        rows.transact({"remove": [{"table": "op", "key": "evacuate/north"}]})

        async def scenario(store):
            read = (await store.wait_for_config_changes(1, 0.0, 1.0)).ok
            assert not read.is_snapshot
            assert read.zones == (
                ZoneChange(ZoneName("south"), True, 2),
                ZoneChange(ZoneName("north"), False, 3),
            )

        with_store(rows, scenario)

    def test_all_changes_of_a_transaction_have_its_version(self):
        rows = StoreStandIn()
        evacuate(rows, "north", "south")

        async def scenario(store):
            read = (await store.wait_for_config_changes(0, 0.0, 1.0)).ok
            assert read.position == 1
            assert read.zones == (
                ZoneChange(ZoneName("north"), True, 1),
                ZoneChange(ZoneName("south"), True, 1),
            )

        with_store(rows, scenario)

    def test_page_that_ends_inside_a_transaction_leaves_it_to_the_next(self):
        """Guards against changes that are skipped as their version was reached."""
        rows = StoreStandIn()
        rows.page_rows = 2
        evacuate(rows, "north")
        evacuate(rows, "east", "south")

        async def scenario(store):
            first = (await store.wait_for_config_changes(0, 0.0, 1.0)).ok
            assert first.position == 1
            assert [change.zone for change in first.zones] == ["north"]
            second = (await store.wait_for_config_changes(1, 0.0, 1.0)).ok
            assert second.position == 2
            assert [change.zone for change in second.zones] == ["east", "south"]

        with_store(rows, scenario)

    def test_transaction_larger_than_a_page_requires_a_full_read(self):
        rows = StoreStandIn()
        rows.page_rows = 1
        evacuate(rows, "north", "south")

        async def scenario(store):
            result = await store.wait_for_config_changes(0, 0.0, 1.0)
            assert isinstance(result.error, HistoryGoneError)

        with_store(rows, scenario)

    def test_missing_configuration_is_none(self):
        async def scenario(store):
            assert (await store.read_config(1.0)).ok.content is None

        with_store(StoreStandIn(), scenario)

    def test_lost_history_is_a_distinct_error(self):
        rows = StoreStandIn()
        rows.status = 410

        async def scenario(store):
            result = await store.wait_for_config_changes(1, 0.0, 1.0)
            assert isinstance(result.error, HistoryGoneError)

        with_store(rows, scenario)

    def test_error_status_is_an_error(self):
        rows = StoreStandIn()
        rows.status = 503

        async def scenario(store):
            assert (await store.read_config(1.0)).is_error()
            assert (await store.put_entry(ENTRY, 1.0)).is_error()

        with_store(rows, scenario)


class TestEntries:
    def test_registered_entry_is_listed_until_removed(self):
        async def scenario(store):
            assert (await store.put_entry(ENTRY, 1.0)).is_ok()
            assert (await store.read_entries(1.0)).ok == [ENTRY]
            assert (await store.remove_entry(ENTRY, 1.0)).is_ok()
            assert (await store.read_entries(1.0)).ok == []

        with_store(StoreStandIn(), scenario)


class TestUpstreams:
    def test_stored_report_is_returned_unchanged(self):
        async def scenario(store):
            assert (await store.put_upstream(ENTRY, REPORT, 1.0)).is_ok()
            assert (await store.read_upstreams(1.0)).ok == {ENTRY: REPORT}

        with_store(StoreStandIn(), scenario)

    def test_agent_reads_only_its_own_row(self):
        rows = StoreStandIn()
        agents = [LinkAddress(f"udp://10.0.0.{number}:7720") for number in (1, 10, 2)]

        async def scenario(store):
            for agent in agents:
                await store.put_upstream(agent, REPORT, 1.0)
            for agent in agents:
                assert (await store.read_upstream(agent, 1.0)).ok == REPORT
                assert rows.returned == 1
            absent = LinkAddress("udp://10.0.0.3:7720")
            assert (await store.read_upstream(absent, 1.0)).ok is None

        with_store(rows, scenario)

    def test_undecodable_row_is_skipped(self):
        rows = StoreStandIn()
        rows.transact({"put": [{"table": "upstreams", "key": "x", "value": "AAAA"}]})

        async def scenario(store):
            assert (await store.read_upstreams(1.0)).ok == {}

        with_store(rows, scenario)


class StoreWithForeignRows(StoreStandIn):
    """A store in which some rows of a table were written by another program."""

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


UNUSABLE_ROWS = [
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
"""Rows whose key is not the address of a process, or that cannot be decoded."""


VALID_ROW = msgspec.json.encode({"key": ENTRY, "value": ""})


class TestUnusableRows:
    def test_are_skipped_among_entries(self):
        rows = StoreWithForeignRows("entries", UNUSABLE_ROWS)

        async def scenario(store):
            await store.put_entry(ENTRY, 1.0)
            assert (await store.read_entries(1.0)).ok == [ENTRY]
            assert (await store.read_entries(1.0)).ok == [ENTRY]

        lines = with_store(rows, scenario)
        assert len(lines) == len(UNUSABLE_ROWS)
        assert {kind for kind, _ in lines} == {"store.row_skipped"}

    def test_are_skipped_among_upstreams(self):
        unreadable = {"key": ENTRY, "value": base64.b64encode(b"\xc1\xff").decode()}
        rows = StoreWithForeignRows("upstreams", [*UNUSABLE_ROWS, unreadable])

        async def scenario(store):
            await store.put_upstream(ENTRY, REPORT, 1.0)
            assert (await store.read_upstreams(1.0)).ok == {ENTRY: REPORT}

        lines = with_store(rows, scenario)
        assert len(lines) == len(UNUSABLE_ROWS) + 1

    def test_do_not_change_the_configuration(self):
        foreign = [*UNUSABLE_ROWS, {"key": "config", "value": "%%"}]
        rows = StoreWithForeignRows("op", foreign)
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})

        async def scenario(store):
            assert (await store.read_config(1.0)).ok.content == b"{}"
            assert (
                await store.wait_for_config_changes(0, 0.0, 1.0)
            ).ok.content == b"{}"

        with_store(rows, scenario)

    def test_deeply_nested_row_does_not_hide_others(self):
        nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        store = Store(Endpoint("127.0.0.1", 1), EventLog())
        rows = [msgspec.Raw(nested), msgspec.Raw(VALID_ROW)]
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
    def test_arbitrary_rows_do_not_hide_a_valid_one(self, foreign):
        rows = [*map(msgspec.json.encode, foreign), VALID_ROW]
        store = Store(Endpoint("127.0.0.1", 1), EventLog())
        read = DecodedRows(1, store._decode_rows("entries", map(msgspec.Raw, rows)))
        assert ENTRY in store._entries_from_rows(read)
        assert store._upstreams_from_rows(read) == {}


TIMEOUT = 10.0
"""Seconds in which all pages of a list are read on a busy machine, too."""

FIRST_KEY = "0"
ROW_BYTES = 65_536
"""Most bytes of a row's value."""


def put_odd_rows(rows, table, count, value="e30="):
    """Write rows whose keys sort before all addresses."""
    put = [
        {"table": table, "key": f"{FIRST_KEY}{n:05}", "value": value}
        for n in range(count)
    ]
    rows.transact({"put": put})


class StoreThatChanges(StoreStandIn):
    """A store that is changed after it has answered a number of reads."""

    def __init__(self, reads, change):
        super().__init__()
        self.reads_before = reads
        self.change = change

    async def handle(self, request):
        response = await super().handle(request)
        if "rows-get" in request.target and self.reads == self.reads_before:
            self.change(self)
        return response


class SlowClient:
    """A client whose every request takes 0.25 s and returns a page of one entry.

    Attributes:
        pages: The number of pages.
        timeouts: The timeouts of the requests.
    """

    peer = "store"

    def __init__(self, pages):
        self.pages = pages
        self.timeouts = []

    async def request(self, request, timeout):
        self.timeouts.append(timeout)
        count = len(self.timeouts)
        await trio.sleep(min(0.25, timeout))
        if timeout < 0.25:
            return Error(HttpError(Step.RECEIVE, self.peer, "timed out", Sent.MAYBE))
        row = {"key": f"udp://10.0.0.{count}:7720"}
        body = {"ver": 1, "rows": [row], "has_more": count < self.pages}
        return Ok(json_answer(body))


class TestPages:
    def test_entry_after_500_odd_rows_is_listed(self):
        rows = StoreStandIn()
        put_odd_rows(rows, "entries", 500)

        async def scenario(store):
            await store.put_entry(ENTRY, TIMEOUT)
            assert (await store.read_entries(TIMEOUT)).ok == [ENTRY]

        with_store(rows, scenario)

    def test_report_after_500_odd_rows_is_read(self):
        rows = StoreStandIn()
        put_odd_rows(rows, "upstreams", 500)

        async def scenario(store):
            await store.put_upstream(ENTRY, REPORT, TIMEOUT)
            assert (await store.read_upstreams(TIMEOUT)).ok == {ENTRY: REPORT}

        with_store(rows, scenario)

    def test_report_after_a_megabyte_of_odd_rows_is_read(self):
        rows = StoreStandIn()
        value = base64.b64encode(bytes(ROW_BYTES)).decode()
        put_odd_rows(rows, "upstreams", 20, value)

        async def scenario(store):
            await store.put_upstream(ENTRY, REPORT, TIMEOUT)
            assert (await store.read_upstreams(TIMEOUT)).ok == {ENTRY: REPORT}

        with_store(rows, scenario)

    def test_configuration_and_zones_after_500_odd_rows_are_read(self):
        rows = StoreStandIn()
        put_odd_rows(rows, "op", 500)
        value = base64.b64encode(b"{}").decode()
        rows.transact({"put": [{"table": "op", "key": "config", "value": value}]})
        evacuate(rows, "north")

        async def scenario(store):
            read = (await store.read_config(TIMEOUT)).ok
            assert (read.content, read.position) == (b"{}", 3)
            assert [change.zone for change in read.zones] == ["north"]

        with_store(rows, scenario)

    def test_each_of_many_entries_is_listed_once(self):
        rows = StoreStandIn()
        rows.page_rows = 7
        addresses = sorted(f"udp://10.0.0.{n}:7720" for n in range(1, 40))
        put = [{"table": "entries", "key": key, "value": ""} for key in addresses]
        rows.transact({"put": put})

        async def scenario(store):
            assert (await store.read_entries(TIMEOUT)).ok == addresses

        with_store(rows, scenario)

    def test_list_of_one_page_takes_one_call(self):
        rows = StoreStandIn()
        put_odd_rows(rows, "entries", 500)

        async def scenario(store):
            assert (await store.read_entries(TIMEOUT)).ok == []
            assert (await store.read_config(TIMEOUT)).is_ok()

        with_store(rows, scenario)
        assert rows.reads == 2

    def test_page_that_fails_leaves_no_partial_list(self):
        def fail(rows):
            rows.status = 503

        rows = StoreThatChanges(1, fail)
        rows.page_rows = 2

        async def scenario(store):
            for number in (1, 2, 3):
                await store.put_entry(
                    LinkAddress(f"udp://10.0.0.{number}:7720"), TIMEOUT
                )
            error = (await store.read_entries(TIMEOUT)).error
            assert not isinstance(error, ListTooLongError)

        with_store(rows, scenario)

    def test_entry_removed_between_pages_hides_no_other(self):
        addresses = [LinkAddress(f"udp://10.0.0.{number}:7720") for number in (1, 2, 3)]

        def remove_second(rows):
            rows.transact({"remove": [{"table": "entries", "key": addresses[1]}]})

        rows = StoreThatChanges(1, remove_second)
        rows.page_rows = 2

        async def scenario(store):
            for address in addresses:
                await store.put_entry(address, TIMEOUT)
            listed = (await store.read_entries(TIMEOUT)).ok
            assert addresses[0] in listed
            assert addresses[2] in listed

        with_store(rows, scenario)

    def test_zones_that_change_between_pages_are_not_a_snapshot(self):
        """No version has both zones of this read: one ends before the other starts."""

        def move(rows):
            rows.transact({"remove": [{"table": "op", "key": "evacuate/east"}]})
            evacuate(rows, "west")

        rows = StoreThatChanges(1, move)
        rows.page_rows = 2
        evacuate(rows, "east", "north", "south")

        async def scenario(store):
            assert (await store.read_config(TIMEOUT)).is_error()
            read = (await store.read_config(TIMEOUT)).ok
            assert [change.zone for change in read.zones] == ["north", "south", "west"]

        with_store(rows, scenario)

    def test_changes_of_other_tables_leave_a_snapshot_valid(self):
        def announce(rows):
            rows.transact({"put": [{"table": "entries", "key": ENTRY, "value": ""}]})

        rows = StoreThatChanges(1, announce)
        rows.page_rows = 2
        evacuate(rows, "east", "north", "south")

        async def scenario(store):
            read = (await store.read_config(TIMEOUT)).ok
            assert (read.position, len(read.zones)) == (1, 3)

        with_store(rows, scenario)

    def test_list_of_too_many_pages_is_a_logged_error(self):
        rows = StoreStandIn()
        rows.page_rows = 3
        put_odd_rows(rows, "entries", 2 * MAX_LIST_PAGES + 2)

        async def scenario(store):
            result = await store.read_entries(TIMEOUT)
            assert isinstance(result.error, ListTooLongError)

        lines = with_store(rows, scenario)
        assert rows.reads == MAX_LIST_PAGES
        logged = [fields for kind, fields in lines if kind == "store.list_too_long"]
        assert logged == [{"table": "entries", "pages": MAX_LIST_PAGES}]

    def test_page_without_progress_is_an_error(self):
        rows = StoreStandIn()
        rows.page_rows = 1

        async def scenario(store):
            for number in (1, 2):
                await store.put_entry(
                    LinkAddress(f"udp://10.0.0.{number}:7720"), TIMEOUT
                )
            assert (await store.read_entries(TIMEOUT)).is_error()

        with_store(rows, scenario)
        assert rows.reads == 2

    def test_all_pages_share_the_timeout(self):
        async def main():
            store = Store(Endpoint("127.0.0.1", 1), EventLog())
            store.client = SlowClient(pages=4)
            assert len((await store.read_entries(1.0)).ok) == 4
            assert store.client.timeouts == [1.0, 0.75, 0.5, 0.25]

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_list_that_takes_too_much_time_is_too_long(self):
        async def main():
            store = Store(Endpoint("127.0.0.1", 1), EventLog(lambda *_: None))
            store.client = SlowClient(pages=6)
            result = await store.read_entries(1.1)
            assert isinstance(result.error, ListTooLongError)
            assert trio.current_time() == 1.1

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_each_odd_row_of_many_pages_is_logged_once(self):
        rows = StoreStandIn()
        put_odd_rows(rows, "entries", 1200)

        async def scenario(store):
            assert (await store.read_entries(TIMEOUT)).is_ok()
            assert (await store.read_entries(TIMEOUT)).is_ok()

        assert len(with_store(rows, scenario)) == 1200
