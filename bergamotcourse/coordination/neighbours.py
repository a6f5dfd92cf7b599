"""Selection of the agents that an entry attaches to.

Each agent ranks the entries: those of its own availability zone first, then by
rendezvous hashing. An entry attaches to the agents that rank it highest, so the sets of
two entries are disjoint until one of them needs more than its share.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from bergamotcourse.ids import AgentId

SPARE_SLOT_RATIO = 0.25
"""Free slots that are kept spare, as a ratio of the slots in use."""

MIN_LIMIT_INCREASE = 4
"""Minimum number of agents by which the attachment limit is raised."""

LOW_DEMAND_SECONDS = 30.0
"""Time for which the demand must be low before the attachment limit is lowered."""


@dataclass(frozen=True)
class ProcessLocation:
    """The name and availability zone of a process."""

    name: str
    zone: str


@dataclass
class Demand:
    """Demand and supply of slots for one service.

    Attributes:
        free: Free slots at agents that may be sent work.
        used: Slots used by this entry's tasks.
        queued: Tasks queued at this entry.
    """

    free: int = 0
    used: int = 0
    queued: int = 0

    def missing_slots(self) -> int:
        """Return the number of slots needed beyond the free ones."""
        return max(0, self.queued + self._spare() - self.free)

    def excess_slots(self) -> int:
        """Return the number of slots that can be given up with headroom to spare."""
        return max(0, self.free - self.queued - 2 * self._spare())

    def _spare(self) -> int:
        return 1 + int(SPARE_SLOT_RATIO * self.used)


class Neighbours:
    """The limit of an entry's attachments, and the order in which it attaches.

    Attributes:
        min_attachments: Lower bound of the limit, kept without any demand.
        attachment_limit: Current limit of attachments per service.
        low_demand_since: Since when the demand has been low, in seconds; ``None`` if it
            is not low.
    """

    def __init__(self, own_location: ProcessLocation, min_attachments: int):
        self.own_location = own_location
        self.min_attachments = min_attachments
        self.attachment_limit = min_attachments
        self.low_demand_since: float | None = None
        self.ranking_inputs: tuple | None = None
        self.ranking: list[AgentId] = []

    def rank_agents(
        self, agents: Iterable[ProcessLocation], entries: Iterable[ProcessLocation]
    ) -> list[AgentId]:
        """Return the names of all agents, most preferred first."""
        agents, entries = tuple(agents), tuple(entries)
        if self.ranking_inputs != (self.own_location, agents, entries):
            self.ranking_inputs = (self.own_location, agents, entries)
            others = [
                entry for entry in entries if entry.name != self.own_location.name
            ]
            keyed = sorted(
                (self._sort_key(agent, others), agent.name) for agent in agents
            )
            self.ranking = [AgentId(name) for _, name in keyed]
        return self.ranking

    def adjust_limit(
        self, demands: Iterable[Demand], slots_each: float, now: float
    ) -> None:
        """Raise the limit at once if slots are missing; lower it slowly.

        Args:
            demands: Demand for each service.
            slots_each: Mean number of slots per agent.
            now: Seconds on this process's clock.
        """
        demands = list(demands)
        missing = max((demand.missing_slots() for demand in demands), default=0)
        excess = min((demand.excess_slots() for demand in demands), default=0)
        if missing:
            self.low_demand_since = None
            self.attachment_limit += max(
                MIN_LIMIT_INCREASE, int(missing / slots_each) + 1
            )
        elif excess >= slots_each and self.attachment_limit > self.min_attachments:
            self._lower_limit(int(excess / slots_each), now)
        else:
            self.low_demand_since = None

    def _lower_limit(self, max_step: int, now: float) -> None:
        if self.low_demand_since is None:
            self.low_demand_since = now
        if now - self.low_demand_since >= LOW_DEMAND_SECONDS:
            step = min(max_step, max(1, self.attachment_limit // 8))
            self.attachment_limit = max(
                self.min_attachments, self.attachment_limit - step
            )

    def _sort_key(
        self, agent: ProcessLocation, others: list[ProcessLocation]
    ) -> tuple[int, bool, int]:
        mine = _preference(agent, self.own_location)
        rank = sum(_preference(agent, other) < mine for other in others)
        return (rank, agent.zone != self.own_location.zone, mine[1])


def _preference(agent: ProcessLocation, entry: ProcessLocation) -> tuple[bool, int]:
    digest = xxhash.xxh3_64_intdigest(f"{agent.name}/{entry.name}".encode())
    return (agent.zone != entry.zone, digest)
