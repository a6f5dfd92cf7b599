"""The messages by which entries place tasks at agents.

Each side sends the other a stream of numbered items. A message carries items that the
other side has not acknowledged, and a cumulative acknowledgement of the items received.
Items that a broken connection lost are retransmitted, and none is processed twice.
"""

from enum import Enum

import msgspec

from bergamotcourse.ids import NO_LIFE, LifeChecksum
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.evacuations import Evacuations
from bergamotcourse.state.job_spec import JobDigest, JobKey, JobState, SpecDigest
from bergamotcourse.state.resources import Resources

ITEM_OVERHEAD_BYTES = 100
"""Approximate size of an encoded item without its payload."""


class Item(Message, frozen=True):
    """Base of the items of a stream."""

    def size(self) -> int:
        """Return about how many bytes it has when encoded."""
        return ITEM_OVERHEAD_BYTES


class PlaceTask(Item, frozen=True):
    """Start a task, or queue it until there is capacity.

    Attributes:
        request: The id of the job, for the log.
        payload: The payload of the task; ``None`` if it is that of the preceding
            placement in the stream, which is of the same job.
        slack_ms: Milliseconds that the task can still wait; the task with the least
            slack starts first.
        estimate: Estimated seconds of work on an upstream of speed 1.
        queue_timeout_ms: Milliseconds after which the agent returns a task that has not
            started.
        life: The life of the upstream for which the agent was chosen: the next one may
            be of another service, and have other labels. ``None`` if it is that of the
            preceding placement in the stream; ``NO_LIFE`` if the entry does not say.
    """

    key: RunKey
    request: str
    payload: str | None
    needs: Resources
    slack_ms: int
    estimate: float
    queue_timeout_ms: int
    life: LifeChecksum | None = NO_LIFE

    def size(self) -> int:
        """Return about how many bytes it has when encoded."""
        return ITEM_OVERHEAD_BYTES + len(self.payload or "")


class WithdrawTask(Item, frozen=True):
    """Stop a run, or bar it from starting; the agent reports its end in either case."""

    key: RunKey


