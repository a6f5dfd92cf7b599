"""How long a sender waits for a confirmation before it sends again (RFC 6298)."""

from bergamotcourse.coordination.jobs.lease_terms import (
    MAX_RETRANSMIT_SECONDS,
    RETRANSMIT_SECONDS,
)

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
BACKOFF = 2.0


class ResendTimer:
    """The time-out of one stream, learnt from its round trips.

    Attributes:
        wait: Seconds from a send until the next one of the same item.
    """

    def __init__(self):
        self.mean: float | None = None
        self.deviation = 0.0
        self.wait = RETRANSMIT_SECONDS

    def learn(self, seconds: float) -> None:
        """Take the round trip of an item that was sent once.

        Of one that was sent again it is not known which copy was confirmed, so the
        longer wait stays until one gets through at the first attempt.
        """
        if self.mean is None:
            self.mean, self.deviation = seconds, seconds / 2
        else:
            error = abs(seconds - self.mean)
            self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
            self.mean += MEAN_WEIGHT * (seconds - self.mean)
        wait = self.mean + DEVIATIONS * self.deviation
        self.wait = min(max(wait, RETRANSMIT_SECONDS), MAX_RETRANSMIT_SECONDS)

    def expired(self) -> None:
        """Note that an item is sent again."""
        self.wait = min(self.wait * BACKOFF, MAX_RETRANSMIT_SECONDS)
