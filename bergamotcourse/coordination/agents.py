"""An entry's directory of agents.

Under load it costs no messages of its own, because an agent's load is attached to its
results. Without results, the agent sends heartbeats.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from bergamotcourse.coordination.drains import Drains
from bergamotcourse.coordination.permits import Permits
from bergamotcourse.ids import AgentId, LinkAddress
from bergamotcourse.protocol.messages import AgentLoad, AgentState, Health, Offer
from bergamotcourse.state.start_log import TOKEN_TIME_BITS

NEVER = -1e9
"""Time in seconds of an event that has not happened yet."""


class AgentHealth(Enum):
    """Health of an agent from the point of view of an entry.

    Attributes:
        USABLE: The agent gets new tasks.
        SILENT: No message has arrived for some heartbeats. The agent gets no new tasks;
            the entry waits for those that run.
        LEAVING: The agent has reported that it leaves, or a drain covers it. It gets no
            new tasks.
    """

    USABLE = "usable"
    SILENT = "silent"
    LEAVING = "leaving"


@dataclass
class AgentView:
    """State of one agent as known to an entry.

    Attributes:
        boot: The process that sent the last state.
        token: The last token received, to be sent with each start.
        last_received_at: Time of the last message, in seconds.
        last_attach: Time of the last ``Attach``, in seconds.
        last_sent: Time at which the last task was sent, in seconds.
        attach_since: Time of the first of the unanswered ``Attach``, in seconds.
        row_boot: The process that wrote the agent's row.
        offers: The offers of ``state`` that the configuration permits, by service.
        in_flight: This entry's starts without a result, by service.
        own_jobs: Of these, the tasks of jobs.
        load_of_others: Tasks of other entries at the last report, by service.
        waiting_jobs: Job tasks that waited there at the last report, by service.
        health: Health of the tasks of all entries, by service.
        state: The last state received.
    """

    id: AgentId
    address: LinkAddress
    zone: str = ""
    rack: str = ""
    worker: str = ""
    boot: int = 0
    token: int = 0
    leaving: bool = False
    attached: bool = False
    last_received_at: float = 0.0
    last_attach: float = NEVER
    last_sent: float = NEVER
    attach_since: float = NEVER
    row_boot: int = 0
    offers: dict[str, Offer] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    own_jobs: dict[str, int] = field(default_factory=dict)
    load_of_others: dict[str, int] = field(default_factory=dict)
    waiting_jobs: dict[str, int] = field(default_factory=dict)
    health: dict[str, Health] = field(default_factory=dict)
    state: AgentState | None = None

    def own_tasks(self, service: str) -> int:
        """Return the number of this entry's tasks in flight at the agent."""
        return self.in_flight.get(service, 0)

    def load(self, service: str) -> int:
        """Return the number of tasks at the agent, as far as known."""
        return self.own_tasks(service) + self.load_of_others.get(service, 0)

    def jobs_ahead(self, service: str) -> int:
        """Return the number of job tasks that wait at the agent, as far as known."""
        own = self.own_jobs.get(service, 0) - self.slots(service)
        return max(self.waiting_jobs.get(service, 0), own, 0)

    def queue(self, service: str) -> int:
        """Return the number of tasks that a single request would wait for."""
        return max(0, self.load(service) - self.jobs_ahead(service))

    def slots(self, service: str) -> int:
        """Return the number of slots for a service."""
        offer = self.offers.get(service)
        return offer.slots if offer else 0

    def awaits_results(self) -> bool:
        """Return whether a task of this entry is in flight at the agent."""
        return any(self.in_flight.values())


