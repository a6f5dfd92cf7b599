"""A stand-in for a worker: it keeps leases, run numbers and fencing tokens.

The work of a task is the number of seconds in its job's ``spec``; the resources of a
task are given to the worker, as orders do not name them.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins2.http_io import Request, Response, call, json_response

MAX_LEASE_SECONDS = 1.0
STOP_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
TICK_SECONDS = 0.002
LATE_SECONDS = (2.0, 6.0)
"""Delay after which an order that was left unanswered is carried out; the bench's range
is 2 to 12 s."""


@dataclass
class Run:
    """One run, also after its end."""

    task: str
    number: int
    worker: str
    started_at: float
    seconds: float
    cpu: int
    stop_at: float | None = None
    ended_at: float | None = None
    how: str = ""

    @property
    def name(self) -> str:
        """Return the task and the number of the run."""
        return f"{self.task} run {self.number}"


@dataclass
class Worker:
    """One life of a worker.

    Attributes:
        cpu_of: Returns the ``cpu`` of a task.
        cpu: The capacity.
        guards: Whether it refuses what does not fit.
        leaves_unanswered: Returns whether an order gets no answer and is carried out
            late, given its name and its body.
        note: Writes a line of the record.
        runs: All runs that it has started.
        peak_cpu: The most that was in use at a time.
        counts: The orders that arrived and those left unanswered, by name.
        is_down: Whether it has crashed.
    """

    id: str
    service: str
    host: str
    note: Callable[[str], None]
    cpu_of: Callable[[str], int]
    cpu: int = 32000
    guards: bool = True
    zone: str = "north"
    labels: tuple[str, ...] = ("a", "r1")
    leaves_unanswered: Callable[[str, dict], bool] = lambda _name, _body: False
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    runs: list[Run] = field(default_factory=list)
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list] = field(default_factory=list)
    barred: dict[str, int] = field(default_factory=dict)
    counts: dict[str, list[int]] = field(default_factory=dict)
    end_count: int = 0
    token: int = 0
    lease_until: float = 0.0
    peak_cpu: int = 0
    sequence: int = 0
    address: str = ""
    is_down: bool = False
    began: float = field(default_factory=time.monotonic)

    def __post_init__(self):
        self.end_noted = asyncio.Event()
        self.late_orders: set[asyncio.Task] = set()

    def clock(self) -> float:
        """Return the seconds on its own steady clock."""
        return time.monotonic() - self.began + 100.0

    async def advance(self) -> None:
        """End the runs that are due, until it has crashed."""
        while not self.is_down:
            self._end_due_runs()
            await asyncio.sleep(TICK_SECONDS)

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        for run in list(self.running.values()):
            if self.clock() >= self.lease_until:
                self._end(run, "lapsed", now)
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped", now)
            elif now >= run.started_at + run.seconds:
                self._end(run, "done", now)

    def _end(self, run: Run, how: str, now: float) -> None:
        del self.running[run.task, run.number]
        run.ended_at, run.how = now, how
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.note(f"{self.id}: {run.name} ends {how}")
        self.end_noted.set()
        self.end_noted = asyncio.Event()

    def crash(self) -> None:
        """End at once with all that runs here."""
        self.is_down = True
        for run in self.running.values():
            run.ended_at, run.how = time.monotonic(), "crashed"
        self.running.clear()
        self.note(f"{self.id}: crashes")

    # Orders.

    async def handle(self, request: Request) -> Response | None:
        """Return the response to an order; ``None`` leaves it unanswered."""
        if request.headers.get("bergamotcourse-expected-instance") != self.id:
            return self._answer(421)
        body = request.json()
        name = request.target.rpartition("/")[2]
        counts = self.counts.setdefault(name, [0, 0])
        counts[0] += 1
        if self.leaves_unanswered(name, body):
            counts[1] += 1
            late = asyncio.create_task(self._carry_out_late(name, body))
            self.late_orders.add(late)
            late.add_done_callback(self.late_orders.discard)
            return None
        return await self._carry_out(name, body)

    async def _carry_out_late(self, name: str, body: dict) -> None:
        await asyncio.sleep(self.rng.uniform(*LATE_SECONDS))
        if self.is_down:
            return
        self.note(f"{self.id}: carries out {name} late: {body.get('task', '')}")
        await self._carry_out(name, {**body, "wait_ms": 0})

    async def _carry_out(self, name: str, body: dict) -> Response:
        self._end_due_runs()
        if body.get("fencing_token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        match name:
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
            case "hold":
                return await self._hold(body)
        return self._answer(404)

    def _start(self, body: dict) -> Response:
        key = (body["task"], body["run"])
        if key in self.running:
            return self._answer(200)
        until = body["until_ms"] / 1000
        if until <= self.clock():
            return self._answer(409, reason="late")
        self._renew(until)
        if body["run"] <= self.barred.get(body["task"], 0):
            return self._answer(409, reason="old")
        cpu = self.cpu_of(body["task"])
        used = sum(run.cpu for run in self.running.values())
        if self.guards and used + cpu > self.cpu:
            return self._answer(409, reason="room")
        run = Run(*key, self.id, time.monotonic(), float(body["spec"]), cpu)
        self.running[key] = run
        self.runs.append(run)
        self.peak_cpu = max(self.peak_cpu, used + cpu)
        self.note(f"{self.id}: {run.name} starts, {used + cpu} of {self.cpu} in use")
        return self._answer(200)

    def _stop(self, body: dict) -> Response:
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
            self.note(f"{self.id}: {run.name} is told to stop")
        return self._answer(200)

    async def _hold(self, body: dict) -> Response:
        observed = body.get("observed", 0)
        self.ended = [end for end in self.ended if end[0] > observed]
        if body.get("until_ms") is not None:
            self._renew(body["until_ms"] / 1000)
        if not self.ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.end_noted.wait()
            except TimeoutError:
                pass
        return self._answer(200, running=self._listed_runs(), ended=self.ended[:500])

    def _listed_runs(self) -> list[list]:
        now = time.monotonic()
        return [
            [
                run.task,
                run.number,
                "",
                min(99, int(100 * (now - run.started_at) / run.seconds)),
                run.cpu,
            ]
            for run in self.running.values()
        ]

    def _renew(self, until: float) -> None:
        until = min(until, self.clock() + MAX_LEASE_SECONDS)
        self.lease_until = max(self.lease_until, until)

    def _answer(self, status: int, **fields) -> Response:
        return json_response({"clock_ms": int(self.clock() * 1000), **fields}, status)

    # Reports.

    async def report(self, agent: tuple[str, int]) -> None:
        """Send heartbeats to the agent beside it, until it has crashed."""
        while not self.is_down:
            target = f"/bergamotcourse/Instances.Heartbeat/{self.id}"
            await call(agent, "POST", target, self._heartbeat(), timeout=ACK_SECONDS)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _heartbeat(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": int(self.clock() * 1000),
            "sequence": self.sequence,
        }


class WorkerHost:
    """The address of a worker, at which one boot follows another.

    Attributes:
        worker: The present boot.
        boots: The boot that has accepted each connection; it ends with that boot.
    """

    def __init__(self, worker: Worker):
        self.worker = worker
        self.boots: dict[object, Worker] = {}

    async def handle(self, request: Request) -> Response | None:
        """Return the response to an order; ``None`` leaves it unanswered."""
        boot = self.boots.setdefault(request.connection, self.worker)
        if boot is not self.worker or boot.is_down:
            return None
        return await boot.handle(request)
