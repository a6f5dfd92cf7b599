"""The jobs of the other entries, for callers that reach any entry.

The balancer gives a new connection to any entry. So an entry announces to the others
the jobs that have ended at it, and asks them for a job that it does not know.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio
from expression import Error, Ok, Result

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    EndedJob,
    JobQuery,
    JobReply,
    JobsEnded,
)
from bergamotcourse.state.job_spec import JobKey, JobState

T = TypeVar("T")

ANNOUNCEMENT_INTERVAL_SECONDS = 0.4
"""Interval of the announcements. Callers submit a job again seconds after its end."""

MAX_ANNOUNCED_JOBS = 1000
"""Most ended and most cancelled jobs that are announced at a time."""

ATTEMPT_SECONDS = 0.25
"""Time after which a peer that has not answered is asked again."""

ATTEMPTS = 3
"""How often a peer is asked. Datagrams are lost at times."""

MAX_OPEN_QUERIES = 500
"""Jobs that the peers are asked for at a time, over all callers."""


@dataclass(eq=False)
class OpenQuery:
    """A query to all peers.

    Attributes:
        unanswered: The peers that have not answered.
        state: The state that a peer has reported, ``None`` so far.
        decided: Set once the state or the answers of all peers are known.
    """

    unanswered: set[LinkAddress]
    state: JobState | None = None
    decided: trio.Event = field(default_factory=trio.Event)

    def record(self, peer: LinkAddress, state: JobState | None) -> None:
        """Record the answer of a peer."""
        self.unanswered.discard(peer)
        self.state = self.state or state
        if self.state is not None or not self.unanswered:
            self.decided.set()

    def result(self) -> Result[JobState | None, StepError]:
        """Return the state, or an error if a peer without an answer may have one."""
        if self.state is None and self.unanswered:
            peers = ", ".join(sorted(self.unanswered))
            return Error(StepError(Step.RECEIVE, peers, "no answer about a job"))
        return Ok(self.state)


class Announcements(Generic[T]):
    """Items that are told to the peers, each twice, as a datagram may be lost.

    Attributes:
        name: What they are, for the log.
        new: Items that have not been told yet.
        repeated: Items that were told once.
    """

    def __init__(self, name: str, log: EventLog):
        self.name = name
        self.log = log
        self.new: list[T] = []
        self.repeated: list[T] = []

    def add(self, item: T) -> None:
        """Add an item; beyond ``MAX_ANNOUNCED_JOBS`` it is not told."""
        if len(self.new) < MAX_ANNOUNCED_JOBS:
            self.new.append(item)
        else:
            self.log.write("jobs.not_announced", kind=self.name)

    def take(self) -> list[T]:
        """Return the items of the next announcement."""
        told, self.repeated, self.new = self.repeated + self.new, self.new, []
        return told


class PeerJobs:
    """Exchanges with the other entries what callers may ask any entry for.

    Attributes:
        jobs: The jobs of this entry.
        peers: Returns the addresses of the entries that may have jobs.
        ended: Jobs that have succeeded or failed here.
        cancelled: Jobs that callers have cancelled here.
        open_queries: Number of the queries that wait for peers.
    """

    def __init__(
        self,
        jobs: JobDispatcher,
        mailer: Mailer,
        peers: Callable[[], list[LinkAddress]],
        log: EventLog,
    ):
        self.jobs = jobs
        self.mailer = mailer
        self.peers = peers
        self.log = log
        self.ended: Announcements[EndedJob] = Announcements("ended", log)
        self.cancelled: Announcements[JobKey] = Announcements("cancelled", log)
        self.open_queries = 0
        self.nursery: trio.Nursery | None = None
        jobs.records.on_ended = self.ended.add

    async def run(self) -> None:
        """Announce ended jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(ANNOUNCEMENT_INTERVAL_SECONDS)
                self.announce()

    def announce(self) -> None:
        """Tell the peers of the jobs that ended since the last announcement but one."""
        jobs = self.ended.take()
        cancelled = self.cancelled.take()
        if jobs or cancelled:
            for peer in self.peers():
                self.mailer.post(peer, JobsEnded(jobs, cancelled))

    def tell_cancelled(self, key: JobKey) -> None:
        """Let the peers cancel a job, without waiting for their answers."""
        self.cancelled.add(key)

    def handle_message(
        self, sender: LinkAddress, message: JobsEnded | JobQuery
    ) -> None:
        """Process a message of another entry."""
        match message:
            case JobsEnded(jobs=jobs, cancelled=cancelled):
                for job in jobs:
                    self.jobs.records.record_end(job)
                for key in cancelled:
                    self.jobs.cancel(key)
            case JobQuery(key=key):
                if message.cancels:
                    self.jobs.cancel(key)
                reply = JobReply(message.id, self.jobs.records.state(key))
                self.mailer.post(sender, reply)

    async def ask(
        self, key: JobKey, cancels: bool, seconds: float
    ) -> Result[JobState | None, StepError]:
        """Ask all peers for a job.

        Args:
            key: The job.
            cancels: Whether they must cancel it.
            seconds: Seconds to wait for their answers.

        Returns:
            The state of the job; ``None`` if all have answered that they don't know it.
        """
        if self.open_queries >= MAX_OPEN_QUERIES:
            return Error(StepError(Step.SEND, "", "too many queries for jobs"))
        peers = self.peers()
        if not peers:
            return Ok(None)
        query = OpenQuery(set(peers))
        self.open_queries += 1
        self.nursery.start_soon(self._ask_all, query, key, cancels)
        with trio.move_on_after(seconds):
            await query.decided.wait()
        result = query.result()
        if result.is_error():
            self.log.write("job.peers_silent", request=key.id, error=str(result.error))
        return result

    async def _ask_all(self, query: OpenQuery, key: JobKey, cancels: bool) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for peer in list(query.unanswered):
                    nursery.start_soon(self._ask_peer, query, peer, key, cancels)
        finally:
            self.open_queries -= 1
            query.decided.set()

    async def _ask_peer(
        self, query: OpenQuery, peer: LinkAddress, key: JobKey, cancels: bool
    ) -> None:
        for _ in range(ATTEMPTS):
            result = await self.mailer.request(
                peer, lambda number: JobQuery(number, key, cancels), ATTEMPT_SECONDS
            )
            match result:
                case Result(tag="ok", ok=JobReply(state=state)):
                    query.record(peer, state)
                    return
