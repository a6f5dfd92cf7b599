"""Settings of a process, read from a YAML file at its start."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Generic, TypeVar

from expression import Error, Ok, Result

from bergamotcourse.ids import RackName, RegionName, WorkerName, ZoneName
from bergamotcourse.state.issues import Issue, errors, warnings
from bergamotcourse.state.schema import (
    KIB,
    MIB,
    Format,
    count_field,
    name_field,
    schema_field,
    seconds_field,
    size_field,
)
from bergamotcourse.state.validation import Validator
from bergamotcourse.state.yaml_text import parse_yaml, read_text

MAX_PORT = 65535
WILDCARD_ADDRESSES = ("0.0.0.0", "::")
MIN_HEARTBEATS_PER_LEASE = 3
"""With fewer heartbeats per lease, the loss of a single one can let it expire."""


@dataclass(frozen=True, kw_only=True)
class SocketAddress:
    """An IP address and a port, to listen on or to connect to."""

    host: str = schema_field("literal IP number", format=Format.IP, may_be_empty=False)
    port: int = schema_field("TCP or UDP port", expected="a port", low=0, high=MAX_PORT)


@dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Limits of one HTTP listener."""

    header_bytes: int = size_field(
        "maximum size of a request's header section", 16 * KIB
    )
    body_bytes: int = size_field("maximum size of a request body", MIB, high=64 * MIB)
    header_seconds: float = seconds_field(
        "maximum time to receive the header section", 10.0
    )
    body_seconds: float = seconds_field("maximum time to receive a request body", 30.0)
    idle_seconds: float = seconds_field("maximum idle time between requests", 75.0)
    write_seconds: float = seconds_field("maximum time for a caller to read", 30.0)
    connections: int = count_field("maximum number of open connections", 1000)


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry process."""

    name: str = name_field("name of the process; must be unique")
    zone: ZoneName = name_field("availability zone")
    region: RegionName = name_field("region")
    rack: RackName = name_field("rack, if known", default="")
    http: SocketAddress = schema_field("address for callers")
    link: SocketAddress = schema_field("address for other processes of the system")
    admin: SocketAddress | None = schema_field("address for operators", None)
    platform: SocketAddress = schema_field(
        "address of the platform's table and object store"
    )
    http_limits: HttpLimits = schema_field(
        "limits on callers' requests", factory=HttpLimits
    )
    lease_seconds: float = seconds_field("duration of a range's lease", 5.0)
    token_seconds: float = seconds_field(
        "how long an agent's token permits starts", 5.0
    )
    heartbeat_seconds: float = seconds_field("interval between lease renewals", 1.0)
    drain_seconds: float = seconds_field("maximum wait for requests at shutdown", 30.0)
    neighbours: int = count_field(
        "number of agents that the process stays connected to", 32
    )
    queue_tasks: int = count_field(
        "maximum number of tasks that wait at the entry", 20000
    )
    answer_bytes: int = size_field("maximum size of a job's answer", 64 * MIB)
    retention_seconds: float = seconds_field(
        "how long the record of a submission is kept", 600.0
    )
    statsd: SocketAddress | None = schema_field(
        "address that metrics are sent to", None
    )
    log: str = schema_field("path of the log, or - for stderr", "-", may_be_empty=False)
    log_sample: float = schema_field(
        "share of requests whose steps are logged",
        0.001,
        expected="a share",
        low=0,
        high=1,
    )


@dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Settings of an agent process, which runs beside an upstream."""

    name: str = name_field("name of the process; must be unique")
    zone: ZoneName = name_field("availability zone")
    region: RegionName = name_field("region")
    rack: RackName = name_field("rack, if known", default="")
    worker: WorkerName = name_field("worker that the process runs on")
    link: SocketAddress = schema_field("address for other processes of the system")
    http: SocketAddress = schema_field(
        "address for upstreams' announcements and health checks"
    )
    platform: SocketAddress = schema_field(
        "address of the platform's table and object store"
    )
    lease_seconds: float = seconds_field(
        "how long an upstream's announcement is valid", 5.0
    )
    token_seconds: float = seconds_field("how long an issued token permits starts", 5.0)
    heartbeat_seconds: float = seconds_field("interval between announcements", 1.0)
    drain_seconds: float = seconds_field("maximum wait for tasks at shutdown", 30.0)
    start_log_seconds: float = seconds_field(
        "how long the record of a start is kept", 600.0
    )
    result_bytes: int = size_field("maximum size of a task's result", 16 * MIB)
    queue_tasks: int = count_field(
        "maximum number of tasks that wait at the agent for a slot", 16, low=0
    )
    statsd: SocketAddress | None = schema_field(
        "address that metrics are sent to", None
    )
    log: str = schema_field("path of the log, or - for stderr", "-", may_be_empty=False)


