"""A circuit breaker: calls to a failing peer fail at once instead of waiting."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio


class BreakerState(Enum):
    """Which calls are permitted.

    Attributes:
        CLOSED: All calls are permitted.
        OPEN: No call is permitted.
        HALF_OPEN: Only the probe in flight is permitted.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True)
class Permit:
    """Permission for one call; the caller reports the outcome of the call with it.

    Attributes:
        probe: The call is the probe that decides whether the breaker closes.
    """

    probe: bool


class CircuitBreaker:
    """Opens after consecutive failures and closes after a successful probe.

    Attributes:
        threshold: Consecutive failures that open the breaker.
        pause: Seconds from opening until a probe is permitted.
        clock: Returns seconds on a monotonic clock.
    """

    def __init__(
        self,
        threshold: int,
        pause: float,
        clock: Callable[[], float] = trio.current_time,
    ):
        self.threshold = threshold
        self.pause = pause
        self.clock = clock
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.opened_at = 0.0

    def acquire(self) -> Permit | None:
        """Return a permit for one call, or ``None`` if the call must fail at once."""
        match self.state:
            case BreakerState.CLOSED:
                return Permit(probe=False)
            case BreakerState.OPEN if self.clock() >= self.opened_at + self.pause:
                self.state = BreakerState.HALF_OPEN
                return Permit(probe=True)
            case _:
                return None

    def succeed(self, permit: Permit) -> None:
        """Record a success; ignored for a call that began before the breaker opened."""
        if permit.probe or self.state is BreakerState.CLOSED:
            self.state = BreakerState.CLOSED
            self.failures = 0

    def fail(self, permit: Permit) -> None:
        """Record a failure; ignored for a call that began before the breaker opened."""
        if permit.probe:
            self._open()
        elif self.state is BreakerState.CLOSED:
            self.failures += 1
            if self.failures >= self.threshold:
                self._open()

    def abandon(self, permit: Permit) -> None:
        """Record a cancelled call; after a cancelled probe the next call probes."""
        if permit.probe:
            self.state = BreakerState.OPEN

    def _open(self) -> None:
        self.state = BreakerState.OPEN
        self.opened_at = self.clock()
