"""What an agent knows of one entry, and when that entry is owed a message.

Many more entries are known than have tasks here at a time. An entry with tasks
here, or that waits for room, hears often; one that had some of late, a little less so;
all others share a fixed number of messages, so that they cost the same however many
they are.
"""

from dataclasses import dataclass, field

from msgspec import structs

from bergamotcourse.coordination.jobs.item_stream import Incoming, Outgoing
from bergamotcourse.coordination.jobs.lease_terms import (
    CONTACT_LEASE_SECONDS,
    HEARTBEAT_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
    IDLE_MESSAGES_PER_SECOND,
    MAX_ACK_DELAY_SECONDS,
    RECENT_ENTRY_SECONDS,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import EntryTurn, PlaceTask, TaskEnded

ABSENT_SECONDS = 0.5
"""An entry that has left a message unanswered for so long hears rarely, whatever it is
owed; one that comes back makes itself known."""

NEVER = -1e9


@dataclass
class EntryContact:
    """An entry.

    Attributes:
        entry_boot: Of the entry's process; 0 before it has answered.
        session: Rises each time the runs of the entry were given up.
        lease_end: Until when its runs are kept; ``None`` while there is no lease.
        known: Its first lease in this session was told.
        heard_at: When it last answered, or became known.
        warm_until: Until when it hears often, for its latest tasks.
        waiting: It wants to be told of room.
        told_at: When it was last told of room.
        told_left: The processor room that the last message left to it.
        unconfirmed_since: When the first item came that it was not told of.
        held: Runs that came with too old an echo; they wait for a later one.
        payload: Of the last placement in this session.
    """

    address: LinkAddress
    heard_at: float
    entry_boot: int = 0
    session: int = 1
    lease_end: float | None = None
    known: bool = False
    sent_at: float = NEVER
    warm_until: float = NEVER
    waiting: bool = False
    told_at: float = 0.0
    told_left: int = 0
    unconfirmed_since: float | None = None
    held: list[PlaceTask] = field(default_factory=list)
    payload: str = ""
    out: Outgoing[TaskEnded] = field(default_factory=Outgoing)
    incoming: Incoming = field(default_factory=Incoming)

    def has_lease(self, lease_now: float) -> bool:
        """Return whether its runs are kept now."""
        return self.lease_end is not None and lease_now < self.lease_end

    def take_items(self, turn: EntryTurn, now: float) -> list:
        """Return the new items of a message."""
        fresh = self.incoming.accept(turn.first, turn.items)
        if fresh:
            self.warm_until = now + RECENT_ENTRY_SECONDS
            if self.unconfirmed_since is None:
                self.unconfirmed_since = now
        if turn.waiting:
            self.warm_until = now + RECENT_ENTRY_SECONDS
        return fresh

    def may_release(self, turn: EntryTurn, lease_now: float) -> bool:
        """Return whether a message lets the held runs start.

        It has to renew the lease itself, and all items that the entry had by then must
        have come: one of these may take a held run back.
        """
        renews = lease_now < lease_end_of(turn)
        return renews and self.incoming.seen >= turn.last

    def hold(self, order: PlaceTask) -> None:
        """Take a placement, which waits until it may be released."""
        if order.payload is None:
            order = structs.replace(order, payload=self.payload)
        self.payload = order.payload
        self.held.append(order)

    def release(self) -> list[PlaceTask]:
        """Return the held runs, which are held no longer."""
        held, self.held = self.held, []
        return held

    def sent(self, now: float) -> None:
        """Note that a message leaves, which confirms all that has come."""
        self.sent_at = now
        self.unconfirmed_since = None

    def begin_session(self) -> None:
        """Number everything anew; what was sent before is not taken any more."""
        self.session += 1
        self.lease_end = None
        self.known = False
        self.held.clear()
        self.payload = ""
        self.unconfirmed_since = None
        self.incoming = Incoming()
        self.out.restart()

    def period(self, has_runs: bool, now: float, entries: int) -> float:
        """Return the seconds between two messages to it.

        Args:
            has_runs: It has runs here.
            now: The time.
            entries: How many entries are known.
        """
        if not self.is_absent(now):
            if has_runs or self.waiting or self.held or self.out.items:
                return HEARTBEAT_SECONDS
            if now < self.warm_until:
                return IDLE_HEARTBEAT_SECONDS
        return max(IDLE_HEARTBEAT_SECONDS, entries / IDLE_MESSAGES_PER_SECOND)

    def is_absent(self, now: float) -> bool:
        """Return whether it has left a message unanswered for long."""
        silent = now - self.heard_at
        return self.sent_at > self.heard_at and silent > ABSENT_SECONDS

    def is_owed(self, now: float) -> bool:
        """Return whether an item or a confirmation is overdue."""
        since = self.unconfirmed_since
        unconfirmed = since is not None and now - since >= MAX_ACK_DELAY_SECONDS
        return unconfirmed or self.out.is_late(now)

    def is_due(self, period: float, now: float) -> bool:
        """Return whether it is to be sent a message now."""
        owed = self.is_owed(now) and not self.is_absent(now)
        return owed or now - self.sent_at >= period


def lease_end_of(turn: EntryTurn) -> float:
    """Return until when a message extends the lease, on the agent's clock."""
    return turn.echo_ms / 1000 + CONTACT_LEASE_SECONDS
