"""The messages between entries and agents, and their codec.

One envelope carries a batch of messages from one process to another. Times are in
milliseconds on the sender's monotonic clock or, where the name says so, durations.
The messages are ``msgspec.Struct`` data classes because a tagged union of plain
data classes cannot be told apart by the decoder.
"""

from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.protocol.task_messages import (
    AgentTurn,
    ConfigCopy,
    ConfigWanted,
    EndSession,
    EntryTurn,
    Farewell,
    Hello,
)

SCHEMA_VERSION = 1


class Header(NamedTuple):
    """One HTTP field."""

    name: str
    value: str


class Attach(Message, frozen=True):
    """An entry asks an agent to report its state to it from now on.

    Attributes:
        has: The number of the agent's state that the entry has; 0 for none.
    """

    entry: str
    zone: str
    has: int = 0


class Detach(Message, frozen=True):
    """An entry leaves: the agent stops reporting to it."""

    entry: str


class Start(Message, frozen=True):
    """Start one task. Refused unless the epoch and the token are current.

    Attributes:
        attempt: Granted by the owner of the range.
        dispatch: Counts the sends of this task under one attempt, from 1.
        trace: Id of the request's trace where its steps are logged, else empty.
        job: The task belongs to a job.
        weight: Of its team.
        queue: It may wait for a slot; else it is refused where none is free.
        wants: The entry wants to be told of a slot that gets free.
        more: More tasks of jobs wait at the entry.
        digest: Hash of the whole submission, for those who ask about it later.
    """

    submission: bytes
    index: int
    attempt: int
    dispatch: int
    range: int
    epoch: int
    token: int
    team: str
    service: str
    method: str
    target: str
    headers: list[Header]
    body: bytes
    timeout_ms: int
    trace: str = ""
    job: bool = False
    weight: float = 1.0
    queue: bool = True
    wants: bool = False
    more: bool = True
    digest: bytes = b""


