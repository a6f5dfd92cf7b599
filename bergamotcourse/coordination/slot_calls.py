"""Requests of entries for a notice when a slot of an agent becomes free.

An entry learns of a free slot from the result of its own task. A slot freed by a task
of another entry is known only to that entry, which may have no use for it. Such a slot
is announced to one entry that has tasks waiting, by one message.
"""

from bergamotcourse.ids import LinkAddress

REQUEST_LIFETIME_SECONDS = 0.25
"""A request expires after this time; the entry's starts repeat it."""


class SlotNoticeRequests:
    """Pending requests by service, oldest first."""

    def __init__(self):
        self.requested_at: dict[tuple[str, LinkAddress], float] = {}

    def update(
        self, service: str, entry: LinkAddress, wants_slots: bool, now: float
    ) -> None:
        """Add, keep or remove an entry's request, as its last start says."""
        key = (service, entry)
        if wants_slots:
            self.requested_at[key] = now
        else:
            self.requested_at.pop(key, None)

    def pop_next(
        self, service: str, notified: LinkAddress, now: float
    ) -> LinkAddress | None:
        """Remove the oldest request for a service and return its entry, if any.

        Args:
            service: The service whose slot is free.
            notified: The entry that learns of the slot from a result. If it has a
                request itself, it can use the slot, and no other entry is returned.
            now: Time in seconds.
        """
        self._expire_requests(now)
        if (service, notified) in self.requested_at:
            return None
        for key in self.requested_at:
            if key[0] == service:
                del self.requested_at[key]
                return key[1]
        return None

    def _expire_requests(self, now: float) -> None:
        old = [
            key
            for key, at in self.requested_at.items()
            if now - at > REQUEST_LIFETIME_SECONDS
        ]
        for key in old:
            del self.requested_at[key]
