"""Dates the answers of an upstream on the agent's clock.

An answer may be read long after it was made, if the agent was paused in between. Its
own clock tells when it was made, once the offset between the two clocks is known.
"""

from dataclasses import dataclass


@dataclass
class UpstreamClock:
    """Estimate of the offset of an upstream's clock.

    An answer was made after its order was sent and before it was received. Each one
    therefore bounds the offset from both sides; the estimate is kept within the bounds
    of the latest. So it follows a clock that is stepped or drifts, and a single answer
    that is read late does not change it.

    Attributes:
        offset: The upstream's clock minus the agent's, in seconds.
    """

    offset: float

    def date_answer(self, clock: float, sent_at: float, received_at: float) -> float:
        """Update the offset and return when an answer was made.

        Args:
            clock: Time of the answer on the upstream's clock.
            sent_at: When its order was sent.
            received_at: When it was received.

        Returns:
            A time between ``sent_at`` and ``received_at``.
        """
        self.offset = min(max(self.offset, clock - received_at), clock - sent_at)
        return clock - self.offset
