"""Where a task goes: the decision alone, over what is known of the agents.

Load it answers: near full use. Tasks wait at the entry and are bound to an agent only
once it has room, so a slow or silent upstream holds nothing but what it runs. Urgent
tasks are the exception: they go to an agent that is full, where they get the next slot
before all that is less urgent; to wait for room to be told would cost them the way to
the entry and back, and the race with other entries for it.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.agent_links import AgentLink
from bergamotcourse.state.job_spec import StepSpec

SLOWNESS_WEIGHT = 0.5
"""How much a slow upstream counts against a full one: entries decide side by side, and
the last free slots are those at which they collide, so fullness counts more."""

URGENT_SECONDS = 0.2
"""A task whose work must begin within this counts as urgent: it is the time in which
an upstream of ten slots frees five at full use."""

URGENT_AHEAD = 3
"""Tasks beyond its room that an agent gets if they are urgent."""

FAR_WEIGHT = 0.02
"""Prefers the own zone among equals: a message to another costs bytes between zones."""


@dataclass(frozen=True)
class Wish:
    """What a task needs of an agent.

    Attributes:
        avoid: Names of agents where it failed.
        slack: Seconds until its work must begin.
        zone: Where its entry is.
    """

    service: str
    step: StepSpec
    avoid: frozenset[str]
    slack: float
    zone: str


def choose(links: list[AgentLink], wish: Wish) -> AgentLink | None:
    """Return the agent to place a task at, or ``None`` where none has room."""
    best, best_score = None, 0.0
    for link in links:
        if link.name in wish.avoid or not suits(link, wish):
            continue
        score = score_of(link, wish)
        if best is None or score < best_score:
            best, best_score = link, score
    return best


def suits(link: AgentLink, wish: Wish) -> bool:
    """Return whether an agent may get a task now."""
    room = link.room
    needs = wish.step.needs
    if room.service != wish.service or not needs.fits(room.capacity):
        return False
    if wish.step.label and wish.step.label not in room.labels:
        return False
    free = link.free()
    if needs.fits(free):
        return True
    if wish.slack > URGENT_SECONDS or room.on_trial:
        return False
    return free.cpu + (URGENT_AHEAD - 1) * needs.cpu >= 0


def score_of(link: AgentLink, wish: Wish) -> float:
    """Return how badly an agent suits a task; less is better."""
    capacity = max(1, link.room.capacity.cpu)
    fullness = (link.load().cpu + wish.step.needs.cpu) / capacity
    far = FAR_WEIGHT if link.zone != wish.zone else 0.0
    return fullness + SLOWNESS_WEIGHT * link.room.slowness + far
