"""A rate-limited network interface, for networks simulated in memory."""

from dataclasses import dataclass

IP_UDP_HEADER_BYTES = 28
"""Bytes of IP and UDP headers that each payload adds."""


@dataclass
class Bottleneck:
    """One direction of an instance's network interface: a rate and a bounded queue.

    Attributes:
        bytes_per_second: The transmission rate.
        queue_seconds: Longest time in the queue; a payload that would wait longer is
            dropped.
        free_at: Time at which the last queued payload has been transmitted.
    """

    bytes_per_second: float
    queue_seconds: float
    free_at: float = 0.0

    def enqueue(self, size: int, arrival: float) -> float | None:
        """Queue a payload and return when it has been transmitted.

        Args:
            size: Bytes of the payload.
            arrival: Time at which it reaches the queue.

        Returns:
            The time, or ``None`` if the queue is full and the payload is dropped.
        """
        begins = max(self.free_at, arrival)
        if begins - arrival > self.queue_seconds:
            return None
        self.free_at = begins + (size + IP_UDP_HEADER_BYTES) / self.bytes_per_second
        return self.free_at
