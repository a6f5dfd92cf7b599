"""Discovery of agents by entries, through one row per agent in the platform's table.

An agent writes its row when it starts and renews it rarely. An entry reads the changed
rows and sends ``Attach`` to the agents it works with; everything else is carried by the
agents' messages.
"""

import logging
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from expression import Result

from bergamotcourse.coordination.agents import (
    NEVER,
    AgentDirectory,
    AgentHealth,
    AgentView,
)
from bergamotcourse.coordination.neighbours import Demand, Neighbours, ProcessLocation
from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import AgentId, EntryId, LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Attach, Detach
from bergamotcourse.protocol.platform import ABSENT, Conflict, Platform, Row, Write
from bergamotcourse.state.lease_rows import (
    AGENT_PREFIX,
    AgentRow,
    agent_key,
    decode_agent_row,
)

logger = logging.getLogger(__name__)

ATTACH_HEARTBEATS = 12
"""Heartbeats after which an entry repeats its ``Attach`` to an agent."""

UNRESPONSIVE_ATTACH_HEARTBEATS = 1
"""The same for an agent that does not respond, while it has been silent for less than
``UNRESPONSIVE_RETRY_HEARTBEATS``."""

UNRESPONSIVE_RETRY_HEARTBEATS = 20

STATE_REQUEST_HEARTBEATS = 0.1
"""The same for an agent whose state is not known to this entry."""

EVICTION_SECONDS = 900.0
"""An agent that is silent and has not renewed its row for this long is evicted. Must
exceed the retention period of submissions."""

ROW_RENEWAL_SECONDS = 300.0
"""Every entry reads each renewal: with 520 agents, 60 s would cost it 1 KB/s."""


@dataclass(frozen=True)
class ObservedRow:
    """Version of an agent's row as last read, and when that was, in seconds."""

    version: int
    at: float