class RunOutcome(Enum):
    """The outcome of a placed run; only ``DONE`` and ``FAILED`` runs completed."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    """Its lease expired, or its outcome is unknown. Nothing shows that the run has
    failed, or that its upstream has crashed."""
    CRASHED = "crashed"
    """Its upstream ended without notice while the run was in progress: another life of
    the upstream, or another upstream, is in its place."""
    RETURNED = "returned"
    """It did not start and never will."""
    MOVED = "moved"
    """It was stopped because it would complete sooner on another upstream."""
    STALE = "stale"
    """It did not start: the upstream knows a run of the task with that number or a
    later one."""


NEVER_STARTED_OUTCOMES = (RunOutcome.RETURNED, RunOutcome.STALE)


class TaskEnded(Item, frozen=True):
    """The final outcome of a placed run.

    Attributes:
        run_seconds: Seconds from its start to its end, 0 if it never started.
        detail: A human-readable reason.
        interrupted: Checksum of the life of the upstream that stopped answering, or
            ended without notice, while the run was in progress; 0 if the run ended
            otherwise.
        starts_paused: The run was returned because the agent starts nothing for now,
            whatever room it reports.
    """

    key: RunKey
    outcome: RunOutcome
    run_seconds: float = 0.0
    detail: str = ""
    interrupted: LifeChecksum = NO_LIFE
    starts_paused: bool = False


class AgentRoom(Message, frozen=True):
    """The load of an agent.

    Attributes:
        service: Service of the upstream; empty while no upstream has announced itself.
        labels: Labels of the upstream.
        capacity: Capacity of the upstream; zero while it accepts no tasks.
        committed: Needs of all runs that are running or queued at the agent.
        receiver_committed: The part of ``committed`` that the receiver has placed.
        on_trial: The upstream fails, stalls or delays its runs, so it gets one task at
            a time.
        life: Checksum of the current life of the upstream; 0 while it does not answer.
        slowness_percent: Run times at the upstream in percent of the estimates, as
            learnt in its current life; 0 if unknown.
        cold_ms: Milliseconds for which the upstream is still slow after its start.
    """

    service: str
    labels: tuple[str, ...]
    capacity: Resources
    committed: Resources
    receiver_committed: Resources
    on_trial: bool
    life: LifeChecksum = NO_LIFE
    slowness_percent: int = 0
    cold_ms: int = 0


class AgentTurn(Message, frozen=True):
    """An agent's message to an entry; also its heartbeat.

    Attributes:
        boot: Increases with each process of the agent.
        session: Increases each time the agent abandons the runs of this entry.
        sent_ms: Time of sending on the agent's clock; echoed by the entry.
        next_ms: Milliseconds within which the next message follows.
        seen: Number of the last item received of the entry's stream (cumulative
            acknowledgement).
        first: Number of the first of ``items``.
        room: The load of the agent.
        round_trip_ms: Milliseconds for which an earlier message of the agent and its
            echo were in transit, reported once; 0 if there is none to report.
    """

    agent: str
    zone: str
    boot: int
    session: int
    sent_ms: int
    next_ms: int
    seen: int
    first: int
    items: list[TaskEnded]
    room: AgentRoom
    round_trip_ms: int = 0


class EntryTurn(Message, frozen=True):
    """An entry's message to an agent, sent in reply to the agent's.

    Attributes:
        entry_boot: Increases with each process of the entry.
        boot: ``boot`` of the agent's last message.
        session: ``session`` of the agent's last message.
        echo_ms: ``sent_ms`` of the agent's last message.
        seen: Number of the last item received of the agent's stream (cumulative
            acknowledgement).
        first: Number of the first of ``items``.
        last: Number of the last item that the entry has for the agent, sent or not.
        waiting: The entry has tasks for which there is no capacity, and the agent
            should report when it has any.
        evacuations: The zone evacuations that the entry knows.
        held_ms: Milliseconds since the message arrived that ``echo_ms`` echoes.
    """

    entry: str
    entry_boot: int
    boot: int
    session: int
    echo_ms: int
    seen: int
    first: int
    items: list[PlaceTask | WithdrawTask]
    last: int
    waiting: bool
    evacuations: Evacuations = Evacuations()
    held_ms: int = 0


class EndSession(Message, frozen=True):
    """An entry has abandoned all runs of a session; the agent must begin a new one.

    Attributes:
        boot: ``boot`` of the agent's last message.
        session: The session that has ended.
    """

    boot: int
    session: int


class Hello(Message, frozen=True):
    """A process announces itself and the other processes that it knows.

    Attributes:
        agent: Whether the sender is an agent; otherwise it is an entry.
        entries: Addresses of entries that the sender knows.
        agents: Addresses of agents that the sender knows.
        config: The version of the configuration in force if the sender is an entry.
        wants_reply: Whether the receiver must reply with a ``Hello`` of its own.
        evacuations: The zone evacuations that the sender knows.
        zone: Zone of the sender if it is an entry; empty if it does not say.
        short_of_cpu: The sender is an entry that sheds load for lack of processor time.
        drains: The sender is an entry that is not ready, to pass callers to others.
        serving_from: Time on the sender's clock, in milliseconds, from which on the
            balancer has sent it callers without a break; 0 if it sends none. Another
            value means that the sender has started anew.
        serving_ms: Milliseconds since then.
    """

    agent: bool
    entries: list[str]
    agents: list[str]
    config: int
    wants_reply: bool
    evacuations: Evacuations = Evacuations()
    zone: str = ""
    short_of_cpu: bool = False
    drains: bool = False
    serving_from: int = 0
    serving_ms: int = 0


class ConfigWanted(Message, frozen=True):
    """An entry requests a configuration newer than its own from another entry.

    Attributes:
        version: The version in force at the sender.
    """

    version: int


class ConfigCopy(Message, frozen=True):
    """The configuration in force at the sender, as stored by the platform."""

    version: int
    content: bytes


class EndedJob(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A job whose callers were told an outcome.

    Attributes:
        spec: Digest of what its callers submitted.
        succeeded: Whether it succeeded; it failed otherwise.
    """

    digest: JobDigest
    spec: SpecDigest
    succeeded: bool


class JobsEnded(Message, frozen=True):
    """An entry tells the others of jobs that have ended at it.

    Attributes:
        jobs: Jobs that have succeeded or failed.
        cancelled: Jobs that callers have cancelled; the receiver must not run them.
    """

    jobs: list[EndedJob]
    cancelled: list[JobKey]


class JobQuery(Message, frozen=True):
    """An entry asks another one for the state of a job; answered with ``JobReply``.

    Attributes:
        cancels: Whether the receiver must cancel the job, also if it comes later.
    """

    id: int
    key: JobKey
    cancels: bool


class JobReply(Message, frozen=True):
    """The answer to a ``JobQuery``.

    Attributes:
        state: State of the job; ``None`` if it is not known at the sender.
    """

    request_id: int
    state: JobState | None


class Farewell(Message, frozen=True):
    """The sender shuts down; none of its runs is left.

    Attributes:
        agent: Whether the sender is an agent; otherwise it is an entry.
    """

    agent: bool
