"""The platform's store: the calls that the job dispatcher needs."""

import base64
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
import trio
from expression import Error, Ok, Result

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import LinkAddress, ZoneName
from bergamotcourse.platform.documents import decode
from bergamotcourse.platform.settings_file import is_address
from bergamotcourse.protocol.job_store import ConfigRead, HistoryGoneError
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import ZoneChange
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.transport.datagram_link import SCHEME
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import Connect, HttpClient

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ENTRY_TABLE = "entries"
UPSTREAM_TABLE = "upstreams"
HISTORY_GONE_STATUS = 410

CONNECTIONS = 4
"""At most: one for each part of a process that calls the store."""

AFTER_KEY = "!"
"""Ends a range that has one key: sorts before all that stands in an address."""

MOST_KEY = 80
"""Bytes of an unreadable row that are logged, to find it by."""

MOST_SKIPPED = 1000
"""Rows that are told of once; beyond it some are told of again."""

JSON = ("content-type", "application/json")


class WireRow(msgspec.Struct):
    """A row; ``value`` is base64, and ``deleted`` marks a dropped one."""

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """The answer to a read; ``ver`` is the store's newest version.

    Rows are decoded one by one: others write to the store too, and what cannot be read
    of one row must not hide the rest.
    """

    ver: int
    rows: list[msgspec.Raw] = []


@dataclass(frozen=True)
class Rows:
    """The rows of a read that can be decoded."""

    version: int
    rows: list[WireRow]


_report = msgspec.msgpack.Decoder(UpstreamReport)
_rows = msgspec.json.Decoder(WireRows)
_row = msgspec.json.Decoder(WireRow)