class AgentDiscovery:
    """Maintains an entry's directory of agents and its attachments to some of them.

    Attributes:
        entry: Name of this entry.
        entries: Returns all entries, including this one.
        queued: Returns the number of tasks queued at this entry, by service.
        version: Version of the table as last read.
        agents_listed: Whether the table has been read.
        row_renewals: Version and time of the last change of each agent's row.
        neighbours: The order and the limit of the attachments.
        chosen_agents: Agents that this entry is to be attached to.
        skipped_rows: Agents' rows that could not be decoded.
    """

    def __init__(
        self,
        own_location: ProcessLocation,
        entries: Callable[[], list[ProcessLocation]],
        queued: Callable[[], dict[str, int]],
        directory: AgentDirectory,
        platform: Platform,
        mailer: Mailer,
        timers: Timers,
        heartbeat_seconds: float,
        neighbours: int,
    ):
        self.entry = EntryId(own_location.name)
        self.entries = entries
        self.queued = queued
        self.directory = directory
        self.platform = platform
        self.mailer = mailer
        self.timers = timers
        self.heartbeat_seconds = heartbeat_seconds
        self.neighbours = Neighbours(own_location, neighbours)
        self.version = 0
        self.agents_listed = False
        self.read_at = 0.0
        self.row_renewals: dict[AgentId, ObservedRow] = {}
        self.services: dict[AgentId, list[str]] = {}
        self.chosen_agents: set[AgentId] = set()
        self.skipped_rows = SkippedRows()

    async def watch(self) -> bool:
        """Read the changed rows of agents and return whether the platform answered."""
        changes = await self.platform.read_since(AGENT_PREFIX, self.version)
        if changes.is_error():
            return False
        self._exclude_outage()
        self.version = changes.ok.version
        for row in changes.ok.rows:
            self._apply_row(row)
        if not self.agents_listed or changes.ok.rows:
            self.agents_listed = True
            await self.update_attachments()
        await self._evict_dead_agents()
        return True

    async def update_attachments(self) -> None:
        """Attach to the agents chosen for this entry and detach from idle others."""
        self.neighbours.own_location = ProcessLocation(
            self.entry, self.neighbours.own_location.zone
        )
        agents = [ProcessLocation(view.id, view.zone) for view in self.directory]
        order = self.neighbours.rank_agents(agents, self.entries())
        chosen = self._choose([self.directory.views[agent] for agent in order])
        for view in self.directory:
            if view.id in chosen:
                self._attach(view)
            elif view.attached and not view.awaits_results():
                self._detach(view)
        self.chosen_agents = chosen

    async def adjust_attachment_limit(self) -> None:
        """Adjust the attachment limit to the demand for slots."""
        if len(self.directory.views) <= self.neighbours.min_attachments:
            return
        previous_limit = self.neighbours.attachment_limit
        now = self.timers.now()
        demands = self._demands(now)
        slots = [sum(o.slots for o in v.offers.values()) for v in self.directory]
        known = [count for count in slots if count]
        mean_slots = sum(known) / len(known) if known else 1.0
        self.neighbours.adjust_limit(demands.values(), mean_slots, now)
        agents = len(self.directory.views)
        self.neighbours.attachment_limit = min(self.neighbours.attachment_limit, agents)
        if self.neighbours.attachment_limit != previous_limit:
            await self.update_attachments()

    def request_full_state(self, address: LinkAddress) -> None:
        """Request the full state of an agent from which only a load was received."""
        view = self.directory.by_address.get(address)
        if view is not None and view.id in self.chosen_agents:
            view.state = None
            self._attach(view, STATE_REQUEST_HEARTBEATS)

    def detach_all(self) -> None:
        """Notify the attached agents that this entry is leaving."""
        for view in self.directory:
            if view.attached:
                self.mailer.post(view.address, Detach(self.entry))

    def _apply_row(self, row: Row) -> None:
        agent = AgentId(row.key.removeprefix(AGENT_PREFIX))
        try:
            content = decode_agent_row(row.key, row.value) if row.value else None
        except ValueError as error:
            self._skip_row(agent, row, error)
            return
        if content is None or content.left:
            self._remove(agent)
            return
        self.row_renewals[agent] = ObservedRow(row.version, self.timers.now())
        self.services[agent] = content.services
        view = self.directory.add(agent, LinkAddress(content.address), content.zone)
        if view.row_boot != content.boot:
            view.row_boot = content.boot
            view.last_attach = NEVER

    def _skip_row(self, agent: AgentId, row: Row, error: ValueError) -> None:
        self.skipped_rows.log(row, error)
        if agent not in self.directory.views:
            # It may have started work, of which a recovery must not miss any.
            self.directory.unreachable.add(agent)

    def _remove(self, agent: AgentId) -> None:
        self.row_renewals.pop(agent, None)
        self.services.pop(agent, None)
        view = self.directory.remove(agent, self.timers.now())
        if view is not None:
            self.mailer.forget(view.address)

    def _choose(self, order: list[AgentView]) -> set[AgentId]:
        """Return the first agents of an order that fill the limit of each service.

        An agent that may not be sent work is included but does not count.
        """
        now = self.timers.now()
        counts: Counter[str] = Counter()
        chosen = set()
        for view in order:
            services = list(view.offers) or self.services.get(view.id) or [""]
            if all(counts[one] >= self.neighbours.attachment_limit for one in services):
                continue
            chosen.add(view.id)
            if self._counts_toward_limit(view, now):
                counts.update(services)
        return chosen

    def _counts_toward_limit(self, view: AgentView, now: float) -> bool:
        """Return whether an agent may be sent work now or is expected to be soon."""
        match self.directory.health(view, now):
            case AgentHealth.USABLE:
                return True
            case AgentHealth.SILENT if not view.attached:
                untried = view.last_attach == NEVER
                waited = now - view.attach_since
                return untried or waited <= self.directory.silent_seconds
            case _:
                return False

    def _demands(self, now: float) -> dict[str, Demand]:
        demands: dict[str, Demand] = {}
        for view in self.directory:
            usable = self.directory.health(view, now) is AgentHealth.USABLE
            for service, offer in view.offers.items():
                demand = demands.setdefault(service, Demand())
                demand.used += view.own_tasks(service)
                if usable:
                    demand.free += max(0, offer.slots - view.load(service))
        for service, count in self.queued().items():
            demands.setdefault(service, Demand()).queued = count
        return demands

    def _attach(self, view: AgentView, periods: float = ATTACH_HEARTBEATS) -> None:
        now = self.timers.now()
        # A start also shows an agent that this entry is present.
        last_sent = view.last_sent if view.attached and view.state else NEVER
        last = max(view.last_attach, last_sent)
        if now - last < self._attach_seconds(view, periods, now):
            return
        if view.last_attach == NEVER:
            view.attach_since = now
        view.last_attach = now
        known_state = view.state.number if view.state else 0
        message = Attach(self.entry, self.neighbours.own_location.zone, known_state)
        self.mailer.post(view.address, message)

    def _attach_seconds(self, view: AgentView, periods: float, now: float) -> float:
        silent_seconds = now - max(view.last_received_at, view.attach_since)
        retry_seconds = UNRESPONSIVE_RETRY_HEARTBEATS * self.heartbeat_seconds
        absent = not view.attached or silent_seconds > self.directory.silent_seconds
        if absent and silent_seconds < retry_seconds:
            periods = min(periods, UNRESPONSIVE_ATTACH_HEARTBEATS)
        return periods * self.heartbeat_seconds

    def _detach(self, view: AgentView) -> None:
        view.attached = False
        view.last_attach = NEVER
        self.mailer.post(view.address, Detach(self.entry))

    def _exclude_outage(self) -> None:
        """Exclude outages of the platform, during which no row could be renewed."""
        now = self.timers.now()
        if now - self.read_at > ROW_RENEWAL_SECONDS:
            self.row_renewals = {
                agent: ObservedRow(seen.version, now)
                for agent, seen in self.row_renewals.items()
            }
        self.read_at = now

    async def _evict_dead_agents(self) -> None:
        """Remove agents that are silent and whose rows were not renewed."""
        now = self.timers.now()
        for agent, seen in list(self.row_renewals.items()):
            view = self.directory.views.get(agent)
            last_heard = view.last_received_at if view else 0.0
            if now - max(seen.at, last_heard) < EVICTION_SECONDS:
                continue
            self._remove(agent)
            await self.platform.transact([Write(agent_key(agent), None, seen.version)])


