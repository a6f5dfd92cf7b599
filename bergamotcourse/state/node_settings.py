"""Settings that the platform gives a process: addresses, zone and peers."""

from dataclasses import dataclass

from bergamotcourse.ids import ServiceName, ZoneName

REMOTE_FACTOR = 1.5
"""Default for a platform that does not specify it. It decides whether a task waits for
capacity near its data or runs elsewhere; where there is capacity near the data, the
task runs there in any case."""


@dataclass(frozen=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as ``IP:PORT``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        name: Name of the instance that the process runs on.
        zone: Availability zone of the instance.
        link: Address on which it receives messages from other processes.
        callers: Address on which an entry receives callers' requests; ``None`` at an
            agent.
        readiness: Address on which an entry reports whether it accepts callers.
        reports: Address on which an agent receives its upstream's reports.
        seeds: Link addresses of entries that may be running.
        store: Address of the platform's store.
        service: Service of the upstream beside an agent; empty at an entry.
        stop_seconds: Seconds from the stop signal until the process is killed.
        cores: Processor time that the process may use, in cores of average speed; 0 if
            the platform does not specify it.
        remote_factor: Duration of a task away from its data, as a multiple of its
            duration near the data.
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
    cores: float = 0.0
    remote_factor: float = REMOTE_FACTOR
