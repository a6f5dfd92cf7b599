"""Client of the HTTP interface by which a worker receives orders."""

from typing import Any

import msgspec

from bergamotcourse.ids import Incarnation
from bergamotcourse.platform.settings_file import parse_endpoint
from bergamotcourse.protocol.upstream_orders import (
    EndedRun,
    EndKind,
    HoldFailure,
    Holding,
    LifeKey,
    RunKey,
    RunningRun,
    StartOrder,
    StartReply,
    StartVerdict,
    UpstreamReport,
)
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.ranges import Count, Milliseconds, Number
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient, IdentityCheck

JSON = ("content-type", "application/json")
EXPECTED_INSTANCE_HEADER = "bergamotcourse-expected-instance"
OTHER_BOOT_STATUS = 421
UNREADABLE_REPLY_STATUS = 502
UNHEALTHY_STATUSES = (429, 503)

VERDICT_BY_REASON = {
    "fence": StartVerdict.FENCED,
    "old": StartVerdict.STALE,
    "late": StartVerdict.TOO_LATE,
    "room": StartVerdict.NO_ROOM,
}
END_KIND_BY_NAME = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.STOPPED,
    "alone": EndKind.STOPPED,
}

MAX_CONNECTIONS = 48
"""Below the 64 that a worker accepts, as some may still be closing."""

IDLE_SECONDS = 600.0
"""Long, because a new connection to a worker has a cost and a kept one has none."""


class WireStart(msgspec.Struct):
    """An order to start a run; ``until_ms`` is on the worker's clock."""

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class WireStop(msgspec.Struct):
    """An order to stop a run."""

    task: str
    run: int
    fencing_token: int


class WireHold(msgspec.Struct, omit_defaults=True):
    """A lease renewal; ``observed`` is the last ended run that is acknowledged."""

    fencing_token: int
    observed: int = 0
    until_ms: int | None = None
    wait_ms: int | None = None


class WireReply(msgspec.Struct):
    """The answer to an order to start a run, and to any order that is refused."""

    clock_ms: Milliseconds | None = None
    reason: str = ""


class WireRunning(msgspec.Struct, array_like=True):
    """A row of a run in progress; further columns are ignored."""

    task: str
    run: Count
    saved: Any
    percent: Number


class WireEnded(msgspec.Struct, array_like=True):
    """A row of an ended run; further columns are ignored."""

    number: Count
    task: str
    run: Count
    how: str


class WireHolding(msgspec.Struct):
    """The worker's running and ended runs.

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
    """

    clock_ms: Milliseconds
    running: list[WireRunning] = []
    ended: list[WireEnded] = []
    born: Count = 0


_reply_decoder = msgspec.json.Decoder(WireReply)
_holding_decoder = msgspec.json.Decoder(WireHolding)


