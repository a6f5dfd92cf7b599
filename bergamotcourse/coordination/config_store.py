"""Accepts a configuration by one conditional transaction on the platform's table.

The full manifest is stored as an object first. The transaction then advances the head
row and adds the record. Both writes are conditional, so versions are ordered as their
commits, and a write whose reply was lost is recognised by its record.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import UTC, datetime

import trio
from expression import Error, Ok, Result

from bergamotcourse.coordination.config_rows import (
    HEAD_KEY,
    read_head_row,
    read_manifest,
    read_record,
    read_version,
    record_key,
)
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import (
    ABSENT,
    Committed,
    Conflict,
    Platform,
    PlatformError,
    Row,
    Write,
)
from bergamotcourse.state.config_record import (
    NO_VERSION,
    Head,
    Record,
    changes_within_limit,
    encode_head,
    encode_record,
    head_from_record,
    object_name,
    with_record_hash,
)
from bergamotcourse.state.manifest import Manifest, digest, encode_manifest
from bergamotcourse.state.manifest_diff import Changes, diff_manifests

MAX_WRITE_ATTEMPTS = 4
"""Attempts of a write whose effect is unknown or that the platform refused."""

RETRY_SECONDS = 0.25
"""Backoff before the first retry; it doubles with each retry."""


@dataclass(frozen=True)
class AcceptedVersion:
    """An accepted version: its record and its full manifest."""

    record: Record
    manifest: Manifest


@dataclass(frozen=True)
class Applied:
    """The manifest was accepted as a version, or would be in case of a dry run.

    Attributes:
        version: The new version.
        changes: The differences from the version before.
        dry_run: Whether nothing was written.
        accepted: What to announce to the entries; ``None`` for a dry run.
    """

    version: ConfigVersion
    changes: Changes
    dry_run: bool = False
    accepted: AcceptedVersion | None = None


@dataclass(frozen=True)
class Unchanged:
    """The manifest equals the newest version; nothing was written."""

    version: ConfigVersion


@dataclass(frozen=True)
class LostRace:
    """Another change was accepted since the review; nothing was written.

    Attributes:
        winner: The record of the newest version, with its author, time and reason.
        changes: The changes since the reviewed version.
    """

    winner: Record
    changes: Changes


ApplyOutcome = Applied | Unchanged | LostRace


def utc_now() -> datetime:
    """Return the wall-clock time, for the audit trail."""
    return datetime.now(UTC)


async def apply(
    platform: Platform,
    manifest: Manifest,
    reviewed_version: ConfigVersion,
    who: str,
    reason: str,
    dry_run: bool = False,
    now: Callable[[], datetime] = utc_now,
) -> Result[ApplyOutcome, StepError]:
    """Accept a manifest if the reviewed version is still the newest.

    A ``PlatformError`` whose ``took_effect`` is ``None`` means that the manifest may
    have been accepted.

    Args:
        platform: The platform that stores the configuration.
        manifest: The new configuration.
        reviewed_version: The version that the change was compared with.
        who: The author of the change, for the audit trail.
        reason: The reason for the change, for the audit trail.
        dry_run: Compute the changes without writing anything.
        now: Returns the wall-clock time.
    """
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    row, head = current.ok
    proposal = Proposal(manifest, reviewed_version, who, reason, now())
    return await _accept_proposal(platform, proposal, row, head, dry_run)


async def rollback(
    platform: Platform,
    to_version: ConfigVersion,
    who: str,
    reason: str,
    reviewed_version: ConfigVersion | None = None,
    dry_run: bool = False,
    now: Callable[[], datetime] = utc_now,
) -> Result[ApplyOutcome, StepError]:
    """Accept the content of an earlier version as a new version.

    Args:
        platform: The platform that stores the configuration.
        to_version: The version whose content is restored.
        who: The author of the change, for the audit trail.
        reason: The reason for the change, for the audit trail.
        reviewed_version: The version that must be the newest; ``None`` for any.
        dry_run: Compute the changes without writing anything.
        now: Returns the wall-clock time.
    """
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    row, head = current.ok
    content = await read_version(platform, to_version)
    if content.is_error():
        return Error(content.error)
    reviewed = head.version if reviewed_version is None else reviewed_version
    proposal = Proposal(content.ok, reviewed, who, reason, now(), to_version)
    return await _accept_proposal(platform, proposal, row, head, dry_run)


@dataclass(frozen=True)
class Proposal:
    """A change to be accepted, with its author and reason for the audit trail."""

    manifest: Manifest
    reviewed_version: ConfigVersion
    who: str
    reason: str
    when: datetime
    rollback_to: ConfigVersion = NO_VERSION


async def _accept_proposal(
    platform: Platform, proposal: Proposal, row: Row, head: Head, dry_run: bool
) -> Result[ApplyOutcome, StepError]:
    if head.version and digest(proposal.manifest) == head.digest:
        return Ok(Unchanged(head.version))
    if head.version != proposal.reviewed_version:
        return await _describe_lost_race(platform, proposal.reviewed_version)
    base = await read_manifest(platform, head)
    if base.is_error():
        return Error(base.error)
    changes = diff_manifests(base.ok, proposal.manifest)
    record = make_record(proposal, head, changes)
    if dry_run:
        return Ok(Applied(record.version, changes, dry_run=True))
    stored = await _put_object(platform, record.object_name, proposal.manifest)
    if stored.is_error():
        return Error(stored.error)
    written = await _write_version(platform, record, row)
    if written.is_error():
        return Error(written.error)
    if written.ok:
        accepted = AcceptedVersion(record, proposal.manifest)
        return Ok(Applied(record.version, changes, accepted=accepted))
    return await _describe_lost_race(platform, proposal.reviewed_version)


def make_record(proposal: Proposal, head: Head, changes: Changes) -> Record:
    """Return the record of a proposal as the successor of the head."""
    version = ConfigVersion(head.version + 1)
    content_digest = digest(proposal.manifest)
    return with_record_hash(
        Record(
            version=version,
            writer=uuid.uuid4().hex,
            who=proposal.who,
            when=proposal.when.isoformat(timespec="seconds"),
            reason=proposal.reason,
            digest=content_digest,
            previous_digest=head.digest,
            object_name=object_name(version, content_digest),
            rollback_to=proposal.rollback_to,
            changes=changes_within_limit(changes),
            previous_hash=head.record_hash,
        )
    )


async def _put_object(
    platform: Platform, name: str, manifest: Manifest
) -> Result[None, StepError]:
    """Store the full manifest as an object; repeated writes are idempotent."""
    for attempt in range(MAX_WRITE_ATTEMPTS):
        await _back_off(attempt)
        result = await platform.put_object(name, encode_manifest(manifest))
        if result.is_ok():
            return Ok(None)
    # Only the transaction puts a version in force; an object on its own has no effect.
    return Error(replace(result.error, took_effect=False))


async def _write_version(
    platform: Platform, record: Record, row: Row
) -> Result[bool, StepError]:
    """Write the head and the record; return whether the record was committed."""
    writes = [
        Write(HEAD_KEY, encode_head(head_from_record(record)), row.version),
        Write(record_key(record.version), encode_record(record), ABSENT),
    ]
    in_doubt = False
    for attempt in range(MAX_WRITE_ATTEMPTS):
        await _back_off(attempt)
        result = await platform.transact(writes)
        if result.is_error():
            in_doubt = in_doubt or result.error.took_effect is None
            failure = result.error
            continue
        match result.ok:
            case Committed():
                return Ok(True)
            case Conflict():
                return await _is_stored_record(platform, record, in_doubt)
    return Error(replace(failure, took_effect=None if in_doubt else False))


async def _is_stored_record(
    platform: Platform, record: Record, in_doubt: bool
) -> Result[bool, StepError]:
    """Return whether the stored record of a version is the given one.

    It is called after a conflict, which may result from an earlier attempt of the same
    write. The record is read back if the effect of such an attempt is in doubt.
    """
    if not in_doubt:
        return Ok(False)
    for attempt in range(MAX_WRITE_ATTEMPTS):
        await _back_off(attempt)
        result = await platform.get([record_key(record.version)])
        if result.is_ok():
            return Ok(result.ok[0].value == encode_record(record))
    return Error(replace(result.error, took_effect=None))


async def _describe_lost_race(
    platform: Platform, reviewed_version: ConfigVersion
) -> Result[ApplyOutcome, StepError]:
    """Return the newest record and the changes since the reviewed version."""
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    _, head = current.ok
    if reviewed_version > head.version:
        detail = f"version {reviewed_version} does not exist; newest: {head.version}"
        return Error(StepError(Step.STORE, HEAD_KEY, detail))
    winner = await read_record(platform, head.version)
    before = await read_version(platform, reviewed_version)
    after = await read_manifest(platform, head)
    for part in (winner, before, after):
        if part.is_error():
            return Error(part.error)
    return Ok(LostRace(winner.ok, diff_manifests(before.ok, after.ok)))


async def _back_off(attempt: int) -> None:
    if attempt:
        await trio.sleep(RETRY_SECONDS * 2 ** (attempt - 1))


def may_have_taken_effect(error: StepError) -> bool:
    """Return whether the change may have been accepted in spite of an error."""
    return isinstance(error, PlatformError) and error.took_effect is None
