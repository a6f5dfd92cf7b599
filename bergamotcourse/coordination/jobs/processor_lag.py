"""Whether this entry has enough processor time for the jobs that come.

Load it answers: more requests than the processor can read and place, as when a machine
turns slow or other entries are lost. Requests then age unread, heartbeats are late,
agents end their sessions and stop what runs, and it is placed again: ever more work for
ever fewer answers. A share of the jobs, larger the later this process runs, is turned
away before it is decoded, so that the rest is served in time.
"""

import random
import time
from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.timers import JITTER_SHARE, Timers

LOOK_SECONDS = 0.05
"""Between looks; half of the lateness that matters. Each costs a turn of the scheduler,
0.15 ms."""

LEAST_LAG_SECONDS = 0.1
"""Lateness from which on jobs are turned away: less than the time between heartbeats,
and more than a batch of jobs takes on a tenth of a processor."""

MOST_LAG_SECONDS = 0.25
"""Lateness at which all but a few are: with the time between heartbeats it comes near
the end of a session. Replayed at 1.2, 1.5 and 2 times the load that the processor can
bear, 0.66, 0.49 and 0.27 of the jobs are in time, at half of it 0.98; with none turned
away 0.01, 0.01 and 0, and 1.0."""

MOST_SHARE = 0.95
"""Some are always taken: were all turned away, the lateness would say nothing."""


PAUSE_SHARE = 0.02
"""A process that used less of the processor than this while it was late was paused:
what came meanwhile is not too much, and is served. One that is short of processor time
has had a tenth of it or so."""


class ProcessorLag:
    """Measures by how much periodic calls are late.

    Attributes:
        turns: Whether jobs are turned away at all.
        used: Tells the seconds of processor time that this process has used.
        lag: Lateness of the latest look, in seconds.
        share: Share of new jobs to be turned away.
    """

    def __init__(
        self,
        timers: Timers,
        log: EventLog,
        rng: random.Random | None = None,
        used: Callable[[], float] = time.process_time,
        turns: bool = True,
    ):
        self.turns = turns
        self.timers = timers
        self.log = log
        self.rng = rng or random.Random()
        self.used = used
        self.looked_at = timers.now()
        self.used_before = used()
        self.lag = 0.0
        self.share = 0.0
        timers.every(LOOK_SECONDS, "processor lag", self.look)

    def turns_away(self) -> bool:
        """Return whether the job that has just come is to be turned away."""
        return self.turns and self.share > 0 and self.rng.random() < self.share

    async def look(self) -> None:
        """Note how late this call is."""
        now = self.timers.now()
        due = self.looked_at + LOOK_SECONDS * (1 + JITTER_SHARE)
        self.looked_at = now
        used = self.used()
        late = max(0.0, now - due)
        paused = used - self.used_before < late * PAUSE_SHARE
        self.used_before = used
        self.lag = 0.0 if paused else late
        was_short = self.share > 0
        self.share = share_for(self.lag)
        if (self.share > 0) != was_short:
            kind = "processor.enough" if was_short else "processor.short"
            self.log.write(kind, lag_ms=round(self.lag * 1000))


def share_for(lag: float) -> float:
    """Return the share of jobs to be turned away at a lateness in seconds."""
    span = MOST_LAG_SECONDS - LEAST_LAG_SECONDS
    return min(max((lag - LEAST_LAG_SECONDS) / span, 0.0), MOST_SHARE)