class WorkerOrders:
    """Sends orders to one incarnation of one worker; implements ``OrderPort``.

    The worker itself refuses orders to another id, but not orders to a former
    incarnation under its id. So a connection is used only after the process at its
    other end has confirmed that it is the addressed incarnation.
    """

    def __init__(self, life: LifeKey, address: str, token: int):
        worker = parse_endpoint(address)
        self.life = life
        self.headers = [JSON, (EXPECTED_INSTANCE_HEADER, life.upstream)]
        self.token = token
        self.client = HttpClient(
            worker.host,
            worker.port,
            connections=MAX_CONNECTIONS,
            idle_seconds=IDLE_SECONDS,
            identity_check=self._incarnation_check() if life.incarnation else None,
        )

    @classmethod
    def connect(cls, report: UpstreamReport, token: int) -> "WorkerOrders":
        """Return the port to the worker that sent a report."""
        return cls(report.life, report.address, token)

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Order the worker to start a run.

        The verdict is ``UNKNOWN`` if the call failed or took longer than ``timeout``
        seconds.
        """
        body = WireStart(
            order.key.task,
            order.key.number,
            order.payload,
            int(order.until * 1000),
            self.token,
        )
        response = await self._call("run-start", body, timeout)
        if response is None:
            return StartReply(StartVerdict.UNKNOWN)
        return StartReply(decode_verdict(response), decode_reply(response).clock)

    async def stop(self, key: RunKey, timeout: float) -> bool:
        """Order the worker to stop a run, or to bar it if it has not started.

        Returns whether the worker confirmed the order within ``timeout`` seconds.
        """
        body = WireStop(key.task, key.number, self.token)
        response = await self._call("run-stop", body, timeout)
        return response is not None and response.status == 200

    async def hold(
        self, noted: int, until: float | None, wait: float, timeout: float
    ) -> Holding | HoldFailure:
        """Acknowledge ended runs, renew the lease, and wait for a run to end.

        Args:
            noted: The number of the last ended run that is acknowledged.
            until: When the lease expires, on the worker's clock in seconds; ``None``
                does not renew it.
            wait: Seconds for which the worker waits for a run to end.
            timeout: Seconds until the call fails.

        Returns the worker's running and ended runs, or why the call failed.
        """
        until_ms = None if until is None else int(until * 1000)
        body = WireHold(self.token, noted, until_ms, int(wait * 1000) or None)
        response = await self._call("hold", body, timeout)
        if response is None:
            return HoldFailure.NO_ANSWER
        if response.status == 200:
            return decode_holding(response.body)
        if response.status == OTHER_BOOT_STATUS:
            return HoldFailure.OTHER_BOOT
        fenced = decode_reply(response).reason == "fence"
        return HoldFailure.FENCED if fenced else HoldFailure.REFUSED

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def _call(
        self, name: str, body: msgspec.Struct, timeout: float
    ) -> HttpResponse | None:
        result = await self.client.request(self._request(name, body), timeout)
        return result.ok if result.is_ok() else None

    def _request(self, name: str, body: msgspec.Struct) -> HttpRequest:
        return HttpRequest(
            "POST",
            f"/bergamotcourse/{name}",
            list(self.headers),
            msgspec.json.encode(body),
        )

    def _incarnation_check(self) -> IdentityCheck:
        """Return the request that checks the incarnation on each new connection.

        It lists the worker's runs and renews no lease.
        """
        return IdentityCheck(
            self._request("hold", WireHold(self.token)), self._refuse_other_incarnation
        )

    def _refuse_other_incarnation(self, response: HttpResponse) -> HttpResponse | None:
        """Return a refusal unless the addressed incarnation may have answered."""
        if response.status != 200:
            return response
        holding = decode_holding(response.body)
        if not isinstance(holding, Holding):
            return HttpResponse(UNREADABLE_REPLY_STATUS)
        if holding.may_be_from(self.life):
            return None
        return HttpResponse(OTHER_BOOT_STATUS)


class DecodedReply(msgspec.Struct):
    """A decoded reply; ``clock`` is the worker's clock in seconds."""

    clock: float | None
    reason: str


def decode_reply(response: HttpResponse) -> DecodedReply:
    """Return the clock and reason in a reply; none if the body cannot be decoded."""
    try:
        wire = decode_document(_reply_decoder, response.body)
    except ValueError:
        return DecodedReply(None, "")
    clock = None if wire.clock_ms is None else wire.clock_ms / 1000
    return DecodedReply(clock, wire.reason)


def decode_verdict(response: HttpResponse) -> StartVerdict:
    """Return the verdict that the status and the reason of a response denote."""
    if response.status == 200:
        return StartVerdict.STARTED
    if response.status == OTHER_BOOT_STATUS:
        return StartVerdict.OTHER_BOOT
    if response.status in UNHEALTHY_STATUSES:
        return StartVerdict.UNHEALTHY
    if response.status == 409:
        return VERDICT_BY_REASON.get(
            decode_reply(response).reason, StartVerdict.INVALID
        )
    return StartVerdict.INVALID


def decode_holding(body: bytes) -> Holding | HoldFailure:
    """Return the runs in a body, or ``HoldFailure.REFUSED`` if it is malformed."""
    try:
        wire = decode_document(_holding_decoder, body)
        running = tuple(
            RunningRun(RunKey(TaskName(row.task), row.run), row.percent / 100)
            for row in wire.running
        )
        ended = tuple(
            EndedRun(
                row.number,
                RunKey(TaskName(row.task), row.run),
                END_KIND_BY_NAME[row.how],
            )
            for row in wire.ended
        )
    except (ValueError, KeyError):
        return HoldFailure.REFUSED
    return Holding(wire.clock_ms / 1000, running, ended, Incarnation(wire.born))
