"""Client of the platform's store, with the calls that the job dispatcher needs."""

import base64
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import trio
from expression import Error, Ok, Result

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import LinkAddress, ZoneName
from bergamotcourse.protocol.job_store import (
    ConfigRead,
    HistoryGoneError,
    ListTooLongError,
)
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.addresses import is_address
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.evacuations import ZoneChange
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.state.ranges import MAX_AMOUNT, Count
from bergamotcourse.state.resources import NO_RESOURCES, Resources
from bergamotcourse.transport.datagram_link import SCHEME
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import Connect, HttpClient

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ENTRY_TABLE = "entries"
UPSTREAM_TABLE = "upstreams"
HISTORY_GONE_STATUS = 410

MAX_LIST_PAGES = 8
"""Bounds the memory and the calls that a list takes; a page has up to 1 MB."""

MAX_CONNECTIONS = 4
"""One for each component of a process that calls the store."""

SINGLE_KEY_RANGE_SUFFIX = "!"
"""Appended to a key, gives the exclusive end of a range that has only that key.

It sorts before all characters of an address, so no longer key falls into the range.
"""

MAX_LOGGED_ROW_BYTES = 80
"""Bytes of an undecodable row that are logged, so that it can be found."""

MAX_LOGGED_KEY_CHARACTERS = 200
"""Other programs' rows may have longer keys than any process's address."""

MAX_LOGGED_ERROR_CHARACTERS = 200
"""Errors may contain texts of the row."""

MAX_REMEMBERED_SKIPPED_ROWS = 12_000
"""Rows remembered so that each is logged once; above it some are logged again.

Three lists of ``MAX_LIST_PAGES`` pages have this many rows.
"""

JSON = ("content-type", "application/json")


class WireRow(msgspec.Struct):
    """A row; ``value`` is in base64, and ``deleted`` marks a row that was removed."""

    key: str
    ver: Count = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """The answer to a read; ``ver`` is the store's newest version.

    Rows are decoded one by one: other programs write to the store too, and a malformed
    row must not hide the others.

    Attributes:
        has_more: The answer is a page, after which more rows follow.
    """

    ver: Count
    rows: list[msgspec.Raw] = []
    has_more: bool = False


@dataclass(frozen=True)
class DecodedRows:
    """The rows of an answer that could be decoded.

    Attributes:
        version: The store's newest version; that of the first page if there are more.
        has_more: More rows follow.
        pages: Number of pages that were read, each as of a moment of its own.
    """

    version: int
    rows: list[WireRow]
    has_more: bool = False
    pages: int = 1

    def whole_transactions(self) -> "DecodedRows":
        """Return the rows of changes up to a version of which no change is missing.

        A page may end inside a transaction, whose rows all have the same version.
        """
        if not self.has_more:
            return self
        last = max((row.ver for row in self.rows), default=1)
        rows = [row for row in self.rows if row.ver < last]
        return DecodedRows(last - 1, rows)

    def last_key(self) -> str | None:
        """Return the key of the last row, if there is one."""
        return self.rows[-1].key if self.rows else None

    def extended_by(self, page: "DecodedRows") -> "DecodedRows":
        """Return these rows with those of the next page.

        That page begins with the last row of these, unless it was removed.
        """
        last = self.last_key()
        rows = [row for row in page.rows if last is None or row.key > last]
        return replace(
            self,
            rows=self.rows + rows,
            has_more=page.has_more,
            pages=self.pages + 1,
        )


T = TypeVar("T")

MAX_RESOURCES = Resources(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT)

_report_decoder = msgspec.msgpack.Decoder(UpstreamReport)
_rows_decoder = msgspec.json.Decoder(WireRows)
_row_decoder = msgspec.json.Decoder(WireRow)


