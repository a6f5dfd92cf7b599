"""The agent's contacts with entries: sessions, leases and what is sent to each.

An agent keeps the runs of an entry only while that entry answers. When it has not for
``CONTACT_LEASE_SECONDS``, the agent ends its runs and begins a new session; nothing that was
sent in the former one is taken any more. An entry without runs here needs no lease: its
next run is held until it has echoed a message that was sent after the run came.
"""

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.entry_contact import EntryContact, lease_end_of
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.executor import Executor
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
    EndSession,
    EntryTurn,
    Farewell,
    Hello,
    Outcome,
    PlaceTask,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey

FORGET_SECONDS = 30.0
"""An entry that has not answered for so long is forgotten; a new one makes itself
known."""

TOLD_OF_ROOM = 2
"""Entries told of room that gets free: told to all, each free slot would draw a task
from most of them. The others hear of it with the next heartbeat."""

TICK_SECONDS = 0.05
"""Between two looks at what is due; below half a heartbeat."""


class Contacts:
    """The entries that an agent works for.

    Attributes:
        name: Of the agent.
        boot: Of this process; also its fencing token at the upstream.
        leaving: A farewell was sent; nothing follows it.
        zones: The evacuated zones, as entries tell of them.
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
        self.zones = EvacuatedZones(log)
        self.zones.on_change = self._zones_changed
        self.soon = SendSoon(self._send_to)
        executor.registry.report_end = self.report_end
        executor.registry.room_changed = self.room_changed
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
            case Hello(agent=False):
                self._take_greeting(sender, message)
            case Farewell():
                self._forget(sender, "it has stopped")
            case EndSession():
                self._take_end_of_session(sender, message)
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
        return contact is not None and contact.has_lease(self.timers.lease_now())

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
        now = self.timers.lease_now()
        return not any(
            contact.out.items
            for contact in self.entries.values()
            if contact.has_lease(now)
        )

    def say_farewell(self) -> None:
        """Tell all entries that this process ends."""
        self.leaving = True
        for contact in self.entries.values():
            self.mailer.post(contact.address, Farewell(agent=True))

    # What entries send.

    def _zones_changed(self) -> None:
        self.executor.set_evacuated(self.zones.is_evacuated(self.zone))
        self.tell_all()

    def _take_greeting(self, sender: LinkAddress, greeting: Hello) -> None:
        """Answer an entry that has come back: it has lost what was sent before."""
        self.zones.adopt(greeting.evacuations, f"entry {sender}")
        self.learn([sender, *greeting.entries])
        contact = self.entries[sender]
        if contact.is_absent(self.timers.now()):
            self._mark(contact)

    def _take_turn(self, sender: LinkAddress, turn: EntryTurn) -> None:
        self.learn([sender])
        contact = self.entries[sender]
        now = self.timers.now()
        contact.heard_at = now
        # Before the runs that it brings, which may be meant for another zone by now.
        self.zones.adopt(turn.evacuations, f"entry {sender}")
        if turn.boot != self.boot or turn.entry_boot < contact.entry_boot:
            return
        self._note_entry_boot(contact, turn.entry_boot)
        if turn.session != contact.session:
            return
        if self._ends_with_its_lease(contact, self.timers.lease_now()):
            return
        self._renew(contact, turn)
        self._note_waiting(contact, turn.waiting)
        contact.out.confirm(turn.seen, now)
        for item in contact.take_items(turn, now):
            self._take_item(contact, item)
        if contact.held:
            self._release(contact, turn)

    def _note_entry_boot(self, contact: EntryContact, boot: int) -> None:
        if contact.entry_boot not in (0, boot):
            contact.out.items.clear()
            self._end_session(contact, "the entry has restarted")
        contact.entry_boot = boot

    def _note_waiting(self, contact: EntryContact, waiting: bool) -> None:
        begins = waiting and not contact.waiting
        contact.waiting = waiting
        if not begins or not self.policy.tells_unseen_room:
            return
        if self._left_by_others(contact) > contact.told_left:
            self._mark(contact)

    def _renew(self, contact: EntryContact, turn: EntryTurn) -> None:
        end = lease_end_of(turn)
        if contact.lease_end is None and end < self.timers.lease_now():
            return
        if not contact.known:
            self.log.write("entry.contact", entry=contact.address)
            contact.known = True
        contact.lease_end = max(contact.lease_end or end, end)

    def _take_item(self, contact: EntryContact, item: Message) -> None:
        match item:
            case PlaceTask():
                contact.hold(item)
            case WithdrawTask(key=key):
                self._withdraw(contact, key)

    def _release(self, contact: EntryContact, turn: EntryTurn) -> None:
        """Take the held runs, or ask for the echo that they wait for."""
        if contact.may_release(turn, self.timers.lease_now()):
            for order in contact.release():
                self.executor.place(contact.address, order)
        elif turn.items:
            self._mark(contact)

    def _withdraw(self, contact: EntryContact, key: RunKey) -> None:
        held = [order for order in contact.held if order.key == key]
        if not held:
            self.executor.withdraw(contact.address, key)
            return
        contact.held.remove(held[0])
        why = "withdrawn before there was contact"
        self.report_end(contact.address, TaskEnded(key, Outcome.RETURNED, 0.0, why))

    def _take_end_of_session(self, sender: LinkAddress, message: EndSession) -> None:
        contact = self.entries.get(sender)
        if contact is None or message.boot != self.boot:
            return
        if message.session == contact.session:
            self._end_session(contact, "the entry has given it up")

    # Leases and sessions.

    def _ends_with_its_lease(self, contact: EntryContact, lease_now: float) -> bool:
        """End a session in which a lease has ended under runs; true if it was ended."""
        if contact.lease_end is None or contact.has_lease(lease_now):
            return False
        contact.lease_end = None
        if not self.executor.registry.has_runs_of(contact.address):
            return False
        self._end_session(contact, "no answer in time")
        return True

    def _end_session(self, contact: EntryContact, why: str) -> None:
        self.log.write(
            "entry.session_ended",
            entry=contact.address,
            session=contact.session,
            why=why,
        )
        contact.begin_session()
        self.executor.withdraw_runs_of_entry(contact.address, why)
        self._mark(contact)

    def _forget(self, address: LinkAddress, why: str) -> None:
        contact = self.entries.pop(address, None)
        if contact is None:
            return
        self.log.write("entry.forgotten", entry=address, why=why)
        self.executor.withdraw_runs_of_entry(address, why)
        self.mailer.forget(address)

    # What is sent.

    def _tick(self) -> None:
        now, lease_now = self.timers.now(), self.timers.lease_now()
        for contact in list(self.entries.values()):
            self._ends_with_its_lease(contact, lease_now)
            if now - contact.heard_at > FORGET_SECONDS:
                self._forget(contact.address, "no answer")
            elif contact.is_due(self._period(contact, now) - TICK_SECONDS / 2, now):
                self._mark(contact)

    def _period(self, contact: EntryContact, now: float) -> float:
        has_runs = self.executor.registry.has_runs_of(contact.address)
        return contact.period(has_runs, now, len(self.entries))

    def _mark(self, contact: EntryContact) -> None:
        self.soon.mark(contact.address)

    def _send_to(self, address: LinkAddress) -> None:
        contact = self.entries.get(address)
        if contact is not None and not self.leaving:
            self._send(contact)

    def _send(self, contact: EntryContact) -> None:
        now = self.timers.now()
        if contact.out.is_late(now):
            self.log.write("items.sent_again", peer=contact.address)
        contact.told_left = self._left_by_others(contact)
        first, items = contact.out.take(now)
        contact.sent(now)
        turn = AgentTurn(
            agent=self.name,
            zone=self.zone,
            boot=self.boot,
            session=contact.session,
            sent_ms=int(self.timers.lease_now() * 1000),
            next_ms=int(self._period(contact, now) * 1000),
            seen=contact.incoming.seen,
            first=first,
            items=items,
            room=self._room(contact.address),
        )
        self.mailer.post(contact.address, turn)

    def _left_by_others(self, contact: EntryContact) -> int:
        """Return the processor room for an entry, with what it has already."""
        book = self.executor.registry
        others = book.committed().cpu - book.committed(contact.address).cpu
        return self.executor.capacity().cpu - others

    def _room(self, entry: LinkAddress) -> AgentRoom:
        executor = self.executor
        life = executor.life
        committed = executor.registry.committed()
        return AgentRoom(
            service=life.report.service if life else "",
            labels=life.report.labels if life else (),
            capacity=offered_capacity(executor, committed, self.timers.now()),
            committed=committed,
            yours=executor.registry.committed(entry),
            on_trial=executor.health.on_trial(),
        )
