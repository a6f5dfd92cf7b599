"""The messages between entries and agents, and their codec.

One envelope carries a batch of messages from one process to another. Times are in
milliseconds: times on the sender's monotonic clock or, where the name says so,
durations. The messages are ``msgspec.Struct`` classes, because the decoder cannot
distinguish the members of a union of plain data classes.

A request has an ``id``; its reply carries the same number as ``request_id``.
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
    JobQuery,
    JobReply,
    JobsEnded,
)

SCHEMA_VERSION = 1


class Header(NamedTuple):
    """One HTTP header field."""

    name: str
    value: str


class Attach(Message, frozen=True):
    """An entry subscribes to the state of an agent.

    Attributes:
        known_state_number: ``AgentState.number`` of the last state that the entry has
            received; 0 for none.
    """

    entry: str
    zone: str
    known_state_number: int = 0


class Detach(Message, frozen=True):
    """An entry unsubscribes from the state of an agent."""

    entry: str


class Start(Message, frozen=True):
    """Start one task. Refused unless the epoch and the token are current.

    Attributes:
        submission: Id of the submission.
        index: Index of the task in the submission.
        attempt: The attempt that the owner of the range granted.
        dispatch: Number of this dispatch of the task under the attempt, from 1.
        range: The range of the key space to which the submission belongs.
        epoch: The epoch of the range.
        token: The last start token that the agent issued to the entry; it expires.
        timeout_ms: Timeout of the task.
        trace: Trace id of the request if its steps are logged, else empty.
        job: Whether the task belongs to a job.
        weight: Weight of the team.
        queue: Whether the task may be queued; otherwise it is refused if no slot is
            free.
        wants_slots: Whether the entry wants to be notified when a slot becomes free.
        more_job_tasks: Whether more tasks of jobs are queued at the entry.
        digest: Hash of the whole submission, kept in the start log for later queries.
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
    wants_slots: bool = False
    more_job_tasks: bool = True
    digest: bytes = b""


