"""Handlers of the administration API for drains."""

from http import HTTPStatus

from expression import Error, Ok, Result

from bergamotcourse.coordination.drain_changes import add_drain, cancel_drain
from bergamotcourse.coordination.status import entry_status
from bergamotcourse.daemons.admin_manifest import change_response
from bergamotcourse.daemons.admin_request import (
    AdminRequest,
    admin_problem,
    bad_request,
)
from bergamotcourse.protocol.drain_progress import DrainProgress, drain_progress
from bergamotcourse.state.manifest import Drain, DrainKind
from bergamotcourse.state.validation import NAME
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_json import json_answer


async def list_drains(request: AdminRequest) -> HttpResponse:
    """Return the progress of each drain in force."""
    drains = request.entry.config.manifest.policy.drains
    return json_answer([_progress(request, drain) for drain in drains])


async def get_drain(request: AdminRequest) -> HttpResponse:
    """Return the progress of one drain in force."""
    match _parse_drain(request):
        case Result(tag="ok", ok=drain):
            pass
        case Result(error=response):
            return response
    if drain not in request.entry.config.manifest.policy.drains:
        detail = f"no drain {drain.kind.value}/{drain.name} is in force here"
        return admin_problem(HTTPStatus.NOT_FOUND, detail)
    return json_answer(_progress(request, drain))


async def put_drain(request: AdminRequest) -> HttpResponse:
    """Add a drain; rejected if the remaining capacity cannot carry the load.

    The query parameter ``force`` skips the capacity check.
    """
    match _parse_drain(request):
        case Result(tag="ok", ok=drain):
            pass
        case Result(error=response):
            return response
    reason = request.query.get("reason", "")
    if not reason:
        return bad_request("give a reason, for the audit trail")
    progress = _progress(request, drain)
    if progress.overloaded and not request.flag("force"):
        detail = "remaining capacity cannot carry the load; force to drain anyway"
        return admin_problem(HTTPStatus.CONFLICT, detail, content=progress)
    accepted = await add_drain(
        request.entry.platform,
        drain,
        request.audit_name,
        reason,
        request.flag("dry_run"),
    )
    return await change_response(request, accepted)


async def delete_drain(request: AdminRequest) -> HttpResponse:
    """Cancel a drain."""
    match _parse_drain(request):
        case Result(tag="ok", ok=drain):
            pass
        case Result(error=response):
            return response
    reason = request.query.get("reason", "")
    if not reason:
        return bad_request("give a reason, for the audit trail")
    accepted = await cancel_drain(
        request.entry.platform,
        drain,
        request.audit_name,
        reason,
        request.flag("dry_run"),
    )
    return await change_response(request, accepted)


def _progress(request: AdminRequest, drain: Drain) -> DrainProgress:
    return drain_progress(drain, [entry_status(request.entry)])


def _parse_drain(request: AdminRequest) -> Result[Drain, HttpResponse]:
    kinds = [kind.value for kind in DrainKind]
    kind, name = request.path["kind"], request.path["name"]
    if kind not in kinds:
        words = ", ".join(kinds)
        return Error(bad_request(f"{kind!r} is not one of: {words}"))
    if not NAME.fullmatch(name):
        return Error(bad_request(f"{name!r} is not a valid name"))
    return Ok(Drain(kind=DrainKind(kind), name=name))
