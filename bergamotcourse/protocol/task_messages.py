"""The messages by which entries place tasks at agents.

Each side sends the other a stream of numbered items. A message carries those items
that the other side has not confirmed, and confirms what it has received, so items
that a broken connection lost are sent again and none is taken twice.
"""

from enum import Enum

from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.evacuations import Evacuations
from bergamotcourse.state.resources import Resources

ITEM_BYTES = 100
"""Of an encoded item beside its payload."""


class Item(Message, frozen=True):
    """Base of the items of a stream."""

    def size(self) -> int:
        """Return about how many bytes it has when encoded."""
        return ITEM_BYTES


class PlaceTask(Item, frozen=True):
    """Start a task, or queue it until there is room.

    Attributes:
        request: The id of the job, for the log.
        payload: ``None`` for that of the placement before it in the stream, which is of
            the same job.
        rank: Milliseconds that the task can still wait; the least goes first.
        estimate: Seconds of work on an upstream of speed 1.
        patience: Milliseconds after which a task that did not start is returned.
    """

    key: RunKey
    request: str
    payload: str | None
    needs: Resources
    rank: int
    estimate: float
    patience: int

    def size(self) -> int:
        """Return about how many bytes it has when encoded."""
        return ITEM_BYTES + len(self.payload or "")


class WithdrawTask(Item, frozen=True):
    """End a run, or bar it; its end is reported in each case."""

    key: RunKey


class Outcome(Enum):
    """What became of a placed run; only ``DONE`` and ``FAILED`` ran to their end."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    """It lapsed, or nobody knows what became of it."""
    CRASHED = "crashed"
    """Its upstream went without notice while it ran, or does not answer any more."""
    RETURNED = "returned"
    """It never started and never will."""
    MOVED = "moved"
    """It was stopped, as it would be done sooner elsewhere."""
    STALE = "stale"
    """It never started: the upstream knows a run of that number or a later one."""


NEVER_RAN = (Outcome.RETURNED, Outcome.STALE)


class TaskEnded(Item, frozen=True):
    """The final outcome of a placed run.

    Attributes:
        ran: Seconds from its start to its end, 0 if it never started.
    """

    key: RunKey
    outcome: Outcome
    ran: float = 0.0
    detail: str = ""


class AgentRoom(Message, frozen=True):
    """The load of an agent.

    Attributes:
        service: Empty while no upstream has announced itself.
        capacity: Of the upstream; nothing while it takes no tasks.
        committed: Needs of all that runs or waits at the agent.
        yours: The part of ``committed`` that the receiver has placed.
        on_trial: The upstream fails, stalls or delays what it runs: it gets one task
            at a time.
    """

    service: str
    labels: tuple[str, ...]
    capacity: Resources
    committed: Resources
    yours: Resources
    on_trial: bool


class AgentTurn(Message, frozen=True):
    """An agent's message to an entry; also its heartbeat.

    Attributes:
        boot: Rises with each process of the agent.
        session: Rises each time the agent gives up the runs of this entry.
        sent_ms: On the agent's clock; echoed by the entry.
        next_ms: After so many milliseconds the next message follows, if none sooner.
        seen: The last item received of the entry's stream.
        first: Number of the first of ``items``.
    """

    agent: str
    zone: str
    boot: int
    session: int
    sent_ms: int
    next_ms: int
    seen: int
    first: int
    items: list[TaskEnded]
    room: AgentRoom


class EntryTurn(Message, frozen=True):
    """An entry's message to an agent, in answer to the agent's.

    Attributes:
        entry_boot: Drawn by each process of the entry.
        boot: Of the agent, as last heard.
        session: Of the agent, as last heard.
        echo_ms: ``sent_ms`` of the agent's last message.
        seen: The last item received of the agent's stream.
        first: Number of the first of ``items``.
        last: Number of the last item that the entry has for the agent, sent or not.
        waiting: The entry has tasks that find no room: tell it of any.
        evacuations: As the entry knows them.
    """

    entry: str
    entry_boot: int
    boot: int
    session: int
    echo_ms: int
    seen: int
    first: int
    items: list[PlaceTask | WithdrawTask]
    last: int
    waiting: bool
    evacuations: Evacuations = Evacuations()


class EndSession(Message, frozen=True):
    """An entry has given up all runs of a session: the agent is to begin another.

    Attributes:
        boot: Of the agent, as last heard.
        session: The session that is over.
    """

    boot: int
    session: int


class Hello(Message, frozen=True):
    """A process makes itself known, and asks for the others that are known.

    Attributes:
        agent: The sender is an agent, else an entry.
        config: The version of the configuration in force at an entry.
        asks: The receiver is to answer with a greeting of its own.
        evacuations: As the sender knows them.
    """

    agent: bool
    entries: list[str]
    agents: list[str]
    config: int
    asks: bool
    evacuations: Evacuations = Evacuations()


class ConfigWanted(Message, frozen=True):
    """An entry asks another for a configuration newer than its own."""

    version: int


class ConfigCopy(Message, frozen=True):
    """The configuration in force at the sender, as the platform's store holds it."""

    version: int
    content: bytes


class Farewell(Message, frozen=True):
    """The sender stops for good; nothing of it runs any more."""

    agent: bool
