"""The upstreams announced to an agent, and their limits.

An upstream's slots and connections are enforced by its agent only.
"""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import ServiceName, UpstreamId, ZoneName
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse


class UpstreamCaller(Protocol):
    """The HTTP client of an upstream, as an agent uses it."""

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, HttpError]:
        """Send one request and return the whole response."""

    async def aclose(self) -> None:
        """Close all connections."""


@dataclass
class Upstream:
    """One announced upstream.

    Attributes:
        slots: Number of tasks that it runs at the same time.
        connections: Limit of connections to it.
        renewed: Time of its last announcement, in seconds on the agent's clock.
        running: Number of tasks that it runs.
        leaving: Whether it finishes its running tasks and gets no new ones.
        closed: Whether the configuration closes it: as ``leaving``, but revocable.
    """

    id: UpstreamId
    service: ServiceName
    zone: ZoneName
    release: str
    slots: int
    connections: int
    caller: UpstreamCaller
    renewed: float
    running: int = 0
    leaving: bool = False
    closed: bool = False

    @property
    def free_slots(self) -> int:
        """Number of slots that can be acquired now."""
        if self.leaving or self.closed:
            return 0
        return max(0, min(self.slots, self.connections) - self.running)


class UpstreamSet:
    """All upstreams of one agent.

    Attributes:
        lease_seconds: Time without an announcement after which an upstream gets no new
            tasks.
        closed: Names of the upstreams that the configuration closes.
    """

    def __init__(self, timers: Timers, lease_seconds: float):
        self.timers = timers
        self.lease_seconds = lease_seconds
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.closed: set[UpstreamId] = set()

    def announce(self, upstream: Upstream) -> Upstream:
        """Add an upstream or renew the known one of that name; return the one kept."""
        known = self.upstreams.get(upstream.id)
        if known is None:
            upstream.closed = upstream.id in self.closed
            self.upstreams[upstream.id] = upstream
            return upstream
        known.renewed = upstream.renewed
        known.slots = upstream.slots
        known.connections = upstream.connections
        known.release = upstream.release
        known.leaving = False
        return known

    def mark_leaving(self, upstream_id: UpstreamId) -> bool:
        """Start no new tasks on an upstream; return whether it was known."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return False
        upstream.leaving = True
        return True

    def set_closed(self, names: set[UpstreamId]) -> None:
        """Close the named upstreams to new tasks and open all others."""
        self.closed = names
        for upstream in self.upstreams.values():
            upstream.closed = upstream.id in names

    def expire(self) -> list[Upstream]:
        """Mark upstreams with an expired lease as leaving.

        Removes the idle ones of all leaving upstreams and returns them.
        """
        now = self.timers.now()
        for upstream in self.upstreams.values():
            if now - upstream.renewed > self.lease_seconds:
                upstream.leaving = True
        gone = [u for u in self.upstreams.values() if u.leaving and not u.running]
        for upstream in gone:
            del self.upstreams[upstream.id]
        return gone

    def slots(self, service: str) -> int:
        """Return the number of slots that serve a service."""
        return sum(u.slots for u in self.serving(service))

    def serving(self, service: str) -> list[Upstream]:
        """Return the upstreams that accept new tasks of a service."""
        return [
            u
            for u in self.upstreams.values()
            if u.service == service and not (u.leaving or u.closed)
        ]

    def services(self) -> list[str]:
        """Return the services with an upstream that is not leaving."""
        return sorted({u.service for u in self.upstreams.values() if not u.leaving})

    def acquire_slot(self, service: str) -> Upstream | None:
        """Acquire a slot of the upstream with the most free slots of a service, if any.

        The caller must decrement ``running`` to release the slot.
        """
        free = [u for u in self.serving(service) if u.free_slots]
        if not free:
            return None
        upstream = max(free, key=lambda u: u.free_slots)
        upstream.running += 1
        return upstream
