"""Callers of a job fleet who follow the protocol, and what it allows as answers."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import trio

from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.platform.callers import CallerRequestHandler
from bergamotcourse.platform.documents import decode_queues
from bergamotcourse.protocol.upstream_orders import EndKind
from bergamotcourse.tests.jobs.fleets import make_service, run_fleet, runs_of
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.job_fleet import NEEDS, QUEUE, SERVICE

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": QUEUE.name,
            "host": QUEUE.host,
            "path_prefix": QUEUE.path_prefix,
            "service": SERVICE,
            "max_attempts": QUEUE.max_attempts,
            "slack_factor": QUEUE.slack_factor,
            "target_latency_ms": QUEUE.target_latency * 1000,
        }
    ],
}

DEADLINE_SECONDS = 8.0
RETRANSMIT_SECONDS = 1.3
"""After it a caller without a response submits the job again."""

CLOSE_SECONDS = 0.01
"""Time between a caller's disconnect and the cancellation of its handler."""

START_SECONDS = 0.001
"""Time in which a started entry begins to serve."""

SETTLE_SECONDS = 6.0
"""Time for which the fleet runs on after the last step."""

JOB_WORK_SECONDS = (0.3, 6.0)
"""Work of each task of the callers' jobs, by the number of the job."""

OWN_TASKS = 2
OTHER_TASKS = 3

BURST_JOBS = 12
BURST_TASKS = 10
BURST_WORK_SECONDS = 1.0
FIRST_BURST_JOB = 100

SHARE_DELAY_SECONDS = 1.0
"""Time after which each entry knows how a job has ended at another."""

MEMORY_SECONDS = 25.0
"""Time for which the entries know how a job has ended."""

CANCEL_SECONDS = 3.0
"""Time after the acknowledgement of a cancellation when no task starts any more."""

STOP_SECONDS = 1.0
"""Further time after which no task runs any more."""


class Body(Enum):
    """The body of a submission: the job's own, that of another job, or a broken one."""

    OWN = "own"
    OTHER = "other"
    BROKEN = "broken"


@dataclass(frozen=True)
class Submit:
    """A caller submits a job, once the earlier submission of it is over.

    Attributes:
        stays: Seconds after which the caller disconnects.
    """

    job: int
    entry: int
    stays: float = DEADLINE_SECONDS + 0.5
    body: Body = Body.OWN


@dataclass(frozen=True)
class Ask:
    """A caller asks for the state of a job."""

    job: int
    entry: int


@dataclass(frozen=True)
class Cancel:
    """A caller cancels a job."""

    job: int
    entry: int


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    seconds: float


@dataclass(frozen=True)
class Freeze:
    """An entry stands still for some seconds."""

    entry: int
    seconds: float


@dataclass(frozen=True)
class Cut:
    """All messages from and to an entry are lost for some seconds."""

    entry: int
    seconds: float


@dataclass(frozen=True)
class Kill:
    """An entry is killed, and started again after some seconds."""

    entry: int
    seconds: float


@dataclass(frozen=True)
class Burst:
    """Jobs that need more room than there is arrive at an entry."""

    entry: int


Step = Submit | Ask | Cancel | Wait | Freeze | Cut | Kill | Burst


@dataclass
class Call:
    """A request and its response.

    Attributes:
        status: The status of the response; ``None`` if the caller received none.
        over_at: Time of the response, of the broken connection or of the disconnect.
        reached: Whether the entry was up when the request was sent.
    """

    method: str
    job: int
    entry: int
    sent_at: float
    body: Body = Body.OWN
    status: int | None = None
    state: str = ""
    over_at: float = 0.0
    reached: bool = True
    over: trio.Event = field(default_factory=trio.Event)

    def __str__(self) -> str:
        """Return the call on one line, for messages of failed checks."""
        return (
            f"{self.method} job {self.job} ({self.body.value}) at entry {self.entry}, "
            f"{self.sent_at:.2f}-{self.over_at:.2f} s: {self.status} {self.state}"
        )


@dataclass(frozen=True)
class Fault:
    """A time in which an entry was frozen, cut off or down."""

    step: Freeze | Cut | Kill
    since: float
    until: float


def job_name(number: int) -> str:
    """Return the id of a job."""
    return f"{number:016x}"


