"""One direction of a session: numbered items, sent until they are confirmed."""

from collections import deque
from typing import Generic, TypeVar

from bergamotcourse.coordination.jobs.lease_terms import RESEND_SECONDS

T = TypeVar("T")


class Outgoing(Generic[T]):
    """Items on their way to one peer.

    Attributes:
        first: Number of the oldest item that is not confirmed.
        sent: Items of ``items`` that were sent at least once.
        sent_at: When items were last sent.
    """

    def __init__(self):
        self.first = 1
        self.items: deque[T] = deque()
        self.sent = 0
        self.sent_at = 0.0

    def add(self, item: T) -> None:
        """Append an item."""
        self.items.append(item)

    def confirm(self, number: int) -> None:
        """Drop the items up to a number, which the peer has received."""
        while self.items and self.first <= number:
            self.items.popleft()
            self.first += 1
            self.sent = max(0, self.sent - 1)

    def has_news(self) -> bool:
        """Return whether an item was never sent."""
        return self.sent < len(self.items)

    def is_late(self, now: float) -> bool:
        """Return whether items must be sent again."""
        return bool(self.items) and now - self.sent_at >= RESEND_SECONDS

    def take(self, now: float) -> tuple[int, list[T]]:
        """Return what to send now: the number of the first item, and the items."""
        again = self.is_late(now)
        skipped = 0 if again else self.sent
        items = list(self.items)[skipped:]
        if items:
            self.sent = len(self.items)
            self.sent_at = now
        return self.first + skipped, items

    def restart(self) -> None:
        """Number the unconfirmed items anew, for a new session."""
        self.first = 1
        self.sent = 0
        self.sent_at = 0.0


class Incoming(Generic[T]):
    """Items received from one peer; ``seen`` is the number of the last."""

    def __init__(self):
        self.seen = 0

    def accept(self, first: int, items: list[T]) -> list[T]:
        """Return the items that are new and in order; a gap is sent again later."""
        if first > self.seen + 1:
            return []
        fresh = items[self.seen + 1 - first :]
        self.seen += len(fresh)
        return fresh
