"""Decoders of the platform's documents.

They convert to this project's types; no other module knows the documents' fields.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from bergamotcourse.ids import (
    ConfigVersion,
    Incarnation,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport
from bergamotcourse.state.addresses import is_address
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.job_spec import (
    JobId,
    JobQueue,
    JobSpec,
    QueueTable,
    StepSpec,
)
from bergamotcourse.state.ranges import (
    Amount,
    Count,
    Integer,
    Milliseconds,
    Name,
    Number,
)
from bergamotcourse.state.resources import Resources

MAX_TASKS_PER_JOB = 10_000
"""A job with more tasks is refused as malformed."""

MAX_PAYLOAD_BYTES = 1 << 16
"""A payload travels in messages, of which one has at most a megabyte."""

MAX_ID_LENGTH = 200
MAX_LABELS = 64

MAX_REMAINING_MS = 600_000
"""Ten minutes. No upstream stays cold, or drains with runs, for longer."""


class WireRoute(msgspec.Struct):
    """A route, which defines a queue of jobs."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: Integer = 0
    max_attempts: Integer = 1
    slack_factor: Number = 1.0
    target_latency_ms: Number = 0.0


class WireConfig(msgspec.Struct):
    """The operator's configuration; fields that are not used are left out."""

    version: Count
    routes: list[WireRoute]


class WireStep(msgspec.Struct):
    """A step of a job; clients omit fields that are false, 0 or empty."""

    count: Count = 1
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimated_ms: Number = 0.0
    after: list[Count] = []
    required_label: Name = ""
    affinity: Name = ""
    gang: bool = False
    long_running: bool = False
    anti_affinity: int = 0
    fills: bool = False
    may_miss: int = 0
    target_ms: float = 0.0


class WireJob(msgspec.Struct):
    """A job as submitted by a client."""

    spec: str
    steps: list[WireStep]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


class WireState(Enum):
    """Whether a worker accepts tasks."""

    READY = "ready"
    DRAINING = "draining"


