"""The commands of the scenario language, one data class each."""

from dataclasses import dataclass
from enum import Enum


class KeyKind(Enum):
    """Kind of idempotency key of a submission.

    Attributes:
        NONE: No key.
        OPAQUE: A key without structure.
        UUID7: A key that carries its creation time.
        HANDED_OUT: A key under a prefix that an entry handed out.
    """

    NONE = "none"
    OPAQUE = "opaque"
    UUID7 = "uuid7"
    HANDED_OUT = "handed-out"


class When(Enum):
    """Whether a trap triggers before or after its message is sent."""

    BEFORE = "before"
    AFTER = "after"


@dataclass(frozen=True)
class Fleet:
    """Size and intervals (in seconds) of the fleet; allowed only as first command."""

    entries: int = 3
    agents: int = 5
    slots: int = 4
    zones: int = 3
    lease: float = 2.0
    token: float = 2.0
    heartbeat: float = 0.4
    retention: float = 60.0
    skew: float = 2.0


@dataclass(frozen=True)
class Network:
    """Faults of the whole network: shares of payloads, and delays in seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


@dataclass(frozen=True)
class Submit:
    """A caller submits a session request or a job, and waits for the answer.

    Attributes:
        tasks: Number of tasks of a job; 0 for a session request.
        key_owner: The entry whose prefix is used, or that owns an opaque key.
        run: Seconds that each task runs.
        timeout: Seconds until the caller's deadline.
    """

    name: str
    via: str
    tasks: int = 0
    key: KeyKind = KeyKind.UUID7
    key_owner: str = ""
    run: float = 0.1
    timeout: float = 20.0
    idempotent: bool = False


@dataclass(frozen=True)
class Resubmit:
    """A caller retransmits a submission under the same key.

    Attributes:
        label: Name of this copy; ``""`` for a default one.
    """

    name: str
    via: str
    label: str


@dataclass(frozen=True)
class Cancel:
    """A caller cancels a job."""

    name: str
    via: str


@dataclass(frozen=True)
class Disconnect:
    """The caller of a copy disconnects."""

    label: str


@dataclass(frozen=True)
class Start:
    """A process starts, or restarts after its end."""

    process: str


@dataclass(frozen=True)
class Stop:
    """A process is stopped as planned."""

    process: str


@dataclass(frozen=True)
class Kill:
    """A process is killed."""

    process: str


@dataclass(frozen=True)
class Freeze:
    """A process is paused."""

    process: str


@dataclass(frozen=True)
class Thaw:
    """A paused process continues."""

    process: str


@dataclass(frozen=True)
class Cut:
    """Messages between two processes are lost, in one direction or in both."""

    sender: str
    receiver: str
    both: bool = False


@dataclass(frozen=True)
class CutFromStore:
    """A process cannot reach the platform."""

    process: str


@dataclass(frozen=True)
class HealNetwork:
    """All processes can reach each other and the platform again."""


@dataclass(frozen=True)
class SlowUpstream:
    """An upstream is slowed down by a factor."""

    agent: str
    factor: float


@dataclass(frozen=True)
class FailUpstream:
    """An upstream fails all requests."""

    agent: str


@dataclass(frozen=True)
class MendUpstream:
    """An upstream recovers from slowness and failure."""

    agent: str


@dataclass(frozen=True)
class Drain:
    """An upstream notifies its agent that it is leaving."""

    agent: str


@dataclass(frozen=True)
class Outage:
    """The platform is unavailable."""


@dataclass(frozen=True)
class SlowStore:
    """Each call to the platform is delayed by some seconds."""

    seconds: float


@dataclass(frozen=True)
class HealStore:
    """The platform recovers from all its faults."""


@dataclass(frozen=True)
class LoseAnswers:
    """Writes take effect but their answers are lost.

    Attributes:
        count: Number of answers to lose; 0 for all.
    """

    count: int = 0


@dataclass(frozen=True)
class LoseCalls:
    """A share of the calls to the platform is lost, with unknown outcome."""

    share: float


@dataclass(frozen=True)
class JumpClock:
    """The wall clock of a process's host is off by some seconds.

    Processes read the wall clock at their start.
    """

    process: str
    seconds: float


@dataclass(frozen=True)
class Apply:
    """An operator applies a manifest with another weight of the team."""

    weight: float


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    seconds: float


@dataclass(frozen=True)
class WaitFor:
    """Time passes until a copy is answered, or at most some seconds."""

    label: str
    seconds: float = 120.0


@dataclass(frozen=True)
class Trap:
    """A command that is executed when a process next sends a kind of message."""

    when: When
    process: str
    message: str
    command: "Command"


@dataclass(frozen=True)
class LoseNext:
    """The next payload of a process that holds a kind of message is lost."""

    process: str
    message: str


@dataclass(frozen=True)
class Disarm:
    """All traps that were not triggered are removed."""


@dataclass(frozen=True)
class ExpectOutcome:
    """A copy is answered with one of some outcomes within some seconds."""

    label: str
    outcomes: frozenset[str]
    seconds: float = 120.0


@dataclass(frozen=True)
class ExpectStarts:
    """Each task of a submission was started ``count`` times."""

    name: str
    count: int


@dataclass(frozen=True)
class ExpectEqual:
    """Two copies receive the same answer."""

    label: str
    other: str


@dataclass(frozen=True)
class ExpectWhole:
    """A job's answer holds the result of each of its tasks."""

    label: str


@dataclass(frozen=True)
class ExpectOwner:
    """An entry owns the range of a submission's key."""

    name: str
    entry: str


@dataclass(frozen=True)
class ExpectNoWork:
    """An agent starts no task later than some seconds after it began to leave."""

    agent: str
    seconds: float


@dataclass(frozen=True)
class ExpectSound:
    """No invariant has been violated so far."""


Fault = (
    Start
    | Stop
    | Kill
    | Freeze
    | Thaw
    | Cut
    | CutFromStore
    | HealNetwork
    | SlowUpstream
    | FailUpstream
    | MendUpstream
    | Drain
    | Outage
    | SlowStore
    | HealStore
    | LoseAnswers
    | LoseCalls
    | JumpClock
    | Disarm
    | Network
)

Expectation = (
    ExpectOutcome
    | ExpectStarts
    | ExpectEqual
    | ExpectWhole
    | ExpectOwner
    | ExpectNoWork
    | ExpectSound
)

CallerAction = Submit | Resubmit | Cancel | Disconnect

Command = (
    Fleet
    | Fault
    | Expectation
    | CallerAction
    | Apply
    | Wait
    | WaitFor
    | Trap
    | LoseNext
)


@dataclass(frozen=True)
class Step:
    """A command and its line in the scenario."""

    line: int
    text: str
    command: Command
