"""What an entry knows of one agent, and whether it may place tasks there.

Of hundreds of agents an entry uses some dozens at a time. With those it is in contact:
they are heard several times a second, and what is placed there starts at once. The
others are heard rarely. A run that is placed at one of these starts only once a message
of the agent has come after it and was echoed, so until then it can be taken back with
certainty.
"""

from dataclasses import dataclass, field
from typing import Any

from msgspec import structs

from bergamotcourse.coordination.jobs.item_stream import Incoming, Outgoing
from bergamotcourse.coordination.jobs.lease_terms import (
    AGENT_SILENCE_SECONDS,
    ALL_RUNS_ENDED_SECONDS,
    CONTACT_LOST_SECONDS,
    FIRST_PLACEMENT_TIMEOUT_SECONDS,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import (
    AgentRoom,
    AgentTurn,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NOTHING, Resources

MISSED_MESSAGES = 2
"""Rare messages of an agent that may be lost before nothing is placed there."""


@dataclass
class AgentLink:
    """An agent.

    Attributes:
        boot: Of the agent's process.
        session: The last that the agent has begun with this entry.
        heard_at: When it last sent something.
        next: Seconds after which it sends again, as it said then.
        echo_ms: The agent's clock in its last message.
        largest: The most capacity that its upstream has told; what it has now may have
            shrunk, or be held back for a trial, and come back.
        over: The runs of this session were given up here; it is not used any more.
        opened_at: When the first run was placed without contact; ``None`` if there was
            contact, or an answer since.
        unanswered: It left such a run unanswered, and has not been heard since.
        placed: The runs that have no outcome yet, with what the dispatcher keeps.
        pending: Needs of the runs in ``placed``.
        former: Runs that were placed at an earlier process of the agent.
        last_request: The job whose payload the agent was told last in this session.
    """

    address: LinkAddress
    name: str
    zone: str
    boot: int = 0
    session: int = 0
    heard_at: float = 0.0
    next: float = 0.0
    echo_ms: int = 0
    sent_at: float = -1e9
    echoed: bool = True
    over: bool = False
    opened_at: float | None = None
    unanswered: bool = False
    room: AgentRoom | None = None
    largest: Resources = NOTHING
    out: Outgoing[PlaceTask | WithdrawTask] = field(default_factory=Outgoing)
    incoming: Incoming[TaskEnded] = field(default_factory=Incoming)
    placed: dict[RunKey, Any] = field(default_factory=dict)
    needs: dict[RunKey, Resources] = field(default_factory=dict)
    pending: Resources = NOTHING
    former: set[RunKey] = field(default_factory=set)
    last_request: str = ""

    # What may be done with it.

    def in_contact(self, now: float) -> bool:
        """Return whether runs that are placed there start at once."""
        silent = now - self.heard_at
        return (
            silent <= AGENT_SILENCE_SECONDS and not self.over and self.room is not None
        )

    def may_start_at_once(self, now: float) -> bool:
        """Return whether an echo from before may still give contact."""
        return now - self.heard_at < CONTACT_LOST_SECONDS

    def is_opening(self, now: float) -> bool:
        """Return whether it may answer a placement without contact yet."""
        return (
            self.opened_at is not None
            and now - self.opened_at < FIRST_PLACEMENT_TIMEOUT_SECONDS
        )

    def is_usable(self, now: float) -> bool:
        """Return whether it is in contact, or about to be."""
        return self.in_contact(now) or self.is_opening(now)

    def may_ask(self, now: float) -> bool:
        """Return whether an agent without contact is likely to answer."""
        if self.over or self.unanswered or self.placed or self.room is None:
            return False
        silent = now - self.heard_at
        return (
            AGENT_SILENCE_SECONDS
            < silent
            <= MISSED_MESSAGES * self.next + CONTACT_LOST_SECONDS
        )

    def may_open(self, now: float) -> bool:
        """Return whether a run may be placed there without contact.

        Not before ``CONTACT_LOST_SECONDS``: an echo sent before may give contact until then.
        """
        return self.may_ask(now) and not self.may_start_at_once(now)

    def is_lost(self, now: float) -> bool:
        """Return whether all runs there are over, whatever became of the agent."""
        if self.over or self.opened_at is not None or not self.placed:
            return False
        return now - self.heard_at > ALL_RUNS_ENDED_SECONDS

    def note_opening(self, now: float) -> None:
        """Note that what is placed now waits for an answer, if it surely does.

        An entry that is slow may find an agent silent that was in contact when it was
        chosen. What is placed there, or was before, may be started yet: taken back as
        one that can't be, a run would run twice.
        """
        waits = not self.placed and not self.may_start_at_once(now)
        if self.opened_at is None and waits:
            self.opened_at = now

    # Load.

    def load(self) -> Resources:
        """Return the needs of all runs there, with those just placed."""
        return self.room.committed - self.room.yours + self.pending

    def free(self) -> Resources:
        """Return the room that is left there."""
        return self.room.capacity - self.load()

    def load_cpu(self) -> int:
        """Return the processor part of ``load``, without making an amount of it.

        It is asked of each agent for each task that is placed.
        """
        return self.room.committed.cpu - self.room.yours.cpu + self.pending.cpu

    # Runs and messages.

    def add(self, key: RunKey, needs: Resources, owner: Any) -> None:
        """Note a run that is placed there."""
        self.placed[key] = owner
        self.needs[key] = needs
        self.pending = self.pending + needs

    def send(self, order: PlaceTask) -> None:
        """Append a placement to the stream; of a job's several the first has all."""
        if order.request == self.last_request:
            order = structs.replace(order, payload=None)
        self.last_request = order.request
        self.out.add(order)

    def drop(self, key: RunKey) -> Any:
        """Forget a run and return its owner, or ``None``."""
        owner = self.placed.pop(key, None)
        self.former.discard(key)
        if owner is not None:
            self.pending = self.pending - self.needs.pop(key)
        return owner

    def hear(self, turn: AgentTurn, now: float) -> list[TaskEnded]:
        """Take a message of the session, and return the outcomes that are new."""
        self.heard_at = now
        self.opened_at = None
        self.unanswered = False
        self.echoed = False
        if turn.sent_ms >= self.echo_ms:
            # Datagrams overtake each other; an older one tells an older load.
            self.echo_ms = turn.sent_ms
            self.next = turn.next_ms / 1000
            self._note_room(turn.room)
        self.out.confirm(turn.seen, now)
        return self.incoming.accept(turn.first, turn.items)

    def _note_room(self, room: AgentRoom) -> None:
        if self.room is not None and room.service != self.room.service:
            self.largest = NOTHING
        if not room.capacity.fits(self.largest):
            self.largest = self.largest | room.capacity
        self.room = room

    def take_back(self) -> list[RunKey]:
        """Withdraw the runs that were left unanswered, and return them.

        No message was echoed since they were placed, so none of them has started. Nor
        will it: the agent releases a held run only once it has all items.
        """
        self.opened_at = None
        self.unanswered = True
        keys = list(self.placed)
        for key in keys:
            self.out.add(WithdrawTask(key))
        return keys

    def begin_session(self, boot: int, session: int) -> None:
        """Begin a session, in which all that has no outcome is asked for."""
        if boot != self.boot:
            self.former = set(self.placed)
        self.boot = boot
        self.session = session
        self.echo_ms = 0
        self.over = False
        self.out = Outgoing()
        self.last_request = ""
        self.incoming = Incoming()
        for key in self.placed:
            self.out.add(WithdrawTask(key))
