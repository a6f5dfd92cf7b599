"""The platform's store: the calls that the job dispatcher needs."""

import base64
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.job_store import ConfigRead, HistoryGoneError
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import HttpClient

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
ENTRY_TABLE = "entries"
UPSTREAM_TABLE = "upstreams"
HISTORY_GONE_STATUS = 410

JSON = ("content-type", "application/json")


class WireRow(msgspec.Struct):
    """A row; ``value`` is base64, and ``deleted`` marks a dropped one."""

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """The answer to a read; ``ver`` is the store's newest version."""

    ver: int
    rows: list[WireRow] = []
    has_more: bool = False


_report = msgspec.msgpack.Decoder(UpstreamReport)
_rows = msgspec.json.Decoder(WireRows)


class Store:
    """Calls to the store, each with a timeout; none is repeated here."""

    def __init__(self, where: Endpoint):
        self.client = HttpClient(where.host, where.port, connections=4)

    async def read_config(self, timeout: float) -> Result[ConfigRead, StepError]:
        """Return the configuration."""
        rows = await self._read(OPERATOR_TABLE, timeout)
        return rows.map(config_in)

    async def config_changes(
        self, after: int, wait: float, timeout: float
    ) -> Result[ConfigRead, StepError]:
        """Return the configuration if it changes within ``wait`` seconds."""
        fields = {"table": OPERATOR_TABLE, "after": after, "wait_ms": int(wait * 1000)}
        target = f"/bergamotcourse/rows-feed?{urlencode(fields)}"
        rows = await self._get(target, timeout)
        return rows.map(config_in)

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
        return rows.map(lambda read: [LinkAddress(row.key) for row in read.rows])

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
        return rows.map(upstreams_in)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def _put(
        self, table: str, key: str, value: bytes, timeout: float
    ) -> Result[None, StepError]:
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        return await self._transact({"put": [row]}, timeout)

    async def _read(self, table: str, timeout: float) -> Result[WireRows, StepError]:
        query = urlencode({"table": table, "part": ""})
        return await self._get(f"/bergamotcourse/rows-get?{query}", timeout)

    async def _get(self, target: str, timeout: float) -> Result[WireRows, StepError]:
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
            return Ok(_rows.decode(answer.ok.body))
        except ValueError as error:
            return Error(StepError(Step.DECODE, self.client.peer, str(error)))

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


def config_in(read: WireRows) -> ConfigRead:
    """Return the configuration among the rows of the operator's table."""
    for row in read.rows:
        if row.key == CONFIG_KEY and not row.deleted:
            return ConfigRead(read.ver, base64.b64decode(row.value))
    return ConfigRead(read.ver, None)


def upstreams_in(read: WireRows) -> dict[LinkAddress, UpstreamReport]:
    """Return the reports in the rows; one that cannot be read is passed over."""
    reports = {}
    for row in read.rows:
        try:
            value = base64.b64decode(row.value)
            reports[LinkAddress(row.key)] = _report.decode(value)
        except (ValueError, msgspec.MsgspecError):
            # Written by another version: the upstream's own report comes within 2 s.
            continue
    return reports
