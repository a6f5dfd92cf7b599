"""One direction of a session: numbered items, sent until they are confirmed."""

from collections import deque
from typing import Generic, TypeVar

from bergamotcourse.coordination.jobs.lease_terms import (
    MOST_RESEND_SECONDS,
    RESEND_SECONDS,
)

T = TypeVar("T")


class Outgoing(Generic[T]):
    """Items on their way to one peer.

    Attributes:
        first: Number of the oldest item that is not confirmed.
        sent: Items of ``items`` that were sent at least once.
        sent_at: When the oldest was last sent, or became the oldest.
        resends: How often the oldest was sent again.
    """

    def __init__(self):
        self.first = 1
        self.items: deque[T] = deque()
        self.sent = 0
        self.sent_at = 0.0
        self.resends = 0

    def add(self, item: T) -> None:
        """Append an item."""
        self.items.append(item)

    def confirm(self, number: int, now: float) -> None:
        """Drop the items up to a number, which the peer has received."""
        while self.items and self.first <= number:
            self.items.popleft()
            self.first += 1
            self.sent = max(0, self.sent - 1)
            self.sent_at = now
            self.resends = 0

    def has_news(self) -> bool:
        """Return whether an item was never sent."""
        return self.sent < len(self.items)

    def is_late(self, now: float) -> bool:
        """Return whether items must be sent again."""
        wait = min(RESEND_SECONDS * 2**self.resends, MOST_RESEND_SECONDS)
        return self.sent > 0 and now - self.sent_at >= wait

    def take(self, now: float) -> tuple[int, list[T]]:
        """Return what to send now: the number of the first item, and the items."""
        again = self.is_late(now)
        skipped = 0 if again else self.sent
        items = list(self.items)[skipped:]
        if items and not skipped:
            self.sent_at = now
            self.resends += again
        self.sent = len(self.items)
        return self.first + skipped, items

    def restart(self) -> None:
        """Number the unconfirmed items anew, for a new session."""
        self.first = 1
        self.sent = 0
        self.sent_at = 0.0
        self.resends = 0


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

    def lacks(self, first: int) -> bool:
        """Return whether items before a number have not come yet."""
        return first > self.seen + 1
