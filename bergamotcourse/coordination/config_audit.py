"""Reads the audit trail and verifies that it is complete and unaltered."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from bergamotcourse.coordination.config_rows import (
    as_read_result,
    read_head_row,
    read_manifest,
    record_key,
)
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform, PlatformError, Row
from bergamotcourse.state.config_record import (
    EMPTY_MANIFEST,
    FIRST_HASH,
    NO_VERSION,
    Head,
    Record,
    apply_record,
    decode_record,
)
from bergamotcourse.state.manifest import Manifest

MAX_ROWS_PER_READ = 100


@dataclass(frozen=True)
class AuditFilter:
    """Selects audit records; a record must match all conditions.

    Attributes:
        who: The author, or ``""`` for any.
        path: Prefix of a changed path, such as ``teams.``, or ``""`` for any.
        since: Earliest time of the change in ISO 8601, or ``""`` for any.
        first: First version, inclusive.
        last: Last version, inclusive; ``None`` for the newest.
    """

    who: str = ""
    path: str = ""
    since: str = ""
    first: ConfigVersion = ConfigVersion(1)
    last: ConfigVersion | None = None


@dataclass(frozen=True)
class AuditIntact:
    """Every record up to the newest version exists and links to its predecessor."""

    version: ConfigVersion


@dataclass(frozen=True)
class AuditBroken:
    """The first version whose record is missing or altered, and what is wrong."""

    version: ConfigVersion
    detail: str


async def read_audit(
    platform: Platform, audit_filter: AuditFilter
) -> Result[list[Record], StepError]:
    """Return the records that match a filter, oldest first."""
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    newest = current.ok[1].version
    last = newest if audit_filter.last is None else min(audit_filter.last, newest)
    rows = await _read_record_rows(platform, audit_filter.first, ConfigVersion(last))
    if rows.is_error():
        return Error(rows.error)
    records = []
    for row in rows.ok:
        record = decode_record(row.value or b"", row.key)
        if record.is_error():
            return Error(record.error)
        if matches_filter(record.ok, audit_filter):
            records.append(record.ok)
    return Ok(records)


def matches_filter(record: Record, audit_filter: AuditFilter) -> bool:
    """Return whether a record matches a filter.

    A record without its list of changes matches every path.
    """
    if audit_filter.who and record.who != audit_filter.who:
        return False
    if audit_filter.since and record.when < audit_filter.since:
        return False
    if not audit_filter.path or record.changes is None:
        return True
    paths = [str(change.path) for change in record.changes.sorted_by_path()]
    return any(path.startswith(audit_filter.path) for path in paths)


async def verify_audit(
    platform: Platform,
) -> Result[AuditIntact | AuditBroken, StepError]:
    """Verify the hash chain of records and the manifests that result from them."""
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    head = current.ok[1]
    rows = await _read_record_rows(platform, ConfigVersion(1), head.version)
    if rows.is_error():
        return Error(rows.error)
    chain = RecordChain()
    for row in rows.ok:
        broken = await chain.verify_next(platform, row)
        if broken.is_error():
            return Error(broken.error)
        if broken.ok:
            return Ok(AuditBroken(ConfigVersion(chain.version + 1), broken.ok))
    return Ok(chain.compare_with_head(head))


class RecordChain:
    """The chain of records verified so far.

    Attributes:
        version: The version of the last valid record.
        hash: The hash of the last valid record.
        manifest: The manifest that results from the records up to that version.
    """

    def __init__(self):
        self.version = NO_VERSION
        self.hash = FIRST_HASH
        self.manifest: Manifest = EMPTY_MANIFEST

    async def verify_next(self, platform: Platform, row: Row) -> Result[str, StepError]:
        """Verify the next row; return a description of its fault, or ``""``."""
        if row.value is None:
            return Ok("the record is missing")
        decoded = decode_record(row.value, row.key)
        if decoded.is_error():
            return Ok(decoded.error.detail)
        record = decoded.ok
        if record.version != self.version + 1:
            return Ok(f"the record is that of version {record.version}")
        if record.previous_hash != self.hash:
            return Ok("the record does not follow the one before")
        after = await self._apply_record(platform, record)
        if after.is_error():
            if isinstance(after.error, PlatformError):
                return Error(after.error)
            return Ok(after.error.detail)
        self.version, self.hash = record.version, record.hash
        self.manifest = after.ok
        return Ok("")

    def compare_with_head(self, head: Head) -> AuditIntact | AuditBroken:
        """Verify that the head names the last record of the chain."""
        if head.record_hash != self.hash:
            return AuditBroken(self.version, "the head names another record")
        return AuditIntact(self.version)

    async def _apply_record(
        self, platform: Platform, record: Record
    ) -> Result[Manifest, StepError]:
        if record.changes is None:
            return await read_manifest(platform, record)
        return apply_record(self.manifest, record)


async def _read_record_rows(
    platform: Platform, first: ConfigVersion, last: ConfigVersion
) -> Result[list[Row], StepError]:
    rows: list[Row] = []
    for start in range(first, last + 1, MAX_ROWS_PER_READ):
        stop = min(start + MAX_ROWS_PER_READ, last + 1)
        keys = [record_key(ConfigVersion(version)) for version in range(start, stop)]
        result = as_read_result(await platform.get(keys))
        if result.is_error():
            return Error(result.error)
        rows += result.ok
    return Ok(rows)