class WireCapacity(msgspec.Struct, frozen=True):
    """The resources of a worker."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireDeparture(msgspec.Struct):
    """The body of a worker's notice of a planned stop; the body may be empty.

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
    """

    born: Count = 0


class WireHeartbeat(msgspec.Struct):
    """A worker's periodic report of itself.

    Other programs may send incomplete reports. So all fields that each worker sends are
    required, also those that are not used here.

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
        cold_remaining_ms: Time for which the worker stays slow after its start. Like
            the next field, it is decoded on its own, so that a fault in its value
            leaves the rest usable.
        remaining_ms: Least time until a draining worker stops.
    """

    service: Name
    address: Name
    zone: Name
    version: Name
    slots: Count
    state: WireState
    sequence: Count
    capacity: WireCapacity
    clock_ms: Milliseconds
    labels: Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)]
    cold_remaining_ms: msgspec.Raw
    born: Count = 0
    remaining_ms: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class FieldFault(Enum):
    """Why an optional field of a report is ignored."""

    NOT_A_NUMBER = "not a number"
    OUT_OF_RANGE = "out of range"


@dataclass(frozen=True)
class IgnoredField:
    """An optional field of a report that is treated as not given."""

    name: str
    fault: FieldFault


_config_decoder = msgspec.json.Decoder(WireConfig)
_job_decoder = msgspec.json.Decoder(WireJob)
_departure_decoder = msgspec.json.Decoder(WireDeparture)
_heartbeat_decoder = msgspec.json.Decoder(WireHeartbeat)
_number_decoder = msgspec.json.Decoder(int | float)


def decode_queues(content: bytes) -> QueueTable:
    """Return the queues that a configuration defines.

    Raises:
        ValueError: It is malformed.
    """
    config = decode_document(_config_decoder, content)
    queues = tuple(
        JobQueue(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            service=ServiceName(route.service),
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            slack_factor=route.slack_factor,
            target_latency=route.target_latency_ms / 1000,
        )
        for route in config.routes
    )
    return QueueTable(ConfigVersion(config.version), queues)


def decode_job(job_id: str, body: bytes) -> JobSpec:
    """Return the job in the body of a caller's request.

    Raises:
        ValueError: It is malformed.
    """
    job = decode_document(_job_decoder, body)
    if not job.steps:
        raise ValueError("the job has no steps")
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a spec of more than {MAX_PAYLOAD_BYTES} bytes")
    if sum(step.count for step in job.steps) > MAX_TASKS_PER_JOB:
        raise ValueError(f"more than {MAX_TASKS_PER_JOB} tasks")
    steps = tuple(decode_step(index, step) for index, step in enumerate(job.steps))
    return JobSpec(
        JobId(job_id), job.spec, steps, not job.best_effort, unsupported_properties(job)
    )


def decode_step(index: int, step: WireStep) -> StepSpec:
    """Return one step of a job.

    Raises:
        ValueError: A number is out of range, or the step waits for one that does not
            precede it.
    """
    if step.count < 1:
        raise ValueError(f"step {index} has no tasks")
    if any(not 0 <= earlier < index for earlier in step.after):
        raise ValueError(f"step {index} waits for a step that is not before it")
    return StepSpec(
        count=step.count,
        needs=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate=max(0.0, step.estimated_ms / 1000),
        after=tuple(step.after),
        label=step.required_label,
        data_rack=step.affinity,
    )


def unsupported_properties(job: WireJob) -> tuple[str, ...]:
    """Return the names of requested properties that the dispatcher does not support."""
    names = []
    if job.long_running or any(step.long_running for step in job.steps):
        names.append("long_running")
    if job.repeat_count:
        names.append("repeat_count")
    for name in ("gang", "anti_affinity", "fills"):
        if any(getattr(step, name) for step in job.steps):
            names.append(name)
    return tuple(names)


def decode_report(
    upstream: str,
    body: bytes,
    on_ignored: Callable[[IgnoredField], None] = lambda _field: None,
) -> UpstreamReport:
    """Return the report in a worker's heartbeat.

    Args:
        upstream: The id of the worker.
        body: The heartbeat.
        on_ignored: Called with each optional field whose value is not usable.

    Raises:
        ValueError: It is malformed.
    """
    beat = decode_document(_heartbeat_decoder, body)
    if not 0 < len(upstream) <= MAX_ID_LENGTH or not beat.service:
        raise ValueError("it names no worker")
    if not is_address(beat.address):
        raise ValueError(f"not of the form IP:PORT: {beat.address}")
    capacity = beat.capacity
    draining = beat.state is WireState.DRAINING
    remaining = None
    if draining:
        remaining = decode_seconds("remaining_ms", beat.remaining_ms, on_ignored)
    cold = decode_seconds("cold_remaining_ms", beat.cold_remaining_ms, on_ignored)
    return UpstreamReport(
        id=UpstreamId(upstream),
        service=ServiceName(beat.service),
        address=beat.address,
        zone=ZoneName(beat.zone),
        capacity=Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=tuple(beat.labels),
        draining=draining,
        sequence=beat.sequence,
        clock=beat.clock_ms / 1000,
        incarnation=Incarnation(beat.born),
        remaining_seconds=remaining,
        cold_seconds=cold or 0.0,
    )


def decode_seconds(
    name: str,
    value: msgspec.Raw | msgspec.UnsetType,
    on_ignored: Callable[[IgnoredField], None],
) -> float | None:
    """Return the seconds in an optional field, or ``None`` if there are none.

    Args:
        name: The name of the field.
        value: Its value, in milliseconds.
        on_ignored: Called if it has a value that is not usable.
    """
    if value is msgspec.UNSET:
        return None
    try:
        milliseconds = decode_document(_number_decoder, value)
    except ValueError:
        on_ignored(IgnoredField(name, FieldFault.NOT_A_NUMBER))
        return None
    if not 0 <= milliseconds <= MAX_REMAINING_MS:
        on_ignored(IgnoredField(name, FieldFault.OUT_OF_RANGE))
        return None
    return milliseconds / 1000


def decode_departure(upstream: str, body: bytes) -> LifeKey:
    """Return the id and incarnation of a worker that stops as planned.

    With an empty body the incarnation is 0, which means unknown.

    Raises:
        ValueError: The body is malformed.
    """
    departure = decode_document(_departure_decoder, body) if body else WireDeparture()
    return LifeKey(UpstreamId(upstream), Incarnation(departure.born))