class AgentDirectory:
    """All agents known to an entry.

    Attributes:
        silent_seconds: Time without a message after which an agent is silent.
        views: The agents by name.
        by_address: The agents by link address.
        departed: Times in seconds at which agents departed; their start logs are lost.
        unreachable: Agents whose rows cannot be decoded and whose addresses are not
            known, so that their start logs cannot be read.
        drains: Drains of the configuration in force.
        permits: The upstreams that may get new tasks; ``None`` for all.
    """

    def __init__(self, silent_seconds: float):
        self.silent_seconds = silent_seconds
        self.views: dict[AgentId, AgentView] = {}
        self.by_address: dict[LinkAddress, AgentView] = {}
        self.departed: dict[AgentId, float] = {}
        self.unreachable: set[AgentId] = set()
        self.drains = Drains()
        self.permits: Permits | None = None

    def __iter__(self) -> Iterator[AgentView]:
        """Iterate over all agents."""
        return iter(self.views.values())

    def add(self, agent: AgentId, address: LinkAddress, zone: str = "") -> AgentView:
        """Add an agent or update its address; return its view."""
        self.departed.pop(agent, None)
        self.unreachable.discard(agent)
        view = self.views.get(agent)
        if view is None:
            view = AgentView(agent, address, zone)
            self.views[agent] = view
        if view.address != address:
            self.by_address.pop(view.address, None)
            view.address = address
            view.attached = False
        self.by_address[address] = view
        return view

    def is_superseded(self, agent: str, address: LinkAddress) -> bool:
        """Return whether an agent of that name is known at another address.

        Agents are added by the platform's rows, so the process at this address is not
        the agent, or is no longer.
        """
        view = self.views.get(AgentId(agent))
        return view is not None and view.address != address

    def unavailable_since(self, when: float) -> set[AgentId]:
        """Return the agents whose start logs from a time in seconds on cannot be read.

        They departed at or after that time, or are unreachable.
        """
        departed = {agent for agent, at in self.departed.items() if at >= when}
        return departed | self.unreachable

    def remove(self, agent: AgentId, now: float) -> AgentView | None:
        """Remove a departed agent and record the time of its departure."""
        view = self.views.pop(agent, None)
        self.departed[agent] = now
        self.unreachable.discard(agent)
        if view is not None:
            self.by_address.pop(view.address, None)
        return view

    def record_state(
        self, address: LinkAddress, state: AgentState, now: float
    ) -> AgentView:
        """Record an agent's full state and return its view."""
        view = self.add(AgentId(state.agent), address, state.zone)
        view.boot = state.boot
        view.token = state.token
        view.zone = state.zone
        view.rack = state.rack
        view.worker = state.worker
        view.leaving = state.leaving
        view.attached = True
        view.last_received_at = now
        view.state = state
        view.offers = self._permitted_offers(state)
        for offer in state.offers:
            _record_load_counts(
                view, offer.service, offer.running, offer.waiting, offer.receiver_tasks
            )
        return view

    def record_load(self, address: LinkAddress, load: AgentLoad, now: float) -> bool:
        """Record an agent's load; return false if the state it refers to is unknown."""
        view = self.by_address.get(address)
        if view is None or view.state is None or view.state.number != load.number:
            return False
        if load.token >> TOKEN_TIME_BITS != view.boot:
            return False
        view.token = load.token
        view.last_received_at = now
        for offer, counts in zip(view.state.offers, load.loads, strict=False):
            _record_load_counts(view, offer.service, *counts)
        for offer, health in zip(view.state.offers, load.health, strict=False):
            view.health[offer.service] = health
        return True

    def apply_permits(self, permits: Permits) -> None:
        """Restrict the offers of all agents to what a new configuration permits."""
        self.permits = permits
        self.drains = permits.drains
        for view in self:
            if view.state is not None:
                view.offers = self._permitted_offers(view.state)

    def _permitted_offers(self, state: AgentState) -> dict[str, Offer]:
        if self.permits is None:
            return {offer.service: offer for offer in state.offers}
        return self.permits.offers(state)

    def health(self, view: AgentView, now: float) -> AgentHealth:
        """Return the health of an agent."""
        if view.leaving or self.drains.covers(view):
            return AgentHealth.LEAVING
        if not view.attached or now - view.last_received_at > self.silent_seconds:
            return AgentHealth.SILENT
        return AgentHealth.USABLE

    def usable(self, service: str, now: float) -> list[AgentView]:
        """Return the usable agents with a slot for a service."""
        return [
            view
            for view in self.views.values()
            if view.slots(service) and self.health(view, now) is AgentHealth.USABLE
        ]

    def serves(self, service: str) -> bool:
        """Return whether any agent, usable or not, offers a service."""
        return any(view.slots(service) for view in self.views.values())


def _record_load_counts(
    view: AgentView,
    service: str,
    running: int,
    waiting: int,
    mine: int,
    waiting_jobs: int = 0,
) -> None:
    view.load_of_others[service] = max(0, running + waiting - mine)
    view.waiting_jobs[service] = waiting_jobs