class CancelledTasks(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one submission that are cancelled, whether started or not."""

    submission: bytes
    attempt: int
    indices: list[int]


class Cancel(Message, frozen=True):
    """Cancel tasks; the agent sends no results of those that it knows."""

    tasks: list[CancelledTasks]


class Health(msgspec.Struct, frozen=True, array_like=True):
    """The health of one service at an agent.

    Attributes:
        run_ms: The typical run time in milliseconds; 0 while unknown.
        failing: Percentage of recent tasks that failed.
        ended: Number of tasks that ended, modulo 65,536.
    """

    run_ms: int
    failing: int
    ended: int


class AgentLoad(Message, frozen=True):
    """An agent's load: piggybacked on results, and the heartbeat of an idle agent.

    Attributes:
        number: ``AgentState.number`` of the state whose offers the load refers to.
        token: A new start token.
        loads: For each offer of that state, in its order: the running tasks, the
            waiting tasks, the receiver's tasks among both, and the tasks of jobs among
            the waiting.
        health: The health of the service of each offer, in the same order.
    """

    number: int
    token: int
    loads: list[tuple[int, int, int, int]]
    health: list[Health]


class TaskResult(Message, frozen=True):
    """The outcome of one task.

    Attributes:
        status: HTTP status of the upstream's response.
        detail: A human-readable reason.
        run_ms: Run time at the upstream.
        wait_ms: Time in the agent's queue.
        stale_token: Refused only because the start token has expired; ``load`` has a
            new one.
        load: The agent's load after this task. Set only in the last result of a batch,
            and ``None`` there too if an ``AgentState`` is sent instead.
        no_free_slot: Refused only because no slot was free.
        newer_epoch: Refused because the agent knows a newer epoch of the range.
        barred: Refused because the attempt is barred.
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
    no_free_slot: bool = False
    newer_epoch: bool = False
    barred: bool = False


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """The capacity and load of an agent for one service.

    Attributes:
        running: Tasks of all entries that run at upstreams.
        waiting: Tasks of all entries that wait for a slot.
        receiver_tasks: Of both, the tasks of the entry that receives the message.
    """

    service: str
    slots: int
    running: int
    waiting: int
    receiver_tasks: int


class UpstreamOffer(msgspec.Struct, frozen=True, array_like=True):
    """One upstream of an agent.

    Attributes:
        zone: Its availability zone; empty if it is the agent's.
        closed: The agent starts no new tasks there, because an entry told it so in
            ``CloseUpstreams``.
    """

    id: str
    service: str
    zone: str
    release: str
    slots: int
    closed: bool = False


class AgentState(Message, frozen=True):
    """An agent's full state, sent when an entry attaches and after each change.

    Attributes:
        boot: Random number of the agent's process.
        token: A new start token.
        leaving: Whether the agent is shutting down.
        upstreams: The upstreams that are announced and not leaving.
        closed_version: The configuration version that determines which upstreams are
            closed.
        number: Incremented with each change of anything that ``AgentLoad`` omits.
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
    """Refuse starts under older epochs from now on, and report the start log.

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
    """Reply to ``Fence``: every start in those ranges that the agent knows of.

    Attributes:
        uptime_ms: How far back the start log reaches; starts before that, for example
            by an earlier process, are not known.
        first: The log is complete: it covers the whole run of this process, and no
            earlier process had this agent's identity.
    """

    request_id: int
    agent: str
    boot: int
    uptime_ms: int
    first: bool
    records: list[StartRecord]


class Bar(Message, frozen=True):
    """Refuse starts of a submission up to an attempt, and report its tasks.

    Attributes:
        attempt: Highest attempt to refuse; 0 refuses nothing and only queries.
    """

    id: int
    submission: bytes
    attempt: int


class BarReply(Message, frozen=True):
    """Reply to ``Bar``: the started tasks, with the results that are still kept.

    Attributes:
        uptime_ms: As in ``StartLogReply``.
        first: As in ``StartLogReply``.
        running: Those of the started tasks that have no result yet.
        digest: Hash of the submission as started here; empty if none was started.
    """

    request_id: int
    agent: str
    boot: int
    uptime_ms: int
    first: bool
    started: list[int]
    results: list[TaskResult]
    running: list[int]
    digest: bytes = b""


class Claim(Message, frozen=True):
    """An entry asks the owner of a range for the right to start a submission.

    Attributes:
        digest: Hash of the request; a repeated claim must carry the same hash.
        key_epoch: The epoch in a handed-out key, or 0.
        made_ms: The time in the key: on the clock of the range's owner if the key was
            handed out, otherwise Unix milliseconds; 0 if the key has no time.
        write_ahead: Journal the claim before granting it.
        proved_attempt: An attempt of which the claimant has proved that none of its
            tasks has started or can start, up to the grant ``proved_grant``; 0 for
            none.
        lookup: Only report who holds the claim, without making one.
        proved_grant: Number of the newest grant that the proof covers.
        run: Random number of the run that the claim is for. A claim that is sent
            again after a lost reply has the same number.
        held_attempt: The attempt that the claimant already runs and whose validity it
            renews; 0 for none.
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
    """The claim is granted: the claimant may start tasks for ``valid_ms``."""

    request_id: int
    epoch: int
    attempt: int
    valid_ms: int


class Joined(Message, frozen=True):
    """Another entry holds the claim and can be asked for the answer.

    Attributes:
        entry: The entry that holds the claim.
        address: Its link address.
        age_ms: Upper bound of the time since the claim was made.
        grant: Number of the newest grant of the attempt.
        settled_ms: Time after which no start of the attempt can be admitted any more;
            negative while the claimant is known to run the attempt.
    """

    request_id: int
    entry: str
    address: str
    attempt: int
    age_ms: int
    grant: int = 0
    settled_ms: int = 0


class ClaimRefused(Message, frozen=True):
    """The claim is refused.

    Attributes:
        outcome: ``NOT_RUN`` if that is proved, otherwise ``UNKNOWN``.
        conflict: The key was used with a different request.
        retry_after_ms: Time after which a retry of the claim may get a different
            reply; 0 for never.
    """

    request_id: int
    outcome: Outcome
    conflict: bool
    detail: str
    retry_after_ms: int


class Finished(Message, frozen=True):
    """The claimant reports the final outcome of a submission to the owner.

    Attributes:
        id: 0 if no reply is wanted.
    """

    submission: bytes
    attempt: int
    outcome: Outcome
    id: int = 0
    range: int = 0


class FinishedReply(Message, frozen=True):
    """Reply to ``Finished``.

    Attributes:
        held: The claimant held the claim until now, and no other entry has run the
            submission.
    """

    request_id: int
    held: bool


class AskAnswer(Message, frozen=True):
    """An entry that joined a submission asks the claimant for the answer.

    Attributes:
        wait_ms: How long the claimant may wait for the answer before it replies.
        digest: Hash of the request that joined; empty to accept any.
    """

    id: int
    submission: bytes
    attempt: int
    wait_ms: int
    digest: bytes = b""


class Answer(Message, frozen=True):
    """The claimant's answer to a joined submission.

    Attributes:
        known: False if the claimant does not know the submission.
        running: True if the submission is still running after ``AskAnswer.wait_ms``.
        conflict: The claimant runs a different request under the key.
    """

    request_id: int
    known: bool
    running: bool
    results: list[TaskResult]
    conflict: bool = False


class AskPromise(Message, frozen=True):
    """The owner of a lease asks its successor to defer a takeover."""

    id: int
    entry: str
    lease_version: int


class Promise(Message, frozen=True):
    """Reply to ``AskPromise``.

    Attributes:
        promised_ms: Time from now during which the successor does not take over; 0 if
            it promises nothing.
    """

    request_id: int
    promised_ms: int


class ConfigAsk(Message, frozen=True):
    """A process requests the configuration changes that it does not have yet.

    Attributes:
        since: The version in force at the requester.
        version: Version of the snapshot whose next part is requested; 0 for any reply.
        offset: Bytes of that snapshot that the requester already has.
    """

    id: int
    since: int
    version: int = 0
    offset: int = 0


class ConfigRecords(Message, frozen=True):
    """Reply to ``ConfigAsk``: the records that follow the version ``since``.

    Attributes:
        version: The version in force at the sender.
        records: Encoded records; empty if the sender has nothing newer.
    """

    request_id: int
    version: int
    records: list[bytes]


class ConfigPart(Message, frozen=True):
    """Reply to ``ConfigAsk``: a part of a snapshot of the configuration.

    Attributes:
        version: Version of the snapshot.
        record: The encoded record of that version.
        offset: Offset of the part in the manifest, in bytes.
        size: Size of the whole manifest in bytes.
        content: The bytes of the part.
    """

    request_id: int
    version: int
    record: bytes
    offset: int
    size: int
    content: bytes


class ConfigOffer(Message, frozen=True):
    """A process notifies another of a newly accepted configuration.

    Attributes:
        version: The version in force at the sender.
        records: The newest records, encoded; empty if they are too long.
    """

    id: int
    version: int
    records: list[bytes]


class ConfigHave(Message, frozen=True):
    """Reply to ``ConfigOffer``: the version now in force at the receiver."""

    request_id: int
    version: int


class CloseUpstreams(Message, frozen=True):
    """An entry tells an agent which of its upstreams get no new tasks.

    Attributes:
        version: The configuration version that this follows from; the agent ignores
            older versions than the last.
        upstreams: All closed upstreams; the others are open.
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
    | JobsEnded
    | JobQuery
    | JobReply
    | Farewell
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one process to another.

    Attributes:
        schema: ``SCHEMA_VERSION`` of the sender.
        sender: The link address of the sender, to which replies are sent.
        config: The version of the configuration in force at the sender.
    """

    schema: int
    sender: str
    config: int
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the encoded envelope."""
    return _encoder.encode(envelope)


def decode(payload: bytes) -> Result[Envelope, StepError]:
    """Return the envelope in a payload, or an error of step ``DECODE``."""
    decoded = decode_or_error(payload)
    return Error(decoded) if isinstance(decoded, StepError) else Ok(decoded)


def decode_or_error(payload: bytes) -> Envelope | StepError:
    """Return the same as ``decode`` without a ``Result``.

    Wrapping in a ``Result`` costs twice as much as decoding one message.
    """
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return StepError(Step.DECODE, "", str(error))
    if envelope.schema != SCHEMA_VERSION:
        detail = f"schema {envelope.schema}, expected {SCHEMA_VERSION}"
        return StepError(Step.DECODE, envelope.sender, detail)
    return envelope
