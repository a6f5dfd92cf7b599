"""An entry's links to all agents: candidates for placement and the runs placed."""

import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from statistics import median_low
from typing import Any

import trio

from bergamotcourse.coordination.call_each import call_each
from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.agent_order import AgentOrder
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.lease_terms import (
    AGENT_SILENCE_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
    MAX_ECHO_DELAY_SECONDS,
)
from bergamotcourse.coordination.jobs.pause_detector import PauseDetector
from bergamotcourse.coordination.jobs.send_coalescer import SendCoalescer
from bergamotcourse.coordination.jobs.send_window import SendWindow
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    NEVER_STARTED_OUTCOMES,
    AgentTurn,
    EndSession,
    EntryTurn,
    PlaceTask,
    RunOutcome,
    TaskEnded,
    WithdrawTask,
)
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import Resources

TICK_SECONDS = 0.03
"""Period of the check for messages that are due: half of ``MAX_ECHO_DELAY_SECONDS``."""

MIN_PAUSE_SECONDS = AGENT_SILENCE_SECONDS - IDLE_HEARTBEAT_SECONDS
"""Shortest pause of this process that makes agents seem silent which have sent messages
at the usual interval."""

AGENT_EVICTION_SECONDS = 30.0
"""Silence after which an agent is evicted."""

MAX_DELAY_SAMPLES = 4096
"""Most delays of messages that are kept for the next sample."""

PROBES_PER_TICK = 2
"""Agents out of contact that an entry with waiting tasks probes for capacity in each
tick: 70 a second, so that it knows the load of all nearby agents before a short job is
late."""

PROBING_CONTACT_LIMIT = 32
"""Number of agents in contact from which on an entry with waiting tasks stops probing
others. With so many, a slot becomes free every 3 ms where tasks take 0.6 s and an agent
runs six. If all entries probed all agents during a burst, the messages would take the
processor time that the tasks need."""


@dataclass
class PlacementCandidates:
    """The agents at which a run may be placed now, in order of preference.

    Attributes:
        preferred_in_contact: Agents of this entry's share that are in contact.
        preferred_without_contact: Agents of this entry's share that are not.
        other_in_contact: All other agents in contact.
        other_without_contact: All other agents without contact.
    """

    preferred_in_contact: list[AgentLink] = field(default_factory=list)
    preferred_without_contact: list[AgentLink] = field(default_factory=list)
    other_in_contact: list[AgentLink] = field(default_factory=list)
    other_without_contact: list[AgentLink] = field(default_factory=list)

    def all(self) -> Iterator[AgentLink]:
        """Return all agents."""
        return itertools.chain(
            self.preferred_in_contact,
            self.preferred_without_contact,
            self.other_in_contact,
            self.other_without_contact,
        )

    def by_preference(self) -> tuple[tuple[list[AgentLink], list[AgentLink]], ...]:
        """Return pairs of agents with and without contact, this entry's share first."""
        return (
            (self.preferred_in_contact, self.preferred_without_contact),
            (self.other_in_contact, self.other_without_contact),
        )


