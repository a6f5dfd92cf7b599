"""How long to wait for an upstream's answer: learnt, as TCP learns when to send again.

Load it answers: a twentieth of the orders gets no answer. An order to start may be
repeated at once, and a task that starts a tenth of a second late makes a short job of
eight tasks late; so the time after which an answer is taken as lost matters.
"""

from dataclasses import dataclass

LEAST_SECONDS = 0.04
"""An agent on half a core is held up for up to 27 ms by the batches of its own loop;
of 10,546 starts none took longer. A copy sent too soon costs a connection."""

MOST_SECONDS = 0.12
"""Before anything is known, and at most: three in a row still leave the upstream's
lease in force."""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
"""The weights of RFC 6298."""


@dataclass
class AnswerTime:
    """The time that answers take.

    Attributes:
        mean: Smoothed seconds; ``None`` before the first answer.
        deviation: Smoothed distance from the mean.
    """

    mean: float | None = None
    deviation: float = 0.0

    def learn(self, seconds: float) -> None:
        """Take the time that an answer took."""
        if self.mean is None:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        distance = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (distance - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    def timeout(self, unanswered: int = 0) -> float:
        """Return the seconds to wait, doubled for each order before that had none."""
        if self.mean is None:
            return MOST_SECONDS
        seconds = max(LEAST_SECONDS, self.mean + DEVIATIONS * self.deviation)
        return min(MOST_SECONDS, seconds * 2**unanswered)
