"""Timeouts of an upstream's answers, estimated like TCP's retransmission timeout.

Under load, one order in twenty gets no answer. A start order may be repeated at once,
and a task that starts 0.1 s late makes a short job of eight tasks late, so the time
after which an answer is considered lost should be short.
"""

from dataclasses import dataclass

MIN_TIMEOUT_SECONDS = 0.04
"""An agent on half a core is delayed by up to 27 ms by the batches of its own loop; of
10,546 starts none took longer. A copy that is sent too early costs a connection."""

MAX_TIMEOUT_SECONDS = 0.12
"""Upper bound, and timeout before the first sample. Three in a row still leave the
upstream's lease in force."""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLIER = 4
"""The weights of RFC 6298."""


@dataclass
class AnswerTimeEstimator:
    """Estimator of the time that answers take.

    Attributes:
        mean: Smoothed answer time in seconds; ``None`` before the first sample.
        deviation: Smoothed absolute deviation from the mean, in seconds.
    """

    mean: float | None = None
    deviation: float = 0.0

    def add_sample(self, seconds: float) -> None:
        """Add the seconds that an answer took."""
        if self.mean is None:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        distance = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (distance - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    def timeout(self, unanswered: int = 0) -> float:
        """Return the timeout in seconds, doubled for each unanswered order before."""
        if self.mean is None:
            return MAX_TIMEOUT_SECONDS
        seconds = max(
            MIN_TIMEOUT_SECONDS, self.mean + DEVIATION_MULTIPLIER * self.deviation
        )
        return min(MAX_TIMEOUT_SECONDS, seconds * 2**unanswered)