class AgentLinks:
    """All agents that have sent a message to this entry.

    Attributes:
        entry: Name of the entry.
        boot: Boot number of this process; rises with each process of the entry.
        order: Order in which agents are preferred.
        zones: Evacuated zones, in which nothing is placed.
        entries: Returns the addresses of the other entries.
        links: The agents by address.
        on_run_ended: Called with the owner of a run, its link and its outcome.
        on_outcomes_reported: Called after all outcomes of one message or of one lost
            agent were passed to ``on_run_ended``.
        on_late_end: Called with the link and the outcome of a run that has completed or
            failed after it had been reported as lost.
        on_room_reported: Called when an agent has reported its load and no outcomes.
        on_contact_resumed: Called when an agent at which runs are placed has answered
            after a silence, before its message is echoed.
        on_tick: Called every ``TICK_SECONDS``.
        is_waiting: Returns whether the entry has tasks that find no free capacity.
        pauses: The latest pause of this process.
        send_window: Limit of what is in flight to all agents.
        inbound_delays: Delays of the latest messages of agents, in milliseconds, since
            they were last taken.
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
        self.on_run_ended: Callable[[Any, AgentLink, TaskEnded], None] = _ignore
        self.on_late_end: Callable[[AgentLink, TaskEnded], None] = _ignore_late_end
        self.on_room_reported: Callable[[AgentLink], None] = lambda _link: None
        self.on_outcomes_reported: Callable[[], None] = lambda: None
        self.on_contact_resumed: Callable[[AgentLink], None] = lambda _link: None
        self.on_tick: Callable[[], None] = lambda: None
        self.is_waiting: Callable[[], bool] = lambda: False
        self.send_coalescer = SendCoalescer(self._send_to)
        self.send_window = SendWindow()
        self.pauses = PauseDetector(timers, MIN_PAUSE_SECONDS)
        self.inbound_delays: deque[int] = deque(maxlen=MAX_DELAY_SAMPLES)

    async def run(self) -> None:
        """Send due messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_coalescer.run)
            while True:
                self._tick()
                await trio.sleep(TICK_SECONDS)

    def placement_candidates(self) -> PlacementCandidates:
        """Return the agents at which a run may be placed now."""
        now = self.timers.now()
        links = self.order.links
        self.order.record_placed_cpu(sum(link.placed_needs.cpu for link in links), now)
        share = self.order.share_size()
        candidates = PlacementCandidates()
        for number, link in enumerate(links):
            if self.zones.is_evacuated(link.zone):
                continue
            if link.is_usable(now):
                (
                    candidates.preferred_in_contact
                    if number < share
                    else candidates.other_in_contact
                ).append(link)
            elif link.may_start_handshake(now):
                without_contact = (
                    candidates.preferred_without_contact
                    if number < share
                    else candidates.other_without_contact
                )
                without_contact.append(link)
        return candidates

    def available_agents(self) -> list[AgentLink]:
        """Return all reachable agents outside of evacuated zones."""
        return [
            link
            for link in self.reachable_agents()
            if not self.zones.is_evacuated(link.zone)
        ]

    def reachable_agents(self) -> list[AgentLink]:
        """Return all agents in contact or able to be, also those in evacuated zones."""
        now = self.timers.now()
        self.pauses.update()
        return [
            link
            for link in self.links.values()
            if link.is_usable(now)
            or link.may_start_handshake(now)
            or self._is_silent_by_pause(link, now)
        ]

    def _is_silent_by_pause(self, link: AgentLink, now: float) -> bool:
        """Return whether an agent is silent only because this process was paused.

        It was in contact when the pause began, and what it has sent since may not have
        been read yet.
        """
        return (
            link.room is not None
            and now - self.pauses.resumed_at <= AGENT_SILENCE_SECONDS
            and self.pauses.paused_at - link.last_received_at <= AGENT_SILENCE_SECONDS
        )

    def may_send(self) -> bool:
        """Return whether the send window allows another placement."""
        window = self.send_window
        return not window.is_limited or window.has_room(self.in_flight_bytes())

    def in_flight_bytes(self) -> int:
        """Return the bytes without an acknowledgement, at the agents in contact.

        Other agents may never acknowledge what was sent to them.
        """
        now = self.timers.now()
        return sum(
            link.outgoing.size_bytes
            for link in self.links.values()
            if link.outgoing.items and link.is_usable(now)
        )

    def _update_send_window(self, round_trip: float, acknowledged_bytes: int) -> None:
        window = self.send_window
        former_bytes = window.limit_bytes
        now = self.timers.now()
        window.record(round_trip, acknowledged_bytes, self.in_flight_bytes, now)
        if window.limit_bytes < former_bytes:
            self.log.write(
                "send_window.reduced",
                bytes=round(window.limit_bytes),
                delay_ms=round(1000 * window.delay_seconds(now)),
            )

    def take_inbound_delay_ms(self) -> int:
        """Return the median delay of messages on the way in since the last call."""
        delay = median_low(self.inbound_delays) if self.inbound_delays else 0
        self.inbound_delays.clear()
        return delay

    def place(
        self, link: AgentLink, order: PlaceTask, needs: Resources, owner: Any
    ) -> None:
        """Place a run at an agent."""
        now = self.timers.now()
        link.note_handshake_start(now)
        link.add_run(order.key, needs, owner)
        link.enqueue_placement(order)
        self._request_send(link)

    def withdraw(self, link: AgentLink, key: RunKey) -> None:
        """Stop a run at an agent, or keep it from starting."""
        link.outgoing.add(WithdrawTask(key))
        self._request_send(link)

    def notify_all_agents(self) -> None:
        """Send a message to each agent in contact.

        It reports whether tasks wait for capacity, and the evacuated zones. Agents out
        of contact receive these with the answer to their next message.
        """
        now = self.timers.now()
        for link in self.links.values():
            if link.in_contact(now):
                self._request_send(link)

    def handle_agent_turn(self, sender: LinkAddress, turn: AgentTurn) -> None:
        """Handle a message of an agent."""
        link = self.links.get(sender)
        if link is None:
            link = AgentLink(sender, turn.agent, turn.zone)
            self.links[sender] = link
            self.order.add(link)
        if (turn.boot, turn.session) < (link.boot, link.session):
            return
        if (turn.boot, turn.session) > (link.boot, link.session):
            self._begin_session(link, turn)
        if link.session_abandoned:
            # An agent without runs of this entry doesn't end the session by itself.
            self.mailer.post(sender, EndSession(link.boot, link.session))
            return
        was_handshake = link.handshake_started_at is not None
        lease_now = self.timers.lease_now()
        was_silent = lease_now - link.heard_at > AGENT_SILENCE_SECONDS
        link.heard_at = lease_now
        unacknowledged_bytes = link.outgoing.size_bytes
        new_outcomes = link.receive_turn(turn, self.timers.now())
        self.inbound_delays.append(link.inbound_delay_ms(turn.sent_ms, lease_now))
        if turn.round_trip_ms:
            link.round_trip_seconds = turn.round_trip_ms / 1000
            acknowledged_bytes = unacknowledged_bytes - link.outgoing.size_bytes
            self._update_send_window(link.round_trip_seconds, acknowledged_bytes)
        if was_silent and link.placed:
            self.on_contact_resumed(link)
        if was_handshake:
            # The runs placed at the agent wait for the echo of this message.
            self._request_send(link)
        if new_outcomes:
            self._handle_outcomes(link, new_outcomes)
        else:
            self.on_room_reported(link)

    def handle_farewell(self, sender: LinkAddress) -> None:
        """Handle the farewell of an agent, which has stopped with no run left."""
        link = self.links.pop(sender, None)
        if link is None:
            return
        self.order.remove(link)
        self.log.write("agent.left", agent=link.name)
        self._report_runs_lost(link, "the agent has stopped")

    def _begin_session(self, link: AgentLink, turn: AgentTurn) -> None:
        self.log.write(
            "agent.session",
            agent=link.name,
            boot=turn.boot,
            session=turn.session,
            unsettled=len(link.placed),
            quiet_ms=round((self.timers.now() - link.last_received_at) * 1000),
        )
        if link.handshake_started_at is not None:
            self._withdraw_unanswered(link, "its agent has begun a new session")
        link.begin_session(turn.boot, turn.session)
        self._request_send(link)

    def _handle_outcomes(self, link: AgentLink, outcomes: list[TaskEnded]) -> None:
        try:
            call_each(lambda ended: self._handle_outcome(link, ended), outcomes)
        finally:
            self.on_outcomes_reported()

    def _handle_outcome(self, link: AgentLink, ended: TaskEnded) -> None:
        if (
            ended.key in link.former_boot_runs
            and ended.outcome in NEVER_STARTED_OUTCOMES
        ):
            # The agent can't know which runs its earlier process has started.
            why = "its agent has restarted"
            ended = TaskEnded(ended.key, RunOutcome.LOST, 0.0, why)
        owner = link.remove_run(ended.key)
        if owner is not None:
            self.on_run_ended(owner, link, ended)
        elif ended.outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self.on_late_end(link, ended)

    def _report_runs_lost(self, link: AgentLink, why: str) -> None:
        """Report the runs at an agent as lost; all of them have ended by now."""
        ends = [TaskEnded(key, RunOutcome.LOST, 0.0, why) for key in link.placed]
        self._handle_outcomes(link, ends)

    def _withdraw_unanswered(self, link: AgentLink, why: str) -> None:
        """Withdraw the runs placed without contact, none of which has started."""
        self.log.write("agent.unanswered", agent=link.name, runs=len(link.placed))
        keys = link.withdraw_unanswered_runs()
        ends = [TaskEnded(key, RunOutcome.RETURNED, 0.0, why) for key in keys]
        self._handle_outcomes(link, ends)

    def _tick(self) -> None:
        now = self.timers.now()
        self.order.update_entries(self.entries(), now)
        for link in list(self.links.values()):
            if link.handshake_started_at is not None and not link.is_handshake_pending(
                now
            ):
                self._withdraw_unanswered(link, "its agent does not answer")
            if link.is_lost(now):
                self._handle_lost_agent(link, now - link.last_received_at)
            if now - link.last_received_at > AGENT_EVICTION_SECONDS:
                del self.links[link.address]
                self.order.remove(link)
            elif self._is_message_due(link, now):
                self._request_send(link)
        self.on_tick()
        if self.is_waiting():
            self._probe_for_room()

    def _handle_lost_agent(self, link: AgentLink, silent: float) -> None:
        self.log.write(
            "agent.lost", agent=link.name, runs=len(link.placed), silent=silent
        )
        link.session_abandoned = True
        self._report_runs_lost(link, "the agent is silent")

    def _probe_for_room(self) -> None:
        """Probe some agents out of contact for free capacity."""
        now = self.timers.now()
        links = self.order.links
        if sum(link.in_contact(now) for link in links) >= PROBING_CONTACT_LIMIT:
            return
        candidates = (link for link in links if link.may_probe(now))
        for link in itertools.islice(candidates, PROBES_PER_TICK):
            self._request_send(link)

    def _is_message_due(self, link: AgentLink, now: float) -> bool:
        if link.session_abandoned or link.handshake_unanswered:
            return False
        if link.outgoing.needs_retransmission(now):
            return True
        return (
            not link.echoed
            and now - link.sent_at >= MAX_ECHO_DELAY_SECONDS - TICK_SECONDS
        )

    def _request_send(self, link: AgentLink) -> None:
        self.send_coalescer.request_send(link.address)

    def _send_to(self, address: LinkAddress) -> None:
        link = self.links.get(address)
        if (
            link is not None
            and not link.session_abandoned
            and not link.handshake_unanswered
        ):
            self._send(link)

    def _send(self, link: AgentLink) -> None:
        now = self.timers.now()
        if link.outgoing.needs_retransmission(now):
            self.log.write("items.sent_again", peer=link.name)
        link.sent_at = now
        link.echoed = True
        first, items = link.outgoing.next_batch(now)
        turn = EntryTurn(
            entry=self.entry,
            entry_boot=self.boot,
            boot=link.boot,
            session=link.session,
            echo_ms=link.echo_ms,
            seen=link.incoming.seen,
            first=first,
            items=items,
            last=link.outgoing.last,
            waiting=self.is_waiting(),
            evacuations=self.zones.latest,
            held_ms=link.held_echo_ms(now),
        )
        self.mailer.post(link.address, turn)


def _ignore_late_end(_link: AgentLink, _ended: TaskEnded) -> None:
    """Discard the late end of a run."""


def _ignore(_owner: Any, _link: AgentLink, _ended: TaskEnded) -> None:
    """Discard an outcome."""
