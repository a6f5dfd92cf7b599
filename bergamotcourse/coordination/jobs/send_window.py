"""Congestion control of an entry: a limit of what it has in flight to all agents.

An entry reaches all agents through one network interface. If it sends more than this
carries, a queue builds up. Echoes that wait in that queue longer than a lease arrive
too late to renew it, so agents stop runs, which are placed again, and the queue stays
full after its cause has ended. Therefore the entry sends less while messages are
delayed, as in RFC 6817, and new tasks wait or are refused instead.
"""

import math
from collections import deque
from collections.abc import Callable

TARGET_DELAY_SECONDS = 0.15
"""Round trip above which the window shrinks. Added to a heartbeat interval and to the
longest delay of an echo, it is a fifth below the contact lease."""

DELAY_PERIOD_SECONDS = 0.2
"""Period of which the shortest round trip counts, longer than a heartbeat interval. A
slow or paused peer is one with a long round trip; a queue at this entry's interface
delays the messages of all peers."""

MIN_WINDOW_BYTES = 3000
"""Two packets, so that an acknowledgement always follows."""

MIN_DECREASE_FACTOR = 0.5
"""Smallest factor by which the window shrinks in one round trip."""


class SendWindow:
    """Limit of the bytes that are sent and not acknowledged, over all peers.

    Attributes:
        limit_bytes: The limit; infinite until a delay was measured.
        round_trips: Times and round trips in seconds of the latest period. They
            increase from the first to the last, which is the latest.
        reduced_at: When the limit last shrank.
    """

    def __init__(self):
        self.limit_bytes = math.inf
        self.round_trips: deque[tuple[float, float]] = deque()
        self.reduced_at = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether there is a limit."""
        return not math.isinf(self.limit_bytes)

    def delay_seconds(self, now: float) -> float:
        """Return the shortest round trip of the latest period; 0 without any."""
        while self.round_trips and (
            now - self.round_trips[0][0] > DELAY_PERIOD_SECONDS
        ):
            self.round_trips.popleft()
        return self.round_trips[0][1] if self.round_trips else 0.0

    def record(
        self,
        round_trip: float,
        acknowledged_bytes: int,
        in_flight: Callable[[], int],
        now: float,
    ) -> None:
        """Adapt the limit to a message of a peer.

        Args:
            round_trip: The round trip that the peer reports, in seconds.
            acknowledged_bytes: Bytes that the message acknowledges.
            in_flight: Returns the bytes that are still in flight. It is called only
                if the limit may shrink, as each message of a peer gets here.
            now: The time.
        """
        # Longer round trips before a shorter one can't be the shortest any more.
        while self.round_trips and self.round_trips[-1][1] >= round_trip:
            self.round_trips.pop()
        self.round_trips.append((now, round_trip))
        delay = self.delay_seconds(now)
        if delay <= TARGET_DELAY_SECONDS:
            # Slower the closer the delay is to the target, which it may overshoot.
            self.limit_bytes += acknowledged_bytes * (1 - delay / TARGET_DELAY_SECONDS)
        elif now - self.reduced_at >= delay:
            self.reduced_at = now
            factor = max(MIN_DECREASE_FACTOR, TARGET_DELAY_SECONDS / delay)
            sent_bytes = in_flight() + acknowledged_bytes
            reduced = factor * min(self.limit_bytes, sent_bytes)
            self.limit_bytes = max(MIN_WINDOW_BYTES, reduced)

    def has_room(self, in_flight: int) -> bool:
        """Return whether more may be sent with these bytes in flight."""
        return in_flight < self.limit_bytes
