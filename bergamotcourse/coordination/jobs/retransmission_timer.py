"""Retransmission timeout of a stream of items (RFC 6298)."""

from bergamotcourse.coordination.jobs.lease_terms import (
    MAX_RETRANSMIT_SECONDS,
    RETRANSMIT_SECONDS,
)

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 4
BACKOFF_FACTOR = 2.0


class RetransmissionTimer:
    """The retransmission timeout of one stream, estimated from its round trips.

    Attributes:
        mean_seconds: Smoothed round trip; ``None`` before the first one.
        deviation_seconds: Smoothed deviation of the round trips.
        rto_seconds: Seconds after which an unacknowledged item is retransmitted.
    """

    def __init__(self):
        self.mean_seconds: float | None = None
        self.deviation_seconds = 0.0
        self.rto_seconds = RETRANSMIT_SECONDS

    def record_round_trip(self, seconds: float) -> None:
        """Update the timeout with the round trip of an item that was sent once.

        Of a retransmitted item it is unknown which copy was acknowledged, so the longer
        timeout stays until an item is acknowledged without a retransmission.
        """
        if self.mean_seconds is None:
            self.mean_seconds, self.deviation_seconds = seconds, seconds / 2
        else:
            error = abs(seconds - self.mean_seconds)
            self.deviation_seconds += DEVIATION_WEIGHT * (
                error - self.deviation_seconds
            )
            self.mean_seconds += MEAN_WEIGHT * (seconds - self.mean_seconds)
        timeout = self.mean_seconds + DEVIATION_FACTOR * self.deviation_seconds
        self.rto_seconds = min(max(timeout, RETRANSMIT_SECONDS), MAX_RETRANSMIT_SECONDS)

    def back_off(self) -> None:
        """Lengthen the timeout, because an item is retransmitted after it expired."""
        self.rto_seconds = min(
            self.rto_seconds * BACKOFF_FACTOR, MAX_RETRANSMIT_SECONDS
        )
