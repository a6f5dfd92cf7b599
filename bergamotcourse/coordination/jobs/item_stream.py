"""One direction of a session: numbered items, sent until they are acknowledged."""

import itertools
from collections import deque
from typing import Generic, TypeVar

from bergamotcourse.coordination.jobs.retransmission_timer import RetransmissionTimer
from bergamotcourse.protocol.task_messages import Item

T = TypeVar("T", bound=Item)

MAX_OUT_OF_ORDER_ITEMS = 500
"""Most items that a receiver buffers out of order; others are retransmitted."""

MAX_RETRANSMITTED_BYTES = 1400
"""Size of the items that are retransmitted at a time, so that they fit into one packet.
If all were retransmitted, a full link would stay full: the more it loses, the more it
would have to carry."""


class OutgoingStream(Generic[T]):
    """Items in flight, or to be sent, to one peer.

    Attributes:
        items: Items that are not acknowledged, the oldest first.
        size_bytes: Size of these items.
        first: Number of the oldest item that is not acknowledged.
        sent_count: Number of leading ``items`` that were sent at least once.
        timer_started_at: When the oldest item was last sent, or became the oldest.
        is_retransmitting: Whether the oldest item was retransmitted and nothing was
            acknowledged since.
        recovery_end: Number of the last item in flight at the latest retransmission.
        oldest_is_lost: Whether the oldest item is lost: an acknowledgement after a
            retransmission does not include it, though it was in flight before.
        timer: Retransmission timeout of the stream.
        timed_item: Number of the item whose round trip is measured, and when it was
            sent.
    """

    def __init__(self, timer: RetransmissionTimer | None = None):
        self.items: deque[T] = deque()
        self.size_bytes = 0
        self.timer = timer or RetransmissionTimer()
        self.restart_numbering()

    def add(self, item: T) -> None:
        """Append an item."""
        self.items.append(item)
        self.size_bytes += item.size()

    @property
    def last(self) -> int:
        """Return the number of the last item, sent or not."""
        return self.first + len(self.items) - 1

    def acknowledge(self, number: int, now: float) -> None:
        """Remove the items up to a number, which the peer has received."""
        if not self.items or number < self.first:
            return
        while self.items and self.first <= number:
            self.size_bytes -= self.items.popleft().size()
            self.first += 1
            self.sent_count = max(0, self.sent_count - 1)
        self.timer_started_at = now
        self.is_retransmitting = False
        self.oldest_is_lost = self.first <= self.recovery_end
        if self.timed_item is not None and self.timed_item[0] < self.first:
            self.timer.record_round_trip(now - self.timed_item[1])
            self.timed_item = None

    def needs_retransmission(self, now: float) -> bool:
        """Return whether items must be retransmitted."""
        expired = now - self.timer_started_at >= self.timer.rto_seconds
        return self.sent_count > 0 and (self.oldest_is_lost or expired)

    def next_batch(self, now: float) -> tuple[int, list[T]]:
        """Return what to send now: the number of the first item, and the items.

        Nothing new is sent until a retransmitted item is acknowledged: the receiver
        could not deliver it in order yet, and the link may be full.
        """
        if self.needs_retransmission(now):
            return self.first, self._retransmit(now)
        if self.is_retransmitting:
            return self.first + self.sent_count, []
        first = self.first + self.sent_count
        items = list(self.items)[self.sent_count :]
        if not self.sent_count:
            self.timer_started_at = now
        self.sent_count = len(self.items)
        if items and self.timed_item is None:
            self.timed_item = (self.last, now)
        return first, items

    def _retransmit(self, now: float) -> list[T]:
        """Return the oldest items, as many as may be retransmitted at a time."""
        if not self.oldest_is_lost:
            self.timer.back_off()
        self.oldest_is_lost = False
        self.timer_started_at = now
        self.is_retransmitting = True
        self.recovery_end = self.first + self.sent_count - 1
        self.timed_item = None
        retransmitted = []
        size = 0
        for item in itertools.islice(self.items, self.sent_count):
            size += item.size()
            if retransmitted and size > MAX_RETRANSMITTED_BYTES:
                break
            retransmitted.append(item)
        return retransmitted

    def restart_numbering(self) -> None:
        """Number the unacknowledged items from 1, for a new session."""
        self.first = 1
        self.sent_count = 0
        self.timer_started_at = 0.0
        self.is_retransmitting = False
        self.recovery_end = 0
        self.oldest_is_lost = False
        self.timed_item: tuple[int, float] | None = None


class IncomingStream(Generic[T]):
    """Items received from one peer.

    Attributes:
        seen: Number of the last item that was delivered in order.
        out_of_order: Items buffered until an older one arrives, by number.
    """

    def __init__(self):
        self.seen = 0
        self.out_of_order: dict[int, T] = {}

    def accept(self, first: int, items: list[T]) -> list[T]:
        """Return the items that can now be delivered in order.

        Args:
            first: Number of the first of ``items``.
            items: Consecutive items; those delivered before are skipped, and those
                behind a gap are buffered.
        """
        if first <= self.seen + 1:
            deliverable = items[self.seen + 1 - first :]
        else:
            deliverable = []
            self._buffer(first, items)
        self.seen += len(deliverable)
        while self.seen + 1 in self.out_of_order:
            self.seen += 1
            deliverable.append(self.out_of_order[self.seen])
        if self.out_of_order and deliverable:
            self.out_of_order = {
                n: one for n, one in self.out_of_order.items() if n > self.seen
            }
        return deliverable

    def _buffer(self, first: int, items: list[T]) -> None:
        for number, item in enumerate(items, first):
            if len(self.out_of_order) < MAX_OUT_OF_ORDER_ITEMS:
                self.out_of_order[number] = item
