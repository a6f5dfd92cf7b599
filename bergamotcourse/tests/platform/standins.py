"""Stand-ins for the store and a worker, with the platform's HTTP protocol."""

from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    RunKey,
    StartOrder,
    StartVerdict,
)
from bergamotcourse.standins.order_upstream import (
    LATE_EXECUTION_SECONDS,
    OrderUpstream,
)
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_json import json_answer

REASONS = {
    StartVerdict.FENCED: "fence",
    StartVerdict.STALE: "old",
    StartVerdict.TOO_LATE: "late",
    StartVerdict.NO_ROOM: "room",
}


END_OF_KEYS = "\U0010ffff"

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
"""Most bytes of the rows in an answer of the store, unless a single row is larger."""

REPORT_TIMEOUT_SECONDS = 1.0
"""Time after which the platform's workers consider a report as not received."""


def report_request(upstream: str, body: dict) -> HttpRequest:
    """Return the request that sends a worker's report to its agent."""
    target = f"/bergamotcourse/Instances.Heartbeat/{upstream}"
    return HttpRequest("POST", target, [], msgspec.json.encode(body))


class StoreStandIn:
    """Stands in for the platform's store.

    Attributes:
        rows: Value and version, by table and key.
        history: All changes of rows, for the feed.
        returned: The number of rows in the last answer.
        reads: The number of reads, of rows and of the feed.
        status: The HTTP status of all answers; with 200 calls are served.
        page_rows: Most rows in an answer.
    """

    def __init__(self):
        self.rows = {}
        self.history = []
        self.returned = 0
        self.version = 0
        self.status = 200
        self.reads = 0
        self.page_rows = PAGE_ROWS
        self.changed = trio.lowlevel.ParkingLot()

    async def handle(self, request):
        if self.status != 200:
            return HttpResponse(self.status)
        parts = urlsplit(request.target)
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        if parts.path.endswith("rows-tx"):
            self.transact(msgspec.json.decode(request.body))
            return self.answer([])
        self.reads += 1
        if parts.path.endswith("rows-feed"):
            return self.answer(await self.wait_for_changes(query))
        rows = [
            {"table": table, "part": "", "key": key, "value": value, "ver": version}
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == query["table"]
            if query.get("from", "") <= key < query.get("to", END_OF_KEYS)
        ]
        return self.answer(rows)

    async def wait_for_changes(self, query):
        """Return the requested changes once there are any, or none after the wait."""
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not self.changes(query["table"], after):
                await self.changed.park()
        return self.changes(query["table"], after)

    def changes(self, table, after):
        """Return each change of a table since a version, in order."""
        return [
            row for row in self.history if row["table"] == table and row["ver"] > after
        ]

    def transact(self, call):
        self.version += 1
        for row in call.get("put", []):
            self.rows[row["table"], row["key"]] = (row["value"], self.version)
            self.history.append({**row, "part": "", "ver": self.version})
        for row in call.get("remove", []):
            if self.rows.pop((row["table"], row["key"]), None) is not None:
                dropped = {"part": "", "ver": self.version, "deleted": True}
                self.history.append({**row, **dropped})
        self.changed.unpark_all()

    def answer(self, rows):
        """Return an answer with the first page of some rows."""
        page = self.first_page(rows)
        self.returned = len(page)
        has_more = len(page) < len(rows)
        body = {"rows": page, "has_more": has_more, "ver": self.version, "now_ms": 1}
        return json_answer(body)

    def first_page(self, rows):
        """Return as many of the first rows as one answer may have."""
        size = 0
        for count, row in enumerate(rows[: self.page_rows]):
            size += len(msgspec.json.encode(row))
            if size > PAGE_BYTES and count:
                return rows[:count]
        return rows[: self.page_rows]