class CancelledTasks(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one submission that are cancelled, started or not."""

    submission: bytes
    attempt: int
    indices: list[int]


class Cancel(Message, frozen=True):
    """Cancel tasks; an agent sends no results of those that it finds."""

    tasks: list[CancelledTasks]


class Health(msgspec.Struct, frozen=True, array_like=True):
    """How the tasks of one service fare at an agent.

    Attributes:
        run_ms: The usual run time in milliseconds; 0 while it is not known.
        failing: Percentage of tasks that fail, of late.
        ended: Tasks that ended, modulo 65,536.
    """

    run_ms: int
    failing: int
    ended: int


class AgentLoad(Message, frozen=True):
    """An agent's load: rides in results, and is a heartbeat when idle.

    Attributes:
        number: Of the ``AgentState`` that the rest stands in.
        loads: Running, waiting, mine, and the tasks of jobs among the waiting, of each
            offer of that state, in its order.
        health: Of the tasks of each offer.
    """

    number: int
    token: int
    loads: list[tuple[int, int, int, int]]
    health: list[Health]


class TaskResult(Message, frozen=True):
    """What became of one task.

    Attributes:
        stale_token: Refused only for its token; the load has a new one.
        load: Of the agent, after this task; ``None`` where its state goes out instead,
            and but for the last of a batch.
        full: Refused only as no slot was free.
        newer_epoch: Refused as the agent knows a newer epoch of the range.
        barred: Refused as the attempt is barred.
    """

    submission: bytes
    index: int
    attempt: int
    dispatch: int
    outcome: Outcome
    status: int
    headers: list[Header]
    body: bytes
    detail: str = ""
    run_ms: float = 0.0
    wait_ms: float = 0.0
    stale_token: bool = False
    load: AgentLoad | None = None
    full: bool = False
    newer_epoch: bool = False
    barred: bool = False


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """What an agent offers for one service.

    Attributes:
        running: Tasks at upstreams, of all entries.
        waiting: Tasks waiting for a slot, of all entries.
        mine: Of both, the tasks of the entry that is told.
    """

    service: str
    slots: int
    running: int
    waiting: int
    mine: int


class UpstreamOffer(msgspec.Struct, frozen=True, array_like=True):
    """One upstream of an agent.

    Attributes:
        zone: Its availability zone, or nothing where it is the agent's.
        closed: The agent gives it nothing new, as an entry told it.
    """

    id: str
    service: str
    zone: str
    release: str
    slots: int
    closed: bool = False


class AgentState(Message, frozen=True):
    """An agent's whole state, told when an entry attaches and after each change.

    Attributes:
        upstreams: Those that are announced and not leaving.
        closed_version: The version of the configuration by which some are closed.
        number: Rises with each change of what ``AgentLoad`` leaves out.
    """

    agent: str
    boot: int
    zone: str
    rack: str
    worker: str
    token: int
    leaving: bool
    offers: list[Offer]
    upstreams: list[UpstreamOffer]
    closed_version: int
    number: int


class Fence(Message, frozen=True):
    """Refuse starts of older epochs from now on, and report what was started.

    Attributes:
        ranges: Pairs of a range and its new epoch.
    """

    id: int
    ranges: list[tuple[int, int]]


class StartRecord(msgspec.Struct, frozen=True, array_like=True):
    """One submission in an agent's start log.

    Attributes:
        claimant: Link address of the entry that sent the start.
        digest: Hash of the submission.
    """

    submission: bytes
    range: int
    attempt: int
    age_ms: int
    claimant: str
    digest: bytes = b""


class StartLogReply(Message, frozen=True):
    """Answer to ``Fence``: every start of those ranges that the agent knows of.

    Attributes:
        up_ms: For how long this process has run: what an earlier one started is
            not known.
        first: No earlier process had this agent's identity.
    """

    re: int
    agent: str
    boot: int
    up_ms: int
    first: bool
    records: list[StartRecord]


class Bar(Message, frozen=True):
    """Refuse starts of a submission up to an attempt, and report its tasks.

    Attributes:
        attempt: 0 refuses nothing and only asks.
    """

    id: int
    submission: bytes
    attempt: int


class BarReply(Message, frozen=True):
    """Answer to ``Bar``: tasks started, with the results that are still kept.

    Attributes:
        running: Those of the started tasks that have no result yet.
        digest: Hash of the submission as started here; empty where none was.
    """

    re: int
    agent: str
    boot: int
    up_ms: int
    first: bool
    started: list[int]
    results: list[TaskResult]
    running: list[int]
    digest: bytes = b""


class Claim(Message, frozen=True):
    """An entry asks the owner of a range for the right to start a submission.

    Attributes:
        digest: Hash of the request; a second claim must carry the same.
        key_epoch: The epoch that a handed-out key names, or 0.
        made_ms: The time that the key carries: on its owner's clock where it was
            handed out, else Unix milliseconds; 0 where it carries none.
        write_ahead: Journal the claim before granting it.
        proved_attempt: Proved by the claimant: no task of this attempt, as joined by
            ``proved_grant``, started, and none can; 0 for none.
        lookup: Only tell who holds the claim; make none.
        run: Random number of the run that the claim is for: a claim that is sent
            again, since its reply was lost, has the same.
        held_attempt: The attempt that the claimant already runs, to renew its
            validity; 0 for none.
    """

    id: int
    submission: bytes
    range: int
    digest: bytes
    entry: str
    key_epoch: int
    made_ms: int
    write_ahead: bool
    proved_attempt: int = 0
    lookup: bool = False
    proved_grant: int = 0
    run: int = 0
    held_attempt: int = 0


class Granted(Message, frozen=True):
    """The claim is granted: the claimant may start until the validity ends."""

    re: int
    epoch: int
    attempt: int
    valid_ms: int


class Joined(Message, frozen=True):
    """Another entry holds the claim: ask it for the answer.

    Attributes:
        age_ms: Since the claim was made, at the most.
        grant: Number of the newest grant of the attempt.
        settled_ms: After so long no start of the attempt can be admitted any more;
            negative while the claimant is known to run it.
    """

    re: int
    entry: str
    address: str
    attempt: int
    age_ms: int
    grant: int = 0
    settled_ms: int = 0


class ClaimRefused(Message, frozen=True):
    """The claim is refused.

    Attributes:
        outcome: ``NOT_RUN`` where that is proved, else ``UNKNOWN``.
        conflict: The key was used with another request.
        retry_after_ms: When the same claim may be answered otherwise; 0 for never.
    """

    re: int
    outcome: Outcome
    conflict: bool
    detail: str
    retry_after_ms: int


class Finished(Message, frozen=True):
    """The claimant tells the owner that a submission has its final outcome.

    Attributes:
        id: 0 where no reply is wanted.
    """

    submission: bytes
    attempt: int
    outcome: Outcome
    id: int = 0
    range: int = 0


class FinishedReply(Message, frozen=True):
    """Answer to ``Finished``.

    Attributes:
        held: The claimant held the claim until now, and no one else has run it.
    """

    re: int
    held: bool


class AskAnswer(Message, frozen=True):
    """An entry that joined asks the claimant for the answer, and waits.

    Attributes:
        digest: Hash of the request that joined; empty for any.
    """

    id: int
    submission: bytes
    attempt: int
    wait_ms: int
    digest: bytes = b""


class Answer(Message, frozen=True):
    """The claimant's answer to a joined submission.

    Attributes:
        known: False where the claimant does not know the submission.
        running: True where it still runs after the asked wait.
        conflict: The claimant runs another request under the key.
    """

    re: int
    known: bool
    running: bool
    results: list[TaskResult]
    conflict: bool = False


class AskPromise(Message, frozen=True):
    """An owner asks its successor not to take over for a while."""

    id: int
    entry: str
    lease_version: int


class Promise(Message, frozen=True):
    """The successor's answer: for so long, from now, it does not take over."""

    re: int
    promised_ms: int


class ConfigAsk(Message, frozen=True):
    """A process asks another for the configuration that it lacks.

    Attributes:
        since: The version in force at the asker.
        version: Of the snapshot whose next part is wanted; 0 for any answer.
        offset: Bytes of that snapshot that the asker has.
    """

    id: int
    since: int
    version: int = 0
    offset: int = 0


class ConfigRecords(Message, frozen=True):
    """Answer to ``ConfigAsk``: the records that follow the asked version.

    Attributes:
        version: The version in force at the sender.
        records: Encoded records; none where the sender has nothing newer.
    """

    re: int
    version: int
    records: list[bytes]


class ConfigPart(Message, frozen=True):
    """Answer to ``ConfigAsk``: a part of the whole configuration.

    Attributes:
        version: Of the snapshot.
        record: The record of that version, encoded.
        offset: Where the part begins.
        size: Bytes of the whole manifest.
        content: The part.
    """

    re: int
    version: int
    record: bytes
    offset: int
    size: int
    content: bytes


class ConfigOffer(Message, frozen=True):
    """A process tells another of a newly accepted configuration.

    Attributes:
        version: The version in force at the sender.
        records: The newest records, encoded; none where they are too long.
    """

    id: int
    version: int
    records: list[bytes]


class ConfigHave(Message, frozen=True):
    """Answer to ``ConfigOffer``: the version in force at the receiver by now."""

    re: int
    version: int


class CloseUpstreams(Message, frozen=True):
    """An entry tells an agent which of its upstreams get nothing new.

    Attributes:
        version: Of the configuration that says so; an older one changes nothing.
        upstreams: All that are closed; the others are open.
    """

    version: int
    upstreams: list[str]


AnyMessage = (
    Attach
    | Detach
    | Start
    | Cancel
    | TaskResult
    | AgentState
    | Fence
    | StartLogReply
    | Bar
    | BarReply
    | Claim
    | Granted
    | Joined
    | ClaimRefused
    | Finished
    | FinishedReply
    | AskAnswer
    | Answer
    | AskPromise
    | Promise
    | ConfigAsk
    | ConfigRecords
    | ConfigPart
    | ConfigOffer
    | ConfigHave
    | AgentLoad
    | CloseUpstreams
    | AgentTurn
    | EntryTurn
    | EndSession
    | Hello
    | ConfigWanted
    | ConfigCopy
    | Farewell
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one process to another.

    Attributes:
        schema: ``SCHEMA_VERSION`` of the sender.
        sender: The link address of the sender, where replies go.
        config: The version of the configuration in force at the sender.
    """

    schema: int
    sender: str
    config: int
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the envelope as bytes."""
    return _encoder.encode(envelope)


def decode(payload: bytes) -> Result[Envelope, StepError]:
    """Return the envelope in a payload, or why it is none."""
    decoded = decode_or_error(payload)
    return Error(decoded) if isinstance(decoded, StepError) else Ok(decoded)


def decode_or_error(payload: bytes) -> Envelope | StepError:
    """Decode without a ``Result``, which costs twice the decoding of one message."""
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return StepError(Step.DECODE, "", str(error))
    if envelope.schema != SCHEMA_VERSION:
        detail = f"schema {envelope.schema}, expected {SCHEMA_VERSION}"
        return StepError(Step.DECODE, envelope.sender, detail)
    return envelope
