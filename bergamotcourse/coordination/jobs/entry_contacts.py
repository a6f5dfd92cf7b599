"""An agent's contacts with entries: sessions, leases and messages.

An agent keeps the runs of an entry only while that entry answers. If it has not for
``CONTACT_LEASE_SECONDS``, the agent stops its runs and begins a new session; nothing
that was sent in the former session is accepted any more. An entry without runs at the
agent needs no lease: its next run is held until the entry has echoed a message that the
agent sent after it received the run.
"""

import trio

from bergamotcourse.coordination.call_each import call_each
from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.entry_contact import EntryContact, lease_end_of
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.send_coalescer import SendCoalescer
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
    PlaceTask,
    RunOutcome,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey

ENTRY_EVICTION_SECONDS = 30.0
"""Silence after which an entry is evicted. A new entry process sends ``Hello``."""

ENTRIES_NOTIFIED_OF_ROOM = 2
"""Entries that are notified at once of capacity that becomes free. If all were, most of
them would send a task for each free slot. The others learn of it from the next
heartbeat."""

TICK_SECONDS = 0.05
"""Period of the check for messages that are due: below half a heartbeat."""


class EntryContacts:
    """The entries that an agent works for.

    Attributes:
        name: Name of the agent.
        zone: Zone of the agent.
        boot: Boot number of this process; also its fencing token at the upstream.
        entries: The contacts by the address of the entry.
        evicted_session: Highest session number of an evicted contact. An entry ignores
            sessions with a lower number than the one that it knows.
        farewell_sent: Whether a farewell was sent, after which nothing is sent.
        zones: The evacuated zones, as the entries report them.
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
        self.evicted_session = 0
        self.farewell_sent = False
        self.zones = EvacuatedZones(log)
        self.zones.on_change = self._handle_evacuation_change
        self.send_coalescer = SendCoalescer(self._send_to)
        executor.registry.report_end = self.report_end
        executor.registry.room_changed = self.notify_waiting_entries
        executor.may_start = self.in_contact
        mailer.handler = self.handle

    async def run(self) -> None:
        """Send due messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_coalescer.run)
            while True:
                self._tick()
                await trio.sleep(TICK_SECONDS)

    def handle(self, sender: LinkAddress, message: Message) -> None:
        """Handle a message from ``sender``."""
        match message:
            case EntryTurn():
                self._handle_entry_turn(sender, message)
            case Hello(agent=False):
                self._handle_hello(sender, message)
            case Farewell():
                self._evict_entry(sender, "it has stopped")
            case EndSession():
                self._handle_end_session(sender, message)
            case _:
                self.log.write("message.unexpected", peer=sender)

    def add_entries(self, addresses: list[str]) -> None:
        """Begin a contact with each entry that is not known yet."""
        for address in map(LinkAddress, addresses):
            if address not in self.entries:
                contact = EntryContact(
                    address, self.timers.now(), session=self.evicted_session + 1
                )
                self.entries[address] = contact
                self.log.write("entry.learned", entry=address)
                self._request_send(contact)

    def in_contact(self, entry: LinkAddress) -> bool:
        """Return whether runs of an entry may start: whether it has a lease."""
        contact = self.entries.get(entry)
        return contact is not None and contact.has_lease(self.timers.lease_now())

    def report_end(self, entry: LinkAddress, ended: TaskEnded) -> None:
        """Send the outcome of a run to the entry that placed it."""
        contact = self.entries.get(entry)
        if contact is not None:
            contact.outgoing.add(ended)
            self._request_send(contact)

    def notify_waiting_entries(self) -> None:
        """Report free capacity to some of the entries that wait for it, in rotation."""
        waiting = [contact for contact in self.entries.values() if contact.waiting]
        count = (
            ENTRIES_NOTIFIED_OF_ROOM if self.policy.tells_some_of_room else len(waiting)
        )
        for contact in sorted(waiting, key=lambda one: one.room_notified_at)[:count]:
            contact.room_notified_at = self.timers.now()
            self._request_send(contact)

    def notify_all_entries(self) -> None:
        """Send all entries the state of this agent."""
        for contact in self.entries.values():
            self._request_send(contact)

    def all_outcomes_acknowledged(self) -> bool:
        """Return whether the entries in contact have acknowledged all outcomes."""
        now = self.timers.lease_now()
        return not any(
            contact.outgoing.items
            for contact in self.entries.values()
            if contact.has_lease(now)
        )

    def send_farewells(self) -> None:
        """Notify all entries that this process stops."""
        self.farewell_sent = True
        for contact in self.entries.values():
            self.mailer.post(contact.address, Farewell(agent=True))

    # Messages from entries.

    def _handle_evacuation_change(self) -> None:
        self.executor.set_evacuated(self.zones.is_evacuated(self.zone))
        self.notify_all_entries()

    def _handle_hello(self, sender: LinkAddress, greeting: Hello) -> None:
        """Answer an entry that has come back and missed what was sent before."""
        self.zones.adopt(greeting.evacuations, f"entry {sender}")
        self.add_entries([sender, *greeting.entries])
        contact = self.entries[sender]
        if contact.is_unresponsive(self.timers.now()):
            self._request_send(contact)

    def _handle_entry_turn(self, sender: LinkAddress, turn: EntryTurn) -> None:
        self.add_entries([sender])
        contact = self.entries[sender]
        now = self.timers.now()
        contact.last_received_at = now
        # Evacuations first: the runs in this message may not belong here any more.
        self.zones.adopt(turn.evacuations, f"entry {sender}")
        if turn.boot != self.boot or turn.entry_boot < contact.entry_boot:
            return
        self._update_entry_boot(contact, turn.entry_boot)
        if turn.session != contact.session:
            return
        if self._end_session_on_lease_expiry(contact, self.timers.lease_now()):
            return
        contact.note_round_trip(turn, self.timers.lease_now())
        self._renew_lease(contact, turn)
        self._update_waiting(contact, turn.waiting)
        contact.outgoing.acknowledge(turn.seen, now)
        items = contact.accept_items(turn, now)
        call_each(lambda item: self._handle_item(contact, item), items)
        if contact.held:
            self._release_held_runs(contact, turn)

    def _update_entry_boot(self, contact: EntryContact, boot: int) -> None:
        if contact.entry_boot not in (0, boot):
            contact.outgoing.items.clear()
            self._end_session(contact, "the entry has restarted")
        contact.entry_boot = boot

    def _update_waiting(self, contact: EntryContact, waiting: bool) -> None:
        starts_waiting = waiting and not contact.waiting
        contact.waiting = waiting
        if not starts_waiting or not self.policy.tells_unseen_room:
            return
        if self._cpu_left_by_others(contact) > contact.last_reported_cpu:
            self._request_send(contact)

    def _renew_lease(self, contact: EntryContact, turn: EntryTurn) -> None:
        end = lease_end_of(turn)
        if contact.lease_end is None and end < self.timers.lease_now():
            return
        if not contact.contact_logged:
            self.log.write("entry.contact", entry=contact.address)
            contact.contact_logged = True
        contact.lease_end = max(contact.lease_end or end, end)

    def _handle_item(self, contact: EntryContact, item: Message) -> None:
        match item:
            case PlaceTask():
                contact.hold_run(item)
            case WithdrawTask(key=key):
                self._withdraw(contact, key)

    def _release_held_runs(self, contact: EntryContact, turn: EntryTurn) -> None:
        """Place the held runs, or request the echo that they wait for."""
        if contact.may_release(turn, self.timers.lease_now()):
            call_each(
                lambda order: self.executor.place(contact.address, order),
                contact.release_held_runs(),
            )
        elif turn.items:
            self._request_send(contact)

    def _withdraw(self, contact: EntryContact, key: RunKey) -> None:
        held = [order for order in contact.held if order.key == key]
        if not held:
            self.executor.withdraw(contact.address, key)
            return
        contact.held.remove(held[0])
        why = "withdrawn before there was contact"
        self.report_end(contact.address, TaskEnded(key, RunOutcome.RETURNED, 0.0, why))

    def _handle_end_session(self, sender: LinkAddress, message: EndSession) -> None:
        contact = self.entries.get(sender)
        if contact is None or message.boot != self.boot:
            return
        if message.session == contact.session:
            self._end_session(contact, "the entry has abandoned the session")

    # Leases and sessions.

    def _end_session_on_lease_expiry(
        self, contact: EntryContact, lease_now: float
    ) -> bool:
        """End the session if its lease has expired while the entry has runs here.

        Returns:
            Whether the session was ended.
        """
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
        self._request_send(contact)

    def _evict_entry(self, address: LinkAddress, why: str) -> None:
        contact = self.entries.pop(address, None)
        if contact is None:
            return
        self.evicted_session = max(self.evicted_session, contact.session)
        self.log.write("entry.forgotten", entry=address, why=why)
        self.executor.withdraw_runs_of_entry(address, why)
        self.mailer.forget(address)

    # Messages to entries.

    def _tick(self) -> None:
        now, lease_now = self.timers.now(), self.timers.lease_now()
        for contact in list(self.entries.values()):
            self._end_session_on_lease_expiry(contact, lease_now)
            if now - contact.last_received_at > ENTRY_EVICTION_SECONDS:
                self._evict_entry(contact.address, "no answer")
            elif contact.is_message_due(
                self._send_interval_seconds(contact, now) - TICK_SECONDS / 2, now
            ):
                self._request_send(contact)

    def _send_interval_seconds(self, contact: EntryContact, now: float) -> float:
        has_runs = self.executor.registry.has_runs_of(contact.address)
        return contact.send_interval_seconds(has_runs, now, len(self.entries))

    def _request_send(self, contact: EntryContact) -> None:
        self.send_coalescer.request_send(contact.address)

    def _send_to(self, address: LinkAddress) -> None:
        contact = self.entries.get(address)
        if contact is not None and not self.farewell_sent:
            self._send(contact)

    def _send(self, contact: EntryContact) -> None:
        now = self.timers.now()
        if contact.outgoing.needs_retransmission(now):
            self.log.write("items.sent_again", peer=contact.address)
        contact.last_reported_cpu = self._cpu_left_by_others(contact)
        first, items = contact.outgoing.next_batch(now)
        round_trip_ms = contact.round_trip_ms
        contact.note_sent(now)
        turn = AgentTurn(
            agent=self.name,
            zone=self.zone,
            boot=self.boot,
            session=contact.session,
            sent_ms=int(self.timers.lease_now() * 1000),
            next_ms=int(self._send_interval_seconds(contact, now) * 1000),
            seen=contact.incoming.seen,
            first=first,
            items=items,
            room=self._room_for(contact.address),
            round_trip_ms=round_trip_ms,
        )
        self.mailer.post(contact.address, turn)

    def _cpu_left_by_others(self, contact: EntryContact) -> int:
        """Return the CPU capacity that other entries leave, also what this one uses."""
        book = self.executor.registry
        others = book.committed().cpu - book.committed(contact.address).cpu
        return self.executor.capacity().cpu - others

    def _room_for(self, entry: LinkAddress) -> AgentRoom:
        executor = self.executor
        life = executor.life
        committed = executor.registry.committed()
        return AgentRoom(
            service=life.report.service if life else "",
            labels=life.report.labels if life else (),
            capacity=offered_capacity(executor, committed, self.timers.now()),
            committed=committed,
            receiver_committed=executor.registry.committed(entry),
            on_trial=executor.health.on_trial(),
            life=executor.answering_life(),
            slowness_percent=executor.speed.slowness_percent(),
            cold_ms=executor.speed.cold_ms(self.timers.now()),
        )
