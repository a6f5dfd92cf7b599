"""An agent's state for one entry, and the times of its messages to that entry.

At any time only few of the known entries have tasks at the agent. An entry with tasks
there, or that waits for capacity, receives frequent heartbeats; one that had some
recently, slightly fewer. All others share a fixed rate of messages, so that their cost
doesn't depend on their number.
"""

from dataclasses import dataclass, field

from msgspec import structs

from bergamotcourse.coordination.jobs.item_stream import IncomingStream, OutgoingStream
from bergamotcourse.coordination.jobs.lease_terms import (
    CONTACT_LEASE_SECONDS,
    HEARTBEAT_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
    IDLE_MESSAGES_PER_SECOND,
    MAX_ACK_DELAY_SECONDS,
    RECENT_ENTRY_SECONDS,
)
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress
from bergamotcourse.protocol.task_messages import EntryTurn, PlaceTask, TaskEnded

UNRESPONSIVE_SECONDS = 0.5
"""An entry that has left a message unanswered for so long receives messages at the
lowest rate, even if items are due. An entry that comes back sends ``Hello``."""

NEVER = -1e9


@dataclass
class EntryContact:
    """An entry, as seen by this agent.

    Attributes:
        entry_boot: Boot number of the entry's process; 0 before it has answered.
        session: Session number; rises each time the entry's runs are abandoned.
        lease_end: When the lease expires that keeps the entry's runs; ``None`` while
            there is no lease.
        contact_logged: Whether the first lease in this session was logged.
        last_received_at: When the entry last answered, or became known.
        sent_at: When the last message was sent to the entry.
        active_until: Until when the entry receives frequent heartbeats for its latest
            tasks.
        waiting: Whether the entry wants to be notified of free capacity.
        room_notified_at: When the entry was last notified of free capacity.
        last_reported_cpu: CPU capacity left to the entry as of the last message.
        unacknowledged_since: When the first item arrived that was not acknowledged yet.
        round_trip_ms: Milliseconds for which the last message and its echo were in
            transit; 0 once the entry was told.
        held: Runs that arrived with too old an echo; they wait for a later one.
        last_payload: Payload of the last placement in this session.
        last_life: Life of the upstream that the last placement in this session names.
        outgoing: Items to the entry.
        incoming: Items from the entry.
    """

    address: LinkAddress
    last_received_at: float
    entry_boot: int = 0
    session: int = 1
    lease_end: float | None = None
    contact_logged: bool = False
    sent_at: float = NEVER
    active_until: float = NEVER
    waiting: bool = False
    room_notified_at: float = 0.0
    last_reported_cpu: int = 0
    unacknowledged_since: float | None = None
    round_trip_ms: int = 0
    held: list[PlaceTask] = field(default_factory=list)
    last_payload: str = ""
    last_life: LifeChecksum = NO_LIFE
    outgoing: OutgoingStream[TaskEnded] = field(default_factory=OutgoingStream)
    incoming: IncomingStream = field(default_factory=IncomingStream)

    def has_lease(self, lease_now: float) -> bool:
        """Return whether the lease that keeps the entry's runs is valid."""
        return self.lease_end is not None and lease_now < self.lease_end

    def accept_items(self, turn: EntryTurn, now: float) -> list:
        """Return the new items of a message, in order."""
        fresh = self.incoming.accept(turn.first, turn.items)
        if fresh:
            self.active_until = now + RECENT_ENTRY_SECONDS
            if self.unacknowledged_since is None:
                self.unacknowledged_since = now
        if turn.waiting:
            self.active_until = now + RECENT_ENTRY_SECONDS
        return fresh

    def may_release(self, turn: EntryTurn, lease_now: float) -> bool:
        """Return whether a message allows the held runs to start.

        The message itself must renew the lease, and all items that the entry had when
        it sent the message must have arrived: one of them may withdraw a held run.
        """
        renews = lease_now < lease_end_of(turn)
        return renews and self.incoming.seen >= turn.last

    def hold_run(self, order: PlaceTask) -> None:
        """Hold a placement until it may be released."""
        if order.payload is None:
            order = structs.replace(order, payload=self.last_payload)
        if order.life is None:
            order = structs.replace(order, life=self.last_life)
        self.last_payload, self.last_life = order.payload, order.life
        self.held.append(order)

    def release_held_runs(self) -> list[PlaceTask]:
        """Remove the held runs and return them."""
        held, self.held = self.held, []
        return held

    def note_sent(self, now: float) -> None:
        """Record a message to the entry; it acknowledges all items received."""
        self.sent_at = now
        self.round_trip_ms = 0
        self.unacknowledged_since = None

    def note_round_trip(self, turn: EntryTurn, lease_now: float) -> None:
        """Record the round trip of the message that the entry has echoed."""
        if turn.echo_ms:
            transit_ms = int(1000 * lease_now) - turn.echo_ms - turn.held_ms
            self.round_trip_ms = max(1, transit_ms)

    def begin_session(self) -> None:
        """Begin a new session with streams numbered from 1.

        Messages of the former session are not accepted any more.
        """
        self.session += 1
        self.lease_end = None
        self.contact_logged = False
        self.held.clear()
        self.last_payload, self.last_life = "", NO_LIFE
        self.unacknowledged_since = None
        self.incoming = IncomingStream()
        self.outgoing.restart_numbering()

    def send_interval_seconds(self, has_runs: bool, now: float, entries: int) -> float:
        """Return the seconds between two messages to the entry.

        Args:
            has_runs: Whether the entry has runs at the agent.
            now: Current time in seconds.
            entries: Number of known entries.
        """
        if not self.is_unresponsive(now):
            if has_runs or self.waiting or self.held or self.outgoing.items:
                return HEARTBEAT_SECONDS
            if now < self.active_until:
                return IDLE_HEARTBEAT_SECONDS
        return max(IDLE_HEARTBEAT_SECONDS, entries / IDLE_MESSAGES_PER_SECOND)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the entry has left a message unanswered for too long."""
        silent = now - self.last_received_at
        return self.sent_at > self.last_received_at and silent > UNRESPONSIVE_SECONDS

    def has_overdue_message(self, now: float) -> bool:
        """Return whether an item or an acknowledgement is overdue."""
        since = self.unacknowledged_since
        unacknowledged = since is not None and now - since >= MAX_ACK_DELAY_SECONDS
        return unacknowledged or self.outgoing.needs_retransmission(now)

    def is_message_due(self, interval: float, now: float) -> bool:
        """Return whether a message to the entry is due.

        Args:
            interval: Seconds between two messages to the entry.
            now: Current time in seconds.
        """
        overdue = self.has_overdue_message(now) and not self.is_unresponsive(now)
        return overdue or now - self.sent_at >= interval


def lease_end_of(turn: EntryTurn) -> float:
    """Return the end of the lease that a message renews, on the agent's clock."""
    return turn.echo_ms / 1000 + CONTACT_LEASE_SECONDS