class Store:
    """Calls to the store, each with a timeout in seconds; implements ``JobStore``.

    Failed calls are not retried here.

    Attributes:
        logged_skipped_rows: Table, key and version of rows that could not be decoded
            and were logged.
    """

    def __init__(
        self, endpoint: Endpoint, log: EventLog, connect: Connect = trio.open_tcp_stream
    ):
        self.client = HttpClient(
            endpoint.host,
            endpoint.port,
            MAX_CONNECTIONS,
            connect=connect,
            close_idle_on_timeout=True,
        )
        self.log = log
        self.logged_skipped_rows: set[tuple[str, str, int]] = set()

    async def read_config(self, timeout: float) -> Result[ConfigRead, StepError]:
        """Return the configuration and all evacuated zones."""
        deadline = trio.current_time() + timeout
        rows = await self._read_table(OPERATOR_TABLE, deadline)
        if rows.is_ok() and rows.ok.pages > 1:
            rows = await self._require_unchanged(OPERATOR_TABLE, rows.ok, deadline)
        return rows.map(lambda read: self._config_from_rows(read, is_snapshot=True))

    async def wait_for_config_changes(
        self, after: int, wait: float, timeout: float
    ) -> Result[ConfigRead, StepError]:
        """Return changes of the configuration and of evacuations since a version.

        Args:
            after: The version after which changes are returned.
            wait: Seconds for which the store waits for a change.
            timeout: Seconds until the call fails.

        The error is a ``HistoryGoneError`` if the store no longer has all changes
        since that version, or they do not fit into its answer.
        """
        rows = await self._get_changes(OPERATOR_TABLE, after, wait, timeout)
        if rows.is_error():
            return rows
        read = rows.ok.whole_transactions()
        if rows.ok.has_more and read.version <= after:
            return self._history_gone("a transaction is larger than a page")
        return Ok(self._config_from_rows(read, is_snapshot=False))

    async def put_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Register an entry."""
        return await self._put_row(ENTRY_TABLE, address, b"", timeout)

    async def remove_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Remove the registration of an entry."""
        row = {"table": ENTRY_TABLE, "part": "", "key": address}
        return await self._transact({"remove": [row]}, timeout)

    async def read_entries(
        self, timeout: float
    ) -> Result[list[LinkAddress], StepError]:
        """Return the registered entries."""
        rows = await self._read_table(ENTRY_TABLE, trio.current_time() + timeout)
        return rows.map(self._entries_from_rows)

    async def put_upstream(
        self, agent: LinkAddress, report: UpstreamReport, timeout: float
    ) -> Result[None, StepError]:
        """Store the report of an upstream for the agent's next process."""
        value = msgspec.msgpack.encode(report)
        return await self._put_row(UPSTREAM_TABLE, agent, value, timeout)

    async def read_upstreams(
        self, timeout: float
    ) -> Result[dict[LinkAddress, UpstreamReport], StepError]:
        """Return the last stored report of each upstream, by agent."""
        rows = await self._read_table(UPSTREAM_TABLE, trio.current_time() + timeout)
        return rows.map(self._upstreams_from_rows)

    async def read_upstream(
        self, agent: LinkAddress, timeout: float
    ) -> Result[UpstreamReport | None, StepError]:
        """Return the last stored report of one agent's upstream."""
        key_range = {"from": agent, "to": agent + SINGLE_KEY_RANGE_SUFFIX}
        rows = await self._get_page(UPSTREAM_TABLE, key_range, timeout)
        return rows.map(lambda read: self._upstreams_from_rows(read).get(agent))

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def _put_row(
        self, table: str, key: str, value: bytes, timeout: float
    ) -> Result[None, StepError]:
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        return await self._transact({"put": [row]}, timeout)

    async def _read_table(
        self, table: str, deadline: float
    ) -> Result[DecodedRows, StepError]:
        """Return all rows of a table, in the order of their keys.

        A row that stays in the table while its pages are read is never missing. One
        that is written or removed meanwhile may be.

        The error is a ``ListTooLongError`` if some pages were read, but not all within
        ``MAX_LIST_PAGES`` and the time.

        Args:
            table: The table.
            deadline: Time on trio's clock by which all pages must have been read.
        """
        result = await self._get_page(table, {}, seconds_until(deadline))
        while result.is_ok() and result.ok.has_more:
            result = await self._read_next_page(table, result.ok, deadline)
        return result

    async def _read_next_page(
        self, table: str, read: DecodedRows, deadline: float
    ) -> Result[DecodedRows, StepError]:
        """Return the rows that have been read with those of the next page."""
        if read.pages >= MAX_LIST_PAGES:
            return self._list_too_long(table, read.pages)
        # The key that follows the last one may be longer than the store allows, so the
        # next page begins with the last row again.
        key_range = {} if (last := read.last_key()) is None else {"from": last}
        page = await self._get_page(table, key_range, seconds_until(deadline))
        if page.is_error():
            late = seconds_until(deadline) == 0
            return self._list_too_long(table, read.pages) if late else page
        extended = read.extended_by(page.ok)
        if extended.has_more and extended.last_key() == last:
            return self._error(f"a page of {table} has no further rows")
        return Ok(extended)

    async def _require_unchanged(
        self, table: str, read: DecodedRows, deadline: float
    ) -> Result[DecodedRows, StepError]:
        """Return the rows, or an error if the table changed while they were read."""
        changes = await self._get_changes(
            table, read.version, 0.0, seconds_until(deadline)
        )
        if changes.is_error():
            return changes
        if changes.ok.rows or changes.ok.has_more:
            return self._error(f"{table} changed while its pages were read")
        return Ok(read)

    async def _get_page(
        self, table: str, key_range: dict[str, str], timeout: float
    ) -> Result[DecodedRows, StepError]:
        query = urlencode({"table": table, "part": ""} | key_range)
        return await self._get_rows(table, f"/bergamotcourse/rows-get?{query}", timeout)

    async def _get_changes(
        self, table: str, after: int, wait: float, timeout: float
    ) -> Result[DecodedRows, StepError]:
        fields = {"table": table, "after": after, "wait_ms": int(wait * 1000)}
        target = f"/bergamotcourse/rows-feed?{urlencode(fields)}"
        return await self._get_rows(table, target, timeout)

    async def _get_rows(
        self, table: str, target: str, timeout: float
    ) -> Result[DecodedRows, StepError]:
        answer = await self.client.request(HttpRequest("GET", target), timeout)
        if answer.is_error():
            return answer
        if answer.ok.status == HISTORY_GONE_STATUS:
            return self._history_gone("history is gone")
        if answer.ok.status != 200:
            return self._error(f"status {answer.ok.status}")
        try:
            read = decode_document(_rows_decoder, answer.ok.body)
        except ValueError as error:
            return Error(StepError(Step.DECODE, self.client.peer, str(error)))
        rows = self._decode_rows(table, read.rows)
        return Ok(DecodedRows(read.ver, rows, read.has_more))

    def _decode_rows(self, table: str, raw: list[msgspec.Raw]) -> list[WireRow]:
        return self._decode_each(
            table, raw, lambda row: decode_document(_row_decoder, row)
        )

    def _decode_each(
        self,
        table: str,
        rows: Iterable[msgspec.Raw | WireRow],
        decode: Callable[[Any], T],
    ) -> list[T]:
        """Return the decoded rows; one that cannot be decoded is logged and skipped.

        Other programs write rows too. Whatever one of them contains, it must neither
        hide the others nor end this process.
        """
        decoded = []
        for row in rows:
            try:
                decoded.append(decode(row))
            except Exception as error:
                self._log_skipped_row(table, row, error)
        return decoded

    def _log_skipped_row(
        self, table: str, row: msgspec.Raw | WireRow, error: Exception
    ) -> None:
        """Log a row that cannot be decoded, once for each version of it."""
        if not isinstance(row, WireRow):
            row = WireRow(bytes(row)[:MAX_LOGGED_ROW_BYTES].decode("latin-1"))
        key = row.key[:MAX_LOGGED_KEY_CHARACTERS]
        known = (table, key, row.ver)
        if known in self.logged_skipped_rows:
            return
        if len(self.logged_skipped_rows) >= MAX_REMEMBERED_SKIPPED_ROWS:
            self.logged_skipped_rows.clear()
        self.logged_skipped_rows.add(known)
        why = str(error)[:MAX_LOGGED_ERROR_CHARACTERS]
        self.log.write("store.row_skipped", table=table, key=key, why=why)

    def _config_from_rows(self, read: DecodedRows, is_snapshot: bool) -> ConfigRead:
        """Return the configuration and zone changes in rows of the operator's table."""
        return ConfigRead(
            read.version,
            self._latest_config_content(read),
            zone_changes_from_rows(read),
            is_snapshot,
            sum(row.key == CONFIG_KEY for row in read.rows),
        )

    def _latest_config_content(self, read: DecodedRows) -> bytes | None:
        """Return the last configuration in rows of the operator's table.

        The store's feed has each change of a row since a version, not only the last.
        """
        for row in reversed(read.rows):
            if row.key == CONFIG_KEY and not row.deleted:
                for content in self._decode_each(OPERATOR_TABLE, [row], decode_value):
                    return content
        return None

    def _entries_from_rows(self, read: DecodedRows) -> list[LinkAddress]:
        """Return the entries whose addresses are the keys of the rows."""
        return self._decode_each(
            ENTRY_TABLE, read.rows, lambda row: parse_link_address(row.key)
        )

    def _upstreams_from_rows(
        self, read: DecodedRows
    ) -> dict[LinkAddress, UpstreamReport]:
        """Return the upstreams' reports in the rows, by agent."""
        # Skipping a row is safe: the upstream itself reports within 2 s.
        return dict(self._decode_each(UPSTREAM_TABLE, read.rows, decode_report_row))

    async def _transact(self, body: dict, timeout: float) -> Result[None, StepError]:
        request = HttpRequest(
            "POST", "/bergamotcourse/rows-tx", [JSON], msgspec.json.encode(body)
        )
        answer = await self.client.request(request, timeout)
        if answer.is_error():
            return answer
        if answer.ok.status != 200:
            return self._error(f"status {answer.ok.status}")
        return Ok(None)

    def _history_gone(self, why: str) -> Result:
        return Error(HistoryGoneError(Step.STORE, self.client.peer, why))

    def _list_too_long(self, table: str, pages: int) -> Result:
        """Return the error of a list of which only some pages could be read."""
        self.log.write("store.list_too_long", table=table, pages=pages)
        why = f"only {pages} pages of {table} were read"
        return Error(ListTooLongError(Step.STORE, self.client.peer, why))

    def _error(self, why: str) -> Result:
        return Error(StepError(Step.STORE, self.client.peer, why))


