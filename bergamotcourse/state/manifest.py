"""The manifest: the whole configuration, as the build pipeline generates it."""

from dataclasses import dataclass, replace
from enum import Enum
from hashlib import sha256

import msgspec

from bergamotcourse.ids import ServiceName, TeamId, ZoneName
from bergamotcourse.state.schema import (
    MIB,
    Format,
    count_field,
    described,
    name_field,
    seconds_field,
    size_field,
)

IDEMPOTENT_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE")
"""RFC 9110, section 9.2.2."""


class Role(Enum):
    """What an operator may do; each role may do what those before it may."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"


class TeamRole(Enum):
    """What a team's callers may do."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    READ = "read"


class DrainKind(Enum):
    """What a drain takes out of service."""

    UPSTREAM = "upstream"
    WORKER = "worker"
    RACK = "rack"
    ZONE = "zone"
    RELEASE = "release"


def _methods() -> list[str]:
    return list(IDEMPOTENT_METHODS)


def _all_upstreams() -> list[str]:
    return ["*"]


def _team_roles() -> list[TeamRole]:
    return sorted(TeamRole, key=lambda role: role.value)


def _credentials():
    return described(
        "sha256 of each bearer token that is accepted",
        factory=list,
        format=Format.SHA256,
        may_be_empty=False,
        secret=True,
    )


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that upstreams serve."""

    name: ServiceName = name_field("name of the service")
    idempotent_methods: list[str] = described(
        "methods whose requests may be tried again",
        factory=_methods,
        format=Format.METHOD,
        may_be_empty=False,
    )
    timeout_seconds: float = seconds_field("longest run of a request", 30.0)
    max_body_bytes: int = size_field("greatest body of a request", MIB, high=64 * MIB)
    declared_seconds: float = seconds_field("usual run of a request", 0.5, low=0.001)


@dataclass(frozen=True, kw_only=True)
class JobClass:
    """A kind of job: many tasks of one service."""

    name: str = name_field("name of the job class")
    service: ServiceName = name_field("service that runs the tasks")
    max_tasks: int = count_field("most tasks in a job", 1600, high=100_000)
    priority: int = count_field("higher goes first", 0, low=-100, high=100)
    timeout_seconds: float = seconds_field("longest run of a job", 300.0)


@dataclass(frozen=True, kw_only=True)
class UpstreamRule:
    """Which upstreams may serve which services."""

    name: str = name_field("name of the rule")
    services: list[ServiceName] = described(
        "services that the rule permits", format=Format.NAME, may_be_empty=False
    )
    upstreams: list[str] = described(
        "patterns of upstreams' names",
        factory=_all_upstreams,
        format=Format.NAME_PATTERN,
        may_be_empty=False,
    )
    zones: list[ZoneName] = described(
        "availability zones; none for all",
        factory=list,
        format=Format.NAME,
        may_be_empty=False,
    )


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team whose callers submit work, and its limits."""

    name: TeamId = name_field("name of the team")
    weight: float = described(
        "share of the slots under overload",
        1.0,
        wanted="a weight",
        above=0,
        high=1_000_000,
    )
    quota_starts_per_second: float = described(
        "most starts a second; 0 stops the team",
        1000.0,
        wanted="a rate",
        low=0,
        high=1_000_000,
    )
    max_in_flight: int = count_field("most tasks at a time", 2000, low=0)
    credentials: list[str] = _credentials()
    roles: list[TeamRole] = described("what its callers may do", factory=_team_roles)
    services: list[ServiceName] = described(
        "services that it may use", factory=list, format=Format.NAME, may_be_empty=False
    )


@dataclass(frozen=True, kw_only=True)
class Operator:
    """A person or pipeline that operates the system."""

    name: str = name_field("name of the operator")
    credentials: list[str] = _credentials()
    role: Role = described("what the operator may do", Role.VIEWER)


@dataclass(frozen=True, kw_only=True)
class Drain:
    """Something that receives no new work."""

    kind: DrainKind = described("what is taken out of service")
    name: str = name_field("its name")


@dataclass(frozen=True, kw_only=True)
class Policy:
    """How the dispatcher decides."""

    response_weight: float = described(
        "1 favours response time, 0 favours few messages",
        0.5,
        wanted="a weight",
        low=0,
        high=1,
    )
    retry_budget: float = described(
        "retries as a share of requests", 0.1, wanted="a share", low=0, high=1
    )
    zone_affinity: bool = described(
        "stay in the availability zone while it costs no response time", True
    )
    drains: list[Drain] = described("what receives no new work", factory=list)


@dataclass(frozen=True, kw_only=True)
class Manifest:
    """The whole configuration."""

    release: str = name_field("name of the release that made the manifest")
    write_ahead: bool = described(
        "journal claims of non-idempotent work before the start", True
    )
    services: list[Service] = described("services", factory=list)
    job_classes: list[JobClass] = described("kinds of jobs", factory=list)
    upstreams: list[UpstreamRule] = described("rules for upstreams", factory=list)
    teams: list[Team] = described("teams", factory=list)
    operators: list[Operator] = described("operators", factory=list)
    policy: Policy = described("how the dispatcher decides", factory=Policy)


def canonical(manifest: Manifest) -> Manifest:
    """Return the manifest with its lists sorted; their order has no meaning."""
    drains = sorted(manifest.policy.drains, key=drain_key)
    return replace(
        manifest,
        services=_sorted(manifest.services, "idempotent_methods"),
        job_classes=_sorted(manifest.job_classes),
        upstreams=_sorted(manifest.upstreams, "services", "upstreams", "zones"),
        teams=_sorted(manifest.teams, "credentials", "roles", "services"),
        operators=_sorted(manifest.operators, "credentials"),
        policy=replace(manifest.policy, drains=drains),
    )


def drain_key(drain: Drain) -> str:
    """Return the key that tells a drain from all others."""
    return f"{drain.kind.value}/{drain.name}"


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical bytes: equal for manifests of the same meaning."""
    # Through plain data, so that a whole number in place of a float counts the same.
    plain = msgspec.to_builtins(canonical(manifest))
    same = msgspec.convert(plain, Manifest)
    return msgspec.json.encode(same, order="deterministic")


def decode_manifest(content: bytes) -> Manifest:
    """Return the manifest of canonical bytes.

    Raises:
        msgspec.MsgspecError: The bytes are no manifest.
    """
    return msgspec.json.decode(content, type=Manifest)


def digest(manifest: Manifest) -> str:
    """Return the sha256 of the canonical bytes, as hex digits."""
    return sha256(encode_manifest(manifest)).hexdigest()


def _sorted(items: list, *lists: str) -> list:
    ordered = sorted(items, key=lambda item: item.name)
    return [
        replace(item, **{key: _unique(getattr(item, key)) for key in lists})
        for item in ordered
    ]


def _unique(values: list) -> list:
    return sorted(set(values), key=lambda value: getattr(value, "value", value))
