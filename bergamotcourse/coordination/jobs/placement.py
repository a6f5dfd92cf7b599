"""Where a task goes: the decision alone, over what is known of the agents.

Load it answers: near full use. Tasks wait at the entry and are bound to an agent only
once it has room, so a slow or silent upstream holds nothing but what it runs, and none
waits behind the tasks of one upstream while another gets free.

Among hundreds of agents an entry uses those in contact as long as they have room. Then
it tries one of the others, of which it knows the load of seconds ago.
"""

import itertools
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.state.job_spec import StepSpec

FAR_WEIGHT = 0.02
"""Prefers the own zone among equals: a message to another costs bytes between zones."""


RESERVED_WEIGHT = 1.0
"""An upstream in a wanted rack comes after all others: a full one has fullness 1."""

CANDIDATES = 4
"""The first agents without contact that have room, of which the least full is tried.
All entries know much the same old loads: were each to take the least full of all, they
would meet there."""


@dataclass(frozen=True)
class PlacementRequest:
    """What a task needs of an agent.

    Attributes:
        avoid: Names of agents where it failed.
        zone: Where its entry is.
        rack: Where it must run; empty for anywhere.
        reserved: Racks left to tasks whose data is there, while others have room.
    """

    service: str
    step: StepSpec
    avoid: frozenset[str]
    zone: str
    rack: str = ""
    reserved: frozenset[str] = frozenset()


def choose(links: list[AgentLink], request: PlacementRequest) -> AgentLink | None:
    """Return the agent to place a task at, or ``None`` where none has room."""
    best, best_score = None, 0.0
    for link in links:
        if not suits(link, request):
            continue
        score = score_of(link, request)
        if best is None or score < best_score:
            best, best_score = link, score
    return best


def choose_to_open(
    links: list[AgentLink], request: PlacementRequest
) -> AgentLink | None:
    """Return the agent without contact to place a task at, or ``None``.

    Args:
        links: The agents, the first to be used first; each entry has an order of its
            own, so that not all meet at the one that told of the most room.
        request: What the task needs.
    """
    suitable = (link for link in links if suits(link, request))
    drawn = itertools.islice(suitable, CANDIDATES)
    return min(drawn, key=lambda link: score_of(link, request), default=None)


def suits(link: AgentLink, request: PlacementRequest) -> bool:
    """Return whether an agent may get a task now."""
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


def score_of(link: AgentLink, request: PlacementRequest) -> float:
    """Return how badly an agent suits a task; less is better."""
    capacity = max(1, link.room.capacity.cpu)
    fullness = (link.load_cpu() + request.step.needs.cpu) / capacity
    far = FAR_WEIGHT if link.zone != request.zone else 0.0
    reserved = not request.rack and not request.reserved.isdisjoint(link.room.labels)
    return fullness + far + reserved * RESERVED_WEIGHT
