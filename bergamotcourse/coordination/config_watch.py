"""The configuration in force in one process.

New versions are read from the platform's table and, while the platform is unavailable,
received from other processes. The version in force only increases.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message
from expression import Error, Ok, Result

from bergamotcourse.coordination.config_rows import (
    CONFIG_PREFIX,
    HEAD_KEY,
    RECORD_PREFIX,
    read_head_row,
    read_manifest,
    read_record,
)
from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform, Row
from bergamotcourse.state.config_record import (
    EMPTY_MANIFEST,
    FIRST_HASH,
    NO_VERSION,
    Head,
    Record,
    apply_record,
    decode_head,
    decode_manifest_object,
    decode_record,
    encode_record,
)
from bergamotcourse.state.manifest import Manifest, canonical, encode_manifest

CONFIG_POLL_SECONDS = 1.5
"""Period of polls. Including jitter, a version takes effect within 4 s even if one
poll fails, provided that it fails within 0.7 s."""

PEER_SETTLE_SECONDS = 4.0
"""Time for which a process that has not read the platform waits for a newer version
after it first received one from another process."""

MAX_ERROR_CHARACTERS = 500
"""An error may contain a text of the row that caused it."""

MAX_RECORDS_KEPT = 64
"""Records kept for other processes that have an older version."""

Subscriber = Callable[[ConfigVersion, Manifest], None]


@dataclass(frozen=True)
class Snapshot:
    """A full configuration, for a process that the records cannot bring up to date.

    Attributes:
        record: The encoded record of its version.
        content: The manifest in its canonical encoding.
    """

    record: bytes
    content: bytes


class ConfigWatch:
    """Holds the configuration in force and follows new versions.

    Attributes:
        version: The version in force, ``NO_VERSION`` before the first.
        manifest: The manifest in force.
        record_hash: The hash of the record of the version in force.
        read_from_platform: Whether the platform was read successfully while a version
            was in force.
        first_peer_version_at: Time at which another process first sent a version, in
            seconds, or ``None``.
        last_error: Why the last poll failed, or ``None``.
        table_version: The version of the platform's table up to which it was read.
        records: The newest records, by version.
        skipped_rows: Rows of records that could not be decoded.
    """

    def __init__(
        self,
        platform: Platform,
        timers: Timers,
        settle_seconds: float = PEER_SETTLE_SECONDS,
    ):
        self.platform = platform
        self.timers = timers
        self.settle_seconds = settle_seconds
        self.version = NO_VERSION
        self.manifest = EMPTY_MANIFEST
        self.record_hash = FIRST_HASH
        self.read_from_platform = False
        self.first_peer_version_at: float | None = None
        self.last_error: StepError | None = None
        self.table_version = 0
        self.records: OrderedDict[ConfigVersion, Record] = OrderedDict()
        self.skipped_rows = SkippedRows()
        self.subscribers: list[Subscriber] = []

    @property
    def ready(self) -> bool:
        """Whether the version in force may be served.

        A version received only from other processes may be served after the time in
        which every accepted version reaches every process.
        """
        if self.read_from_platform:
            return True
        if self.first_peer_version_at is None:
            return False
        return self.timers.now() - self.first_peer_version_at >= self.settle_seconds

    def subscribe(self, callback: Subscriber) -> None:
        """Register a callback for each new version and its manifest."""
        self.subscribers.append(callback)

    async def poll(self) -> None:
        """Read new versions from the platform; record and log a failure."""
        result = await self.refresh()
        self.last_error = result.error if result.is_error() else None
        if self.last_error:
            error = str(self.last_error)[:MAX_ERROR_CHARACTERS]
            log_message("config:poll_failed", error=error)

    async def refresh(self) -> Result[ConfigVersion, StepError]:
        """Read new versions from the platform; return the version in force."""
        result = await (
            self._read_changes() if self.read_from_platform else self._read_head()
        )
        if result.is_error():
            return Error(result.error)
        head, rows, table_version = result.ok
        self._apply_record_rows(rows)
        caught_up = await self._catch_up(head)
        if caught_up.is_error():
            return Error(caught_up.error)
        self.table_version = max(self.table_version, table_version)
        self.read_from_platform = self.read_from_platform or self.version != NO_VERSION
        return Ok(self.version)

    def adopt(self, record: Record, manifest: Manifest) -> None:
        """Put in force a version that was accepted at the request of this process."""
        self._put_in_force(record, canonical(manifest))

    def apply_records(self, version: ConfigVersion, records: list[bytes]) -> bool:
        """Apply records that another process sent.

        Args:
            version: The version that results from the records.
            records: Encoded records, in any order.

        Returns:
            Whether the version in force is now at least the given one.
        """
        decoded = [decode_record(content, "offer") for content in records]
        self._apply_following_records([one.ok for one in decoded if one.is_ok()])
        if self.version >= version:
            self._note_peer_version()
        return self.version >= version

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Put in force a full configuration that another process sent, if it is newer.

        Returns:
            Whether the version in force is now at least that of the snapshot.
        """
        decoded = decode_record(snapshot.record, "offer")
        if decoded.is_error():
            return False
        record = decoded.ok
        content = decode_manifest_object(snapshot.content, record.digest, "offer")
        if content.is_error():
            return False
        self._put_in_force(record, content.ok)
        self._note_peer_version()
        return True

    def records_since(self, version: ConfigVersion) -> list[bytes] | None:
        """Return the encoded records from a version to the one in force.

        ``None`` if some are not kept or lack their changes; a snapshot is needed then.
        """
        wanted = range(version + 1, self.version + 1)
        if any(self.records.get(one) is None for one in wanted):
            return None
        kept = [self.records[ConfigVersion(one)] for one in wanted]
        if any(record.changes is None for record in kept):
            return None
        return [encode_record(record) for record in kept]

    def snapshot(self) -> Snapshot | None:
        """Return the configuration in force, or ``None`` before the first version."""
        if self.version == NO_VERSION:
            return None
        record = self.records[self.version]
        return Snapshot(encode_record(record), encode_manifest(self.manifest))

    async def _read_head(self) -> Result[tuple[Head, list[Row], int], StepError]:
        current = await read_head_row(self.platform)
        return current.map(lambda pair: (pair[1], [], pair[0].version))

    async def _read_changes(
        self,
    ) -> Result[tuple[Head | None, list[Row], int], StepError]:
        result = await self.platform.read_since(CONFIG_PREFIX, self.table_version)
        if result.is_error():
            return Error(result.error)
        changes = result.ok
        heads = [row for row in changes.rows if row.key == HEAD_KEY and row.value]
        if not heads:
            return Ok((None, changes.rows, changes.version))
        head = decode_head(heads[-1].value, HEAD_KEY)
        if head.is_error():
            # The records after the version in force do not depend on the head.
            self._apply_record_rows(changes.rows)
        return head.map(lambda one: (one, changes.rows, changes.version))

    def _apply_record_rows(self, rows: list[Row]) -> None:
        records = []
        for row in rows:
            if not row.value or not row.key.startswith(RECORD_PREFIX):
                continue
            decoded = decode_record(row.value, row.key)
            if decoded.is_error():
                self.skipped_rows.log(row, decoded.error)
            else:
                records.append(decoded.ok)
        self._apply_following_records(records)

    def _apply_following_records(self, records: list[Record]) -> None:
        """Apply the records that succeed the version in force, in order."""
        for record in sorted(records, key=lambda one: one.version):
            if record.version != self.version + 1:
                continue
            if record.previous_hash != self.record_hash:
                return
            after = apply_record(self.manifest, record)
            if after.is_error():
                return
            self._put_in_force(record, after.ok)

    async def _catch_up(self, head: Head | None) -> Result[None, StepError]:
        """Read the full manifest if the records did not reach the head."""
        if head is None or head.version <= self.version:
            self._log_differing_platform(head)
            return Ok(None)
        record = await read_record(self.platform, head.version)
        if record.is_error():
            return Error(record.error)
        if record.ok.hash != head.record_hash:
            detail = f"the record of version {head.version} does not match the head"
            return Error(StepError(Step.DECODE, HEAD_KEY, detail))
        content = await read_manifest(self.platform, record.ok)
        if content.is_error():
            return Error(content.error)
        self._put_in_force(record.ok, content.ok)
        return Ok(None)

    def _log_differing_platform(self, head: Head | None) -> None:
        """Log if the platform has different content for the version in force."""
        if head is None or head.version != self.version:
            return
        if head.record_hash != self.record_hash:
            log_message("config:platform_differs", version=self.version)

    def _put_in_force(self, record: Record, manifest: Manifest) -> None:
        """Put a version in force and call the subscribers, if it is newer."""
        if record.version <= self.version:
            return
        self.version = record.version
        self.manifest = manifest
        self.record_hash = record.hash
        self.records[record.version] = record
        while len(self.records) > MAX_RECORDS_KEPT:
            self.records.popitem(last=False)
        log_message("config:in_force", version=self.version, digest=record.digest)
        for callback in list(self.subscribers):
            callback(self.version, manifest)

    def _note_peer_version(self) -> None:
        if self.first_peer_version_at is None and self.version != NO_VERSION:
            self.first_peer_version_at = self.timers.now()
