"""Orders to one life of an upstream, repeated as far as that is safe."""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.jobs.answer_time import AnswerTime
from bergamotcourse.coordination.jobs.lease_terms import (
    HOLD_TIMEOUT_SECONDS,
    HOLD_WAIT_SECONDS,
)
from bergamotcourse.coordination.jobs.task_runs import PlacedRun
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    StartOrder,
    StartReply,
    StartVerdict,
)

START_ATTEMPTS = 4
"""An order to start may be repeated: the upstream takes a copy for the same run. With
the times to wait doubled, an upstream that stands still for 0.3 s loses nothing."""

SHORT_WAIT_SECONDS = 0.03
"""A renewal waits so long for news while orders get lost: ends that a lost answer held
are then known 0.07 s later, not 0.23 s."""

LOSSY_SECONDS = 3.0
"""An upstream that has left an order unanswered is taken to do so for so long."""

RETRY_SECONDS = 0.03
"""Pause before an order that failed is given again."""


class OrderGiver:
    """Gives orders, and keeps the clock and the lease of the upstream up to date.

    Attributes:
        learns: Whether the time to wait for answers is learnt.
        lossy_until: Until when orders are taken to get lost.
    """

    def __init__(self, timers: Timers, learns: bool = True):
        self.timers = timers
        self.learns = learns
        self.answer_time = AnswerTime()
        self.lossy_until = 0.0

    async def start(
        self, run: PlacedRun, life: UpstreamLife, may_start: Callable[[], bool]
    ) -> StartVerdict:
        """Order a run to start; after ``UNKNOWN`` it may start yet, or have run.

        Args:
            run: The run.
            life: Of the upstream that is to run it.
            may_start: Asked right before each order: this process may have been
                paused since the run was taken, and the order renews the lease.
        """
        order = None
        for attempt in range(START_ATTEMPTS):
            if not may_start():
                return StartVerdict.UNKNOWN if attempt else StartVerdict.TOO_LATE
            if order is None:
                # A copy renews no further: the upstream may be lost, and its runs are
                # known to be over only once what was last ordered has lapsed.
                until = life.renew(self.timers.lease_now())
                order = StartOrder(run.key, run.order.payload, until)
            reply = await self._start_once(life, order, attempt)
            life.note_clock(reply.clock, self.timers.lease_now())
            if reply.verdict is StartVerdict.STARTED:
                return reply.verdict
            if reply.verdict is not StartVerdict.UNKNOWN:
                # An earlier copy may have been carried out, whatever becomes of this.
                return StartVerdict.UNKNOWN if attempt else reply.verdict
            if run.stop_wanted:
                return StartVerdict.UNKNOWN
        return StartVerdict.UNKNOWN

    async def _start_once(
        self, life: UpstreamLife, order: StartOrder, attempt: int
    ) -> StartReply:
        asked_at = self.timers.now()
        timeout = self.answer_time.timeout(attempt)
        reply = await life.port.start(order, timeout)
        if reply.verdict is StartVerdict.UNKNOWN:
            self.lossy_until = self.timers.now() + LOSSY_SECONDS
        elif self.learns:
            self.answer_time.learn(self.timers.now() - asked_at)
        return reply

    async def stop(self, run: PlacedRun, life: UpstreamLife) -> bool:
        """Order a run to stop, or bar it; true once the upstream said so."""
        if await life.port.stop(run.key, self.answer_time.timeout()):
            return True
        self.lossy_until = self.timers.now() + LOSSY_SECONDS
        await trio.sleep(RETRY_SECONDS)
        return False

    async def hold(
        self, life: UpstreamLife, renews: bool, waits: bool
    ) -> Holding | HoldFailure:
        """Note ends, renew the lease if wanted, and wait a little for news."""
        until = life.renew(self.timers.lease_now()) if renews else None
        wait = self._wait_for_news() if waits else 0.0
        noted = life.noted
        timeout = wait + self.answer_time.timeout(life.failed_holds)
        timeout = min(timeout, HOLD_TIMEOUT_SECONDS)
        answer = await life.port.hold(noted, until, wait, timeout)
        if isinstance(answer, Holding):
            life.told = noted
            life.note_clock(answer.clock, self.timers.lease_now())
        elif answer is HoldFailure.NO_ANSWER:
            self.lossy_until = self.timers.now() + LOSSY_SECONDS
        return answer

    def _wait_for_news(self) -> float:
        if self.learns and self.timers.now() < self.lossy_until:
            return SHORT_WAIT_SECONDS
        return HOLD_WAIT_SECONDS

    async def look(self, life: UpstreamLife) -> Holding | HoldFailure:
        """Ask what runs, renewing nothing; shows this process's token."""
        return await life.port.hold(life.noted, None, 0.0, HOLD_TIMEOUT_SECONDS)
