"""The calls by which a worker takes orders; implements ``OrderPort``."""

import msgspec

from bergamotcourse.ids import Incarnation
from bergamotcourse.platform.settings_file import endpoint
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
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import Greeting, HttpClient

JSON = ("content-type", "application/json")
BOOT_HEADER = "bergamotcourse-expected-instance"
OTHER_BOOT_STATUS = 421
UNREADABLE_STATUS = 502
UNHEALTHY_STATUSES = (429, 503)

VERDICTS = {
    "fence": StartVerdict.FENCED,
    "old": StartVerdict.STALE,
    "late": StartVerdict.TOO_LATE,
    "room": StartVerdict.NO_ROOM,
}
ENDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.STOPPED,
    "alone": EndKind.STOPPED,
}

CONNECTIONS = 48
"""Of the 64 that a worker takes, some may still be closing."""

IDLE_SECONDS = 600.0
"""New connections to a worker are priced, kept ones are not."""


class WireStart(msgspec.Struct):
    """An order to start; ``until_ms`` is on the worker's clock."""

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class WireStop(msgspec.Struct):
    """An order to stop."""

    task: str
    run: int
    fencing_token: int


class WireHold(msgspec.Struct, omit_defaults=True):
    """A renewal of the lease; ``observed`` is the last end noted."""

    fencing_token: int
    observed: int = 0
    until_ms: int | None = None
    wait_ms: int | None = None


class WireReply(msgspec.Struct):
    """The answer to an order."""

    clock_ms: int | None = None
    reason: str = ""


class WireHolding(msgspec.Struct):
    """Rows of (task, run, saved, percent, ..) and of (number, task, run, how, ..).

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
    """

    clock_ms: int
    running: list[list] = []
    ended: list[list] = []
    born: int = 0


_reply = msgspec.json.Decoder(WireReply)
_holding = msgspec.json.Decoder(WireHolding)


class WorkerOrders:
    """Gives orders to one life of one worker.

    The worker itself refuses what is meant for another id, but not what is meant for a
    former life under its id. So each connection is used only once the process at its
    other end has told that it is the life that is meant.
    """

    def __init__(self, life: LifeKey, address: str, token: int):
        where = endpoint(address)
        self.life = life
        self.headers = [JSON, (BOOT_HEADER, life.upstream)]
        self.token = token
        self.client = HttpClient(
            where.host,
            where.port,
            connections=CONNECTIONS,
            idle_seconds=IDLE_SECONDS,
            greeting=self._greeting() if life.incarnation else None,
        )

    @classmethod
    def connect(cls, report: UpstreamReport, token: int) -> "WorkerOrders":
        """Return the port to a worker that has reported itself."""
        return cls(report.life, report.address, token)

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Order a run to start."""
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
        return StartReply(verdict_of(response), decode_reply(response).clock)

    async def stop(self, key: RunKey, timeout: float) -> bool:
        """Order a run to stop, or bar it; true once the worker said so."""
        body = WireStop(key.task, key.number, self.token)
        response = await self._call("run-stop", body, timeout)
        return response is not None and response.status == 200

    async def hold(
        self, noted: int, until: float | None, wait: float, timeout: float
    ) -> Holding | HoldFailure:
        """Note ends, renew the lease, and wait for an end."""
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

    def _greeting(self) -> Greeting:
        """Return a look at what runs, which tells the life that answers."""
        return Greeting(self._request("hold", WireHold(self.token)), self._refusal)

    def _refusal(self, response: HttpResponse) -> HttpResponse | None:
        """Return a refusal unless an answer is of the life that is meant."""
        if response.status != 200:
            return response
        holding = decode_holding(response.body)
        if not isinstance(holding, Holding):
            return HttpResponse(UNREADABLE_STATUS)
        is_meant = holding.incarnation in (0, self.life.incarnation)
        return None if is_meant else HttpResponse(OTHER_BOOT_STATUS)


class Reply(msgspec.Struct):
    """A decoded reply; the clock in seconds."""

    clock: float | None
    reason: str


def decode_reply(response: HttpResponse) -> Reply:
    """Return what a reply says; a body that is none says nothing."""
    try:
        wire = _reply.decode(response.body)
    except msgspec.DecodeError:
        return Reply(None, "")
    clock = None if wire.clock_ms is None else wire.clock_ms / 1000
    return Reply(clock, wire.reason)


def verdict_of(response: HttpResponse) -> StartVerdict:
    """Return the verdict that a status and a reason tell."""
    if response.status == 200:
        return StartVerdict.STARTED
    if response.status == OTHER_BOOT_STATUS:
        return StartVerdict.OTHER_BOOT
    if response.status in UNHEALTHY_STATUSES:
        return StartVerdict.UNHEALTHY
    if response.status == 409:
        return VERDICTS.get(decode_reply(response).reason, StartVerdict.INVALID)
    return StartVerdict.INVALID


def decode_holding(body: bytes) -> Holding | HoldFailure:
    """Return the holding in a body."""
    try:
        wire = _holding.decode(body)
        running = tuple(
            RunningRun(RunKey(TaskName(row[0]), row[1]), row[3] / 100)
            for row in wire.running
        )
        ended = tuple(
            EndedRun(row[0], RunKey(TaskName(row[1]), row[2]), ENDS[row[3]])
            for row in wire.ended
        )
    except (msgspec.DecodeError, LookupError, TypeError):
        return HoldFailure.REFUSED
    return Holding(wire.clock_ms / 1000, running, ended, Incarnation(wire.born))
