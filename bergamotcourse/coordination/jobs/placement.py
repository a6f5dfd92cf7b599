"""Where a task goes: the decision alone, over what is known of the agents.

Load it answers: near full use, where all that waits was bound too early. Tasks wait at
the entry and are bound to an agent only once it has room, so a slow or silent upstream
holds nothing but what it runs.
"""

from bergamotcourse.coordination.jobs.agent_links import AgentLink
from bergamotcourse.state.job_spec import StepSpec

SLOWNESS_WEIGHT = 0.3
"""How much a slow upstream counts against a full one: entries decide side by side, and
the last free slots are those at which they collide, so fullness counts more."""

FAR_WEIGHT = 0.02
"""Prefers the own zone among equals: a message to another costs bytes between zones."""


def choose(
    links: list[AgentLink], service: str, step: StepSpec, avoid: set[str], zone: str
) -> AgentLink | None:
    """Return the agent to place a task at, or ``None`` where none has room."""
    best, best_score = None, 0.0
    for link in links:
        if link.name in avoid or not suits(link, service, step):
            continue
        score = score_of(link, step, zone)
        if best is None or score < best_score:
            best, best_score = link, score
    return best


def suits(link: AgentLink, service: str, step: StepSpec) -> bool:
    """Return whether an agent can run a task of a step now."""
    room = link.room
    if room.service != service or not step.needs.fits(link.free()):
        return False
    return not step.label or step.label in room.labels


def score_of(link: AgentLink, step: StepSpec, zone: str) -> float:
    """Return how badly an agent suits a task; less is better."""
    capacity = max(1, link.room.capacity.cpu)
    fullness = (link.load().cpu + step.needs.cpu) / capacity
    far = FAR_WEIGHT if link.zone != zone else 0.0
    return fullness + SLOWNESS_WEIGHT * link.room.slowness + far
