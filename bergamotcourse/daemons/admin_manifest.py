"""Handlers of the administration API for the manifest and its audit trail."""

from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.coordination import config_store
from bergamotcourse.coordination.config_audit import (
    AuditFilter,
    read_audit,
    verify_audit,
)
from bergamotcourse.coordination.config_reports import (
    AcceptReport,
    DiffReport,
    ValidReport,
    accept_report,
    verify_report,
)
from bergamotcourse.coordination.config_rows import read_head_row, read_manifest
from bergamotcourse.coordination.config_store import Applied, ApplyOutcome, LostRace
from bergamotcourse.daemons.admin_request import (
    AdminRequest,
    admin_problem,
    bad_request,
    error_response,
)
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.config_record import Record
from bergamotcourse.state.manifest import Manifest, digest
from bergamotcourse.state.manifest_checks import ParsedManifest, parse_manifest
from bergamotcourse.state.manifest_diff import diff_manifests
from bergamotcourse.state.masking import mask_changes, mask_manifest
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_json import json_answer

MANIFEST_NAME_IN_ISSUES = "manifest"


@dataclass(frozen=True)
class ManifestAnswer:
    """The manifest in force at an entry, with credentials masked to a prefix."""

    version: int
    digest: str
    manifest: Manifest


class ManifestBody(msgspec.Struct, forbid_unknown_fields=True):
    """A manifest to validate or compare.

    Attributes:
        manifest: The manifest as YAML text.
    """

    manifest: str


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """A manifest to apply.

    Attributes:
        manifest: The manifest as YAML text.
        reviewed_version: The version that the change was compared with.
        reason: Reason for the change, recorded in the audit trail.
        dry_run: Only compare; change nothing.
    """

    manifest: str
    reviewed_version: int
    reason: str
    dry_run: bool = False


class RollbackBody(msgspec.Struct, forbid_unknown_fields=True):
    """An earlier version to restore.

    Attributes:
        reviewed_version: The version expected to be the newest; unchecked if omitted.
    """

    version: int
    reason: str
    reviewed_version: int | None = None
    dry_run: bool = False


async def get_manifest(request: AdminRequest) -> HttpResponse:
    """Return the manifest in force at this entry, with masked credentials."""
    config = request.entry.config
    return json_answer(
        ManifestAnswer(
            config.version, digest(config.manifest), mask_manifest(config.manifest)
        )
    )


async def validate_manifest(request: AdminRequest) -> HttpResponse:
    """Validate a manifest; the response lists all issues found."""
    match _parse_manifest_body(request, ManifestBody):
        case Result(tag="ok", ok=(_, loaded)):
            found = digest(loaded.manifest)
            return json_answer(ValidReport(found, loaded.warnings))
        case Result(error=response):
            return response


async def diff_manifest(request: AdminRequest) -> HttpResponse:
    """Compare a manifest with the newest accepted version."""
    match _parse_manifest_body(request, ManifestBody):
        case Result(tag="ok", ok=(_, loaded)):
            pass
        case Result(error=response):
            return response
    current = await read_head_row(request.entry.platform)
    if current.is_error():
        return error_response(current.error)
    head = current.ok[1]
    base = await read_manifest(request.entry.platform, head)
    if base.is_error():
        return error_response(base.error)
    changes = diff_manifests(base.ok, loaded.manifest)
    return json_answer(DiffReport(head.version, mask_changes(changes)))


async def apply_manifest(request: AdminRequest) -> HttpResponse:
    """Apply a reviewed manifest as the next version."""
    match _parse_manifest_body(request, ApplyBody):
        case Result(tag="ok", ok=(body, loaded)):
            pass
        case Result(error=response):
            return response
    if not body.reason:
        return bad_request("the reason is empty")
    accepted = await config_store.apply(
        request.entry.platform,
        loaded.manifest,
        ConfigVersion(body.reviewed_version),
        request.audit_name,
        body.reason,
        body.dry_run,
    )
    return await change_response(request, accepted)


async def rollback_manifest(request: AdminRequest) -> HttpResponse:
    """Apply the content of an earlier version as the next version."""
    match request.decode(RollbackBody):
        case Result(tag="ok", ok=body):
            pass
        case Result(error=detail):
            return bad_request(detail)
    if not body.reason:
        return bad_request("the reason is empty")
    reviewed = body.reviewed_version
    accepted = await config_store.rollback(
        request.entry.platform,
        ConfigVersion(body.version),
        request.audit_name,
        body.reason,
        None if reviewed is None else ConfigVersion(reviewed),
        body.dry_run,
    )
    return await change_response(request, accepted)


async def get_audit(request: AdminRequest) -> HttpResponse:
    """Return the audit records that match the filters of the query."""
    first, last = request.number("first", 1), request.number("last", 0)
    for one in (first, last):
        if one.is_error():
            return bad_request(one.error)
    wanted = AuditFilter(
        request.query.get("who", ""),
        request.query.get("path", ""),
        request.query.get("since", ""),
        ConfigVersion(first.ok),
        ConfigVersion(last.ok) if last.ok else None,
    )
    records = await read_audit(request.entry.platform, wanted)
    if records.is_error():
        return error_response(records.error)
    return json_answer([_mask_record(record) for record in records.ok])


async def get_verification(request: AdminRequest) -> HttpResponse:
    """Verify the integrity of the audit trail."""
    found = await verify_audit(request.entry.platform)
    if found.is_error():
        return error_response(found.error)
    return json_answer(verify_report(found.ok))


async def change_response(
    request: AdminRequest, accepted: Result[ApplyOutcome, StepError]
) -> HttpResponse:
    """Return the response to a change.

    Polls the configuration, so that this entry applies the change immediately.
    """
    if accepted.is_error():
        return error_response(accepted.error)
    report = _masked_report(accepted.ok)
    if isinstance(accepted.ok, LostRace):
        detail = (
            f"{report.who} changed the configuration to version {report.version}"
            f" at {report.when} ({report.reason}); review the difference"
        )
        return admin_problem(HTTPStatus.CONFLICT, detail, content=report)
    if isinstance(accepted.ok, Applied) and accepted.ok.accepted:
        change = accepted.ok.accepted
        request.entry.config.adopt(change.record, change.manifest)
    await request.entry.config.poll()
    return json_answer(report)


def _masked_report(accepted: ApplyOutcome) -> AcceptReport:
    report = accept_report(accepted)
    return replace(report, changes=mask_changes(report.changes))


def _mask_record(record: Record) -> Record:
    if record.changes is None:
        return record
    return replace(record, changes=mask_changes(record.changes))


def _parse_manifest_body(
    request: AdminRequest, kind: type
) -> Result[tuple[ManifestBody | ApplyBody, ParsedManifest], HttpResponse]:
    """Return the decoded body and its parsed manifest, or the error response."""
    body = request.decode(kind)
    if body.is_error():
        return Error(bad_request(body.error))
    loaded = parse_manifest(body.ok.manifest, MANIFEST_NAME_IN_ISSUES)
    if loaded.is_error():
        status = HTTPStatus.UNPROCESSABLE_ENTITY
        detail = f"the manifest has {len(loaded.error)} issues"
        return Error(admin_problem(status, detail, issues=loaded.error))
    return Ok((body.ok, loaded.ok))
