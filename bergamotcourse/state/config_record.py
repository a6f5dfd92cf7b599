"""Records of the accepted configuration versions.

A record is both the delta that processes apply and the entry in the audit trail. Each
record carries the hash of its predecessor, so that a missing or altered record is
detected.
"""

from dataclasses import dataclass, replace
from hashlib import sha256

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.manifest import Manifest, decode_manifest, digest
from bergamotcourse.state.manifest_diff import Changes, apply_changes

NO_VERSION = ConfigVersion(0)
"""The version before the first configuration is accepted."""

EMPTY_MANIFEST = Manifest(release="none")
"""The manifest of ``NO_VERSION``."""

FIRST_HASH = "0" * 64
"""Previous hash in the first record."""

MAX_DELTA_BYTES = 32 * 1024
"""Records omit a longer list of changes; the full manifest is stored as an object."""


@dataclass(frozen=True, kw_only=True)
class Record:
    """The record of one accepted version.

    Attributes:
        version: The version that this record introduces.
        writer: Random id that distinguishes otherwise equal records of two writers.
        who: The operator who applied the version.
        when: Wall clock of the writer, ISO 8601 in UTC; informational only.
        digest: Digest of the manifest after the changes.
        previous_digest: Digest of the manifest before the changes.
        object_name: Name of the object that holds the full manifest.
        rollback_to: The version whose content this one restores, or 0.
        changes: Changes from the previous version; ``None`` if they are too long.
        previous_hash: Hash of the previous version's record.
        hash: SHA-256 of the previous record's hash and this record without its hash.
    """

    version: ConfigVersion
    writer: str
    who: str
    when: str
    reason: str
    digest: str
    previous_digest: str
    object_name: str
    rollback_to: ConfigVersion
    changes: Changes | None
    previous_hash: str
    hash: str = ""


@dataclass(frozen=True, kw_only=True)
class Head:
    """The newest accepted version, stored in a single row that every accept updates."""

    version: ConfigVersion
    digest: str
    previous_digest: str
    who: str
    when: str
    object_name: str
    record_hash: str


NO_HEAD = Head(
    version=NO_VERSION,
    digest=digest(EMPTY_MANIFEST),
    previous_digest="",
    who="",
    when="",
    object_name="",
    record_hash=FIRST_HASH,
)


_record_decoder = msgspec.json.Decoder(Record)
_head_decoder = msgspec.json.Decoder(Head)


def with_record_hash(record: Record) -> Record:
    """Return the record with its ``hash`` field set."""
    return replace(record, hash=record_hash(record))


def record_hash(record: Record) -> str:
    """Return the expected hash of a record, as hex digits."""
    body = msgspec.json.encode(replace(record, hash=""), order="deterministic")
    return sha256(record.previous_hash.encode() + body).hexdigest()


def head_from_record(record: Record) -> Head:
    """Return the head that corresponds to the record of the newest version."""
    return Head(
        version=record.version,
        digest=record.digest,
        previous_digest=record.previous_digest,
        who=record.who,
        when=record.when,
        object_name=record.object_name,
        record_hash=record.hash,
    )


def object_name(version: ConfigVersion, content_digest: str) -> str:
    """Return the object name of a full manifest.

    The name contains the digest, so that concurrent writers of a version never share an
    object unless its content is the same.
    """
    return f"config/{version:010d}-{content_digest}"


def encode_record(record: Record) -> bytes:
    """Return the record as canonical JSON."""
    return msgspec.json.encode(record, order="deterministic")


def decode_record(content: bytes, key: str) -> Result[Record, StepError]:
    """Return the record in a row; malformed content or a wrong hash is an error."""
    try:
        record = decode_document(_record_decoder, content)
    except ValueError as error:
        return Error(StepError(Step.DECODE, key, f"malformed record: {error}"))
    if record.hash != record_hash(record):
        return Error(StepError(Step.DECODE, key, "the record was altered"))
    return Ok(record)


def encode_head(head: Head) -> bytes:
    """Return the head as canonical JSON."""
    return msgspec.json.encode(head, order="deterministic")


def decode_head(content: bytes | None, key: str) -> Result[Head, StepError]:
    """Return the head in a row, or ``NO_HEAD`` if the row does not exist."""
    if content is None:
        return Ok(NO_HEAD)
    try:
        return Ok(decode_document(_head_decoder, content))
    except ValueError as error:
        return Error(StepError(Step.DECODE, key, f"malformed head: {error}"))


def decode_manifest_object(
    content: bytes, expected_digest: str, name: str
) -> Result[Manifest, StepError]:
    """Return the manifest in an object; an unexpected digest is an error."""
    try:
        manifest = decode_manifest(content)
    except ValueError as error:
        return Error(StepError(Step.DECODE, name, f"malformed manifest: {error}"))
    if digest(manifest) != expected_digest:
        return Error(
            StepError(Step.DECODE, name, "the content does not match its digest")
        )
    return Ok(manifest)


def apply_record(manifest: Manifest, record: Record) -> Result[Manifest, StepError]:
    """Return the manifest after a record.

    It is an error if the record has no changes or if the digest before or after the
    changes differs from the one in the record.
    """
    subject = f"version {record.version}"
    if record.changes is None:
        return Error(StepError(Step.DECODE, subject, "the record has no changes"))
    if digest(manifest) != record.previous_digest:
        return Error(
            StepError(
                Step.DECODE, subject, "the record applies to a different manifest"
            )
        )
    result = apply_changes(manifest, record.changes)
    if result.is_ok() and digest(result.ok) != record.digest:
        return Error(
            StepError(
                Step.DECODE, subject, "the resulting manifest does not match its digest"
            )
        )
    return result


def changes_within_limit(changes: Changes) -> Changes | None:
    """Return the changes, or ``None`` if they are too long for a record."""
    return changes if len(msgspec.json.encode(changes)) <= MAX_DELTA_BYTES else None
