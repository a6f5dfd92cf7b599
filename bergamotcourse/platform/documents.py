"""The platform's documents, decoded once into the product's types."""

from enum import Enum
from typing import Annotated, Any

import msgspec

from bergamotcourse.ids import (
    ConfigVersion,
    Incarnation,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bergamotcourse.platform.settings_file import is_address
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport
from bergamotcourse.state.job_spec import (
    JobId,
    JobQueue,
    JobSpec,
    QueueTable,
    StepSpec,
)
from bergamotcourse.state.resources import Resources

MOST_TASKS = 10_000
"""Tasks of one job; more are refused as malformed."""


class WireRoute(msgspec.Struct):
    """A route, which is a queue of jobs."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: float = 0.0


class WireConfig(msgspec.Struct):
    """The desired state, as far as it is used."""

    version: int
    routes: list[WireRoute]


class WireStep(msgspec.Struct):
    """A step of a job; what is false, 0 or empty is left out."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0.0
    after: list[int] = []
    required_label: str = ""
    affinity: str = ""
    gang: bool = False
    long_running: bool = False
    anti_affinity: int = 0
    fills: bool = False
    may_miss: int = 0
    target_ms: float = 0.0


class WireJob(msgspec.Struct):
    """A job as a client submits it."""

    spec: str
    steps: list[WireStep]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


class WireState(Enum):
    """Whether a worker takes tasks."""

    READY = "ready"
    DRAINING = "draining"


Amount = Annotated[int, msgspec.Meta(ge=0)]


class WireCapacity(msgspec.Struct, frozen=True):
    """What a worker has."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireDeparture(msgspec.Struct):
    """What a worker says when it ends as planned; it may say nothing.

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
    """

    born: Amount = 0


class WireHeartbeat(msgspec.Struct):
    """A worker's report of itself.

    What another writer sends may lack a field: a report without a capacity or a clock
    would put an upstream to which nothing can be placed in the place of a sound one.

    Attributes:
        born: Milliseconds since 1970 at the start of the worker's process.
    """

    service: str
    address: str
    zone: str
    state: WireState
    sequence: Amount
    capacity: WireCapacity
    clock_ms: Amount
    labels: list[str] = []
    born: Amount = 0


_config = msgspec.json.Decoder(WireConfig)
_job = msgspec.json.Decoder(WireJob)
_departure = msgspec.json.Decoder(WireDeparture)
_heartbeat = msgspec.json.Decoder(WireHeartbeat)


def decode(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    """Return the document in a body.

    Raises:
        ValueError: It is malformed, or nested too deep to be read.
    """
    try:
        return decoder.decode(body)
    except RecursionError as error:
        raise ValueError("it is nested too deep") from error


def decode_queues(content: bytes) -> QueueTable:
    """Return the queues of a configuration.

    Raises:
        ValueError: It is malformed.
    """
    config = decode(_config, content)
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
    """Return the job in a request's body.

    Raises:
        ValueError: It is malformed.
    """
    job = decode(_job, body)
    if not job.steps:
        raise ValueError("the job has no steps")
    if sum(step.count for step in job.steps) > MOST_TASKS:
        raise ValueError(f"more than {MOST_TASKS} tasks")
    steps = tuple(decode_step(index, step) for index, step in enumerate(job.steps))
    return JobSpec(
        JobId(job_id), job.spec, steps, not job.best_effort, unsupported(job)
    )


def decode_step(index: int, step: WireStep) -> StepSpec:
    """Return one step of a job.

    Raises:
        ValueError: A number is out of range.
    """
    if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
        raise ValueError(f"step {index} has a number out of range")
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


def unsupported(job: WireJob) -> tuple[str, ...]:
    """Return the names of properties that the dispatcher cannot honour."""
    names = []
    if job.long_running or any(step.long_running for step in job.steps):
        names.append("long_running")
    if job.repeat_count:
        names.append("repeat_count")
    for name in ("gang", "anti_affinity", "fills"):
        if any(getattr(step, name) for step in job.steps):
            names.append(name)
    return tuple(names)


def decode_report(upstream: str, body: bytes) -> UpstreamReport:
    """Return a worker's report of itself.

    Raises:
        ValueError: It is malformed.
    """
    beat = decode(_heartbeat, body)
    if not upstream or not beat.service:
        raise ValueError("it names no worker")
    if not is_address(beat.address):
        raise ValueError(f"not of the form IP:PORT: {beat.address}")
    capacity = beat.capacity
    return UpstreamReport(
        id=UpstreamId(upstream),
        service=ServiceName(beat.service),
        address=beat.address,
        zone=ZoneName(beat.zone),
        capacity=Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=tuple(beat.labels),
        draining=beat.state is WireState.DRAINING,
        sequence=beat.sequence,
        clock=beat.clock_ms / 1000,
        incarnation=Incarnation(beat.born),
    )


def decode_departure(upstream: str, body: bytes) -> LifeKey:
    """Return the life of a worker that ends; of one that says nothing only the id.

    Raises:
        ValueError: What it says is malformed.
    """
    departure = decode(_departure, body) if body else WireDeparture()
    return LifeKey(UpstreamId(upstream), Incarnation(departure.born))