class Store:
    """Calls to the store, each with a timeout; none is repeated here.

    Attributes:
        skipped: Rows that cannot be read and were logged: table, key, version.
    """

    def __init__(
        self, where: Endpoint, log: EventLog, connect: Connect = trio.open_tcp_stream
    ):
        self.client = HttpClient(
            where.host, where.port, CONNECTIONS, connect=connect, doubts_idle=True
        )
        self.log = log
        self.skipped: set[tuple[str, str, int]] = set()

    async def read_config(self, timeout: float) -> Result[ConfigRead, StepError]:
        """Return the configuration, and all zones that are evacuated."""
        rows = await self._read(OPERATOR_TABLE, timeout)
        return rows.map(lambda read: self._config_in(read, is_snapshot=True))

    async def wait_for_config_changes(
        self, after: int, wait: float, timeout: float
    ) -> Result[ConfigRead, StepError]:
        """Return what of these changes within ``wait`` seconds."""
        fields = {"table": OPERATOR_TABLE, "after": after, "wait_ms": int(wait * 1000)}
        target = f"/bergamotcourse/rows-feed?{urlencode(fields)}"
        rows = await self._get(OPERATOR_TABLE, target, timeout)
        return rows.map(lambda read: self._config_in(read, is_snapshot=False))

    async def put_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Make an entry known."""
        return await self._put(ENTRY_TABLE, address, b"", timeout)

    async def remove_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Withdraw an entry."""
        row = {"table": ENTRY_TABLE, "part": "", "key": address}
        return await self._transact({"remove": [row]}, timeout)

    async def read_entries(
        self, timeout: float
    ) -> Result[list[LinkAddress], StepError]:
        """Return the entries that have made themselves known."""
        rows = await self._read(ENTRY_TABLE, timeout)
        return rows.map(self._entries_in)

    async def put_upstream(
        self, agent: LinkAddress, report: UpstreamReport, timeout: float
    ) -> Result[None, StepError]:
        """Keep the report of an upstream for the next process of its agent."""
        value = msgspec.msgpack.encode(report)
        return await self._put(UPSTREAM_TABLE, agent, value, timeout)

    async def read_upstreams(
        self, timeout: float
    ) -> Result[dict[LinkAddress, UpstreamReport], StepError]:
        """Return the upstreams by agent, as last reported."""
        rows = await self._read(UPSTREAM_TABLE, timeout)
        return rows.map(self._upstreams_in)

    async def read_upstream(
        self, agent: LinkAddress, timeout: float
    ) -> Result[UpstreamReport | None, StepError]:
        """Return the upstream of one agent, as last reported."""
        rows = await self._read(UPSTREAM_TABLE, timeout, only=agent)
        return rows.map(lambda read: self._upstreams_in(read).get(agent))

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def _put(
        self, table: str, key: str, value: bytes, timeout: float
    ) -> Result[None, StepError]:
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        return await self._transact({"put": [row]}, timeout)

    async def _read(
        self, table: str, timeout: float, only: str = ""
    ) -> Result[Rows, StepError]:
        fields = {"table": table, "part": ""}
        if only:
            fields |= {"from": only, "to": only + AFTER_KEY}
        query = urlencode(fields)
        return await self._get(table, f"/bergamotcourse/rows-get?{query}", timeout)

    async def _get(
        self, table: str, target: str, timeout: float
    ) -> Result[Rows, StepError]:
        answer = await self.client.request(HttpRequest("GET", target), timeout)
        if answer.is_error():
            return answer
        if answer.ok.status == HISTORY_GONE_STATUS:
            return Error(
                HistoryGoneError(Step.STORE, self.client.peer, "history is gone")
            )
        if answer.ok.status != 200:
            return self._refused(answer.ok.status)
        try:
            read = decode(_rows, answer.ok.body)
        except ValueError as error:
            return Error(StepError(Step.DECODE, self.client.peer, str(error)))
        return Ok(Rows(read.ver, self._decode_rows(table, read.rows)))

    def _decode_rows(self, table: str, raw: list[msgspec.Raw]) -> list[WireRow]:
        rows = []
        for one in raw:
            try:
                rows.append(decode(_row, one))
            except ValueError as error:
                self._skip(
                    table, WireRow(bytes(one)[:MOST_KEY].decode("latin-1")), error
                )
        return rows

    def _skip(self, table: str, row: WireRow, error: Exception) -> None:
        """Tell once of a row that cannot be read."""
        known = (table, row.key, row.ver)
        if known in self.skipped:
            return
        if len(self.skipped) >= MOST_SKIPPED:
            self.skipped.clear()
        self.skipped.add(known)
        self.log.write("store.row_skipped", table=table, key=row.key, why=str(error))

    def _config_in(self, read: Rows, is_snapshot: bool) -> ConfigRead:
        """Return what the rows of the operator's table ask for."""
        return ConfigRead(
            read.version,
            self._content_in(read),
            zone_changes_in(read),
            is_snapshot,
            sum(row.key == CONFIG_KEY for row in read.rows),
        )

    def _content_in(self, read: Rows) -> bytes | None:
        """Return the last configuration among the rows of the operator's table.

        The store tells each change of a row since a position, not only the last.
        """
        for row in reversed(read.rows):
            if row.key == CONFIG_KEY and not row.deleted:
                try:
                    return base64.b64decode(row.value, validate=True)
                except ValueError as error:
                    self._skip(OPERATOR_TABLE, row, error)
        return None

    def _entries_in(self, read: Rows) -> list[LinkAddress]:
        """Return the entries that the rows name."""
        entries = []
        for row in read.rows:
            try:
                entries.append(link_address_in(row.key))
            except ValueError as error:
                self._skip(ENTRY_TABLE, row, error)
        return entries

    def _upstreams_in(self, read: Rows) -> dict[LinkAddress, UpstreamReport]:
        """Return the reports in the rows, by agent."""
        reports = {}
        for row in read.rows:
            try:
                value = base64.b64decode(row.value, validate=True)
                reports[link_address_in(row.key)] = check_report(_report.decode(value))
            except ValueError as error:
                # The upstream's own report comes within 2 s.
                self._skip(UPSTREAM_TABLE, row, error)
        return reports

    async def _transact(self, body: dict, timeout: float) -> Result[None, StepError]:
        request = HttpRequest(
            "POST", "/bergamotcourse/rows-tx", [JSON], msgspec.json.encode(body)
        )
        answer = await self.client.request(request, timeout)
        if answer.is_error():
            return answer
        if answer.ok.status != 200:
            return self._refused(answer.ok.status)
        return Ok(None)

    def _refused(self, status: int) -> Result:
        return Error(StepError(Step.STORE, self.client.peer, f"status {status}"))


def zone_changes_in(read: Rows) -> tuple[ZoneChange, ...]:
    """Return the zones that rows of the operator's table evacuate or take back.

    The key tells all: a row whose value cannot be read evacuates its zone, too.
    """
    changes = []
    for row in read.rows:
        zone = ZoneName(row.key.removeprefix(EVACUATION_PREFIX))
        if row.key.startswith(EVACUATION_PREFIX) and zone:
            version = row.ver or read.version
            changes.append(ZoneChange(zone, not row.deleted, version))
    return tuple(changes)


def link_address_in(key: str) -> LinkAddress:
    """Return the address of a process that a row's key is.

    Raises:
        ValueError: It is none; a greeting to it would be tried again and again.
    """
    if not key.startswith(SCHEME) or not is_address(key.removeprefix(SCHEME)):
        raise ValueError("the key is no address of a process")
    return LinkAddress(key)


def check_report(report: UpstreamReport) -> UpstreamReport:
    """Return a report that can be used.

    Raises:
        ValueError: Its address is none.
    """
    if not is_address(report.address):
        raise ValueError(f"not of the form IP:PORT: {report.address}")
    return report
