"""The entry's links to agents: who can be placed at, and what is placed where."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.item_stream import Incoming, Outgoing
from bergamotcourse.coordination.jobs.lease_terms import (
    ECHO_SECONDS,
    OVER_SECONDS,
    SILENT_SECONDS,
)
from bergamotcourse.coordination.jobs.send_soon import SendSoon
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    NEVER_RAN,
    AgentRoom,
    AgentTurn,
    EntryTurn,
    Outcome,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NOTHING, Resources

TICK_SECONDS = 0.03
"""Between two looks at what is due; a third of ``ECHO_SECONDS``."""

FORGET_SECONDS = 30.0
"""An agent that was silent for so long is forgotten."""


@dataclass
class AgentLink:
    """What an entry knows of one agent.

    Attributes:
        boot: Of the agent's process.
        session: The last that the agent has begun with this entry.
        heard_at: When it last sent something.
        echo_ms: The agent's clock in its last message.
        over: The runs of this session were given up here; it is not used any more.
        placed: The runs that have no outcome yet, with what the dispatcher keeps.
        pending: Needs of the runs in ``placed``.
        former: Runs that were placed at an earlier process of the agent.
    """

    address: LinkAddress
    name: str
    zone: str
    boot: int = 0
    session: int = 0
    heard_at: float = 0.0
    echo_ms: int = 0
    sent_at: float = -1e9
    echoed: bool = True
    over: bool = False
    room: AgentRoom | None = None
    out: Outgoing[PlaceTask | WithdrawTask] = field(default_factory=Outgoing)
    incoming: Incoming = field(default_factory=Incoming)
    placed: dict[RunKey, Any] = field(default_factory=dict)
    needs: dict[RunKey, Resources] = field(default_factory=dict)
    pending: Resources = NOTHING
    former: set[RunKey] = field(default_factory=set)

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

    def add(self, key: RunKey, needs: Resources, owner: Any) -> None:
        """Note a run that is placed there."""
        self.placed[key] = owner
        self.needs[key] = needs
        self.pending = self.pending + needs

    def drop(self, key: RunKey) -> Any:
        """Forget a run and return its owner, or ``None``."""
        owner = self.placed.pop(key, None)
        self.former.discard(key)
        if owner is not None:
            self.pending = self.pending - self.needs.pop(key)
        return owner


class AgentLinks:
    """All agents that an entry has heard of.

    Attributes:
        entry: Name of the entry.
        boot: Of this process; rises with each process of the entry.
        on_end: Called with the owner of a run, its link, and its outcome.
        on_settled: Called after the outcomes of one message, or of one lost agent.
        on_room: Called when an agent has told its load.
        is_waiting: Whether the entry has tasks that find no room.
    """

    def __init__(
        self, entry: str, boot: int, mailer: Mailer, timers: Timers, log: EventLog
    ):
        self.entry = entry
        self.boot = boot
        self.mailer = mailer
        self.timers = timers
        self.log = log
        self.links: dict[LinkAddress, AgentLink] = {}
        self.on_end: Callable[[Any, AgentLink, TaskEnded], None] = _ignore
        self.on_room: Callable[[AgentLink], None] = lambda _link: None
        self.on_settled: Callable[[], None] = lambda: None
        self.is_waiting: Callable[[], bool] = lambda: False
        self.soon = SendSoon(self._send_to)

    async def run(self) -> None:
        """Send what is due until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.soon.run)
            while True:
                self._tick()
                await trio.sleep(TICK_SECONDS)

    def usable(self) -> list[AgentLink]:
        """Return the agents that may get tasks now."""
        oldest = self.timers.now() - SILENT_SECONDS
        return [
            link
            for link in self.links.values()
            if link.heard_at >= oldest and not link.over and link.room is not None
        ]

    def place(
        self, link: AgentLink, order: PlaceTask, needs: Resources, owner: Any
    ) -> None:
        """Place a run at an agent."""
        link.add(order.key, needs, owner)
        link.out.add(order)
        self._mark(link)

    def withdraw(self, link: AgentLink, key: RunKey) -> None:
        """End a run, or bar it."""
        link.out.add(WithdrawTask(key))
        self._mark(link)

    def tell_waiting(self) -> None:
        """Ask all agents to tell of room."""
        for link in self.usable():
            self._mark(link)

    def take_turn(self, sender: LinkAddress, turn: AgentTurn) -> None:
        """Take a message of an agent."""
        link = self.links.get(sender)
        if link is None:
            link = AgentLink(sender, turn.agent, turn.zone)
            self.links[sender] = link
        if (turn.boot, turn.session) < (link.boot, link.session):
            return
        if (turn.boot, turn.session) > (link.boot, link.session):
            self._begin_session(link, turn)
        if link.over:
            return
        link.heard_at = self.timers.now()
        link.echo_ms = max(link.echo_ms, turn.sent_ms)
        link.echoed = False
        link.room = turn.room
        link.out.confirm(turn.seen)
        fresh = link.incoming.accept(turn.first, turn.items)
        for ended in fresh:
            self._end(link, ended)
        if fresh:
            self.on_settled()
        else:
            self.on_room(link)

    def farewell(self, sender: LinkAddress) -> None:
        """Take the word of an agent that it ends, with nothing left running."""
        link = self.links.pop(sender, None)
        if link is None:
            return
        self.log.write("agent.left", agent=link.name)
        self._give_up(link, "the agent has stopped")
        self.mailer.forget(sender)

    def _begin_session(self, link: AgentLink, turn: AgentTurn) -> None:
        self.log.write(
            "agent.session",
            agent=link.name,
            boot=turn.boot,
            session=turn.session,
            unsettled=len(link.placed),
            quiet_ms=round((self.timers.now() - link.heard_at) * 1000),
        )
        if link.session:
            # The connection may be dead without a sign; what it holds is void.
            self.mailer.forget(link.address)
        if turn.boot != link.boot:
            link.former = set(link.placed)
        link.boot = turn.boot
        link.session = turn.session
        link.echo_ms = 0
        link.over = False
        link.out = Outgoing()
        link.incoming = Incoming()
        for key in link.placed:
            link.out.add(WithdrawTask(key))
        self._mark(link)

    def _end(self, link: AgentLink, ended: TaskEnded) -> None:
        if ended.key in link.former and ended.outcome in NEVER_RAN:
            # The agent knows only what its present process has not started.
            why = "its agent has restarted"
            ended = TaskEnded(ended.key, Outcome.LOST, 0.0, why)
        owner = link.drop(ended.key)
        if owner is not None:
            self.on_end(owner, link, ended)

    def _give_up(self, link: AgentLink, why: str) -> None:
        """Give up the runs at an agent, all of which are over by now."""
        for key in list(link.placed):
            self._end(link, TaskEnded(key, Outcome.LOST, 0.0, why))
        self.on_settled()

    def _tick(self) -> None:
        now = self.timers.now()
        for link in list(self.links.values()):
            silent = now - link.heard_at
            if silent > OVER_SECONDS and not link.over:
                self.log.write(
                    "agent.lost", agent=link.name, runs=len(link.placed), silent=silent
                )
                link.over = True
                self._give_up(link, "the agent is silent")
                self.mailer.forget(link.address)
            if silent > FORGET_SECONDS:
                del self.links[link.address]
            elif self._is_due(link, now):
                self._mark(link)

    def _is_due(self, link: AgentLink, now: float) -> bool:
        if link.over:
            return False
        if link.out.is_late(now):
            return True
        return not link.echoed and now - link.sent_at >= ECHO_SECONDS - TICK_SECONDS

    def _mark(self, link: AgentLink) -> None:
        self.soon.mark(link.address)

    def _send_to(self, address: LinkAddress) -> None:
        link = self.links.get(address)
        if link is not None and not link.over:
            self._send(link)

    def _send(self, link: AgentLink) -> None:
        now = self.timers.now()
        link.sent_at = now
        link.echoed = True
        first, items = link.out.take(now)
        turn = EntryTurn(
            entry=self.entry,
            entry_boot=self.boot,
            boot=link.boot,
            session=link.session,
            echo_ms=link.echo_ms,
            seen=link.incoming.seen,
            first=first,
            items=items,
            waiting=self.is_waiting(),
        )
        self.mailer.post(link.address, turn)


def _ignore(_owner: Any, _link: AgentLink, _ended: TaskEnded) -> None:
    """Drop an outcome."""
