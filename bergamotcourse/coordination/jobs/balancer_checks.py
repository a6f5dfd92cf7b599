"""The time for which the balancer has sent callers to this entry without a break.

The entry derives it from the readiness checks that it answers. So a restart, a long
pause and a loss of the network are noticed alike, and a pause that the balancer did not
notice is not taken for one.
"""

import math

AWAY_SECONDS = 2.5
"""Time without an answered check after which the balancer has removed this entry. It
checks once a second and removes an entry after two misses: there are 2 s between two
answers if one check is missed, and 3 s if two are."""


class BalancerChecks:
    """Remembers the readiness checks that this entry has answered.

    Attributes:
        answered_at: When a check was last answered.
        began_at: When the first check of the present series was answered; ``None``
            before the first one.
    """

    def __init__(self):
        self.answered_at = -math.inf
        self.began_at: float | None = None

    def record(self, now: float, ready: bool) -> None:
        """Record the answer to a check; one with "not ready" counts as missed."""
        if not ready:
            return
        if not self._is_recent(now):
            self.began_at = now
        self.answered_at = now

    def serving_since(self, now: float) -> float | None:
        """Return since when the balancer sends callers, or ``None`` if it does not."""
        return self.began_at if self._is_recent(now) else None

    def _is_recent(self, now: float) -> bool:
        return now - self.answered_at <= AWAY_SECONDS
