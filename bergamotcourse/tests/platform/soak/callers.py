"""Callers that reuse open connections and retry interrupted requests."""

import itertools
import random
from dataclasses import dataclass, replace

import trio

from bergamotcourse.tests.platform.cluster import make_job
from bergamotcourse.tests.platform.soak.other_calls import OtherCalls
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.recorded_calls import job_of
from bergamotcourse.tests.platform.soak.records import (
    ANSWERED_OUTCOMES,
    DEFAULT_VARIANT,
    KIND_LABELS,
    Attempt,
    CallerOutcome,
    Records,
    Variant,
)
from bergamotcourse.tests.platform.soak.repeated_calls import RepeatedCalls
from bergamotcourse.tests.platform.soak.responses import classify_response
from bergamotcourse.transport.http_client import HttpClient

RESEND_SECONDS = 1.3
"""Shortest delay after which the platform's callers retry an interrupted request."""

CALLER_TIMEOUT_SECONDS = 4.0
PATIENT_CALLER_TIMEOUT_SECONDS = 8.0
"""Timeout where workers delay orders, so that a task can be interrupted several times
before its job times out."""

MAX_ATTEMPTS = 3
SUBMIT_INTERVAL_SECONDS = (0.0, 0.25)
TASK_SECONDS = (0.05, 0.1, 0.2, 0.4, 1.0)
SHORT_TASK_SECONDS = (0.05, 0.1, 0.2)
LONG_TASK_SECONDS = (0.2, 1.0, 2.0)
"""Task lengths where entries are killed together with agents, or wake after callers
have left. Short runs rarely overlap with those that a retry starts."""

CANCELLED_SHARE = 0.2
CANCELLED_LONG_SHARE = 0.8
"""Share of the attempts that are cancelled where callers repeat jobs, of the jobs with
long tasks too."""

LONG_TASK_FROM_SECONDS = 4.0

BURST_INTERVAL_SECONDS = (1.0, 3.0)
BURST_JOBS_PER_AGENT = 6

INTERRUPTED_OUTCOMES = frozenset((CallerOutcome.CUT, CallerOutcome.NOT_SENT))


@dataclass(frozen=True)
class Habits:
    """How the callers of a soak behave.

    Attributes:
        per_entry: Number of callers for each entry.
        timeout: Seconds for which they wait for a response.
        retried_outcomes: Outcomes after which they submit a job again.
        reconnect_share: Share of the jobs after which they open a new connection.
        refusal_pause: Seconds for which they wait after a refusal.
        max_tasks: Most tasks of a job.
        task_seconds: The lengths of tasks.
        estimate: Declared length of tasks in seconds; ``None`` for the true one.
        labels: The labels of which each job requires one.
        interference_share: Share of the attempts beside which the caller makes another
            call for the job, or leaves.
        repeats: Whether callers submit jobs again after their answer, and cancel them
            at any entry, while bursts of jobs fill all room.
    """

    per_entry: int = 4
    timeout: float = CALLER_TIMEOUT_SECONDS
    retried_outcomes: frozenset[CallerOutcome] = INTERRUPTED_OUTCOMES
    reconnect_share: float = 0.0
    refusal_pause: float = 0.0
    max_tasks: int = 6
    task_seconds: tuple[float, ...] = TASK_SECONDS
    estimate: float | None = None
    labels: tuple[str, ...] = ("",)
    interference_share: float = 0.0
    repeats: bool = False


IMPATIENT = Habits(
    per_entry=16,
    timeout=1.2,
    retried_outcomes=INTERRUPTED_OUTCOMES | {CallerOutcome.NO_RESPONSE},
    reconnect_share=0.5,
    max_tasks=2,
    task_seconds=LONG_TASK_SECONDS,
)
"""Habits where entries are paused for long: a caller then closes its connection, and
submits the job to another entry before the paused one wakes. Many callers on new
connections are needed: an entry has read the requests of most others before its pause,
and few of the requests that wait show a fault as it wakes."""


PRESSING = Habits(
    per_entry=10,
    refusal_pause=1.0,
    max_tasks=3,
    task_seconds=SHORT_TASK_SECONDS,
)
"""Habits where entries are throttled: more jobs than a throttled entry can place, and
few enough for the process that all stand-ins share."""


