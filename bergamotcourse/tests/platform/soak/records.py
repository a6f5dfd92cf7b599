"""What callers saw and which faults there were, for the verdict."""

from dataclasses import dataclass, field
from enum import Enum


class Seen(Enum):
    """What a caller saw of one attempt."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    GONE = "gone"
    """The queue or the job is not known."""
    NOT_SENT = "not sent"
    CUT = "cut"
    """The connection ended without a whole answer."""
    SILENT = "silent"
    """No answer until the caller left."""
    ODD = "odd"


@dataclass(frozen=True)
class Attempt:
    """One attempt to hand a job in; times in seconds of the soak's clock."""

    job: str
    entry: str
    sent_at: float
    ended_at: float
    seen: Seen
    status: int = 0


@dataclass(frozen=True)
class Harm:
    """A fault of what stands between a caller and its answer."""

    entry: str
    begun_at: float
    ended_at: float


@dataclass(frozen=True)
class Variant:
    """What a soak does beside the usual.

    Attributes:
        keeps_ids: Workers start again under the id that they had.
        evacuates: The processes lie in two zones, which are evacuated in turn.
        deafens: All connections to the store and to workers go silent at once.
    """

    keeps_ids: bool = False
    evacuates: bool = False
    deafens: bool = False


USUAL = Variant()


@dataclass(frozen=True)
class Evacuation:
    """A zone in which nothing was to start; times in seconds of the soak's clock."""

    zone: str
    begun_at: float
    ended_at: float


@dataclass(frozen=True)
class StoreOutage:
    """A time in which the store refused all calls."""

    begun_at: float
    ended_at: float


@dataclass
class Records:
    """All that a soak noted."""

    evacuations: list[Evacuation] = field(default_factory=list)
    outages: list[StoreOutage] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    harms: list[Harm] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    tasks: dict[str, int] = field(default_factory=dict)
    """Tasks by job."""

    def count(self, fault: str) -> None:
        """Count a fault."""
        self.faults[fault] = self.faults.get(fault, 0) + 1