class AgentRegistration:
    """Maintains an agent's row in the platform's table.

    Attributes:
        first: Whether no row of this identity existed before; ``None`` until known.
        replaced: Another process has registered under this identity.
        skipped_rows: Rows that this agent could not decode.
    """

    def __init__(self, row: AgentRow, platform: Platform, timers: Timers):
        self.row = row
        self.platform = platform
        self.timers = timers
        self.version = ABSENT
        self.registered = False
        self.first: bool | None = None
        self.replaced = False
        self.written_at = 0.0
        self.skipped_rows = SkippedRows()

    def set_services(self, services: list[str]) -> None:
        """Set the services that the agent's upstreams serve; written by ``watch``."""
        if services != self.row.services:
            self.row = msgspec.structs.replace(self.row, services=services)
            self.written_at = -math.inf

    async def watch(self) -> None:
        """Write the row if it is missing or changed or its renewal is due."""
        age = self.timers.now() - self.written_at
        if self.replaced or (self.registered and age < ROW_RENEWAL_SECONDS):
            return
        result = await self.platform.transact([self._write()])
        match result:
            case Result(tag="ok", ok=Conflict(rows=rows)):
                self._handle_conflict(rows[0])
                if not self.replaced:
                    await self._overwrite()
            case Result(tag="ok", ok=committed):
                self._record_write(committed.version)
            case _:
                pass

    async def leave(self) -> None:
        """Mark the row to show that the agent left, on a planned stop."""
        self.row = msgspec.structs.replace(self.row, left=True)
        await self.platform.transact([self._write()])

    def _write(self) -> Write:
        content = msgspec.json.encode(self.row)
        return Write(agent_key(self.row.agent), content, self.version)

    def _handle_conflict(self, row: Row) -> None:
        try:
            found = decode_agent_row(row.key, row.value) if row.value else None
        except ValueError as error:
            self.skipped_rows.log(row, error)
            self.version = row.version
            # An earlier process may have started work that this one does not know of.
            self.first = bool(self.first)
            return
        ours = found is not None and found.boot == self.row.boot
        if self.registered and not ours and found is not None:
            logger.error(
                "another process registered under the identity %s", self.row.agent
            )
            self.replaced = True
        self.version = row.version if row.value else ABSENT
        if not ours and found is not None and self.first is None:
            self.first = False

    async def _overwrite(self) -> None:
        """Overwrite the row of an earlier process of this identity."""
        match await self.platform.transact([self._write()]):
            case Result(tag="ok", ok=Conflict()):
                pass
            case Result(tag="ok", ok=committed):
                self._record_write(committed.version)
            case _:
                pass

    def _record_write(self, version: int) -> None:
        self.version = version
        self.registered = True
        self.written_at = self.timers.now()
        if self.first is None:
            self.first = True
