"""The routes of the administration API, with the role that each requires."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from bergamotcourse.coordination.config_reports import (
    AcceptReport,
    DiffReport,
    ValidReport,
    VerifyReport,
)
from bergamotcourse.coordination.status import entry_status
from bergamotcourse.daemons import admin_drains, admin_manifest, admin_teams
from bergamotcourse.daemons.admin_request import AdminRequest
from bergamotcourse.protocol.drain_progress import DrainProgress
from bergamotcourse.protocol.status import EntryStatus
from bergamotcourse.state.config_record import Record
from bergamotcourse.state.manifest import Role
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_json import json_answer

RouteHandler = Callable[[AdminRequest], Awaitable[HttpResponse]]


@dataclass(frozen=True)
class QueryParameter:
    """A query parameter of a route."""

    name: str
    help: str
    kind: type = str
    required: bool = False


@dataclass(frozen=True)
class Route:
    """One operation of the API.

    Attributes:
        path: Path pattern; each parameter in braces matches one segment.
        summary: One-line description for the OpenAPI document.
        role: The lowest role that permits the operation.
        handler: Handles an authorized request.
        answer: Type of the response body.
        body: Type of the request body, if there is one.
        query: Accepted query parameters.
        teams: Whether a team may use it for its own work.
    """

    method: str
    path: str
    summary: str
    role: Role
    handler: RouteHandler
    answer: Any
    body: type | None = None
    query: tuple[QueryParameter, ...] = ()
    teams: bool = False


async def get_status(request: AdminRequest) -> HttpResponse:
    """Return the status of this entry."""
    return json_answer(entry_status(request.entry))


AUDIT_QUERY = (
    QueryParameter("who", "only changes by this person or pipeline"),
    QueryParameter("path", "only changes under this path, as in teams.barakaldo"),
    QueryParameter("since", "only changes from this time on, ISO 8601 in UTC"),
    QueryParameter("first", "first version", int),
    QueryParameter("last", "last version", int),
)
REASON = QueryParameter(
    "reason", "reason for the change, for the audit trail", required=True
)
DRY_RUN = QueryParameter("dry_run", "compare only", bool)
FORCE = QueryParameter("force", "skip the check of the remaining capacity", bool)

MANIFEST = "/v1/manifest"
DRAIN = "/v1/drains/{kind}/{name}"

ROUTES = (
    Route(
        "GET",
        "/v1/status",
        "The status of this entry and of the agents and peers it knows.",
        Role.VIEWER,
        get_status,
        EntryStatus,
    ),
    Route(
        "GET",
        MANIFEST,
        "The manifest in force here, with masked credentials.",
        Role.VIEWER,
        admin_manifest.get_manifest,
        admin_manifest.ManifestAnswer,
    ),
    Route(
        "POST",
        MANIFEST + "/validate",
        "Validate a manifest and report all issues.",
        Role.VIEWER,
        admin_manifest.validate_manifest,
        ValidReport,
        admin_manifest.ManifestBody,
    ),
    Route(
        "POST",
        MANIFEST + "/diff",
        "Compare a manifest with the newest accepted version.",
        Role.VIEWER,
        admin_manifest.diff_manifest,
        DiffReport,
        admin_manifest.ManifestBody,
    ),
    Route(
        "POST",
        MANIFEST + "/apply",
        "Apply a reviewed manifest.",
        Role.ADMIN,
        admin_manifest.apply_manifest,
        AcceptReport,
        admin_manifest.ApplyBody,
    ),
    Route(
        "POST",
        MANIFEST + "/rollback",
        "Apply the content of an earlier version as a new version.",
        Role.ADMIN,
        admin_manifest.rollback_manifest,
        AcceptReport,
        admin_manifest.RollbackBody,
    ),
    Route(
        "GET",
        "/v1/audit",
        "The audit trail of changes, with masked credentials.",
        Role.VIEWER,
        admin_manifest.get_audit,
        list[Record],
        query=AUDIT_QUERY,
    ),
    Route(
        "GET",
        "/v1/audit/verify",
        "Verify the integrity of the audit trail.",
        Role.VIEWER,
        admin_manifest.get_verification,
        VerifyReport,
    ),
    Route(
        "GET",
        "/v1/drains",
        "The drains in force, with their progress.",
        Role.VIEWER,
        admin_drains.list_drains,
        list[DrainProgress],
    ),
    Route(
        "GET",
        DRAIN,
        "The progress of a drain in force.",
        Role.VIEWER,
        admin_drains.get_drain,
        DrainProgress,
    ),
    Route(
        "PUT",
        DRAIN,
        "Drain something from service; this is a change of the configuration.",
        Role.OPERATOR,
        admin_drains.put_drain,
        AcceptReport,
        query=(REASON, DRY_RUN, FORCE),
    ),
    Route(
        "DELETE",
        DRAIN,
        "Cancel a drain; this is a change of the configuration.",
        Role.OPERATOR,
        admin_drains.delete_drain,
        AcceptReport,
        query=(REASON, DRY_RUN),
    ),
    Route(
        "GET",
        "/v1/teams/{team}/usage",
        "A team's usage at this entry.",
        Role.VIEWER,
        admin_teams.get_usage,
        admin_teams.TeamUsage,
        teams=True,
    ),
    Route(
        "GET",
        "/v1/teams/{team}/jobs",
        "A team's jobs at this entry.",
        Role.VIEWER,
        admin_teams.list_jobs,
        list[admin_teams.JobStatus],
        teams=True,
    ),
)
