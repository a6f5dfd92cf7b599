"""Callers that keep using open connections, and send again what was cut."""

import itertools
import random

import trio
from expression import Result

from bergamotcourse.tests.platform.cluster import make_job
from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.records import Attempt, Records, Seen
from bergamotcourse.transport.http_client import HttpClient, HttpError, Sent

RESEND_SECONDS = 1.3
"""The soonest that callers of the platform send again what was cut."""

CALLER_SECONDS = 4.0
ATTEMPTS = 3
PAUSE_SECONDS = (0.0, 0.25)
MOST_TASKS = 6
WORK_SECONDS = (0.05, 0.1, 0.2, 0.4, 1.0)

SEEN = {503: Seen.REFUSED, 504: Seen.TIMED_OUT, 404: Seen.GONE, 410: Seen.GONE}


class Callers:
    """Hands jobs in until it is told to stop.

    Attributes:
        stopping: No new jobs.
    """

    def __init__(self, cluster: ProxiedCluster, records: Records, rng: random.Random):
        self.cluster = cluster
        self.records = records
        self.rng = rng
        self.stopping = False
        self.numbers = itertools.count(1)

    async def run(self, count: int) -> None:
        """Run so many callers, each with one job at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                rng = random.Random(self.rng.getrandbits(64))
                nursery.start_soon(Caller(self, rng).run)


class Caller:
    """One caller: it stays with its entry as long as the connection is open."""

    def __init__(self, callers: Callers, rng: random.Random):
        self.callers = callers
        self.records = callers.records
        self.rng = rng
        self.entry = ""
        self.client: HttpClient | None = None

    async def run(self) -> None:
        """Hand in one job after the other."""
        while not self.callers.stopping:
            await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            await self._hand_in(next(self.callers.numbers))
        await self._leave()

    async def _hand_in(self, number: int) -> None:
        work = self.rng.choice(WORK_SECONDS)
        tasks = self.rng.randint(1, MOST_TASKS)
        request = make_job(number, work, tasks, caller_ms=int(CALLER_SECONDS * 1000))
        job = request.target.rpartition("/")[2]
        self.records.tasks[job] = tasks
        for _ in range(ATTEMPTS):
            seen = await self._attempt(job, request)
            if seen not in (Seen.CUT, Seen.NOT_SENT):
                return
            await trio.sleep(RESEND_SECONDS)

    async def _attempt(self, job, request) -> Seen:
        if self.client is None or not self.client.idle:
            await self._choose_entry()
        sent_at = trio.current_time()
        answer = await self.client.request(request, CALLER_SECONDS + 1.0)
        seen, status = read_answer(answer)
        if seen not in (Seen.SUCCEEDED, Seen.FAILED, Seen.REFUSED):
            await self._leave()
        self.records.attempts.append(
            Attempt(job, self.entry, sent_at, trio.current_time(), seen, status)
        )
        return seen

    async def _choose_entry(self) -> None:
        await self._leave()
        self.entry = self.rng.choice(self.callers.cluster.entries()).name
        proxy = self.callers.cluster.proxies[f"front of {self.entry}"]
        self.client = HttpClient(proxy.host, proxy.port)

    async def _leave(self) -> None:
        if self.client is not None:
            await self.client.aclose()
        self.client = None


def read_answer(answer: Result) -> tuple[Seen, int]:
    """Return what a caller saw, and the status it got."""
    match answer:
        case Result(tag="ok", ok=response) if response.status == 200:
            done = b'"succeeded"' in response.body
            return Seen.SUCCEEDED if done else Seen.FAILED, 200
        case Result(tag="ok", ok=response):
            return SEEN.get(response.status, Seen.ODD), response.status
        case Result(tag="error", error=HttpError(sent=Sent.NOTHING)):
            return Seen.NOT_SENT, 0
        case Result(tag="error", error=HttpError(detail="timed out")):
            return Seen.SILENT, 0
        case _:
            return Seen.CUT, 0