RESUBMITTING = Habits(
    per_entry=4,
    timeout=1.0,
    retried_outcomes=INTERRUPTED_OUTCOMES | {CallerOutcome.TIMED_OUT},
    max_tasks=2,
    task_seconds=(0.2, 0.4, 5.0),
    estimate=0.2,
)
"""Habits where stop orders are lost: many jobs are not done in time, and run on until
their stop or their lease ends them, while their callers submit them elsewhere."""

CANCELLING = Habits(timeout=2.0, interference_share=0.6)
"""Habits where callers cancel jobs, leave, and submit them again."""

REPEATING = Habits(timeout=8.0, max_tasks=3, task_seconds=(*SHORT_TASK_SECONDS, 6.0))
"""Habits where callers submit jobs again after their answer. Some tasks last longer
than the time after which a cancelled job must have ended."""

REQUIRING = Habits(per_entry=8, task_seconds=SHORT_TASK_SECONDS)
"""Habits where workers change their kind: many placements are always on their way."""


BURST = Habits(timeout=2.0, max_tasks=3, task_seconds=(1.0,), repeats=True)
"""Habits of the callers of a burst."""


def habits_in(variant: Variant) -> Habits:
    """Return the habits of the callers in a variant of the soak."""
    habits = replace(timing_habits_in(variant), repeats=variant.resubmits)
    return replace(habits, labels=KIND_LABELS) if variant.changes_kinds else habits


def timing_habits_in(variant: Variant) -> Habits:
    """Return these habits without the labels that jobs require."""
    if variant.freezes_entries:
        return IMPATIENT
    if variant.throttles:
        return PRESSING
    if variant.loses_stops:
        return RESUBMITTING
    if variant.changes_kinds:
        return REQUIRING
    if variant.cancels:
        return CANCELLING
    if variant.resubmits:
        return REPEATING
    patient = PATIENT_CALLER_TIMEOUT_SECONDS
    return Habits(
        timeout=patient if variant.delays_orders else CALLER_TIMEOUT_SECONDS,
        task_seconds=LONG_TASK_SECONDS if variant.kills_together else TASK_SECONDS,
    )


class Callers:
    """Concurrent callers that submit jobs until ``stopping`` is set.

    Attributes:
        habits: How they behave.
        stopping: Whether callers stop submitting new jobs.
    """

    def __init__(
        self,
        cluster: ProxiedCluster,
        records: Records,
        rng: random.Random,
        variant: Variant = DEFAULT_VARIANT,
    ):
        self.habits = habits_in(variant)
        self.cluster = cluster
        self.records = records
        self.rng = rng
        self.stopping = False
        self.numbers = itertools.count(1)

    async def run(self) -> None:
        """Run the callers, each with one job in flight at a time."""
        count = self.habits.per_entry * len(self.cluster.entries())
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(Caller(self, rng, nursery).run)
            if self.habits.repeats:
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(self._submit_bursts, rng, nursery)

    async def _submit_bursts(self, rng: random.Random, nursery: trio.Nursery) -> None:
        """Submit more jobs at once than there is room for, again and again."""
        while not self.stopping:
            await trio.sleep(rng.uniform(*BURST_INTERVAL_SECONDS))
            for _ in range(BURST_JOBS_PER_AGENT * len(self.cluster.workers)):
                caller = Caller(self, random.Random(rng.getrandbits(64)), nursery)
                caller.habits = BURST
                nursery.start_soon(caller.run_once)