class ProcessKind(Enum):
    """The kind of process that settings are for."""

    ENTRY = "entry"
    AGENT = "agent"


SCHEMAS = {ProcessKind.ENTRY: EntrySettings, ProcessKind.AGENT: AgentSettings}

Settings = TypeVar("Settings", EntrySettings, AgentSettings)


@dataclass(frozen=True)
class LoadedSettings(Generic[Settings]):
    """Settings without errors, with their warnings."""

    settings: Settings
    warnings: list[Issue]


def load_settings(
    path: str | Path, kind: ProcessKind
) -> Result[LoadedSettings, list[Issue]]:
    """Return the settings in a file, or all its errors and warnings."""
    return read_text(str(path)).bind(
        lambda text: parse_settings(text, Path(path).name, kind)
    )


def parse_settings(
    text: str, file: str, kind: ProcessKind
) -> Result[LoadedSettings, list[Issue]]:
    """Return the settings in a YAML text, or all its errors and warnings.

    Args:
        text: The YAML text.
        file: Name of the document in the issues.
        kind: The kind of process that the settings are for.
    """
    return parse_yaml(text, file).bind(lambda data: _convert(data, file, kind))


def _convert(
    document: object, file: str, kind: ProcessKind
) -> Result[LoadedSettings, list[Issue]]:
    validator = Validator(file)
    settings = validator.convert(document, SCHEMAS[kind])
    check_cross_field_rules(settings, validator)
    if errors(validator.issues):
        return Error(validator.issues)
    return Ok(LoadedSettings(settings, warnings(validator.issues)))


def check_cross_field_rules(
    settings: EntrySettings | AgentSettings, validator: Validator
) -> None:
    """Report the issues that involve more than one field."""
    _check_lease(settings, validator)
    _check_addresses(settings, validator)
    match settings:
        case EntrySettings():
            if settings.retention_seconds < settings.lease_seconds:
                validator.error(
                    "retention_seconds",
                    f"{settings.retention_seconds:g} is under lease_seconds"
                    f" ({settings.lease_seconds:g}); give at least that",
                )
        case AgentSettings():
            if settings.start_log_seconds < settings.token_seconds:
                validator.error(
                    "start_log_seconds",
                    f"{settings.start_log_seconds:g} is under token_seconds"
                    f" ({settings.token_seconds:g}); give at least that",
                )


def _check_lease(settings: EntrySettings | AgentSettings, validator: Validator) -> None:
    heartbeat, lease = settings.heartbeat_seconds, settings.lease_seconds
    if heartbeat >= lease:
        validator.error(
            "heartbeat_seconds",
            f"{heartbeat:g} is not under lease_seconds ({lease:g}); give at most"
            f" {lease / MIN_HEARTBEATS_PER_LEASE:.3g}",
        )
    elif heartbeat * MIN_HEARTBEATS_PER_LEASE > lease:
        validator.warn(
            "heartbeat_seconds",
            f"{heartbeat:g} leaves under {MIN_HEARTBEATS_PER_LEASE} heartbeats in"
            f" lease_seconds ({lease:g}); give at most"
            f" {lease / MIN_HEARTBEATS_PER_LEASE:.3g}",
        )


def _check_addresses(
    settings: EntrySettings | AgentSettings, validator: Validator
) -> None:
    if settings.link.host in WILDCARD_ADDRESSES:
        validator.error(
            "link.host",
            f"{settings.link.host!r} is no address that others can connect to;"
            " give this instance's own IP number",
        )
    listeners = {"http": settings.http, "link": settings.link}
    if isinstance(settings, EntrySettings) and settings.admin:
        listeners["admin"] = settings.admin
    seen: dict[tuple[str, int], str] = {}
    for key, listen in listeners.items():
        address = (listen.host, listen.port)
        if listen.host and listen.port and address in seen:
            validator.error(
                f"{key}.port",
                f"{listen.port} on {listen.host} is taken by {seen[address]};"
                " give another port",
            )
        seen.setdefault(address, key)
