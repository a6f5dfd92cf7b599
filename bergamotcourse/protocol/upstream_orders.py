"""The interface between an agent and an upstream that takes orders.

Such an upstream starts and stops runs on order, keeps them only while its lease is
renewed, and lists the ends of runs until they are acknowledged.
"""

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, NamedTuple, Protocol

import msgspec

from bergamotcourse.ids import (
    Incarnation,
    LifeChecksum,
    RackName,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.ranges import COUNT_RANGE, NAME_LENGTH, Count, Name, Seconds
from bergamotcourse.state.resources import Resources


class StartVerdict(Enum):
    """The result of an order to start a run."""

    STARTED = "started"
    NO_ROOM = "no room"
    STALE = "stale"
    """This run or a later one of the task was stopped or has ended at the upstream."""
    TOO_LATE = "too late"
    FENCED = "fenced"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other boot"
    UNKNOWN = "unknown"
    """No answer: the order may have been executed or may yet be executed."""


class EndKind(Enum):
    """How a run ended on its upstream.

    Attributes:
        LAPSED: The lease of the upstream expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a run of a task; ``number`` increases with each run of the task."""

    task: TaskName
    number: int


class LifeKey(NamedTuple):
    """Identifies one life of an upstream, which may restart under the same id."""

    upstream: UpstreamId
    incarnation: Incarnation

    def checksum(self) -> LifeChecksum:
        """Return a short number that tells this life from others, and is not 0.

        It takes three bytes in a message, where the id and the incarnation take 25.
        """
        name = f"{self.upstream}/{self.incarnation}"
        return LifeChecksum(1 + zlib.crc32(name.encode()) % 0xFFFF)


@dataclass(frozen=True)
class UpstreamReport:
    """An upstream's report of its own state.

    Attributes:
        id: Identifies the upstream.
        address: ``IP:PORT`` at which it takes orders.
        sequence: Increases with each report of one life.
        clock: Seconds on the upstream's monotonic clock.
        incarnation: Increases each time the upstream starts under this id.
        remaining_seconds: Least time until a draining upstream leaves and ends all its
            runs; ``None`` if it has not announced one.
        cold_seconds: Time for which its runs still take longer after its start.
    """

    id: Annotated[UpstreamId, NAME_LENGTH]
    service: Annotated[ServiceName, NAME_LENGTH]
    address: Name
    zone: Annotated[ZoneName, NAME_LENGTH]
    capacity: Resources
    labels: tuple[Name, ...]
    draining: bool
    sequence: Count
    clock: Seconds
    incarnation: Annotated[Incarnation, COUNT_RANGE] = Incarnation(0)
    remaining_seconds: Seconds | None = None
    cold_seconds: Seconds = 0.0

    @property
    def life(self) -> LifeKey:
        """Return the life that sent the report."""
        return LifeKey(self.id, self.incarnation)

    @property
    def rack(self) -> RackName:
        """Return the rack, which is the last of the labels."""
        return RackName(self.labels[-1] if self.labels else "")


@dataclass(frozen=True)
class RunningRun:
    """A run that the upstream lists as running; ``progress`` is from 0 to 1."""

    key: RunKey
    progress: float


@dataclass(frozen=True)
class EndedRun:
    """A run that the upstream lists as ended.

    Attributes:
        number: Sequence number of the end within one life of the upstream.
    """

    number: int
    key: RunKey
    kind: EndKind


@dataclass(frozen=True)
class Holding:
    """A snapshot of the running and the ended runs of an upstream.

    Attributes:
        clock: Time of the snapshot in seconds on the upstream's clock.
        running: The runs in progress.
        ended: The ended runs whose ends are not acknowledged.
        incarnation: The incarnation of the upstream that answered.
    """

    clock: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    incarnation: Incarnation = Incarnation(0)

    def may_be_from(self, life: LifeKey) -> bool:
        """Return whether a life under the answering id may have sent it.

        An answer without an incarnation is accepted.
        """
        return self.incarnation in (0, life.incarnation)


@dataclass(frozen=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        until: Time in seconds on the upstream's clock at which its lease expires unless
            it is renewed.
    """

    key: RunKey
    payload: str
    until: float


@dataclass(frozen=True)
class StartReply:
    """The answer to an order to start; ``clock`` is ``None`` if the answer has none."""

    verdict: StartVerdict
    clock: float | None = None


class HoldFailure(Enum):
    """Why a call of ``hold`` returned no ``Holding``."""

    NO_ANSWER = "no answer"
    FENCED = "fenced"
    OTHER_BOOT = "other boot"
    REFUSED = "refused"


class OrderPort(Protocol):
    """Sends orders to one life of one upstream, under one fencing token.

    An order is executed by that life or not at all, even if the upstream has restarted
    under its id: a new life measures the lease on a different clock, and its answers do
    not cover runs of the former life.
    """

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Order the upstream to start a run; ``timeout`` is in seconds."""

    async def stop(self, key: RunKey, timeout: float) -> bool:
        """Order the upstream to stop a run, or to bar it from starting.

        Returns:
            True if the upstream confirmed the order within ``timeout`` seconds.
        """

    async def hold(
        self, noted: int, until: float | None, wait: float, timeout: float
    ) -> Holding | HoldFailure:
        """Acknowledge ends, renew the lease, and wait for the next end (long poll).

        Args:
            noted: Ends up to this number are acknowledged.
            until: The lease's new expiry on the upstream's clock; ``None`` to leave the
                lease as it is.
            wait: Seconds to wait for an end that is not acknowledged.
            timeout: Seconds for the answer.
        """

    async def aclose(self) -> None:
        """Close the connections."""
