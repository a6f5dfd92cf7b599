"""An entry's state for one agent, and whether tasks may be placed there.

An entry uses some dozens of hundreds of agents at a time. It is in contact with these:
they send several messages a second, and a run placed there starts at once. The other
agents send rarely. A run placed at one of them needs a handshake: it starts only after
the agent has sent another message and received its echo. Until then the entry can
withdraw the run with the certainty that it has not started.
"""

import math
from dataclasses import dataclass, field
from typing import Any

from msgspec import structs

from bergamotcourse.coordination.jobs.item_stream import IncomingStream, OutgoingStream
from bergamotcourse.coordination.jobs.lease_terms import (
    AGENT_SILENCE_SECONDS,
    ALL_RUNS_ENDED_SECONDS,
    CONTACT_LOST_SECONDS,
    FIRST_PLACEMENT_TIMEOUT_SECONDS,
)
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress
from bergamotcourse.protocol.task_messages import (
    AgentRoom,
    AgentTurn,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NO_RESOURCES, Resources

MAX_MISSED_HEARTBEATS = 2
"""Consecutive messages of an agent out of contact that may be lost before the entry
stops placing runs there."""


@dataclass
class AgentLink:
    """An agent, as seen by this entry.

    Attributes:
        boot: Boot number of the agent's process.
        session: Latest session that the agent has begun with this entry.
        last_received_at: When the last message of the agent arrived.
        heard_at: The same by the lease clock, which counts suspensions of this machine.
        next_message_seconds: Seconds after which the agent announced, in its last
            message, to send the next one.
        echo_ms: The agent's clock in its last message; echoed to the agent.
        echo_received_at: When that message arrived.
        round_trip_seconds: Latest round trip that the agent has reported; 0 before.
        sent_at: When the last message was sent to the agent.
        echoed: Whether the agent's last message has been echoed.
        session_abandoned: Whether the entry has abandoned the runs of this session,
            which is then no longer used.
        handshake_started_at: When the first run was placed without contact; ``None`` if
            there was contact, or the agent has answered since.
        handshake_unanswered: Whether the agent left such a run unanswered and has sent
            nothing since.
        room: Latest load that the agent has reported.
        life: The life in which the agent's upstream last answered; ``NO_LIFE`` before
            the agent has reported one.
        life_reported_at: When the agent last reported that this life answers.
        largest_capacity: Largest capacity that its upstream has reported. The current
            one may be smaller for a time, or be withheld during a trial.
        outgoing: Items to the agent.
        incoming: Items from the agent.
        placed: Owners of the runs without an outcome, by key. An owner is the
            dispatcher's own record of the run.
        needs: Needs of each run in ``placed``.
        placed_needs: Sum of ``needs``.
        former_boot_runs: Runs that were placed at an earlier process of the agent.
        last_request: Job whose payload was last sent to the agent in this session.
        last_payload: That payload. A job may come again with another one.
        last_life: Life of the upstream that was last sent to the agent in this session.
        least_transit_ms: Shortest time in transit of a message of the agent's process,
            plus the unknown difference between the two clocks.
    """

    address: LinkAddress
    name: str
    zone: str
    boot: int = 0
    session: int = 0
    last_received_at: float = 0.0
    heard_at: float = 0.0
    next_message_seconds: float = 0.0
    echo_ms: int = 0
    echo_received_at: float = 0.0
    round_trip_seconds: float = 0.0
    sent_at: float = -1e9
    echoed: bool = True
    session_abandoned: bool = False
    handshake_started_at: float | None = None
    handshake_unanswered: bool = False
    room: AgentRoom | None = None
    life: LifeChecksum = NO_LIFE
    life_reported_at: float = 0.0
    largest_capacity: Resources = NO_RESOURCES
    outgoing: OutgoingStream[PlaceTask | WithdrawTask] = field(
        default_factory=OutgoingStream
    )
    incoming: IncomingStream[TaskEnded] = field(default_factory=IncomingStream)
    placed: dict[RunKey, Any] = field(default_factory=dict)
    needs: dict[RunKey, Resources] = field(default_factory=dict)
    placed_needs: Resources = NO_RESOURCES
    former_boot_runs: set[RunKey] = field(default_factory=set)
    last_request: str = ""
    last_payload: str | None = None
    last_life: LifeChecksum | None = None
    least_transit_ms: float = math.inf

    # Whether runs may be placed.

    def in_contact(self, now: float) -> bool:
        """Return whether a run placed at the agent starts at once."""
        silent = now - self.last_received_at
        return (
            silent <= AGENT_SILENCE_SECONDS
            and not self.session_abandoned
            and self.room is not None
        )

    def agent_may_hold_lease(self, now: float) -> bool:
        """Return whether the agent may still hold a lease from an earlier echo.

        A run placed while it does may start at once.
        """
        return now - self.last_received_at < CONTACT_LOST_SECONDS

    def is_handshake_pending(self, now: float) -> bool:
        """Return whether an answer to a placement without contact is still awaited."""
        return (
            self.handshake_started_at is not None
            and now - self.handshake_started_at < FIRST_PLACEMENT_TIMEOUT_SECONDS
        )

    def is_usable(self, now: float) -> bool:
        """Return whether the agent is in contact, or a handshake with it is pending."""
        return self.in_contact(now) or self.is_handshake_pending(now)

    def may_probe(self, now: float) -> bool:
        """Return whether the agent is out of contact but likely to answer a message."""
        if (
            self.session_abandoned
            or self.handshake_unanswered
            or self.placed
            or self.room is None
        ):
            return False
        silent = now - self.last_received_at
        return (
            AGENT_SILENCE_SECONDS
            < silent
            <= MAX_MISSED_HEARTBEATS * self.next_message_seconds + CONTACT_LOST_SECONDS
        )

    def may_start_handshake(self, now: float) -> bool:
        """Return whether a run may be placed there without contact.

        This is not so until ``CONTACT_LOST_SECONDS`` after the agent's last message: an
        earlier echo may give it a lease until then, and the run could start without
        a handshake.
        """
        return self.may_probe(now) and not self.agent_may_hold_lease(now)

    def is_lost(self, now: float) -> bool:
        """Return whether all runs there have ended, in whatever state the agent is."""
        if (
            self.session_abandoned
            or self.handshake_started_at is not None
            or not self.placed
        ):
            return False
        return now - self.last_received_at > ALL_RUNS_ENDED_SECONDS

    def note_handshake_start(self, now: float) -> None:
        """Mark a handshake as started if a run placed now is certain to need one.

        On a slow entry an agent may have fallen silent between its choice and the
        placement. A run placed there then, or earlier, may still be started by the
        agent; were it withdrawn as one that can't have started, the task would run
        twice.
        """
        waits = not self.placed and not self.agent_may_hold_lease(now)
        if self.handshake_started_at is None and waits:
            self.handshake_started_at = now

    # Load.

    def load(self) -> Resources:
        """Return the needs of all runs at the agent, including those just placed."""
        return self.room.committed - self.room.receiver_committed + self.placed_needs

    def free(self) -> Resources:
        """Return the capacity that is left at the agent."""
        return self.room.capacity - self.load()

    def load_cpu(self) -> int:
        """Return the CPU component of ``load()`` without allocating a ``Resources``.

        It is called for each agent and each task that is placed.
        """
        return (
            self.room.committed.cpu
            - self.room.receiver_committed.cpu
            + self.placed_needs.cpu
        )

    # Runs and messages.

    def add_run(self, key: RunKey, needs: Resources, owner: Any) -> None:
        """Record a run that is placed at the agent.

        It replaces one of the same key, of a former job with the same id.
        """
        self.placed_needs = self.placed_needs - self.needs.get(key, NO_RESOURCES)
        self.placed[key] = owner
        self.needs[key] = needs
        self.placed_needs = self.placed_needs + needs

    def enqueue_placement(self, order: PlaceTask) -> None:
        """Append a placement to the stream.

        Of consecutive placements of one job only the first carries the payload, and of
        those for one life of the upstream only the first names it.
        """
        sent = (self.last_request, self.last_payload)
        self.last_request, self.last_payload = order.request, order.payload
        if sent == (order.request, order.payload):
            order = structs.replace(order, payload=None)
        last_life, self.last_life = self.last_life, order.life
        if last_life == order.life:
            order = structs.replace(order, life=None)
        self.outgoing.add(order)

    def remove_run(self, key: RunKey) -> Any:
        """Remove a run and return its owner, or ``None`` if the run is unknown."""
        owner = self.placed.pop(key, None)
        self.former_boot_runs.discard(key)
        if owner is not None:
            self.placed_needs = self.placed_needs - self.needs.pop(key)
        return owner

    def held_echo_ms(self, now: float) -> int:
        """Return the milliseconds since the message arrived that is echoed."""
        return round(1000 * (now - self.echo_received_at)) if self.echo_ms else 0

    def inbound_delay_ms(self, sent_ms: int, lease_now: float) -> int:
        """Return by how much longer a message took than the fastest of its process."""
        transit = lease_now * 1000 - sent_ms
        self.least_transit_ms = min(self.least_transit_ms, transit)
        return round(transit - self.least_transit_ms)

    def receive_turn(self, turn: AgentTurn, now: float) -> list[TaskEnded]:
        """Handle a message of the current session and return the outcomes new to it."""
        self.last_received_at = now
        self.handshake_started_at = None
        self.handshake_unanswered = False
        self.echoed = False
        if turn.sent_ms >= self.echo_ms:
            # Datagrams may be reordered; an older one reports an older load.
            self.echo_ms = turn.sent_ms
            self.echo_received_at = now
            self.next_message_seconds = turn.next_ms / 1000
            self._update_room(turn.room, now)
        self.outgoing.acknowledge(turn.seen, now)
        return self.incoming.accept(turn.first, turn.items)

    def _update_room(self, room: AgentRoom, now: float) -> None:
        if room.life:
            self.life = room.life
            self.life_reported_at = now
        if self.room is not None and room.service != self.room.service:
            self.largest_capacity = NO_RESOURCES
        if not room.capacity.fits(self.largest_capacity):
            self.largest_capacity = self.largest_capacity | room.capacity
        self.room = room

    def withdraw_unanswered_runs(self) -> list[RunKey]:
        """Withdraw the runs that were left unanswered and return their keys.

        No message was echoed since they were placed, so none of them has started. None
        will start later either: the agent releases a held run only after it has
        received all items, the withdrawal among them.
        """
        self.handshake_started_at = None
        self.handshake_unanswered = True
        keys = list(self.placed)
        for key in keys:
            self.outgoing.add(WithdrawTask(key))
        return keys

    def begin_session(self, boot: int, session: int) -> None:
        """Begin a session and withdraw all runs without an outcome.

        The agent reports the outcome of each withdrawn run.
        """
        if boot != self.boot:
            self.former_boot_runs = set(self.placed)
            self.least_transit_ms = math.inf
        self.boot = boot
        self.session = session
        self.echo_ms = 0
        self.session_abandoned = False
        self.outgoing = OutgoingStream(self.outgoing.timer)
        self.last_request, self.last_payload, self.last_life = "", None, None
        self.incoming = IncomingStream()
        for key in self.placed:
            self.outgoing.add(WithdrawTask(key))
