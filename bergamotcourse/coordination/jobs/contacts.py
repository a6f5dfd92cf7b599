"""The agent's contacts with entries: sessions, leases and what is sent to each.

An agent keeps the runs of an entry only while that entry answers. When it has not for
``CONTACT_SECONDS``, the agent ends its runs and begins a new session; nothing that was
sent in the former one is taken any more.
"""

from dataclasses import dataclass, field

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.item_stream import Incoming, Outgoing
from bergamotcourse.coordination.jobs.lease_terms import (
    CONTACT_SECONDS,
    HEARTBEAT_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
)
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.send_soon import SendSoon
from bergamotcourse.coordination.jobs.trial import offered_capacity
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.task_messages import (
    AgentRoom,
    AgentTurn,
    EntryTurn,
    Farewell,
    Hello,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.state.resources import NOTHING

ABSENT_HEARTBEAT_SECONDS = 0.5
"""Between the messages to an entry that does not answer, each on a new connection: one
to a machine without power would be tried again only after seconds."""

FORGET_SECONDS = 30.0
"""An entry that has not answered for so long is forgotten; a new one makes itself
known."""

TOLD_OF_ROOM = 2
"""Entries told of room that gets free. Told to all of eight, each free slot drew a task
from most of them, and two of five placements came back; the others hear of it with the
next heartbeat."""

TICK_SECONDS = 0.05
"""Between two looks at what is due; below half a heartbeat."""


@dataclass
class EntryContact:
    """What an agent knows of one entry.

    Attributes:
        entry_boot: Of the entry's process; 0 before it has answered.
        session: Rises each time the runs of the entry were given up.
        lease_end: Until when its runs are kept; ``None`` while there is no lease.
        heard_at: When it last answered, or became known.
        waiting: It wants to be told of room.
        told_at: When it was last told of room.
        told_left: The processor room that the last message left to it.
    """

    address: LinkAddress
    heard_at: float
    entry_boot: int = 0
    session: int = 1
    lease_end: float | None = None
    sent_at: float = -1e9
    waiting: bool = False
    told_at: float = 0.0
    told_left: int = 0
    out: Outgoing[TaskEnded] = field(default_factory=Outgoing)
    incoming: Incoming = field(default_factory=Incoming)


class Contacts:
    """The entries that an agent works for.

    Attributes:
        name: Of the agent.
        boot: Of this process; also its fencing token at the upstream.
        leaving: A farewell was sent; nothing follows it.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        boot: int,
        executor: Executor,
        mailer: Mailer,
        timers: Timers,
        log: EventLog,
        policy: JobPolicy | None = None,
    ):
        self.policy = policy or JobPolicy()
        self.name = name
        self.zone = zone
        self.boot = boot
        self.executor = executor
        self.mailer = mailer
        self.timers = timers
        self.log = log
        self.entries: dict[LinkAddress, EntryContact] = {}
        self.leaving = False
        self.soon = SendSoon(self._send_to)
        executor.book.report_end = self.report_end
        executor.book.room_changed = self.room_changed
        executor.may_start = self.in_contact
        mailer.handler = self.handle

    async def run(self) -> None:
        """Send what is due until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.soon.run)
            while True:
                self._tick()
                await trio.sleep(TICK_SECONDS)

    def handle(self, sender: LinkAddress, message: Message) -> None:
        """Act on one message."""
        match message:
            case EntryTurn():
                self._take_turn(sender, message)
            case Hello():
                self.learn([sender, *message.entries] if not message.agent else [])
            case Farewell():
                self._forget(sender, "it has stopped")
            case _:
                self.log.write("message.unexpected", peer=sender)

    def learn(self, addresses: list[str]) -> None:
        """Begin a contact with each entry that is not known."""
        for address in map(LinkAddress, addresses):
            if address not in self.entries:
                contact = EntryContact(address, self.timers.now())
                self.entries[address] = contact
                self.log.write("entry.learned", entry=address)
                self._mark(contact)

    def in_contact(self, entry: LinkAddress) -> bool:
        """Return whether the runs of an entry may start."""
        contact = self.entries.get(entry)
        return contact is not None and self._has_lease(contact)

    def report_end(self, entry: LinkAddress, ended: TaskEnded) -> None:
        """Send an outcome to the entry that placed the run."""
        contact = self.entries.get(entry)
        if contact is not None:
            contact.out.add(ended)
            self._mark(contact)

    def room_changed(self) -> None:
        """Tell of room, to some of the entries that wait for it, in turn."""
        waiting = [contact for contact in self.entries.values() if contact.waiting]
        told = TOLD_OF_ROOM if self.policy.tells_some_of_room else len(waiting)
        for contact in sorted(waiting, key=lambda one: one.told_at)[:told]:
            contact.told_at = self.timers.now()
            self._mark(contact)

    def tell_all(self) -> None:
        """Tell all entries the state of this agent."""
        for contact in self.entries.values():
            self._mark(contact)

    def all_confirmed(self) -> bool:
        """Return whether the entries in contact have received all outcomes."""
        return not any(
            contact.out.items
            for contact in self.entries.values()
            if self._has_lease(contact)
        )

    def say_farewell(self) -> None:
        """Tell all entries that this process ends."""
        self.leaving = True
        for contact in self.entries.values():
            self.mailer.post(contact.address, Farewell(agent=True))

    # What entries send.

    def _take_turn(self, sender: LinkAddress, turn: EntryTurn) -> None:
        self.learn([sender])
        contact = self.entries[sender]
        contact.heard_at = self.timers.now()
        if turn.boot != self.boot or turn.entry_boot < contact.entry_boot:
            return
        self._note_entry_boot(contact, turn.entry_boot)
        if turn.session != contact.session:
            return
        if contact.lease_end is not None and not self._has_lease(contact):
            self._end_session(contact, "no answer in time")
            return
        self._renew(contact, turn.echo_ms)
        begins_waiting = turn.waiting and not contact.waiting
        begins_waiting = begins_waiting and self.policy.tells_unseen_room
        contact.waiting = turn.waiting
        if begins_waiting and self._left_by_others(contact) > contact.told_left:
            self._mark(contact)
        contact.out.confirm(turn.seen)
        for item in contact.incoming.accept(turn.first, turn.items):
            self._take_item(contact, item)

    def _note_entry_boot(self, contact: EntryContact, boot: int) -> None:
        if contact.entry_boot not in (0, boot):
            contact.out.items.clear()
            self._end_session(contact, "the entry has restarted")
        contact.entry_boot = boot

    def _renew(self, contact: EntryContact, echo_ms: int) -> None:
        end = echo_ms / 1000 + CONTACT_SECONDS
        if contact.lease_end is None:
            if end < self.timers.lease_now():
                return
            self.log.write("entry.contact", entry=contact.address)
            contact.lease_end = end
        contact.lease_end = max(contact.lease_end, end)

    def _take_item(self, contact: EntryContact, item: Message) -> None:
        match item:
            case PlaceTask():
                if self._has_lease(contact):
                    self.executor.place(contact.address, item)
                else:
                    self._refuse(contact, item)
            case WithdrawTask(key=key):
                self.executor.withdraw(contact.address, key)

    # Leases and sessions.

    def _refuse(self, contact: EntryContact, item: PlaceTask) -> None:
        """Return a run that came with an echo too old for a lease."""
        self.executor.withdraw(contact.address, item.key)

    def _has_lease(self, contact: EntryContact) -> bool:
        end = contact.lease_end
        return end is not None and self.timers.lease_now() < end

    def _end_session(self, contact: EntryContact, why: str) -> None:
        self.log.write(
            "entry.session_ended",
            entry=contact.address,
            session=contact.session,
            why=why,
        )
        contact.session += 1
        contact.lease_end = None
        contact.incoming = Incoming()
        contact.out.restart()
        # The connection may be dead without a sign; what it holds is void by now.
        self.mailer.forget(contact.address)
        self.executor.withdraw_all(contact.address, why)
        self._mark(contact)

    def _forget(self, address: LinkAddress, why: str) -> None:
        contact = self.entries.pop(address, None)
        if contact is None:
            return
        self.log.write("entry.forgotten", entry=address, why=why)
        self.executor.withdraw_all(address, why)
        self.mailer.forget(address)

    # What is sent.

    def _tick(self) -> None:
        now = self.timers.now()
        for contact in list(self.entries.values()):
            if contact.lease_end is not None and not self._has_lease(contact):
                self._end_session(contact, "no answer in time")
            silent = now - contact.heard_at
            if silent > FORGET_SECONDS:
                self._forget(contact.address, "no answer")
            elif self._is_due(contact, now, silent):
                self._mark(contact)

    def _is_due(self, contact: EntryContact, now: float, silent: float) -> bool:
        if contact.out.is_late(now):
            return True
        if silent > ABSENT_HEARTBEAT_SECONDS:
            due = now - contact.sent_at >= ABSENT_HEARTBEAT_SECONDS
            if due:
                # Messages to a dead connection would wait for its time-out.
                self.mailer.forget(contact.address)
            return due
        busy = contact.waiting or bool(contact.out.items)
        busy = busy or self.executor.book.committed(contact.address) != NOTHING
        period = HEARTBEAT_SECONDS if busy else IDLE_HEARTBEAT_SECONDS
        return now - contact.sent_at >= period - TICK_SECONDS / 2

    def _mark(self, contact: EntryContact) -> None:
        self.soon.mark(contact.address)

    def _send_to(self, address: LinkAddress) -> None:
        contact = self.entries.get(address)
        if contact is not None and not self.leaving:
            self._send(contact)

    def _send(self, contact: EntryContact) -> None:
        now = self.timers.now()
        contact.sent_at = now
        contact.told_left = self._left_by_others(contact)
        first, items = contact.out.take(now)
        turn = AgentTurn(
            agent=self.name,
            zone=self.zone,
            boot=self.boot,
            session=contact.session,
            sent_ms=int(self.timers.lease_now() * 1000),
            seen=contact.incoming.seen,
            first=first,
            items=items,
            room=self._room(contact.address),
        )
        self.mailer.post(contact.address, turn)

    def _left_by_others(self, contact: EntryContact) -> int:
        """Return the processor room for an entry, with what it has already."""
        book = self.executor.book
        others = book.committed().cpu - book.committed(contact.address).cpu
        return self.executor.capacity().cpu - others

    def _room(self, entry: LinkAddress) -> AgentRoom:
        executor = self.executor
        life = executor.life
        committed = executor.book.committed()
        return AgentRoom(
            service=life.report.service if life else "",
            labels=life.report.labels if life else (),
            capacity=offered_capacity(executor, committed, self.timers.now()),
            committed=committed,
            yours=executor.book.committed(entry),
            on_trial=executor.health.on_trial(),
        )
