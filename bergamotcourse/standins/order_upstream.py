"""A stand-in for an upstream that starts and stops runs on order.

It follows the protocol's rules for leases, run numbers and fencing tokens. It runs on
trio's clock, and its own clock may drift. It can crash, hang, slow down, fail its runs,
and leave orders unanswered and carry them out late.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from bergamotcourse.ids import Incarnation, ServiceName, UpstreamId, ZoneName
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
from bergamotcourse.state.resources import NO_RESOURCES, Resources

MOST_LEASE_SECONDS = 1.0
STOP_SECONDS = 0.05
LATE_EXECUTION_SECONDS = (2.0, 6.0)
"""Range of the delay after which an unanswered order is carried out."""

TICK_SECONDS = 0.005


@dataclass
class Run:
    """A record of one run, for checks after a test.

    Attributes:
        total: Seconds of work at the start.
        work: Seconds of work left.
        stop_at: When an ordered stop takes effect.
        ended_at: When the run ended; ``None`` while it runs.
        leaving_seconds: Seconds between the agent learning that the upstream leaves
            and the start of this run.
        zone: The zone of the run; empty if it was not recorded.
        labels: The labels of the upstream.
    """

    key: RunKey
    upstream: UpstreamId
    started_at: float
    total: float
    work: float
    needs: Resources
    stop_at: float | None = None
    ended_at: float | None = None
    kind: EndKind | None = None
    leaving_seconds: float = 0.0
    zone: str = ""
    labels: tuple[str, ...] = ()


@dataclass
class Behaviour:
    """The faults of an upstream.

    Attributes:
        slowness: Factor by which the run times are multiplied.
        hangs: Whether runs make no progress.
        fails: Whether each run ends as failed.
        unhealthy: Whether start orders are refused.
        unanswered: Share of orders that get no answer and are carried out late.
        unanswered_stops: The same for stop orders only.
    """

    slowness: float = 1.0
    hangs: bool = False
    fails: bool = False
    unhealthy: bool = False
    unanswered: float = 0.0
    unanswered_stops: float = 0.0


class OrderUpstream:
    """One life of an upstream.

    Attributes:
        work_of: Returns the needs and the seconds of work of a task, by its payload.
        history: All runs, including those in progress.
        clock_rate: Seconds that its clock advances per second of trio's clock.
        incarnation: Increases with each life under one id.
        clock_began: Time on trio's clock at which its own clock read 0.
        running: The runs in progress by key.
        ended: The ended runs that are not acknowledged.
        end_count: Sequence number of the last end.
        highest_run_numbers: By task, the highest run number that ended or was stopped;
            runs with this or a lower number are refused.
        token: The highest fencing token seen; orders with a lower one are refused.
        lease_until: When the lease expires, on its own clock.
        reports: Sequence number of the last report.
        changed: Notified of each end and of a crash.
        enforces_capacity: Whether it refuses runs that exceed its capacity.
        on_start: Called with each run that it starts.
        leaves_at: When it leaves, on trio's clock; ``None`` if it does not announce it.
    """

    def __init__(
        self,
        upstream: str,
        service: str,
        capacity: Resources,
        work_of: Callable[[str], tuple[Resources, float]],
        history: list[Run],
        clock_rate: float = 1.0,
        rng: random.Random | None = None,
        labels: tuple[str, ...] = ("a", "rack-1"),
        incarnation: int = 0,
        clock_began: float = 0.0,
    ):
        self.labels = labels
        self.incarnation = Incarnation(incarnation)
        self.clock_began = clock_began
        self.id = UpstreamId(upstream)
        self.service = ServiceName(service)
        self.capacity = capacity
        self.work_of = work_of
        self.history = history
        self.clock_rate = clock_rate
        self.rng = rng or random.Random(0)
        self.behaviour = Behaviour()
        self.running: dict[RunKey, Run] = {}
        self.ended: list[EndedRun] = []
        self.end_count = 0
        self.highest_run_numbers: dict[str, int] = {}
        self.token = 0
        self.lease_until = 0.0
        self.down = False
        self.draining = False
        self.reports = 0
        self.changed = trio.lowlevel.ParkingLot()
        self.enforces_capacity = True
        self.on_start: Callable[[Run], None] = lambda _run: None
        self.leaves_at: float | None = None

    async def run(self) -> None:
        """Advance the runs until cancelled or down."""
        before = trio.current_time()
        while not self.down:
            await trio.sleep(TICK_SECONDS)
            now = trio.current_time()
            self.advance(now - before)
            before = now

    def clock(self) -> float:
        """Return the time in seconds on its own clock."""
        return (trio.current_time() - self.clock_began) * self.clock_rate

    def report(self) -> UpstreamReport:
        """Return a new report of its own state."""
        self.reports += 1
        return UpstreamReport(
            id=self.id,
            service=self.service,
            address=str(self.id),
            zone=ZoneName("zone-1"),
            capacity=self.capacity,
            labels=self.labels,
            draining=self.draining,
            sequence=self.reports,
            clock=self.clock(),
            incarnation=self.incarnation,
            remaining_seconds=self.remaining_seconds(),
        )

    def remaining_seconds(self) -> float | None:
        """Return the time until it leaves, or ``None`` if it announces none."""
        if self.leaves_at is None:
            return None
        return max(0.0, self.leaves_at - trio.current_time())

    def crash(self) -> None:
        """Go down at once and end all runs."""
        self.advance(0.0)
        self.down = True
        for run in list(self.running.values()):
            run.ended_at = trio.current_time()
            run.kind = EndKind.LAPSED
        self.running.clear()
        self.changed.unpark_all()

    def advance(self, seconds: float) -> None:
        """Advance all runs by some seconds and end those that are due.

        On a busy machine this is called late, so a run is recorded as ended at the
        time at which it was due.
        """
        now = trio.current_time()
        lapses_at = self.clock_began + self.lease_until / self.clock_rate
        for run in list(self.running.values()):
            if not self.behaviour.hangs:
                run.work -= seconds / self.behaviour.slowness
            if run.stop_at is not None and now >= run.stop_at:
                self._end(run, EndKind.STOPPED, min(run.stop_at, lapses_at))
            elif now >= lapses_at:
                self._end(run, EndKind.LAPSED, lapses_at)
            elif run.work <= 0:
                fails = self.behaviour.fails
                kind = EndKind.FAILED if fails else EndKind.DONE
                self._end(run, kind, now + run.work * self.behaviour.slowness)

    # Orders.

    def start(self, order: StartOrder, token: int) -> StartReply:
        """Carry out a start order."""
        clock = self.clock()
        if token < self.token:
            return StartReply(StartVerdict.FENCED, clock)
        self.token = token
        if self.behaviour.unhealthy:
            return StartReply(StartVerdict.UNHEALTHY, clock)
        if order.key in self.running:
            return StartReply(StartVerdict.STARTED, clock)
        if order.until <= clock:
            return StartReply(StartVerdict.TOO_LATE, clock)
        self._renew(order.until)
        if order.key.number <= self.highest_run_numbers.get(order.key.task, 0):
            return StartReply(StartVerdict.STALE, clock)
        needs, work = self.work_of(order.payload)
        if self.enforces_capacity and not (self.used() + needs).fits(self.capacity):
            return StartReply(StartVerdict.NO_ROOM, clock)
        now = trio.current_time()
        run = Run(order.key, self.id, now, work, work, needs, labels=self.labels)
        self.running[order.key] = run
        self.history.append(run)
        self.on_start(run)
        return StartReply(StartVerdict.STARTED, clock)

    def stop(self, key: RunKey, token: int) -> bool:
        """Carry out a stop order, which also bars a run that has not started.

        Returns:
            False if the fencing token is too old.
        """
        if token < self.token:
            return False
        self.token = token
        self.highest_run_numbers[key.task] = max(
            self.highest_run_numbers.get(key.task, 0), key.number
        )
        run = self.running.get(key)
        if run is not None and run.stop_at is None:
            run.stop_at = trio.current_time() + STOP_SECONDS
        return True

    def handle_hold(
        self, noted: int, until: float | None, token: int
    ) -> Holding | HoldFailure:
        """Carry out a hold order: acknowledge ends, renew the lease, list the runs.

        Args:
            noted: Highest sequence number of an end that the agent has recorded.
            until: New expiry of the lease on this clock; ``None`` renews nothing.
            token: The agent's fencing token.
        """
        if token < self.token:
            return HoldFailure.FENCED
        self.token = token
        self.ended = [ended for ended in self.ended if ended.number > noted]
        if until is not None:
            self._renew(until)
        running = tuple(
            RunningRun(run.key, int(100 * (1 - max(run.work, 0) / run.total)) / 100)
            for run in self.running.values()
        )
        return Holding(self.clock(), running, tuple(self.ended), self.incarnation)

    def used(self) -> Resources:
        """Return the resources that the runs use."""
        return sum((run.needs for run in self.running.values()), NO_RESOURCES)

    def _renew(self, until: float) -> None:
        until = min(until, self.clock() + MOST_LEASE_SECONDS)
        self.lease_until = max(self.lease_until, until)

    def _end(self, run: Run, kind: EndKind, at: float) -> None:
        del self.running[run.key]
        run.ended_at = max(at, run.started_at)
        run.kind = kind
        self.highest_run_numbers[run.key.task] = max(
            self.highest_run_numbers.get(run.key.task, 0), run.key.number
        )
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, run.key, kind))
        self.changed.unpark_all()


def overlaps(history: list[Run]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that ran at the same time."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in history:
        for other in by_task.setdefault(run.key.task, []):
            if other.ended_at is None or other.ended_at > run.started_at:
                found.append((other, run))
        by_task[run.key.task].append(run)
    return found


@dataclass
class StandInPort:
    """An ``OrderPort`` to a stand-in, with delayed, lost and late orders.

    Attributes:
        resolve_upstream: Returns the life that is at the upstream's address now.
        token: The fencing token of the orders.
        nursery: Runs the orders that are carried out late.
        delay: Seconds that an order or an answer takes.
        connected: Whether orders and answers are delivered.
        life: The life that the orders are addressed to; ``None`` for any.
    """

    resolve_upstream: Callable[[], OrderUpstream]
    token: int
    nursery: trio.Nursery
    delay: float = 0.0005
    connected: Callable[[], bool] = field(default=lambda: True)
    life: LifeKey | None = None

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Send a start order; timeouts are in seconds."""
        reply = await self._call(lambda life: life.start(order, self.token), timeout)
        if reply is None:
            return StartReply(StartVerdict.UNKNOWN)
        if reply is HoldFailure.OTHER_BOOT:
            return StartReply(StartVerdict.OTHER_BOOT)
        return reply

    async def stop(self, key: RunKey, timeout: float) -> bool:
        """Send a stop order; return whether it was carried out."""
        answer = await self._call(lambda life: life.stop(key, self.token), timeout)
        return answer is True

    async def hold(
        self, noted: int, until: float | None, wait: float, timeout: float
    ) -> Holding | HoldFailure:
        """Send a hold order and wait up to ``wait`` seconds for a run to end."""
        upstream = self.resolve_upstream()
        first = await self._call(
            lambda life: life.handle_hold(noted, until, self.token), timeout
        )
        if first is None:
            return HoldFailure.NO_ANSWER
        if isinstance(first, HoldFailure) or first.ended or not wait:
            return first
        with trio.move_on_after(wait):
            await upstream.changed.park()
        if upstream.down:
            return HoldFailure.NO_ANSWER
        return upstream.handle_hold(noted, None, self.token)

    async def aclose(self) -> None:
        """Do nothing: there are no connections."""

    async def _call(self, order: Callable, timeout: float):
        """Deliver an order to the upstream.

        Returns:
            The answer; ``None`` if there is none; ``OTHER_BOOT`` from another life.
        """
        await trio.sleep(self.delay)
        upstream = self.resolve_upstream()
        if upstream.down or not self.connected():
            await trio.sleep(timeout)
            return None
        if self._is_other_life(upstream):
            return HoldFailure.OTHER_BOOT
        if upstream.rng.random() < upstream.behaviour.unanswered:
            self.nursery.start_soon(self._carry_out_late, order, upstream)
            await trio.sleep(timeout)
            return None
        answer = order(upstream)
        await trio.sleep(self.delay)
        return answer if self.connected() else None

    def _is_other_life(self, upstream: OrderUpstream) -> bool:
        if self.life is None:
            return False
        is_unknown = 0 in (self.life.incarnation, upstream.incarnation)
        other = not is_unknown and self.life.incarnation != upstream.incarnation
        return other or self.life.upstream != upstream.id

    async def _carry_out_late(self, order: Callable, upstream: OrderUpstream) -> None:
        await trio.sleep(upstream.rng.uniform(*LATE_EXECUTION_SECONDS))
        if not upstream.down:
            order(upstream)