def encode_body(number: int, body: Body) -> bytes:
    """Return the body of a request that submits a job."""
    if body is Body.BROKEN:
        return b'{"spec": "0.3", "steps": ['
    if number >= FIRST_BURST_JOB:
        work, tasks = BURST_WORK_SECONDS, BURST_TASKS
    else:
        work = JOB_WORK_SECONDS[number]
        tasks = OWN_TASKS if body is Body.OWN else OTHER_TASKS
    step = {
        "count": tasks,
        "cpu": NEEDS.cpu,
        "mem_mb": NEEDS.memory,
        "estimated_ms": work * 1000,
    }
    job = {"spec": str(work), "best_effort": True, "steps": [step]}
    return msgspec.json.encode(job)


def make_handler(entry) -> CallerRequestHandler:
    """Return the handler of callers' requests to an entry."""
    queues = QueuesInForce(decode_queues, entry.log)
    queues.adopt(msgspec.json.encode(CONFIG), "test")
    return CallerRequestHandler(make_service(entry, queues))


class Callers:
    """Callers of a fleet.

    Attributes:
        calls: All calls in the order in which they were sent.
        faults: All faults of entries.
        down: Names of the entries that are down.
        settled_at: Time at which the fleet was looked at.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls: list[Call] = []
        self.faults: list[Fault] = []
        self.down: set[str] = set()
        self.settled_at = 0.0
        self.burst_jobs = FIRST_BURST_JOB
        self.handlers = {
            name: make_handler(entry) for name, entry in fleet.entries.items()
        }

    async def perform(self, step: Step) -> None:
        """Perform a step; the calls of it go on afterwards."""
        match step:
            case Submit(job, entry, stays, body):
                await self._wait_for_turn(job)
                self.call("POST", job, entry, stays, body)
                await trio.sleep(0.001)
            case Ask(job, entry):
                self.call("GET", job, entry)
            case Cancel(job, entry):
                self.call("DELETE", job, entry)
            case Wait(seconds):
                await trio.sleep(seconds)
            case Burst(entry):
                for _ in range(BURST_JOBS):
                    self.call("POST", self.burst_jobs, entry)
                    self.burst_jobs += 1
                await trio.sleep(0.001)
            case Freeze() | Cut() | Kill():
                self.disturb(step)

    def call(
        self,
        method: str,
        job: int,
        entry: int,
        stays: float = DEADLINE_SECONDS + 0.5,
        body: Body = Body.OWN,
    ) -> None:
        """Send a request."""
        call = Call(method, job, entry, trio.current_time(), body)
        self.calls.append(call)
        process = self.fleet.entries[f"entry-{entry}"]
        if process.name in self.down:
            call.reached = False
            self._end(call)
            return
        handler = self.handlers[f"entry-{entry}"]
        process.nursery.start_soon(self._handle, process, handler, call)
        self.fleet.nursery.start_soon(self._leave_after, call, stays)

    async def _handle(self, process, handler, call: Call) -> None:
        headers = [
            ("host", QUEUE.host),
            ("bergamotcourse-deadline-ms", str(round(DEADLINE_SECONDS * 1000))),
        ]
        content = encode_body(call.job, call.body) if call.method == "POST" else b""
        request = HttpRequest(
            call.method,
            QUEUE.path_prefix + job_name(call.job),
            headers,
            content,
            is_abandoned=call.over.is_set,
        )
        try:
            await process.pause.wait_until_thawed()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_closed, process, call, nursery)
                response = await handler.handle(request)
                await process.pause.wait_until_thawed()
                nursery.cancel_scope.cancel()
                if not call.over.is_set():
                    call.status = response.status
                    if response.status == 200:
                        shown = msgspec.json.decode(response.body)
                        call.state = shown.get("state", "")
        finally:
            self._end(call)

    async def _cancel_when_closed(self, process, call: Call, nursery) -> None:
        await call.over.wait()
        await process.pause.wait_until_thawed()
        await trio.sleep(CLOSE_SECONDS)
        nursery.cancel_scope.cancel()

    async def _leave_after(self, call: Call, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await call.over.wait()
        self._end(call)

    def _end(self, call: Call) -> None:
        if not call.over.is_set():
            call.over_at = trio.current_time()
            call.over.set()

    async def _wait_for_turn(self, job: int) -> None:
        """Wait until a caller may submit a job again."""
        for call in self.submissions(job):
            await call.over.wait()
            if call.reached and call.status in (None, 504):
                await trio.sleep_until(call.over_at + RETRANSMIT_SECONDS)
            elif call.status == 200:
                await trio.sleep_until(call.over_at + SHARE_DELAY_SECONDS)

    def disturb(self, step: Freeze | Cut | Kill) -> None:
        """Begin a fault of an entry, unless it has one."""
        now = trio.current_time()
        if any(f.step.entry == step.entry and f.until >= now for f in self.faults):
            return
        self.faults.append(Fault(step, now, now + step.seconds))
        self.fleet.nursery.start_soon(self._disturb, step)

    async def _disturb(self, step: Freeze | Cut | Kill) -> None:
        name = f"entry-{step.entry}"
        process = self.fleet.entries[name]
        match step:
            case Freeze():
                process.freeze()
                await trio.sleep(step.seconds)
                process.thaw()
            case Cut():
                self.fleet.network.cut_all(process.address)
                await trio.sleep(step.seconds)
                self.fleet.network.heal_all(process.address)
            case Kill():
                # The handlers that a kill cancels would still send messages.
                process.mailer.post = lambda *_: None
                process.kill()
                self.down.add(name)
                await trio.sleep(step.seconds)
                self.handlers[name] = make_handler(self.fleet.start_entry(name))
                await trio.sleep(START_SECONDS)
                self.down.remove(name)

    def submissions(self, job: int) -> list[Call]:
        """Return the calls that submitted a job, with any body."""
        return [c for c in self.calls if c.method == "POST" and c.job == job]

    def jobs(self) -> list[int]:
        """Return the jobs that callers have asked for."""
        return sorted({call.job for call in self.calls})

    def disturbed(self, since: float, until: float, *entries: int) -> bool:
        """Return whether one of the entries, or any one, had a fault at a time."""
        return any(
            fault.since <= until
            and fault.until + SHARE_DELAY_SECONDS >= since
            and (not entries or fault.step.entry in entries)
            for fault in self.faults
        )


class Protocol:
    """What callers may be answered, and what may run, after a sequence of steps."""

    def __init__(self, callers: Callers):
        self.callers = callers
        self.fleet = callers.fleet

    def violations(self) -> list[str]:
        """Return a line for each violation."""
        found = [
            f"two runs of {one.key.task} overlap: {one.started_at:.2f} s and "
            f"{other.started_at:.2f} s"
            for one, other in self.fleet.overlaps()
        ]
        for call in self.callers.calls:
            found += self._odd_answers(call)
        for job in self.callers.jobs():
            found += self._answers_after_success(job)
            found += self._runs_after_success(job)
            found += self._runs_of_refused(job)
            found += self._runs_of_cancelled(job)
        return found

    def _odd_answers(self, call: Call) -> Iterator[str]:
        """Check one answer by itself."""
        own = all(c.body is not Body.OTHER for c in self.callers.submissions(call.job))
        if call.body is Body.BROKEN:
            allowed = {None, 400, 503}
        elif call.method == "POST":
            allowed = {None, 200, 503, 504} if own else {None, 200, 409, 503, 504}
        else:
            allowed = {None, 200, 410, 503}
        if call.status not in allowed:
            yield f"not allowed: {call}"
        if call.status != 200 or call.method == "DELETE":
            return
        submitted = [
            c
            for c in self.callers.submissions(call.job)
            if c.body is not Body.BROKEN and c.sent_at <= call.over_at and c.reached
        ]
        if not submitted:
            yield f"a job that nobody submitted is shown: {call}"
        match call.state:
            case "succeeded":
                if not self._all_done(call, submitted):
                    yield f"succeeded, but not all tasks have ended so: {call}"
            case "failed" | "cancelled":
                if not self._cancels(call.job, call.over_at):
                    yield f"{call.state} without a cause: {call}"
            case "queued" | "running" if call.method == "GET":
                pass
            case _:
                yield f"no state: {call}"

    def _all_done(self, call: Call, submitted: list[Call]) -> bool:
        bodies = {call.body} if call.method == "POST" else {c.body for c in submitted}
        done = {
            run.key.task
            for run in runs_of(self.fleet, job_name(call.job))
            if run.kind is EndKind.DONE and run.ended_at <= call.over_at
        }
        needed = {task_count(call.job, body) for body in bodies}
        return bool(needed) and len(done) >= min(needed)

    def _cancels(self, job: int, until: float) -> list[Call]:
        return [
            call
            for call in self.callers.calls
            if call.method == "DELETE" and call.job == job and call.sent_at <= until
        ]

    def _first_end(self, job: int) -> Call | None:
        """Return the first call that showed the end of a job with one body."""
        calls = self.callers.submissions(job)
        if any(call.body is Body.OTHER for call in calls):
            return None
        return next((call for call in calls if call.status == 200), None)

    def _must_know(self, end: Call, call: Call) -> bool:
        """Return whether the entry that was called must know the end of the job."""
        since, until = end.over_at, call.sent_at
        if not since + SHARE_DELAY_SECONDS <= until <= since + MEMORY_SECONDS:
            return False
        if call.entry == end.entry:
            kills = [f for f in self.callers.faults if isinstance(f.step, Kill)]
            return not any(
                f.step.entry == call.entry and f.until >= end.sent_at for f in kills
            )
        return not self.callers.disturbed(since, call.over_at, call.entry, end.entry)

    def _answers_after_success(self, job: int) -> Iterator[str]:
        """Check that a job that has ended keeps its state."""
        end = self._first_end(job)
        if end is None:
            return
        for call in self.callers.calls:
            if call.job != job or not self._must_know(end, call):
                continue
            if call.status is None or call.body is not Body.OWN:
                continue
            if call.method == "DELETE":
                continue
            if call.status in (410, 503) and self._is_lookup_of_cancelled(call):
                continue
            if call.status != 200:
                yield f"the state of an ended job can't be read: {end}; {call}"
            elif call.state != end.state and not self._cancels(job, call.over_at):
                yield f"an ended job has another state: {end}; {call}"

    def _is_lookup_of_cancelled(self, call: Call) -> bool:
        return call.method == "GET" and bool(self._cancels(call.job, call.over_at))

    def _runs_after_success(self, job: int) -> Iterator[str]:
        """Check that a job that has ended does not run again."""
        end = self._first_end(job)
        if end is None:
            return
        later = [
            c for c in self.callers.submissions(job) if c.sent_at >= end.over_at - 0.01
        ]
        if not all(self._must_know(end, c) for c in later if c.body is Body.OWN):
            return
        for run in runs_of(self.fleet, job_name(job)):
            if run.started_at > end.over_at + SHARE_DELAY_SECONDS:
                yield f"an ended job runs again at {run.started_at:.2f} s: {end}"

    def _runs_of_refused(self, job: int) -> Iterator[str]:
        """Check that a job of which all submissions were refused has not run."""
        calls = [c for c in self.callers.submissions(job) if c.reached]
        if calls and all(call.status in (503, 400) for call in calls):
            for run in runs_of(self.fleet, job_name(job)):
                yield f"a refused job ran at {run.started_at:.2f} s: {calls[-1]}"

    def _runs_of_cancelled(self, job: int) -> Iterator[str]:
        """Check that a cancelled job neither starts nor runs on.

        Other jobs under the same id are not cancelled.
        """
        calls = self.callers.submissions(job)
        if any(call.body is Body.OTHER for call in calls):
            return
        for cancel in self._cancels(job, float("inf")):
            if cancel.status not in (200, 410) or not any(
                c.sent_at <= cancel.sent_at and c.reached and c.body is Body.OWN
                for c in calls
            ):
                continue
            acknowledged = cancel.over_at
            last = acknowledged + CANCEL_SECONDS
            for run in runs_of(self.fleet, job_name(job)):
                ended_at = run.ended_at or self.callers.settled_at
                if self.callers.disturbed(cancel.sent_at, max(last, run.started_at)):
                    continue
                if run.started_at > last:
                    yield f"a cancelled job starts at {run.started_at:.2f} s: {cancel}"
                elif ended_at > last + STOP_SECONDS:
                    yield f"a cancelled job runs until {ended_at:.2f} s: {cancel}"


def task_count(job: int, body: Body) -> int:
    """Return the number of tasks of a job with a body."""
    if job >= FIRST_BURST_JOB:
        return BURST_TASKS
    return OWN_TASKS if body is Body.OWN else OTHER_TASKS


def perform(steps: list[Step], seed: int) -> Callers:
    """Perform steps on a fleet of two entries."""

    async def main(fleet):
        callers = Callers(fleet)
        for step in steps:
            await callers.perform(step)
        await trio.sleep(SETTLE_SECONDS)
        callers.settled_at = trio.current_time()
        return callers

    return run_fleet(main, seed, entries=2, agents=2)


def calls_of(steps: list[Step], seed: int = 1) -> list[Call]:
    """Perform steps; return the calls."""
    return perform(steps, seed).calls


def violations_of(steps: list[Step], seed: int = 1) -> list[str]:
    """Perform steps; return the violations."""
    return Protocol(perform(steps, seed)).violations()
