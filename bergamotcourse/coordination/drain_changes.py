"""Adds and cancels drains by changing the configuration.

A drain is one item of the manifest's policy, and other operators may change other items
concurrently. After a lost race, the edit is therefore retried on top of the newer
version, whose changes it cannot undo. The version before the drain stays in the audit
trail, and cancelling the drain restores its content.
"""

from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from bergamotcourse.coordination import config_store
from bergamotcourse.coordination.config_rows import read_head_row, read_manifest
from bergamotcourse.coordination.config_store import ApplyOutcome, LostRace
from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.config_record import NO_VERSION
from bergamotcourse.state.manifest import Drain, Manifest, drain_key

MAX_LOST_RACES = 8
"""Attempts to add or cancel a drain before a lost race is reported."""

ManifestEdit = Callable[[Manifest], Result[Manifest, StepError]]


async def add_drain(
    platform: Platform, drain: Drain, who: str, reason: str, dry_run: bool = False
) -> Result[ApplyOutcome, StepError]:
    """Add a drain to the configuration; no change if it exists already."""

    def add(manifest: Manifest) -> Result[Manifest, StepError]:
        if drain in manifest.policy.drains:
            return Ok(manifest)
        return Ok(_with_drains(manifest, [*manifest.policy.drains, drain]))

    return await _apply_edit(platform, add, who, reason, dry_run)


async def cancel_drain(
    platform: Platform, drain: Drain, who: str, reason: str, dry_run: bool = False
) -> Result[ApplyOutcome, StepError]:
    """Remove a drain from the configuration; an error if it does not exist."""

    def cancel(manifest: Manifest) -> Result[Manifest, StepError]:
        drains = manifest.policy.drains
        if drain not in drains:
            detail = f"no drain {drain_key(drain)} is in force"
            return Error(StepError(Step.STORE, "", detail))
        return Ok(_with_drains(manifest, [one for one in drains if one != drain]))

    return await _apply_edit(platform, cancel, who, reason, dry_run)


async def _apply_edit(
    platform: Platform, edit: ManifestEdit, who: str, reason: str, dry_run: bool
) -> Result[ApplyOutcome, StepError]:
    for _ in range(MAX_LOST_RACES):
        result = await _apply_edit_once(platform, edit, who, reason, dry_run)
        if result.is_error() or not isinstance(result.ok, LostRace):
            return result
    return result


async def _apply_edit_once(
    platform: Platform, edit: ManifestEdit, who: str, reason: str, dry_run: bool
) -> Result[ApplyOutcome, StepError]:
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    head = current.ok[1]
    if head.version == NO_VERSION:
        return Error(StepError(Step.STORE, "", "no configuration is accepted yet"))
    content = await read_manifest(platform, head)
    edited = content.bind(edit)
    if edited.is_error():
        return Error(edited.error)
    return await config_store.apply(
        platform, edited.ok, head.version, who, reason, dry_run
    )


def _with_drains(manifest: Manifest, drains: list[Drain]) -> Manifest:
    return replace(manifest, policy=replace(manifest.policy, drains=drains))
