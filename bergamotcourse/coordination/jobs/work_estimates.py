"""Learns, by queue, the ratio of actual to declared task run times.

It serves loads in which declared times are off by 40% overall, with a bias that differs
between queues. Without a correction, the tasks of one queue would seem more urgent than
they are, and an upstream that runs many of them would seem slow.
"""

import math

SAMPLE_WEIGHT = 0.02
"""Weight of one sample in the moving average. The factor of a queue that completes 10
tasks a second is known after 5 s."""

MAX_CORRECTION_FACTOR = 4.0
"""Bound on a single sample, and thereby on the correction, so that an upstream that is
ten times too slow does not inflate the estimate of a queue."""


class WorkEstimates:
    """Correction factors for declared run times, by queue.

    Attributes:
        mean_log_ratios: Moving average of log(actual / declared run time), by queue.
    """

    def __init__(self):
        self.mean_log_ratios: dict[str, float] = {}

    def record_run_time(self, queue: str, declared: float, ran: float) -> None:
        """Add the run time of a completed task; zero or negative times are ignored.

        Args:
            queue: Name of the queue.
            declared: Declared run time in seconds.
            ran: Actual run time in seconds.
        """
        if declared <= 0 or ran <= 0:
            return
        ratio = min(
            max(ran / declared, 1 / MAX_CORRECTION_FACTOR), MAX_CORRECTION_FACTOR
        )
        known = self.mean_log_ratios.get(queue, 0.0)
        self.mean_log_ratios[queue] = known + SAMPLE_WEIGHT * (math.log(ratio) - known)

    def factor(self, queue: str) -> float:
        """Return the factor by which to multiply the declared times of a queue."""
        return math.exp(self.mean_log_ratios.get(queue, 0.0))
