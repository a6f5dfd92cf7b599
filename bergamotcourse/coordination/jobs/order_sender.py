"""Sends orders to one life of an upstream, and repeats them where that is safe."""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.jobs.answer_time import AnswerTimeEstimator
from bergamotcourse.coordination.jobs.lease_terms import (
    HOLD_LONG_POLL_SECONDS,
    HOLD_TIMEOUT_SECONDS,
)
from bergamotcourse.coordination.jobs.task_runs import PlacedRun
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    RunKey,
    StartOrder,
    StartReply,
    StartVerdict,
)

MAX_START_ATTEMPTS = 4
"""Start orders may be repeated, as the upstream treats a copy as the same run. With the
timeout doubled each time, no order is lost to an upstream that pauses for 0.3 s."""

LOSSY_LONG_POLL_SECONDS = 0.03
"""Long poll of a hold while orders are being lost. Ends listed in a lost answer are
then known 0.07 s later instead of 0.23 s."""

LOSSY_PERIOD_SECONDS = 3.0
"""Time after an unanswered order in which orders are assumed to be lost."""

ORDER_RETRY_SECONDS = 0.03
"""Delay before a failed order is repeated."""


class OrderSender:
    """Sends orders, and keeps the clock offset and lease of the upstream up to date.

    Attributes:
        adapts_timeouts: Whether timeouts follow the measured answer times.
        lossy_until: Time until which orders are assumed to be lost.
    """

    def __init__(self, timers: Timers, adapts_timeouts: bool = True):
        self.timers = timers
        self.adapts_timeouts = adapts_timeouts
        self.answer_time = AnswerTimeEstimator()
        self.lossy_until = 0.0

    async def start(
        self,
        run: PlacedRun,
        life: UpstreamLife,
        may_start: Callable[[], bool],
        may_extend_lease: Callable[[], bool],
    ) -> StartVerdict:
        """Order a run to start, repeating the order while it has no answer.

        Args:
            run: The run.
            life: The life of the upstream that is to run it.
            may_start: Called right before each order; returns whether the run may still
                start. This process may have been paused since the run was placed.
            may_extend_lease: Called right before the first order; returns whether it
                may extend the lease. Otherwise it names the end that was ordered last.

        Returns:
            The verdict. With ``UNKNOWN`` the run may have run, or may still start.
        """
        order = None
        for attempt in range(MAX_START_ATTEMPTS):
            if not may_start():
                return StartVerdict.UNKNOWN if attempt else StartVerdict.TOO_LATE
            if order is None:
                # Copies do not extend the lease: if the upstream is lost, its runs have
                # certainly ended only once the last lease ordered has expired.
                until = (
                    life.extend_lease(self.timers.lease_now())
                    if may_extend_lease()
                    else life.lease_until
                )
                order = StartOrder(run.key, run.order.payload, until)
            reply = await self._start_once(run, life, order, attempt)
            life.update_clock(reply.clock, self.timers.lease_now())
            if reply.verdict is StartVerdict.STARTED:
                return reply.verdict
            if reply.verdict is not StartVerdict.UNKNOWN:
                # An earlier copy may have been carried out, whatever this reply says.
                return StartVerdict.UNKNOWN if attempt else reply.verdict
            if run.stop_requested:
                return StartVerdict.UNKNOWN
        return StartVerdict.UNKNOWN

    async def _start_once(
        self, run: PlacedRun, life: UpstreamLife, order: StartOrder, attempt: int
    ) -> StartReply:
        asked_at, sent_at = self.timers.now(), self.timers.lease_now()
        timeout = self.answer_time.timeout(attempt)
        reply = await life.port.start(order, timeout)
        answered_at = self._date_answer(life, reply.clock, sent_at)
        if reply.verdict is StartVerdict.STARTED:
            run.started_at = answered_at
        if reply.verdict is StartVerdict.UNKNOWN:
            self.lossy_until = self.timers.now() + LOSSY_PERIOD_SECONDS
        elif self.adapts_timeouts:
            self.answer_time.add_sample(self.timers.now() - asked_at)
        return reply

    async def stop(self, key: RunKey, life: UpstreamLife) -> bool:
        """Order the upstream to stop or bar a run; return whether it has confirmed."""
        if await life.port.stop(key, self.answer_time.timeout()):
            return True
        self.lossy_until = self.timers.now() + LOSSY_PERIOD_SECONDS
        await trio.sleep(ORDER_RETRY_SECONDS)
        return False

    async def hold(
        self, life: UpstreamLife, renews: bool, waits: bool
    ) -> Holding | HoldFailure:
        """Send a hold, and return the answer or the reason why there is none.

        Args:
            life: The life of the upstream. Its processed ends are acknowledged.
            renews: Whether the hold renews the lease.
            waits: Whether the upstream waits for ends of runs before it answers.
        """
        until = life.extend_lease(self.timers.lease_now()) if renews else None
        wait = self._long_poll_seconds(renews) if waits else 0.0
        noted = life.processed_ends
        timeout = wait + self.answer_time.timeout(life.failed_holds)
        timeout = min(timeout, HOLD_TIMEOUT_SECONDS)
        answer = await self._send_hold(life, noted, until, wait, timeout)
        if isinstance(answer, Holding):
            life.acknowledged_ends = noted
            life.update_clock(answer.clock, self.timers.lease_now())
        elif answer is HoldFailure.NO_ANSWER:
            self.lossy_until = self.timers.now() + LOSSY_PERIOD_SECONDS
        return answer

    def _long_poll_seconds(self, renews: bool) -> float:
        # The next hold after one that did not renew the lease should not come late.
        is_lossy = self.timers.now() < self.lossy_until or not renews
        if self.adapts_timeouts and is_lossy:
            return LOSSY_LONG_POLL_SECONDS
        return HOLD_LONG_POLL_SECONDS

    async def probe(self, life: UpstreamLife) -> Holding | HoldFailure:
        """Send a hold that neither waits nor renews the lease.

        It carries this process's fencing token.
        """
        return await self._send_hold(
            life, life.processed_ends, None, 0.0, HOLD_TIMEOUT_SECONDS
        )

    async def _send_hold(
        self,
        life: UpstreamLife,
        noted: int,
        until: float | None,
        wait: float,
        timeout: float,
    ) -> Holding | HoldFailure:
        """Send a hold, and date the list in its answer."""
        sent_at = self.timers.lease_now()
        answer = await life.port.hold(noted, until, wait, timeout)
        if isinstance(answer, Holding):
            life.answer_made_at = self._date_answer(life, answer.clock, sent_at)
        return answer

    def _date_answer(
        self, life: UpstreamLife, clock: float | None, sent_at: float
    ) -> float:
        """Return when an answer was made, or the time now if it has no clock."""
        if clock is None:
            return self.timers.now()
        received_at = self.timers.lease_now()
        age = received_at - life.clock.date_answer(clock, sent_at, received_at)
        return self.timers.now() - age
