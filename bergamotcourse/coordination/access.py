"""Authentication of teams and operators by bearer token, as the manifest lists them."""

from dataclasses import dataclass
from hashlib import sha256

from bergamotcourse.ids import ConfigVersion, ServiceName
from bergamotcourse.state.manifest import (
    JobClass,
    Manifest,
    Operator,
    Service,
    Team,
)

BEARER_SCHEME = "bearer "


@dataclass
class Access:
    """The manifest in force, indexed for the lookups that each request needs.

    Attributes:
        teams: Teams by the SHA-256 digest of each of their tokens.
        operators: Operators by the SHA-256 digest of each of their tokens.
    """

    version: ConfigVersion
    manifest: Manifest
    services: dict[ServiceName, Service]
    job_classes: dict[str, JobClass]
    teams: dict[str, Team]
    operators: dict[str, Operator]

    def team(self, authorization: str) -> Team | None:
        """Return the team that an Authorization header authenticates, if any."""
        return self.teams.get(_token_digest(authorization))

    def operator(self, authorization: str) -> Operator | None:
        """Return the operator that an Authorization header authenticates, if any."""
        return self.operators.get(_token_digest(authorization))


def index_access(version: ConfigVersion, manifest: Manifest) -> Access:
    """Return the index of a manifest."""
    return Access(
        version=version,
        manifest=manifest,
        services={service.name: service for service in manifest.services},
        job_classes={one.name: one for one in manifest.job_classes},
        teams={digest: t for t in manifest.teams for digest in t.credentials},
        operators={digest: o for o in manifest.operators for digest in o.credentials},
    )


def _token_digest(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER_SCHEME):
        return ""
    token = authorization[len(BEARER_SCHEME) :].strip()
    return sha256(token.encode()).hexdigest()
