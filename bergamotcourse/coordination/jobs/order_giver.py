"""Orders to one life of an upstream, repeated as far as that is safe."""

from collections.abc import Callable

import trio

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
    StartVerdict,
)

START_TIMEOUT_SECONDS = 0.12
"""An upstream beside its agent answers an order within a few milliseconds."""

START_ATTEMPTS = 3
"""An order to start may be repeated: the upstream takes a copy for the same run."""

STOP_TIMEOUT_SECONDS = 0.12

RETRY_SECONDS = 0.03
"""Pause before an order that failed is given again."""


class OrderGiver:
    """Gives orders, and keeps the clock and the lease of the upstream up to date."""

    def __init__(self, timers: Timers):
        self.timers = timers

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
        for attempt in range(START_ATTEMPTS):
            if not may_start():
                return StartVerdict.UNKNOWN if attempt else StartVerdict.TOO_LATE
            until = life.renew(self.timers.lease_now())
            order = StartOrder(run.key, run.order.payload, until)
            reply = await life.port.start(order, START_TIMEOUT_SECONDS)
            life.hear_clock(reply.clock, self.timers.lease_now())
            if reply.verdict is StartVerdict.STARTED or run.stop_wanted:
                return reply.verdict
            if reply.verdict is not StartVerdict.UNKNOWN:
                # An earlier copy may have been carried out, whatever becomes of this.
                return StartVerdict.UNKNOWN if attempt else reply.verdict
        return StartVerdict.UNKNOWN

    async def stop(self, run: PlacedRun, life: UpstreamLife) -> bool:
        """Order a run to stop, or bar it; true once the upstream said so."""
        if await life.port.stop(run.key, STOP_TIMEOUT_SECONDS):
            return True
        await trio.sleep(RETRY_SECONDS)
        return False

    async def hold(
        self, life: UpstreamLife, renews: bool, waits: bool
    ) -> Holding | HoldFailure:
        """Note ends, renew the lease if wanted, and wait a little for news."""
        until = life.renew(self.timers.lease_now()) if renews else None
        wait = HOLD_WAIT_SECONDS if waits else 0.0
        noted = life.noted
        answer = await life.port.hold(noted, until, wait, HOLD_TIMEOUT_SECONDS)
        if isinstance(answer, Holding):
            life.told = noted
            life.hear_clock(answer.clock, self.timers.lease_now())
        return answer

    async def look(self, life: UpstreamLife) -> Holding | HoldFailure:
        """Ask what runs, renewing nothing; shows this process's token."""
        return await life.port.hold(life.noted, None, 0.0, HOLD_TIMEOUT_SECONDS)
