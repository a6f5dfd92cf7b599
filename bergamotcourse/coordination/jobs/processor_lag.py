"""Load shedding of an entry that lacks processor time for the jobs that arrive.

It guards against more requests than the processor can read and place, as when a
machine becomes slow or other entries are lost. Requests then age unread and heartbeats
are late; agents end their sessions and stop the runs, which are placed again: the work
grows while fewer jobs are answered. Therefore a share of the jobs, which rises with the
lag of this process, is rejected before decoding, so that the others are served in time.
"""

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.timers import JITTER_SHARE, Timers

MEASUREMENT_INTERVAL_SECONDS = 0.05
"""Half of the least lag that matters. Each measurement costs a pass of the event loop,
0.15 ms."""

SHEDDING_START_LAG_SECONDS = 0.1
"""Lag above which jobs are rejected: less than the heartbeat interval, and more than a
batch of jobs takes on a tenth of a processor."""

MAX_SHEDDING_LAG_SECONDS = 0.25
"""Lag at which all but a few jobs are rejected: added to the heartbeat interval it is
close to the end of a session. In a replay at 1.2, 1.5 and 2 times the load that the
processor can bear, 0.66, 0.49 and 0.27 of the jobs are in time, and 0.98 at half of it.
Without rejections it is 0.01, 0.01 and 0, and 1.0 at half of it."""

MAX_SHED_SHARE = 0.95
"""Some jobs are always accepted: if all were rejected, the lag would show nothing."""

PAUSED_CPU_SHARE = 0.02
"""A process that used less than this share of the processor while it was late was
paused; the jobs that arrived meanwhile are no overload and are served. A process short
of processor time has had about a tenth of it."""


@dataclass
class LagPeaks:
    """The largest values of a period.

    Attributes:
        lag: Lateness of a measurement in seconds, without the backlog.
        backlog: Time in seconds for which payloads were to be received without a break.
    """

    lag: float = 0.0
    backlog: float = 0.0


class ProcessorLag:
    """Measures by how much a periodic call is late, and how long payloads wait.

    A receiver takes few payloads in each pass of the event loop, so that payloads may
    wait for many passes while each pass, and the lateness of a call, is short.

    Attributes:
        sheds_load: Whether jobs are rejected at all.
        process_cpu_seconds: Returns the processor time that this process has used.
        measured_at: When the lag was last measured.
        last_cpu_seconds: Processor time used as of the last measurement.
        lag: Lateness of the latest measurement in seconds, or for how long there have
            been payloads to receive, if that is longer; 0 after a pause.
        shed_share: Share of new jobs to reject.
        shedding_since: Since when jobs have been rejected without a break; ``None`` if
            they are not rejected now.
        last_shed_at: When a measurement last found that jobs must be rejected.
        backlog_seconds: Returns for how long there have been payloads to receive
            without a break.
        peaks: The largest values since they were last taken.
    """

    def __init__(
        self,
        timers: Timers,
        log: EventLog,
        rng: random.Random | None = None,
        process_cpu_seconds: Callable[[], float] = time.process_time,
        sheds_load: bool = True,
    ):
        self.sheds_load = sheds_load
        self.timers = timers
        self.log = log
        self.rng = rng or random.Random()
        self.process_cpu_seconds = process_cpu_seconds
        self.measured_at = timers.now()
        self.last_cpu_seconds = process_cpu_seconds()
        self.lag = 0.0
        self.shed_share = 0.0
        self.shedding_since: float | None = None
        self.last_shed_at = -math.inf
        self.backlog_seconds: Callable[[], float] = lambda: 0.0
        self.peaks = LagPeaks()
        timers.every(MEASUREMENT_INTERVAL_SECONDS, "processor lag", self.measure_lag)

    def should_reject_job(self) -> bool:
        """Return whether to reject the job that has just arrived."""
        return (
            self.sheds_load
            and self.shed_share > 0
            and self.rng.random() < self.shed_share
        )

    def take_peaks(self) -> LagPeaks:
        """Return the largest values since the last call."""
        peaks, self.peaks = self.peaks, LagPeaks()
        return peaks

    async def measure_lag(self) -> None:
        """Measure how late this call is, and update the share of jobs to reject."""
        now = self.timers.now()
        due = self.measured_at + MEASUREMENT_INTERVAL_SECONDS * (1 + JITTER_SHARE)
        self.measured_at = now
        cpu_seconds = self.process_cpu_seconds()
        late = max(0.0, now - due)
        paused = cpu_seconds - self.last_cpu_seconds < late * PAUSED_CPU_SHARE
        self.last_cpu_seconds = cpu_seconds
        backlog = self.backlog_seconds()
        self.lag = 0.0 if paused else max(late, backlog)
        self.peaks.lag = max(self.peaks.lag, late)
        self.peaks.backlog = max(self.peaks.backlog, backlog)
        was_short = self.shed_share > 0
        self.shed_share = shed_share_at(self.lag)
        if (self.shed_share > 0) != was_short:
            kind = "processor.enough" if was_short else "processor.short"
            self.log.write(kind, lag_ms=round(self.lag * 1000))
        self._note_shedding(now)

    def _note_shedding(self, now: float) -> None:
        if not self.sheds_load or self.shed_share == 0:
            self.shedding_since = None
            return
        self.last_shed_at = now
        if self.shedding_since is None:
            self.shedding_since = now


def shed_share_at(lag: float) -> float:
    """Return the share of jobs to reject at a lag in seconds."""
    span = MAX_SHEDDING_LAG_SECONDS - SHEDDING_START_LAG_SECONDS
    return min(max((lag - SHEDDING_START_LAG_SECONDS) / span, 0.0), MAX_SHED_SHARE)
