"""The timer service, the only source of time for the other parts.

Parts read the time here and subscribe calls to a period. The service runs on trio's
clock, so that tests can run it on a virtual one. Only monotonic time is used.
"""

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

JITTER_SHARE = 0.1
"""Periods vary at random by up to this share, so that processes do not act in step."""


def suspended_seconds() -> float:
    """Return the seconds for which the machine was suspended since it booted."""
    booted = time.clock_gettime(time.CLOCK_BOOTTIME)
    return booted - time.clock_gettime(time.CLOCK_MONOTONIC)


@dataclass
class Subscription:
    """One periodic call.

    Attributes:
        period: Seconds between calls.
        active: Set it to false to end the subscription.
    """

    name: str
    period: float
    call: Callable[[], Awaitable[None]]
    active: bool = True


class Timers:
    """Calls subscribers periodically and provides the time.

    Attributes:
        rng: Source of the jitter.
        pending: Subscriptions made before the service runs.
        on_failed: Called with a subscription whose call raised an exception, and with
            the exception; the subscription goes on. ``None`` lets it end ``run``.
    """

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random()
        self.nursery: trio.Nursery | None = None
        self.pending: list[Subscription] = []
        self.on_failed: Callable[[Subscription, Exception], None] | None = None

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return trio.current_time()

    def lease_now(self) -> float:
        """Return seconds on a clock that includes suspensions of the machine.

        The monotonic clock stops while a machine is suspended: a lease measured on it
        would seem valid after it has expired for all other processes.
        """
        return self.now() + suspended_seconds()

    def now_ms(self) -> int:
        """Return milliseconds on the monotonic clock."""
        return int(trio.current_time() * 1000)

    def every(
        self, period: float, name: str, call: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Subscribe a call to a period in seconds; return the subscription."""
        subscription = Subscription(name, period, call)
        if self.nursery is None:
            self.pending.append(subscription)
        else:
            self.nursery.start_soon(self._serve, subscription, name=name)
        return subscription

    async def call_once(self, name: str, call: Callable[[], Awaitable[None]]) -> None:
        """Call a subscriber now, before its first period."""
        try:
            await call()
        except Exception as error:
            self._fail(Subscription(name, 0.0, call), error)

    async def run(self) -> None:
        """Run all subscriptions until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for subscription in self.pending:
                nursery.start_soon(self._serve, subscription, name=subscription.name)
            self.pending.clear()
            await trio.sleep_forever()

    async def _serve(self, subscription: Subscription) -> None:
        while subscription.active:
            spread = 1 + JITTER_SHARE * (2 * self.rng.random() - 1)
            await trio.sleep(subscription.period * spread)
            if subscription.active:
                await self._call_guarded(subscription)

    async def _call_guarded(self, subscription: Subscription) -> None:
        try:
            await self.call(subscription)
        except Exception as error:
            self._fail(subscription, error)

    def _fail(self, subscription: Subscription, error: Exception) -> None:
        if self.on_failed is None:
            raise error
        self.on_failed(subscription, error)

    async def call(self, subscription: Subscription) -> None:
        """Call a subscriber."""
        await subscription.call()
