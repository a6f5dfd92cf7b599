"""A link of limited rate, for networks in memory."""

from dataclasses import dataclass

HEADER_BYTES = 28
"""Of IP and UDP, for each payload."""


@dataclass
class Bottleneck:
    """One direction of an instance's link: a rate, and a queue that overflows.

    Attributes:
        bytes_per_second: The rate.
        queue_seconds: Payloads that would wait for longer are lost.
        free_at: When all that was taken has passed.
    """

    bytes_per_second: float
    queue_seconds: float
    free_at: float = 0.0

    def pass_at(self, size: int, arrives: float) -> float | None:
        """Return when a payload has passed, or ``None`` if it is lost.

        Args:
            size: Bytes of the payload.
            arrives: When it reaches the queue.
        """
        begins = max(self.free_at, arrives)
        if begins - arrives > self.queue_seconds:
            return None
        self.free_at = begins + (size + HEADER_BYTES) / self.bytes_per_second
        return self.free_at
