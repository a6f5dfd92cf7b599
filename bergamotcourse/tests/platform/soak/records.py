"""Records of caller outcomes and injected faults, from which the verdict is made."""

from dataclasses import dataclass, field
from enum import Enum

KIND_LABELS = ("a", "b")
"""The labels that workers have, and jobs require, where workers change their kind."""

RACK_LABEL = "rack-1"


class CallerOutcome(Enum):
    """Outcome of one attempt, as the caller saw it."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    GONE = "gone"
    """The queue or the job is unknown."""
    NOT_SENT = "not sent"
    CUT = "cut"
    """The connection ended before a complete response."""
    NO_RESPONSE = "silent"
    """No response until the caller's timeout."""
    LEFT = "left"
    """The caller itself closed its connection."""
    UNEXPECTED_STATUS = "odd"
    """A status that callers should never get."""
    UNREADABLE = "unreadable"
    """A status of success, and a body without a state that a submission may have."""


ANSWERED_OUTCOMES = (CallerOutcome.SUCCEEDED, CallerOutcome.FAILED)
LEFT_OUTCOMES = (CallerOutcome.CUT, CallerOutcome.NO_RESPONSE, CallerOutcome.LEFT)


@dataclass(frozen=True)
class Attempt:
    """One attempt to submit a job; times in seconds of the soak's clock."""

    job: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: CallerOutcome
    status: int = 0


@dataclass(frozen=True)
class Cancellation:
    """A request to cancel a job; times as in ``Attempt``.

    Attributes:
        acknowledged: Whether it was answered with success.
        gone: Whether it was answered that no such job exists.
    """

    job: str
    entry: str
    sent_at: float
    ended_at: float
    acknowledged: bool
    gone: bool = False


@dataclass(frozen=True)
class Absence:
    """A period in which an entry's process is paused, or ends and is replaced.

    Attributes:
        replaced: Whether another process began at the end of the period.
    """

    entry: str
    begun_at: float
    ended_at: float
    replaced: bool


@dataclass(frozen=True)
class Disruption:
    """A period in which a fault may keep callers of an entry from their responses.

    Attributes:
        holds_bytes: Whether the entry may not learn that a caller has left.
    """

    entry: str
    begun_at: float
    ended_at: float
    holds_bytes: bool = False


@dataclass(frozen=True)
class Variant:
    """What a soak does in addition to the default.

    Attributes:
        keeps_ids: Workers restart under the same id.
        evacuates: The processes run in two zones, which are evacuated in turn.
        deafens: All connections to the store and to workers are black-holed at once.
        delays_orders: All workers at once leave a share of their orders unanswered,
            and carry them out late.
        announces_leaving: Workers are replaced after a short notice, which their
            reports state; some leave sooner or later than announced.
        kills_together: Entries and agents are killed at the same moment, again and
            again, and start again at once.
        freezes_entries: Entries are paused for so long that callers, who wait a short
            time, submit their jobs to other entries meanwhile.
        misreports: Agents receive late reports of crashed workers and incomplete ones
            of other programs, and workers restart at other addresses.
        throttles: Entries get little processor time while many callers submit jobs.
        evacuates_together: The processes run in three zones, several of which are
            evacuated and returned to service in one transaction.
        loses_stops: Workers leave most of their stop orders unanswered in turn, while
            callers whose jobs are not done in time submit them again.
        changes_kinds: Workers come back at once with another label, and callers require
            one of the labels.
        cancels: Callers cancel jobs that they wait for, leave and submit them again on
            another connection, and wait for one job with several calls.
        odd_entries: Other programs write rows that cannot be used, and send reports and
            requests that cannot.
        resubmits: Callers submit jobs again after their answer, to any entry, and
            cancel jobs at entries that do not have them, also while bursts of jobs
            fill all room.
        entries: Number of entries.
        agents: Number of agents.
    """

    keeps_ids: bool = False
    evacuates: bool = False
    deafens: bool = False
    delays_orders: bool = False
    announces_leaving: bool = False
    kills_together: bool = False
    freezes_entries: bool = False
    misreports: bool = False
    throttles: bool = False
    evacuates_together: bool = False
    loses_stops: bool = False
    changes_kinds: bool = False
    cancels: bool = False
    odd_entries: bool = False
    resubmits: bool = False
    entries: int = 2
    agents: int = 3


DEFAULT_VARIANT = Variant()


@dataclass(frozen=True)
class Evacuation:
    """A period in which nothing should start in a zone; times as in ``Attempt``."""

    zone: str
    begun_at: float
    ended_at: float


@dataclass(frozen=True)
class StoreOutage:
    """A period in which the store refused all calls."""

    begun_at: float
    ended_at: float


@dataclass(frozen=True)
class Throttle:
    """A period in which an entry got little processor time."""

    entry: str
    begun_at: float
    ended_at: float


@dataclass
class Records:
    """Everything that a soak recorded."""

    evacuations: list[Evacuation] = field(default_factory=list)
    outages: list[StoreOutage] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    cancellations: list[Cancellation] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    throttles: list[Throttle] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    tasks: dict[str, int] = field(default_factory=dict)
    """Number of tasks by job id."""
    labels: dict[str, str] = field(default_factory=dict)
    """Required label by job id, of the jobs that require one."""

    def count(self, fault: str) -> None:
        """Increment the count of a kind of fault."""
        self.faults[fault] = self.faults.get(fault, 0) + 1
