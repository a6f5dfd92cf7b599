"""The status that an entry reports of itself and of the agents and entries it knows.

Plain data classes, which are encoded as JSON. Times are in seconds.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class LeaseStatus:
    """An entry's lease.

    Attributes:
        state: A ``LeaseState``.
        left_seconds: Time until the lease expires; 0 if the entry does not hold it.
        successor: The only entry that may take over.
    """

    state: str
    left_seconds: float
    successor: str


@dataclass(frozen=True)
class RangeStatus:
    """The ranges of the key space that an entry owns.

    Attributes:
        hashed: Owned ranges of the keys that callers make.
        recovering: Those of all owned ranges that do not grant claims yet.
        home: The entry owns the range under which it hands out keys.
    """

    hashed: list[int]
    recovering: list[int]
    home: bool


@dataclass(frozen=True)
class ServiceLoad:
    """One service at one agent, as an entry sees it.

    Attributes:
        slots: Slots of the upstreams that get new tasks.
        load: Tasks of all entries at the agent.
        in_flight: Those of these tasks that the reporting entry sent.
    """

    service: str
    slots: int
    load: int
    in_flight: int


@dataclass(frozen=True)
class UpstreamStatus:
    """An upstream that announced itself to an agent.

    Attributes:
        closed: The configuration gives it no new tasks.
    """

    id: str
    service: str
    release: str
    slots: int
    closed: bool


@dataclass(frozen=True)
class AgentStatus:
    """An agent as an entry sees it.

    Attributes:
        health: An ``AgentHealth``.
        drained: A drain in the configuration takes it out of service.
        heard_seconds: Time since its last message; ``None`` before the first.
    """

    id: str
    zone: str
    rack: str
    worker: str
    health: str
    drained: bool
    heard_seconds: float | None
    services: list[ServiceLoad]
    upstreams: list[UpstreamStatus] = field(default_factory=list)


@dataclass(frozen=True)
class PeerStatus:
    """Another entry, as known from the platform and its messages.

    Attributes:
        alive: Its lease row was renewed recently.
        config_version: The version in force there at its last message; ``None`` if it
            sent none.
    """

    id: str
    zone: str
    alive: bool
    config_version: int | None


@dataclass(frozen=True)
class QueueStatus:
    """The tasks of one service that are queued at an entry."""

    service: str
    requests: int
    job_tasks: int


@dataclass(frozen=True)
class ConfigStatus:
    """The configuration at an entry.

    Attributes:
        version: The version in force.
        ready: The version in force may be served.
        last_error: Why the last poll of the platform failed, or ``""``.
    """

    version: int
    release: str
    ready: bool
    last_error: str


@dataclass(frozen=True)
class EntryStatus:
    """One entry.

    Attributes:
        ready: The balancer may send callers to it.
        retry_budget: Number of retries that it may make now.
        counters: Counts since the start of the process, by name.
    """

    id: str
    zone: str
    ready: bool
    stopping: bool
    config: ConfigStatus
    lease: LeaseStatus
    ranges: RangeStatus
    agents: list[AgentStatus] = field(default_factory=list)
    entries: list[PeerStatus] = field(default_factory=list)
    queues: list[QueueStatus] = field(default_factory=list)
    retry_budget: float = 0.0
    counters: dict[str, int] = field(default_factory=dict)
