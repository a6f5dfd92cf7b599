"""Looks up what the drains of the configuration take out of service.

An entry sends no new tasks to the agents of a drained worker, rack or availability
zone. Only an agent knows its upstreams and their releases, so it applies the drains of
those itself.
"""

from collections.abc import Iterable
from typing import Protocol

from bergamotcourse.state.manifest import Drain, DrainKind


class Place(Protocol):
    """The location of an agent."""

    zone: str
    rack: str
    worker: str


class Drains:
    """An index of drains, cheap enough for a look-up whenever an agent is chosen."""

    def __init__(self, drains: Iterable[Drain] = ()):
        self.names: dict[DrainKind, set[str]] = {kind: set() for kind in DrainKind}
        for drain in drains:
            self.names[drain.kind].add(drain.name)

        # Hashing an enum member would cost more than the rest of the look-up.
        self.workers = self.names[DrainKind.WORKER]
        self.racks = self.names[DrainKind.RACK]
        self.zones = self.names[DrainKind.ZONE]

    def covers(self, place: Place) -> bool:
        """Return whether an agent at this location gets no new tasks."""
        return (
            place.worker in self.workers
            or place.rack in self.racks
            or place.zone in self.zones
        )

    def covers_upstream(self, upstream: str, release: str) -> bool:
        """Return whether one upstream of an agent gets no new tasks."""
        return (
            upstream in self.names[DrainKind.UPSTREAM]
            or release in self.names[DrainKind.RELEASE]
        )