def seconds_until(deadline: float) -> float:
    """Return the seconds until a time on trio's clock, 0 if it has passed."""
    return max(0.0, deadline - trio.current_time())


def zone_changes_from_rows(read: DecodedRows) -> tuple[ZoneChange, ...]:
    """Return the starts and ends of evacuations in rows of the operator's table.

    Only the key matters: a row with an undecodable value evacuates its zone, too.
    """
    changes = []
    for row in read.rows:
        zone = ZoneName(row.key.removeprefix(EVACUATION_PREFIX))
        if row.key.startswith(EVACUATION_PREFIX) and zone:
            version = row.ver or read.version
            changes.append(ZoneChange(zone, not row.deleted, version))
    return tuple(changes)


def decode_value(row: WireRow) -> bytes:
    """Return the value of a row.

    Raises:
        ValueError: It is not in base64.
    """
    return base64.b64decode(row.value, validate=True)


def decode_report_row(row: WireRow) -> tuple[LinkAddress, UpstreamReport]:
    """Return the agent and the upstream's report that a row contains.

    Raises:
        ValueError: The key is not the address of an agent, or the report is malformed.
    """
    report = decode_document(_report_decoder, decode_value(row))
    return parse_link_address(row.key), check_report(report)


def parse_link_address(key: str) -> LinkAddress:
    """Return the link address of the process that a row's key denotes.

    Raises:
        ValueError: The key is not a link address; contact with it would be
            attempted again and again.
    """
    if not key.startswith(SCHEME) or not is_address(key.removeprefix(SCHEME)):
        raise ValueError("the key is not the link address of a process")
    return LinkAddress(key)


def check_report(report: UpstreamReport) -> UpstreamReport:
    """Return the report if its address and its capacity are valid.

    Raises:
        ValueError: The address is not of the form ``IP:PORT``, or an amount is out of
            range.
    """
    capacity = report.capacity
    if not (NO_RESOURCES.fits(capacity) and capacity.fits(MAX_RESOURCES)):
        raise ValueError(f"capacity out of range: {capacity}")
    if not is_address(report.address):
        raise ValueError(f"not of the form IP:PORT: {report.address}")
    return report
