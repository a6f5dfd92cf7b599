"""Bounded attempts with exponential backoff and full jitter.

The formula is that of ``tenacity.wait_random_exponential``, which is not used because
it draws from the global random source, and that cannot be seeded for a single caller.
"""

import random
from dataclasses import dataclass

import trio


@dataclass(frozen=True)
class RetryLimits:
    """Limits of one call including its retries; times in seconds.

    Attributes:
        timeout: Timeout of the whole call.
        attempt_timeout: Timeout of one attempt.
        attempts: Maximum number of attempts.
        backoff_base: Upper bound of the first backoff; it doubles with each retry.
        backoff_cap: Upper bound of every backoff.
    """

    timeout: float = 2.0
    attempt_timeout: float = 0.9
    attempts: int = 3
    backoff_base: float = 0.05
    backoff_cap: float = 1.0


class Attempts:
    """Counts and times the attempts of one call.

    Attributes:
        deadline: Time on trio's clock by which every attempt and backoff ends.
        completed_attempts: Number of attempts that have ended.
    """

    def __init__(
        self, limits: RetryLimits, rng: random.Random, deadline: float | None = None
    ):
        self.limits = limits
        self.rng = rng
        if deadline is None:
            deadline = trio.current_time() + limits.timeout
        self.deadline = deadline
        self.completed_attempts = 0

    def remaining(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - trio.current_time())

    def attempt_timeout(self) -> float:
        """Return the timeout of the next attempt in seconds."""
        return min(self.limits.attempt_timeout, self.remaining())

    async def wait_for_retry(self) -> bool:
        """Count the attempt that ended and back off before the next one.

        Returns:
            False, without a backoff, if no attempt is left or the backoff would last
            until the deadline.
        """
        self.completed_attempts += 1
        pause = self.rng.uniform(0, self._max_backoff())
        if self.completed_attempts >= self.limits.attempts or pause >= self.remaining():
            return False
        await trio.sleep(pause)
        return True

    def _max_backoff(self) -> float:
        bound = self.limits.backoff_base * 2 ** (self.completed_attempts - 1)
        return min(self.limits.backoff_cap, bound)
