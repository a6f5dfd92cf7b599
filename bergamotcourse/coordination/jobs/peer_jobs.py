"""The jobs of the other entries, for callers that reach any entry.

The balancer gives a new connection to any entry. So an entry announces to the others
the jobs that have ended at it.
"""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    EndedJob,
    JobsEnded,
)

ANNOUNCEMENT_INTERVAL_SECONDS = 0.4
"""Interval of the announcements. Callers submit a job again seconds after its end."""

MAX_ANNOUNCED_JOBS = 1000
"""Most jobs in an announcement, which has about 16 bytes for each."""


class PeerJobs:
    """Exchanges with the other entries what callers may ask any entry for.

    Attributes:
        jobs: The jobs of this entry.
        peers: Returns the addresses of the entries that may have jobs.
        unannounced: Jobs that have ended since the last announcement.
        announced: Jobs of the last announcement. The next one repeats them, as a
            datagram may be lost.
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
        self.unannounced: list[EndedJob] = []
        self.announced: list[EndedJob] = []
        jobs.records.on_ended = self.unannounced.append

    async def run(self) -> None:
        """Announce ended jobs until cancelled."""
        while True:
            await trio.sleep(ANNOUNCEMENT_INTERVAL_SECONDS)
            self.announce()

    def announce(self) -> None:
        """Tell the peers of the jobs that ended since the last announcement but one."""
        new = self.unannounced[:MAX_ANNOUNCED_JOBS]
        del self.unannounced[: len(new)]
        if len(self.unannounced) > MAX_ANNOUNCED_JOBS:
            self.log.write("jobs.not_announced", count=len(self.unannounced))
            self.unannounced.clear()
        jobs, self.announced = self.announced + new, new
        if jobs:
            for peer in self.peers():
                self.mailer.post(peer, JobsEnded(jobs))

    def handle_message(self, message: JobsEnded) -> None:
        """Process an announcement of another entry."""
        for job in message.jobs:
            self.jobs.records.record_end(job)
