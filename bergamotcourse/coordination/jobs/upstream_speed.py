"""Measurement of an upstream's speed in its current life, from completed runs.

Entries place tasks by it. An upstream that becomes slow for a time is handled by
``UpstreamHealth``.
"""

import math
from dataclasses import dataclass

SAMPLE_WEIGHT = 0.05
"""Weight of one run in the moving average. Low, as the run times of single tasks differ
from their estimates by 44%."""

MIN_RUNS = 20
"""Completed runs from which on the speed is known. At upstreams of equal speed,
averages of 5 runs differ by a factor of up to 1.9."""

MAX_SAMPLE_FACTOR = 4.0
"""Bound on a single sample, in both directions. Kinds of upstreams differ by less."""


@dataclass
class UpstreamSpeed:
    """Average ratio of run time to estimate in one life of an upstream.

    Attributes:
        runs: Number of runs in the average.
        mean_log_ratio: Moving average of log(run time / estimate).
        cold_until: Time until which the upstream is slow after its start.
    """

    runs: int = 0
    mean_log_ratio: float = 0.0
    cold_until: float = 0.0

    def record_run(self, estimate: float, ran: float, started_at: float) -> None:
        """Add a completed run.

        A run that began while the upstream was cold, or without a known time or
        estimate, is ignored.

        Args:
            estimate: Estimated run time in seconds.
            ran: Run time in seconds; 0 if unknown.
            started_at: When the run started, on the clock of ``cold_until``.
        """
        if estimate <= 0 or ran <= 0 or started_at < self.cold_until:
            return
        ratio = min(max(ran / estimate, 1 / MAX_SAMPLE_FACTOR), MAX_SAMPLE_FACTOR)
        self.runs += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.runs)
        self.mean_log_ratio += weight * (math.log(ratio) - self.mean_log_ratio)

    def record_cold(self, cold_seconds: float, now: float) -> None:
        """Record for how many seconds the upstream reports to remain slow."""
        self.cold_until = now + cold_seconds

    def slowness_percent(self) -> int:
        """Return run times in percent of the estimates; 0 if unknown."""
        if self.runs < MIN_RUNS:
            return 0
        return round(100 * math.exp(self.mean_log_ratio))

    def cold_ms(self, now: float) -> int:
        """Return the milliseconds for which the upstream remains slow."""
        return round(1000 * max(0.0, self.cold_until - now))
