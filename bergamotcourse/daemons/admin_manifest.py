"""The administration API's verbs on the configuration and its audit trail."""

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
    error_answer,
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

BODY_NAME = "manifest"


@dataclass(frozen=True)
class ManifestAnswer:
    """The manifest in force at an entry; of credentials only the start is shown."""

    version: int
    digest: str
    manifest: Manifest


class ManifestBody(msgspec.Struct, forbid_unknown_fields=True):
    """A manifest to look at.

    Attributes:
        manifest: Its text in YAML, as the file has it.
    """

    manifest: str


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """A manifest to be accepted.

    Attributes:
        manifest: Its text in YAML, as the file has it.
        reviewed_version: The version that the change was compared with.
        reason: Why, for the audit trail.
        dry_run: Compare only.
    """

    manifest: str
    reviewed_version: int
    reason: str
    dry_run: bool = False


class RollbackBody(msgspec.Struct, forbid_unknown_fields=True):
    """A version whose content comes back.

    Attributes:
        reviewed_version: The version that must be the newest; any if left out.
    """

    version: int
    reason: str
    reviewed_version: int | None = None
    dry_run: bool = False


async def get_manifest(request: AdminRequest) -> HttpResponse:
    """Answer with the manifest in force at this entry."""
    config = request.entry.config
    return json_answer(
        ManifestAnswer(
            config.version, digest(config.manifest), mask_manifest(config.manifest)
        )
    )


async def validate_manifest(request: AdminRequest) -> HttpResponse:
    """Check a manifest whole."""
    match _load(request, ManifestBody):
        case Result(tag="ok", ok=(_, loaded)):
            found = digest(loaded.manifest)
            return json_answer(ValidReport(found, loaded.warnings))
        case Result(error=response):
            return response


async def diff_manifest(request: AdminRequest) -> HttpResponse:
    """Compare a manifest with the accepted one."""
    match _load(request, ManifestBody):
        case Result(tag="ok", ok=(_, loaded)):
            pass
        case Result(error=response):
            return response
    current = await read_head_row(request.entry.platform)
    if current.is_error():
        return error_answer(current.error)
    head = current.ok[1]
    base = await read_manifest(request.entry.platform, head)
    if base.is_error():
        return error_answer(base.error)
    changes = diff_manifests(base.ok, loaded.manifest)
    return json_answer(DiffReport(head.version, mask_changes(changes)))


async def apply_manifest(request: AdminRequest) -> HttpResponse:
    """Have a reviewed manifest accepted."""
    match _load(request, ApplyBody):
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
        request.who,
        body.reason,
        body.dry_run,
    )
    return await accepted_answer(request, accepted)


async def rollback_manifest(request: AdminRequest) -> HttpResponse:
    """Accept the content of an earlier version anew."""
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
        request.who,
        body.reason,
        None if reviewed is None else ConfigVersion(reviewed),
        body.dry_run,
    )
    return await accepted_answer(request, accepted)


async def get_audit(request: AdminRequest) -> HttpResponse:
    """Answer with the records that the query's filters let through."""
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
        return error_answer(records.error)
    return json_answer([_mask_record(record) for record in records.ok])


async def get_verification(request: AdminRequest) -> HttpResponse:
    """Check that the audit trail is whole."""
    found = await verify_audit(request.entry.platform)
    if found.is_error():
        return error_answer(found.error)
    return json_answer(verify_report(found.ok))


async def accepted_answer(
    request: AdminRequest, accepted: Result[ApplyOutcome, StepError]
) -> HttpResponse:
    """Return what became of a change; this entry takes it up at once."""
    if accepted.is_error():
        return error_answer(accepted.error)
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


def _load(
    request: AdminRequest, kind: type
) -> Result[tuple[ManifestBody | ApplyBody, ParsedManifest], HttpResponse]:
    """Return a body and the manifest in it, or the refusal."""
    body = request.decode(kind)
    if body.is_error():
        return Error(bad_request(body.error))
    loaded = parse_manifest(body.ok.manifest, BODY_NAME)
    if loaded.is_error():
        status = HTTPStatus.UNPROCESSABLE_ENTITY
        detail = f"the manifest has {len(loaded.error)} issues"
        return Error(admin_problem(status, detail, issues=loaded.error))
    return Ok((body.ok, loaded.ok))
