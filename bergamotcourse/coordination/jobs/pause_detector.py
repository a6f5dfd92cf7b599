"""Detection of pauses of this process, after which its view of others is out of date.

A process that did not run for a while finds its peers silent, although they have sent
messages that it has not read yet. Only silence while it ran is the peers' own.
"""

import math

from bergamotcourse.coordination.timers import Timers

CHECK_INTERVAL_SECONDS = 0.1


class PauseDetector:
    """Remembers the latest pause of this process.

    Attributes:
        min_seconds: Shortest pause that is detected.
        active_at: When this process was last known to run.
        paused_at: When the latest pause began.
        resumed_at: When it ended.
    """

    def __init__(self, timers: Timers, min_seconds: float):
        self.timers = timers
        self.min_seconds = min_seconds
        self.active_at = timers.now()
        self.paused_at = self.resumed_at = -math.inf
        timers.every(CHECK_INTERVAL_SECONDS, "pause detector", self._check)

    def update(self) -> None:
        """Record a pause that has just ended."""
        now = self.timers.now()
        if now - self.active_at >= self.min_seconds:
            self.paused_at, self.resumed_at = self.active_at, now
        self.active_at = now

    async def _check(self) -> None:
        self.update()
