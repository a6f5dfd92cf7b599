"""Choice among upstreams of different speed; pure decisions over the agents' reports.

Agents report how long tasks take relative to their estimates. Entries compare agents by
their slowness relative to the median of all agents of the service, so that an error
common to all estimates cancels out. Fast agents get tasks first, slow ones once the
fast ones are full. No task waits for a fast agent: its estimate may be wrong, and a
late result is worth more to a caller than a refusal.
"""

import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.ids import LinkAddress

MIN_SPREAD = 1.5
"""Least ratio of the slowest to the fastest known agent from which speeds matter. The
averages of upstreams of equal speed differ by a factor of up to 1.35."""

OUTLIER_SHARE = 0.1
"""Share of the agents on either side that is not compared: among hundreds of upstreams
of equal speed, the extreme averages may differ by ``MIN_SPREAD`` by chance."""

MIN_KNOWN_AGENTS = 4
"""Fewest agents with a known speed for which speeds matter."""

EQUAL_SPEED_FACTOR = 1.3
"""Factor within which speeds count as equal. A single average is off by 7%."""

COLD_FACTOR = 1.5
"""Factor by which an upstream is slower shortly after its start."""

MAX_REPORT_AGE_SECONDS = 10.0
"""Age of an agent's last message from which its speed is unknown."""

UPDATE_SECONDS = 0.5
"""Interval at which the median is computed again. Averages change within seconds."""


@dataclass(frozen=True)
class ServiceSpeeds:
    """The known speeds of a service's agents.

    Attributes:
        slowest: Slowness of the slowest agent that is compared; 1 if tasks take their
            estimate.
        fastest: Slowness of the fastest agent that is compared.
        median: Median slowness, that of an actual agent.
        known: Number of agents with a known speed.
    """

    slowest: float = 1.0
    fastest: float = 1.0
    median: float = 1.0
    known: int = 0

    @property
    def in_effect(self) -> bool:
        """Return whether the speeds differ enough to place tasks by them."""
        return (
            self.known >= MIN_KNOWN_AGENTS and self.slowest >= MIN_SPREAD * self.fastest
        )


ALL_EQUAL = ServiceSpeeds()


@dataclass
class SpeedTable:
    """The speeds of all agents, as an entry knows them.

    Attributes:
        log: Receives an event when speeds come into or go out of effect.
        enabled: Whether tasks are placed by speed at all.
        services: The known speeds by service.
        updated_at: When they were last computed.
    """

    log: EventLog
    enabled: bool = True
    services: dict[str, ServiceSpeeds] = field(default_factory=dict)
    updated_at: float = float("-inf")

    def update(self, links: Iterable[AgentLink], now: float) -> None:
        """Compute the speeds again if the last computation is out of date."""
        if not self.enabled or now - self.updated_at < UPDATE_SECONDS:
            return
        self.updated_at = now
        known = defaultdict(list)
        for link in links:
            slowness = known_slowness(link, now)
            if slowness is not None:
                known[link.room.service].append(slowness)
        former = self.services
        self.services = {name: summarize(known[name]) for name in known}
        for name in former.keys() | known.keys():
            speeds = self.of_service(name)
            if speeds.in_effect != former.get(name, ALL_EQUAL).in_effect:
                self.log.write(
                    "placement.speeds",
                    service=name,
                    in_effect=speeds.in_effect,
                    slowest=round(speeds.slowest, 2),
                    fastest=round(speeds.fastest, 2),
                    known=speeds.known,
                )

    def of_service(self, service: str) -> ServiceSpeeds:
        """Return the known speeds of a service."""
        return self.services.get(service, ALL_EQUAL)

    def relative_slowness(self, link: AgentLink, now: float) -> float:
        """Return an agent's slowness relative to the median of its service.

        It is 1 while the speeds of the service are not in effect.
        """
        speeds = self.of_service(link.room.service if link.room else "")
        if not speeds.in_effect:
            return 1.0
        slowness = known_slowness(link, now)
        relative = 1.0 if slowness is None else slowness / speeds.median
        is_cold = now < link.echo_received_at + link.room.cold_ms / 1000
        return relative * COLD_FACTOR if is_cold else relative


class SpeedRound:
    """The speeds during one placement round.

    Attributes:
        table: The speeds of all agents.
        now: The time of the round.
        slowness: Slowness class of each agent that was looked up in the round.
    """

    def __init__(self, table: SpeedTable, now: float):
        self.table = table
        self.now = now
        self.slowness: dict[LinkAddress, float] = {}

    def slowness_for(
        self, service: str, data_rack: str, remote_factor: float
    ) -> Callable[[AgentLink], float] | None:
        """Return a function that returns the slowness of an agent for a task.

        Args:
            service: Service of the task.
            data_rack: Rack with its data; empty if there is none.
            remote_factor: Run time of the task outside that rack, as a multiple of its
                run time inside.

        Returns:
            The function; ``None`` if the service's tasks are not placed by speed.
        """
        if not self.table.of_service(service).in_effect:
            return None
        if not data_rack:
            return self.slowness_class

        def slowness(link: AgentLink) -> float:
            is_remote = data_rack not in link.room.labels
            return self.slowness_class(link) * (remote_factor if is_remote else 1.0)

        return slowness

    def slowness_class(self, link: AgentLink) -> float:
        """Return the slowness that an agent counts with in this round."""
        known = self.slowness.get(link.address)
        if known is None:
            known = slowness_class(self.table.relative_slowness(link, self.now))
            self.slowness[link.address] = known
        return known


def known_slowness(link: AgentLink, now: float) -> float | None:
    """Return the slowness that an agent has reported lately; ``None`` if unknown."""
    room = link.room
    if room is None or room.slowness_percent <= 0:
        return None
    if now - link.last_received_at > MAX_REPORT_AGE_SECONDS:
        return None
    return room.slowness_percent / 100


def summarize(known: list[float]) -> ServiceSpeeds:
    """Return the speeds of a service from the known slowness of its agents.

    The outermost tenth on either side is left out.
    """
    ranked = sorted(known)
    outer = int(len(ranked) * OUTLIER_SHARE)
    return ServiceSpeeds(
        ranked[-1 - outer], ranked[outer], statistics.median_low(ranked), len(ranked)
    )


def slowness_class(relative: float) -> float:
    """Return the slowness that counts for a relative slowness.

    It is the nearest power of ``EQUAL_SPEED_FACTOR``, and 1 for all that differ from
    the median by less than this factor.
    """
    steps = math.log(relative) / math.log(EQUAL_SPEED_FACTOR)
    return 1.0 if abs(steps) < 1 else EQUAL_SPEED_FACTOR ** round(steps)
