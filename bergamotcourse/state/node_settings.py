"""What a process is told of its place: addresses, zone, and where the others may be."""

from dataclasses import dataclass

from bergamotcourse.ids import ServiceName, ZoneName

REMOTE_FACTOR = 1.5
"""Of a platform that does not say. It decides between waiting for room near the data
and going elsewhere; a task goes near its data in any case where that has room."""


@dataclass(frozen=True)
class Endpoint:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return it as ``IP:PORT``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class NodeSettings:
    """The place of one process.

    Attributes:
        name: Of the instance it runs on.
        link: Where it receives the messages of other processes.
        callers: Where an entry takes callers' requests; ``None`` at an agent.
        readiness: Where an entry tells whether it wants callers.
        reports: Where an agent takes its upstream's reports.
        seeds: Links of entries that may be up.
        store: The platform's store.
        service: Of the upstream beside an agent; empty at an entry.
        stop_seconds: From the signal to stop until the process is killed.
        remote_factor: Times as long as near its data that a task takes elsewhere.
    """

    name: str
    zone: ZoneName
    link: Endpoint
    callers: Endpoint | None
    readiness: Endpoint | None
    reports: Endpoint | None
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    service: ServiceName
    stop_seconds: float
    remote_factor: float = REMOTE_FACTOR
