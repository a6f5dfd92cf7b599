"""The progress of a drain, and whether the remaining capacity suffices."""

from dataclasses import dataclass

from bergamotcourse.protocol.status import AgentStatus, EntryStatus
from bergamotcourse.state.manifest import Drain, DrainKind

USABLE = "usable"


@dataclass(frozen=True)
class Remainder:
    """The capacity and load of one service without the drained upstreams.

    Attributes:
        slots: Slots of the remaining upstreams that get new tasks.
        load: Tasks of the service at all agents and in all queues.
    """

    service: str
    slots: int
    load: int

    @property
    def fits(self) -> bool:
        """Whether the remaining slots suffice for the load."""
        return self.load <= self.slots


@dataclass(frozen=True)
class DrainProgress:
    """The progress of a drain, computed from the status of some entries.

    Attributes:
        covered: The upstreams that the drain takes out of service, as
            ``AGENT/UPSTREAM``.
        running: Tasks of the services of these upstreams that are still at their
            agents.
        remainders: The remaining capacity of each of these services.
    """

    kind: str
    name: str
    covered: list[str]
    running: int
    remainders: list[Remainder]

    @property
    def overloaded(self) -> list[Remainder]:
        """The services whose load exceeds the remaining slots."""
        return [remainder for remainder in self.remainders if not remainder.fits]


def drain_progress(drain: Drain, entries: list[EntryStatus]) -> DrainProgress:
    """Return the progress of a drain, or its effect if it were started."""
    agents = newest_agents(entries)
    covered = [
        (agent, upstream)
        for agent in agents
        for upstream in agent.upstreams
        if covers(drain, agent, upstream.id, upstream.release)
    ]
    drained = {(agent.id, upstream.service) for agent, upstream in covered}
    running = sum(
        load.load
        for agent in agents
        for load in agent.services
        if (agent.id, load.service) in drained
    )
    return DrainProgress(
        kind=drain.kind.value,
        name=drain.name,
        covered=[f"{agent.id}/{upstream.id}" for agent, upstream in covered],
        running=running,
        remainders=[
            _remainder(service, drain, agents, entries)
            for service in sorted({service for _, service in drained})
        ],
    )


def covers(drain: Drain, agent: AgentStatus, upstream: str, release: str) -> bool:
    """Return whether a drain takes an upstream of an agent out of service."""
    match drain.kind:
        case DrainKind.WORKER:
            return agent.worker == drain.name
        case DrainKind.RACK:
            return agent.rack == drain.name
        case DrainKind.ZONE:
            return agent.zone == drain.name
        case DrainKind.UPSTREAM:
            return upstream == drain.name
        case DrainKind.RELEASE:
            return release == drain.name


def newest_agents(entries: list[EntryStatus]) -> list[AgentStatus]:
    """Return the most recent status of each agent, sorted by agent id.

    Of several entries' reports of one agent, the one counts whose entry received a
    message from the agent last.
    """
    newest: dict[str, AgentStatus] = {}
    for entry in entries:
        for agent in entry.agents:
            known = newest.get(agent.id)
            if known is None or _status_age(agent) < _status_age(known):
                newest[agent.id] = agent
    return [newest[name] for name in sorted(newest)]


def _status_age(agent: AgentStatus) -> float:
    return float("inf") if agent.heard_seconds is None else agent.heard_seconds


def _remainder(
    service: str, drain: Drain, agents: list[AgentStatus], entries: list[EntryStatus]
) -> Remainder:
    queued = sum(
        queue.requests + queue.job_tasks
        for entry in entries
        for queue in entry.queues
        if queue.service == service
    )
    at_agents = sum(
        load.load
        for agent in agents
        for load in agent.services
        if load.service == service
    )
    slots = sum(_remaining_slots(service, drain, agent) for agent in agents)
    return Remainder(service, slots, queued + at_agents)


def _remaining_slots(service: str, drain: Drain, agent: AgentStatus) -> int:
    """Return the slots that an agent still offers for a service under the drain."""
    if agent.health != USABLE:
        return 0
    return sum(
        upstream.slots
        for upstream in agent.upstreams
        if upstream.service == service
        and not upstream.closed
        and not covers(drain, agent, upstream.id, upstream.release)
    )
