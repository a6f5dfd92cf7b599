"""The entry's links to agents: who can be placed at, and what is placed where."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.agent_order import AgentOrder
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.lease_terms import MAX_ECHO_DELAY_SECONDS
from bergamotcourse.coordination.jobs.send_soon import SendSoon
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    NEVER_RAN,
    AgentTurn,
    EndSession,
    EntryTurn,
    Outcome,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import Resources

TICK_SECONDS = 0.03
"""Between two looks at what is due; half of ``MAX_ECHO_DELAY_SECONDS``."""

FORGET_SECONDS = 30.0
"""An agent that was silent for so long is forgotten."""

ASKED_AT_ONCE = 2
"""Agents without contact that an entry with waiting tasks asks for room in each look:
70 a second, so that it has heard of all rooms near it before a short job is late."""

MOST_CONTACTS = 32
"""Agents in contact up to which an entry with waiting tasks asks further ones. A slot
of these gets free each 3 ms where tasks take 0.6 s and an agent runs six; were all
entries to ask all agents in a burst, their messages would take the time that the work
needs."""


@dataclass
class Choices:
    """The agents at which a run may be placed now, in the order of use.

    Attributes:
        near: Those in contact, of this entry's share.
        near_quiet: Those without contact, of this entry's share.
        further: All others in contact.
        further_quiet: All others without contact.
    """

    near: list[AgentLink] = field(default_factory=list)
    near_quiet: list[AgentLink] = field(default_factory=list)
    further: list[AgentLink] = field(default_factory=list)
    further_quiet: list[AgentLink] = field(default_factory=list)

    def in_turn(self) -> tuple[tuple[list[AgentLink], list[AgentLink]], ...]:
        """Return those with and without contact, of the share and of the rest."""
        return (self.near, self.near_quiet), (self.further, self.further_quiet)


class AgentLinks:
    """All agents that an entry has heard of.

    Attributes:
        entry: Name of the entry.
        boot: Of this process; rises with each process of the entry.
        order: Tells which agents are used first.
        zones: Tells in which zones nothing is placed.
        entries: Returns the addresses of the other entries.
        on_end: Called with the owner of a run, its link, and its outcome.
        on_settled: Called after the outcomes of one message, or of one lost agent.
        on_room: Called when an agent has told its load.
        is_waiting: Whether the entry has tasks that find no room.
    """

    def __init__(
        self,
        entry: str,
        boot: int,
        mailer: Mailer,
        timers: Timers,
        log: EventLog,
        order: AgentOrder,
        zones: EvacuatedZones,
    ):
        self.entry = entry
        self.boot = boot
        self.order = order
        self.zones = zones
        self.entries: Callable[[], list[LinkAddress]] = list
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

    def choices(self) -> Choices:
        """Return the agents at which a run may be placed now."""
        now = self.timers.now()
        links = self.order.links
        self.order.note(sum(link.pending.cpu for link in links), now)
        share = self.order.share()
        choices = Choices()
        for number, link in enumerate(links):
            if self.zones.is_evacuated(link.zone):
                continue
            if link.is_usable(now):
                (choices.near if number < share else choices.further).append(link)
            elif link.may_open(now):
                quiet = choices.near_quiet if number < share else choices.further_quiet
                quiet.append(link)
        return choices

    def available(self) -> list[AgentLink]:
        """Return all agents at which a run may be placed."""
        return [link for link in self.known() if not self.zones.is_evacuated(link.zone)]

    def known(self) -> list[AgentLink]:
        """Return all agents that are in contact or can be, evacuated ones too."""
        now = self.timers.now()
        links = self.links.values()
        return [link for link in links if link.is_usable(now) or link.may_open(now)]

    def place(
        self, link: AgentLink, order: PlaceTask, needs: Resources, owner: Any
    ) -> None:
        """Place a run at an agent."""
        now = self.timers.now()
        link.note_opening(now)
        link.add(order.key, needs, owner)
        link.send(order)
        self._mark(link)

    def withdraw(self, link: AgentLink, key: RunKey) -> None:
        """End a run, or bar it."""
        link.out.add(WithdrawTask(key))
        self._mark(link)

    def tell_all(self) -> None:
        """Send a message to each agent in contact, with what is news to it.

        For tasks that wait it asks for room; of evacuations the others hear with the
        answer to their next message.
        """
        now = self.timers.now()
        for link in self.links.values():
            if link.in_contact(now):
                self._mark(link)

    def take_turn(self, sender: LinkAddress, turn: AgentTurn) -> None:
        """Take a message of an agent."""
        link = self.links.get(sender)
        if link is None:
            link = AgentLink(sender, turn.agent, turn.zone)
            self.links[sender] = link
            self.order.add(link)
        if (turn.boot, turn.session) < (link.boot, link.session):
            return
        if (turn.boot, turn.session) > (link.boot, link.session):
            self._begin_session(link, turn)
        if link.over:
            # The agent may keep the session on, as it has no runs to give up.
            self.mailer.post(sender, EndSession(link.boot, link.session))
            return
        was_opening = link.opened_at is not None
        fresh = link.hear(turn, self.timers.now())
        if was_opening:
            # What was placed there waits for the echo.
            self._mark(link)
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
        self.order.remove(link)
        self.log.write("agent.left", agent=link.name)
        self._give_up(link, "the agent has stopped")

    def _begin_session(self, link: AgentLink, turn: AgentTurn) -> None:
        self.log.write(
            "agent.session",
            agent=link.name,
            boot=turn.boot,
            session=turn.session,
            unsettled=len(link.placed),
            quiet_ms=round((self.timers.now() - link.heard_at) * 1000),
        )
        if link.opened_at is not None:
            self._take_back(link, "its agent has begun a new session")
        link.begin_session(turn.boot, turn.session)
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

    def _take_back(self, link: AgentLink, why: str) -> None:
        """Take back what was placed without contact; none of it has started."""
        self.log.write("agent.unanswered", agent=link.name, runs=len(link.placed))
        for key in link.take_back():
            self._end(link, TaskEnded(key, Outcome.RETURNED, 0.0, why))
        self.on_settled()

    def _tick(self) -> None:
        now = self.timers.now()
        self.order.take_entries(self.entries(), now)
        for link in list(self.links.values()):
            if link.opened_at is not None and not link.is_opening(now):
                self._take_back(link, "its agent does not answer")
            if link.is_lost(now):
                self._lose(link, now - link.heard_at)
            if now - link.heard_at > FORGET_SECONDS:
                del self.links[link.address]
                self.order.remove(link)
            elif self._is_due(link, now):
                self._mark(link)
        if self.is_waiting():
            self._ask_further()

    def _lose(self, link: AgentLink, silent: float) -> None:
        self.log.write(
            "agent.lost", agent=link.name, runs=len(link.placed), silent=silent
        )
        link.over = True
        self._give_up(link, "the agent is silent")

    def _ask_further(self) -> None:
        """Ask some agents without contact for room."""
        now = self.timers.now()
        links = self.order.links
        if sum(link.in_contact(now) for link in links) >= MOST_CONTACTS:
            return
        others = (link for link in links if link.may_ask(now))
        for link in itertools.islice(others, ASKED_AT_ONCE):
            self._mark(link)

    def _is_due(self, link: AgentLink, now: float) -> bool:
        if link.over or link.unanswered:
            return False
        if link.out.is_late(now):
            return True
        return (
            not link.echoed
            and now - link.sent_at >= MAX_ECHO_DELAY_SECONDS - TICK_SECONDS
        )

    def _mark(self, link: AgentLink) -> None:
        self.soon.mark(link.address)

    def _send_to(self, address: LinkAddress) -> None:
        link = self.links.get(address)
        if link is not None and not link.over and not link.unanswered:
            self._send(link)

    def _send(self, link: AgentLink) -> None:
        now = self.timers.now()
        if link.out.is_late(now):
            self.log.write("items.sent_again", peer=link.name)
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
            last=link.out.last,
            waiting=self.is_waiting(),
            evacuations=self.zones.latest,
        )
        self.mailer.post(link.address, turn)


def _ignore(_owner: Any, _link: AgentLink, _ended: TaskEnded) -> None:
    """Drop an outcome."""