class HttpWorker:
    """Stands in for a worker: serves orders over HTTP, and reports to its agent.

    Attributes:
        nursery: Runs the orders that are carried out late.
        zone: The zone that it reports.
        control: The address of its agent that receives its reports.
        life_by_connection: The incarnation that accepted each connection, which is
            not served after that incarnation.
        drain_reported_at: When the agent accepted this incarnation's first report that
            it is draining.
    """

    def __init__(self, upstream: OrderUpstream, nursery: trio.Nursery, zone="north"):
        self.upstream = upstream
        self.nursery = nursery
        self.zone = zone
        self.address = ""
        self.control = ("", 0)
        self.life_by_connection = {}
        self.drain_reported_at = None

    def begin_life(self, upstream: OrderUpstream):
        """Replace the incarnation by a new one."""
        self.upstream = upstream
        self.drain_reported_at = None

    async def handle(self, request):
        life = self.life_by_connection.setdefault(request.connection, self.upstream)
        if life.down or life is not self.upstream:
            await trio.sleep_forever()
        body = msgspec.json.decode(request.body)
        if request.header("bergamotcourse-expected-instance") != self.upstream.id:
            return HttpResponse(421)
        order = request.target.rpartition("/")[2]
        if life.rng.random() < self.unanswered_share(life, order):
            # The client's disconnect cancels this handler, but not the order.
            self.nursery.start_soon(self.carry_out_late, life, order, body)
            await trio.sleep_forever()
        return await self.carry_out(order, body)

    def unanswered_share(self, life, order):
        """Return the share of the orders of a kind that get no answer."""
        behaviour = life.behaviour
        if order == "run-stop":
            return max(behaviour.unanswered, behaviour.unanswered_stops)
        return behaviour.unanswered

    async def carry_out_late(self, life, order, body):
        await trio.sleep(life.rng.uniform(*LATE_EXECUTION_SECONDS))
        if not life.down:
            await self.carry_out(order, body)

    async def carry_out(self, order, body):
        match order:
            case "run-start":
                return self.start(body)
            case "run-stop":
                key = RunKey(TaskName(body["task"]), body["run"])
                stopped = self.upstream.stop(key, body["fencing_token"])
                return self.answer(200 if stopped else 409)
            case "hold":
                return await self.hold(body)
        return HttpResponse(404)

    def start(self, body):
        key = RunKey(TaskName(body["task"]), body["run"])
        order = StartOrder(key, body["spec"], body["until_ms"] / 1000)
        verdict = self.upstream.start(order, body["fencing_token"]).verdict
        if verdict is StartVerdict.STARTED:
            self.upstream.running[key].zone = self.zone
            self.record_drain_delay(key)
            return self.answer(200)
        if verdict is StartVerdict.UNHEALTHY:
            return self.answer(503)
        return self.answer(409, reason=REASONS[verdict])

    def record_drain_delay(self, key):
        """Record how long the agent had known at the start that this worker drains."""
        run = self.upstream.running[key]
        if self.drain_reported_at is not None and not run.leaving_seconds:
            run.leaving_seconds = run.started_at - self.drain_reported_at

    async def hold(self, body):
        until = body.get("until_ms")
        noted = body.get("observed", 0)
        token = body["fencing_token"]
        until = None if until is None else until / 1000
        life = self.upstream
        holding = life.handle_hold(noted, until, token)
        is_held = isinstance(holding, Holding)
        if is_held and not holding.ended and body.get("wait_ms"):
            with trio.move_on_after(body["wait_ms"] / 1000):
                await life.changed.park()
            if life.down:
                await trio.sleep_forever()
            holding = life.handle_hold(noted, None, token)
        if isinstance(holding, HoldFailure):
            return self.answer(409, reason="fence")
        running = [
            [run.key.task, run.key.number, "", round(run.progress * 100)]
            for run in holding.running
        ]
        ended = [
            [end.number, end.key.task, end.key.number, end.kind.value, ""]
            for end in holding.ended
        ]
        born = life.incarnation
        fields = {"born": born} if born else {}
        return self.answer(200, running=running, ended=ended, **fields)

    def answer(self, status, **fields):
        return json_answer({"clock_ms": self.clock_ms(), **fields}, status)

    def clock_ms(self):
        return int(self.upstream.clock() * 1000)

    async def report_periodically(self, host, port, seconds):
        """Send the worker's report to its agent every so many seconds."""
        self.control = (host, port)
        client = HttpClient(host, port)
        try:
            while True:
                if not self.upstream.down:
                    await self._send_report(client)
                await trio.sleep(seconds)
        finally:
            with trio.CancelScope(shield=True):
                await client.aclose()

    async def report_once(self):
        """Send a report to the same agent on a separate connection."""
        client = HttpClient(*self.control)
        try:
            await self._send_report(client)
        finally:
            with trio.CancelScope(shield=True):
                await client.aclose()

    def report_body(self, upstream: OrderUpstream) -> dict:
        """Return the next report of an incarnation at this worker's address."""
        upstream.reports += 1
        body = {
            "service": upstream.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if upstream.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": upstream.capacity.cpu, "mem_mb": 65536},
            "labels": list(upstream.labels),
            "clock_ms": int(upstream.clock() * 1000),
            "sequence": upstream.reports,
        }
        if upstream.incarnation:
            body["born"] = upstream.incarnation
        if (left := upstream.remaining_seconds()) is not None:
            body["remaining_ms"] = round(left * 1000)
        return body

    async def _send_report(self, client):
        upstream = self.upstream
        body = self.report_body(upstream)
        request = report_request(upstream.id, body)
        answer = await client.request(request, REPORT_TIMEOUT_SECONDS)
        taken = answer.is_ok() and answer.ok.status == 200
        if taken and body["state"] == "draining" and upstream is self.upstream:
            self.drain_reported_at = self.drain_reported_at or trio.current_time()
