"""Choice of the agent for a task; pure decisions over the known state of the agents.

The design serves loads close to full utilisation. Tasks wait at the entry and are bound
to an agent only once it has room. A slow or silent upstream therefore holds up only the
tasks that it runs, and no task queues behind one upstream while another becomes free.

Among hundreds of agents, an entry uses the agents in contact as long as they have room.
Then it tries one of the other agents, whose last known load is seconds old.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.state.job_spec import StepSpec

OTHER_ZONE_PENALTY = 0.02
"""Prefers the entry's own zone among equally loaded agents, to save traffic between
zones."""


RESERVED_RACK_PENALTY = 1.0
"""Ranks upstreams in reserved racks behind all others, as the highest fullness is 1."""

CANDIDATE_COUNT = 4
"""Number of agents that have room but no contact, among which the least loaded is
chosen. All entries know similar outdated loads; if each chose the least loaded of all
agents, they would all place tasks on the same one."""


@dataclass(frozen=True)
class PlacementRequest:
    """What a task needs of an agent.

    Attributes:
        step: The step of the task.
        avoid: Names of agents that must not get the task.
        excluded: Those of them that must not get it even if no other has room.
        zone: Zone of the entry.
        rack: Rack in which the task must run; empty for any.
        reserved: Racks left to tasks whose data is there while other racks have room.
        slowness: Returns the slowness of an agent for the task; ``None`` if all agents
            count as equally fast.
    """

    service: str
    step: StepSpec
    avoid: frozenset[str]
    zone: str
    rack: str = ""
    reserved: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    slowness: Callable[[AgentLink], float] | None = None


def choose_in_contact(
    links: list[AgentLink], request: PlacementRequest
) -> AgentLink | None:
    """Return the best agent in contact for a task, or ``None`` if none has room."""
    best, best_rank = None, ()
    for link in links:
        if not can_accept_task(link, request):
            continue
        rank = placement_rank(link, request)
        if best is None or rank < best_rank:
            best, best_rank = link, rank
    return best


def choose_without_contact(
    links: list[AgentLink], request: PlacementRequest
) -> AgentLink | None:
    """Return an agent without contact to place a task on, or ``None`` if none has room.

    Args:
        links: The agents in order of preference. Each entry has its own order, so that
            not all entries choose the agent that reported the most room.
        request: What the task needs.
    """
    suitable = (link for link in links if can_accept_task(link, request))
    if request.slowness is not None:
        suitable = sorted(suitable, key=lambda link: placement_rank(link, request)[:2])
    drawn = itertools.islice(suitable, CANDIDATE_COUNT)
    return min(drawn, key=lambda link: placement_rank(link, request), default=None)


def can_accept_task(link: AgentLink, request: PlacementRequest) -> bool:
    """Return whether an agent meets the requirements of a task and has room for it."""
    if link.name in request.avoid:
        return False
    room = link.room
    needs = request.step.needs
    if room.service != request.service:
        return False
    if request.step.label and request.step.label not in room.labels:
        return False
    if request.rack and request.rack not in room.labels:
        return False
    if needs.cpu > room.capacity.cpu - link.load_cpu():
        return False
    return needs.fits(link.free())


def placement_rank(
    link: AgentLink, request: PlacementRequest
) -> tuple[bool, float, float]:
    """Return the sort key of an agent with room for a task; the lowest is chosen."""
    score = placement_score(link, request)
    if request.slowness is None:
        return (False, 0.0, score)
    return (is_reserved(link, request), request.slowness(link), score)


def is_reserved(link: AgentLink, request: PlacementRequest) -> bool:
    """Return whether an agent's rack is reserved for other tasks."""
    return not request.rack and not request.reserved.isdisjoint(link.room.labels)


def placement_score(link: AgentLink, request: PlacementRequest) -> float:
    """Return the cost of placing a task on an agent; lower is better."""
    capacity = max(1, link.room.capacity.cpu)
    fullness = (link.load_cpu() + request.step.needs.cpu) / capacity
    far = OTHER_ZONE_PENALTY if link.zone != request.zone else 0.0
    return fullness + far + is_reserved(link, request) * RESERVED_RACK_PENALTY