class Caller:
    """One caller, which uses the same entry as long as its connection is open."""

    def __init__(self, callers: Callers, rng: random.Random, nursery: trio.Nursery):
        self.repeated = RepeatedCalls(callers.cluster, callers.records, rng, nursery)
        self.callers = callers
        self.habits = callers.habits
        self.records = callers.records
        self.rng = rng
        self.entry = ""
        self.cancelled_share = 0.0
        self.last_outcome: CallerOutcome | None = None
        self.client: HttpClient | None = None

    async def run(self) -> None:
        """Submit jobs one after another."""
        while not self.callers.stopping:
            await trio.sleep(self.rng.uniform(*SUBMIT_INTERVAL_SECONDS))
            await self._submit_job(next(self.callers.numbers))
            if self.last_outcome is CallerOutcome.REFUSED:
                await trio.sleep(self.habits.refusal_pause)
            await self._submit_earlier_job()
            share = self.habits.reconnect_share
            if share and self.rng.random() < share:
                await self._disconnect()
        await self._disconnect()

    async def run_once(self) -> None:
        """Submit one job."""
        await self._submit_job(next(self.callers.numbers))
        await self._disconnect()

    async def _submit_earlier_job(self) -> None:
        """Submit a job again that was answered, on the open connection."""
        if self.habits.repeats and (earlier := self.repeated.take_due()):
            await self._attempt(*earlier)

    async def _submit_job(self, number: int) -> None:
        work = self.rng.choice(self.habits.task_seconds)
        tasks = self.rng.randint(1, self.habits.max_tasks)
        caller_ms = int(self.habits.timeout * 1000)
        label = self._choose_label()
        request = make_job(
            number,
            work,
            tasks,
            caller_ms=caller_ms,
            label=label,
            estimate=self.habits.estimate,
        )
        job = job_of(request)
        is_long = work >= LONG_TASK_FROM_SECONDS
        self.cancelled_share = CANCELLED_LONG_SHARE if is_long else CANCELLED_SHARE
        self.records.tasks[job] = tasks
        if label:
            self.records.labels[job] = label
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(job, request)
            if self.habits.repeats and outcome in ANSWERED_OUTCOMES:
                self.repeated.plan(request)
            if outcome not in self.habits.retried_outcomes:
                return
            await trio.sleep(RESEND_SECONDS)

    def _choose_label(self) -> str:
        labels = self.habits.labels
        return self.rng.choice(labels) if len(labels) > 1 else labels[0]

    async def _attempt(self, job, request) -> CallerOutcome:
        if self.client is None or not self.client.idle:
            await self._choose_entry()
        outcome = await self._send(job, request)
        self.last_outcome = outcome
        if outcome not in (
            CallerOutcome.SUCCEEDED,
            CallerOutcome.FAILED,
            CallerOutcome.REFUSED,
        ):
            await self._disconnect()
        return outcome

    async def _send(self, job, request) -> CallerOutcome:
        if self.habits.repeats and self.rng.random() < self.cancelled_share:
            self.repeated.cancel_beside(request, self.entry)
        if self.rng.random() >= self.habits.interference_share:
            return await self._call(job, request)
        beside = OtherCalls(
            self.records,
            self.rng,
            request,
            self.entry,
            (self.client.host, self.client.port),
        )
        outcome = CallerOutcome.LEFT
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                nursery.start_soon(beside.run, scope)
                outcome = await self._call(job, request)
        return outcome

    async def _call(self, job, request) -> CallerOutcome:
        """Submit the job, and record the attempt until its answer or its end."""
        sent_at = trio.current_time()
        outcome, status = CallerOutcome.LEFT, 0
        try:
            answer = await self.client.request(request, self.habits.timeout + 1.0)
            outcome, status = classify_response(answer)
        finally:
            self.records.attempts.append(
                Attempt(job, self.entry, sent_at, trio.current_time(), outcome, status)
            )
        return outcome

    async def _choose_entry(self) -> None:
        await self._disconnect()
        names = [entry.name for entry in self.callers.cluster.entries()]
        if self._goes_elsewhere() and len(names) > 1:
            names.remove(self.entry)
        self.entry = self.rng.choice(names)
        proxy = self.callers.cluster.proxies[f"front of {self.entry}"]
        self.client = HttpClient(proxy.host, proxy.port)

    def _goes_elsewhere(self) -> bool:
        """Return whether the next entry must not be the last one."""
        if self.last_outcome is CallerOutcome.TIMED_OUT:
            return CallerOutcome.TIMED_OUT in self.habits.retried_outcomes
        return self.last_outcome is CallerOutcome.NO_RESPONSE

    async def _disconnect(self) -> None:
        if self.client is not None:
            await self.client.aclose()
        self.client = None
