"""How an agent speaks to an upstream that takes orders.

Such an upstream starts and stops tasks when told to, keeps them only while its lease
is renewed, and lists what has ended until it is told that this was noted.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from bergamotcourse.ids import (
    Incarnation,
    RackName,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources


class StartVerdict(Enum):
    """What became of an order to start."""

    STARTED = "started"
    NO_ROOM = "no room"
    STALE = "stale"
    """This run, or a later one, was stopped or has ended there."""
    TOO_LATE = "too late"
    FENCED = "fenced"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other boot"
    UNKNOWN = "unknown"
    """No answer: it may be carried out, at once or later."""


class EndKind(Enum):
    """How a run ended on its upstream."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """One run of one task; ``number`` rises with each run of the task."""

    task: TaskName
    number: int


class LifeKey(NamedTuple):
    """Names one life of an upstream: it may start again under its id."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True)
class UpstreamReport:
    """What an upstream says of itself.

    Attributes:
        id: Names the upstream.
        address: ``IP:PORT`` where it takes orders.
        sequence: Rises with each report of one life.
        clock: Seconds on its steady clock.
        incarnation: Rises each time it starts under this id.
    """

    id: UpstreamId
    service: ServiceName
    address: str
    zone: ZoneName
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    sequence: int
    clock: float
    incarnation: Incarnation = Incarnation(0)

    @property
    def life(self) -> LifeKey:
        """Return the life that reports."""
        return LifeKey(self.id, self.incarnation)

    @property
    def rack(self) -> RackName:
        """Return the rack, which is the last of the labels."""
        return RackName(self.labels[-1] if self.labels else "")


@dataclass(frozen=True)
class RunningRun:
    """A run that the upstream lists as running; ``progress`` is 0 to 1."""

    key: RunKey
    progress: float


@dataclass(frozen=True)
class EndedRun:
    """A run that the upstream lists as ended.

    Attributes:
        number: Rises with each end of one life of the upstream.
    """

    number: int
    key: RunKey
    kind: EndKind


@dataclass(frozen=True)
class Holding:
    """What an upstream runs and what has ended there, at one moment."""

    clock: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    incarnation: Incarnation = Incarnation(0)


@dataclass(frozen=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        until: On the upstream's clock, in seconds: when its lease ends unless it is
            renewed.
    """

    key: RunKey
    payload: str
    until: float


@dataclass(frozen=True)
class StartReply:
    """The answer to an order to start; the clock is ``None`` where none was told."""

    verdict: StartVerdict
    clock: float | None = None


class HoldFailure(Enum):
    """Why there is no holding."""

    NO_ANSWER = "no answer"
    FENCED = "fenced"
    OTHER_BOOT = "other boot"
    REFUSED = "refused"


class OrderPort(Protocol):
    """Gives orders to one life of one upstream, under one fencing token.

    An order reaches that life or none, also where the upstream has started again under
    its id: the new life would count the lease on another clock, and its answers would
    say nothing of what ran before.
    """

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Order a run to start."""

    async def stop(self, key: RunKey, timeout: float) -> bool:
        """Order a run to stop, or bar it; true once the upstream said so."""

    async def hold(
        self, noted: int, until: float | None, wait: float, timeout: float
    ) -> Holding | HoldFailure:
        """Note ends, renew the lease, and wait for an end.

        Args:
            noted: Ends up to this number are noted.
            until: The lease's new end on the upstream's clock, or ``None``.
            wait: Seconds to wait for an end that is not noted.
            timeout: Seconds for the answer.
        """

    async def aclose(self) -> None:
        """Close the connections."""
