"""One direction of a session: numbered items, sent until they are confirmed."""

import itertools
from collections import deque
from typing import Generic, TypeVar

from bergamotcourse.coordination.jobs.resend_timer import ResendTimer
from bergamotcourse.protocol.task_messages import Item

T = TypeVar("T", bound=Item)

MOST_EARLY = 500
"""Items kept for their turn at a receiver; more are sent again."""

REPEATED_BYTES = 1400
"""Of the items that are sent again at a time, which then fit into one packet. Were all
to be sent again, a full link would be kept full: the more it loses, the more it is
given to carry."""


class Outgoing(Generic[T]):
    """Items on their way to one peer.

    Attributes:
        first: Number of the oldest item that is not confirmed.
        sent: Items of ``items`` that were sent at least once.
        sent_at: When the oldest was last sent, or became the oldest.
        resent: The oldest was sent again, and is not confirmed since.
        recover: The last item that was on its way when one was late.
        lost: The oldest is surely lost: of those sent with it later ones have come.
        timer: Tells how long to wait until then.
        timed: Number of the item whose round trip is measured, and when it was sent.
    """

    def __init__(self):
        self.items: deque[T] = deque()
        self.timer = ResendTimer()
        self.restart()

    def add(self, item: T) -> None:
        """Append an item."""
        self.items.append(item)

    @property
    def last(self) -> int:
        """Return the number of the last item."""
        return self.first + len(self.items) - 1

    def confirm(self, number: int, now: float) -> None:
        """Drop the items up to a number, which the peer has received."""
        if not self.items or number < self.first:
            return
        while self.items and self.first <= number:
            self.items.popleft()
            self.first += 1
            self.sent = max(0, self.sent - 1)
        self.sent_at = now
        self.resent = False
        self.lost = self.first <= self.recover
        if self.timed is not None and self.timed[0] < self.first:
            self.timer.learn(now - self.timed[1])
            self.timed = None

    def is_late(self, now: float) -> bool:
        """Return whether items must be sent again."""
        expired = now - self.sent_at >= self.timer.wait
        return self.sent > 0 and (self.lost or expired)

    def take(self, now: float) -> tuple[int, list[T]]:
        """Return what to send now: the number of the first item, and the items.

        Until an item that is late is confirmed nothing new is sent: the receiver could
        not take it yet, and the link may be full.
        """
        if self.is_late(now):
            return self.first, self._send_again(now)
        if self.resent:
            return self.first + self.sent, []
        first = self.first + self.sent
        items = list(self.items)[self.sent :]
        if not self.sent:
            self.sent_at = now
        self.sent = len(self.items)
        if items and self.timed is None:
            self.timed = (self.last, now)
        return first, items

    def _send_again(self, now: float) -> list[T]:
        """Return the oldest items, as many as may be sent again at a time."""
        if not self.lost:
            self.timer.expired()
        self.lost = False
        self.sent_at = now
        self.resent = True
        self.recover = self.first + self.sent - 1
        self.timed = None
        again = []
        size = 0
        for item in itertools.islice(self.items, self.sent):
            size += item.size()
            if again and size > REPEATED_BYTES:
                break
            again.append(item)
        return again

    def restart(self) -> None:
        """Number the unconfirmed items anew, for a new session."""
        self.first = 1
        self.sent = 0
        self.sent_at = 0.0
        self.resent = False
        self.recover = 0
        self.lost = False
        self.timed: tuple[int, float] | None = None


class Incoming(Generic[T]):
    """Items received from one peer.

    Attributes:
        seen: Number of the last item that was taken.
        early: Items that came before an older one, by number.
    """

    def __init__(self):
        self.seen = 0
        self.early: dict[int, T] = {}

    def accept(self, first: int, items: list[T]) -> list[T]:
        """Return the items that are new and in order, those that came early too."""
        if first <= self.seen + 1:
            fresh = items[self.seen + 1 - first :]
        else:
            fresh = []
            self._keep(first, items)
        self.seen += len(fresh)
        while self.seen + 1 in self.early:
            self.seen += 1
            fresh.append(self.early[self.seen])
        if self.early and fresh:
            self.early = {n: one for n, one in self.early.items() if n > self.seen}
        return fresh

    def _keep(self, first: int, items: list[T]) -> None:
        for number, item in enumerate(items, first):
            if len(self.early) < MOST_EARLY:
                self.early[number] = item
