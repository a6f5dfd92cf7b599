"""Callers that reuse open connections and retry interrupted requests."""

import itertools
import random

import trio
from expression import Result

from bergamotcourse.tests.platform.cluster import make_job
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.records import (
    DEFAULT_VARIANT,
    Attempt,
    CallerOutcome,
    Records,
    Variant,
)
from bergamotcourse.transport.http_client import HttpClient, HttpError, Sent

RESEND_SECONDS = 1.3
"""Shortest delay after which the platform's callers retry an interrupted request."""

CALLER_TIMEOUT_SECONDS = 4.0
PATIENT_CALLER_TIMEOUT_SECONDS = 8.0
"""Timeout where workers delay orders, so that a task can be interrupted several times
before its job times out."""

IMPATIENT_CALLER_TIMEOUT_SECONDS = 1.2
"""Timeout where entries are paused for long: a caller then closes its connection, and
submits the job to another entry before the paused one wakes."""

MAX_ATTEMPTS = 3
SUBMIT_INTERVAL_SECONDS = (0.0, 0.25)
RECONNECT_SHARE = 0.5
"""Share of the jobs on new connections where entries are paused. An entry has read the
requests of most callers on open connections before it is paused."""

MAX_TASKS = 6
MAX_TASKS_OF_IMPATIENT_CALLERS = 2
"""There are more of them."""

TASK_SECONDS = (0.05, 0.1, 0.2, 0.4, 1.0)
LONG_TASK_SECONDS = (0.2, 1.0, 2.0)
"""Task lengths where entries are killed together with agents, or wake after callers
have left. Short runs rarely overlap with those that a retry starts."""

OUTCOME_BY_STATUS = {
    503: CallerOutcome.REFUSED,
    504: CallerOutcome.TIMED_OUT,
    404: CallerOutcome.GONE,
    410: CallerOutcome.GONE,
}


class Callers:
    """Concurrent callers that submit jobs until ``stopping`` is set.

    Attributes:
        stopping: Whether callers stop submitting new jobs.
        timeout: Seconds for which they wait for a response.
        retried_outcomes: Outcomes after which they submit a job again.
        reconnects: Whether callers use a new connection for a share of their jobs.
        max_tasks: Most tasks of a job.
        task_seconds: The lengths of tasks.
    """

    def __init__(
        self,
        cluster: ProxiedCluster,
        records: Records,
        rng: random.Random,
        variant: Variant = DEFAULT_VARIANT,
    ):
        self.timeout = caller_timeout(variant)
        self.retried_outcomes = {CallerOutcome.CUT, CallerOutcome.NOT_SENT}
        if variant.freezes_entries:
            self.retried_outcomes.add(CallerOutcome.NO_RESPONSE)
        long_tasks = variant.kills_together or variant.freezes_entries
        self.reconnects = variant.freezes_entries
        self.max_tasks = (
            MAX_TASKS_OF_IMPATIENT_CALLERS if variant.freezes_entries else MAX_TASKS
        )
        self.task_seconds = LONG_TASK_SECONDS if long_tasks else TASK_SECONDS
        self.cluster = cluster
        self.records = records
        self.rng = rng
        self.stopping = False
        self.numbers = itertools.count(1)

    async def run(self, count: int) -> None:
        """Run ``count`` callers, each with one job in flight at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(Caller(self, rng).run)


def caller_timeout(variant: Variant) -> float:
    """Return the seconds for which callers wait for a response."""
    if variant.freezes_entries:
        return IMPATIENT_CALLER_TIMEOUT_SECONDS
    if variant.delays_orders:
        return PATIENT_CALLER_TIMEOUT_SECONDS
    return CALLER_TIMEOUT_SECONDS


class Caller:
    """One caller, which uses the same entry as long as its connection is open."""

    def __init__(self, callers: Callers, rng: random.Random):
        self.callers = callers
        self.timeout = callers.timeout
        self.records = callers.records
        self.rng = rng
        self.entry = ""
        self.last_outcome: CallerOutcome | None = None
        self.client: HttpClient | None = None

    async def run(self) -> None:
        """Submit jobs one after another."""
        while not self.callers.stopping:
            await trio.sleep(self.rng.uniform(*SUBMIT_INTERVAL_SECONDS))
            await self._submit_job(next(self.callers.numbers))
            if self.callers.reconnects and self.rng.random() < RECONNECT_SHARE:
                await self._disconnect()
        await self._disconnect()

    async def _submit_job(self, number: int) -> None:
        work = self.rng.choice(self.callers.task_seconds)
        tasks = self.rng.randint(1, self.callers.max_tasks)
        request = make_job(number, work, tasks, caller_ms=int(self.timeout * 1000))
        job = request.target.rpartition("/")[2]
        self.records.tasks[job] = tasks
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(job, request)
            if outcome not in self.callers.retried_outcomes:
                return
            await trio.sleep(RESEND_SECONDS)

    async def _attempt(self, job, request) -> CallerOutcome:
        if self.client is None or not self.client.idle:
            await self._choose_entry()
        sent_at = trio.current_time()
        answer = await self.client.request(request, self.timeout + 1.0)
        outcome, status = classify_response(answer)
        self.last_outcome = outcome
        if outcome not in (
            CallerOutcome.SUCCEEDED,
            CallerOutcome.FAILED,
            CallerOutcome.REFUSED,
        ):
            await self._disconnect()
        self.records.attempts.append(
            Attempt(job, self.entry, sent_at, trio.current_time(), outcome, status)
        )
        return outcome

    async def _choose_entry(self) -> None:
        await self._disconnect()
        names = [entry.name for entry in self.callers.cluster.entries()]
        if self.last_outcome is CallerOutcome.NO_RESPONSE and len(names) > 1:
            names.remove(self.entry)
        self.entry = self.rng.choice(names)
        proxy = self.callers.cluster.proxies[f"front of {self.entry}"]
        self.client = HttpClient(proxy.host, proxy.port)

    async def _disconnect(self) -> None:
        if self.client is not None:
            await self.client.aclose()
        self.client = None


def classify_response(answer: Result) -> tuple[CallerOutcome, int]:
    """Return the outcome that a caller saw and the HTTP status, 0 without one."""
    match answer:
        case Result(tag="ok", ok=response) if response.status == 200:
            done = b'"succeeded"' in response.body
            return CallerOutcome.SUCCEEDED if done else CallerOutcome.FAILED, 200
        case Result(tag="ok", ok=response):
            return OUTCOME_BY_STATUS.get(
                response.status, CallerOutcome.UNEXPECTED_STATUS
            ), response.status
        case Result(tag="error", error=HttpError(sent=Sent.NOTHING)):
            return CallerOutcome.NOT_SENT, 0
        case Result(tag="error", error=HttpError(detail="timed out")):
            return CallerOutcome.NO_RESPONSE, 0
        case _:
            return CallerOutcome.CUT, 0
