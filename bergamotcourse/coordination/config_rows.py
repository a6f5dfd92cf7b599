"""Layout of the configuration on the platform, and functions that read it.

The row ``config/head`` names the newest version, the rows ``config/delta/<version>``
hold the record of each version, and the full manifests are stored as objects.
"""

from dataclasses import replace
from typing import TypeVar

from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import ABSENT, Platform, PlatformError, Row
from bergamotcourse.state.config_record import (
    EMPTY_MANIFEST,
    NO_VERSION,
    Head,
    Record,
    decode_head,
    decode_manifest_object,
    decode_record,
)
from bergamotcourse.state.manifest import Manifest

T = TypeVar("T")

CONFIG_PREFIX = "config/"
HEAD_KEY = "config/head"
RECORD_PREFIX = "config/delta/"


def as_read_result(result: Result[T, PlatformError]) -> Result[T, PlatformError]:
    """Mark the error of a read, if any, as one that took no effect."""
    return result.map_error(lambda error: replace(error, took_effect=False))


async def read_head_row(platform: Platform) -> Result[tuple[Row, Head], StepError]:
    """Return the row of the head and the head decoded from it.

    The version of a row without a value is ``ABSENT``, so that a conditional write can
    expect it.
    """
    result = as_read_result(await platform.get([HEAD_KEY]))
    if result.is_error():
        return Error(result.error)
    row = result.ok[0]
    expected = replace(row, version=ABSENT) if row.value is None else row
    return decode_head(row.value, HEAD_KEY).map(lambda head: (expected, head))


async def read_manifest(
    platform: Platform, source: Head | Record
) -> Result[Manifest, StepError]:
    """Return the full manifest that a head or a record names."""
    if source.version == NO_VERSION:
        return Ok(EMPTY_MANIFEST)
    result = as_read_result(await platform.get_object(source.object_name))
    if result.is_error():
        return Error(result.error)
    if result.ok is None:
        return Error(StepError(Step.STORE, source.object_name, "the object is missing"))
    return decode_manifest_object(result.ok, source.digest, source.object_name)


async def read_record(
    platform: Platform, version: ConfigVersion
) -> Result[Record, StepError]:
    """Return the record of a version."""
    key = record_key(version)
    result = as_read_result(await platform.get([key]))
    if result.is_error():
        return Error(result.error)
    content = result.ok[0].value
    if content is None:
        return Error(StepError(Step.STORE, key, f"version {version} does not exist"))
    return decode_record(content, key)


async def read_version(
    platform: Platform, version: ConfigVersion
) -> Result[Manifest, StepError]:
    """Return the full manifest of a version; the empty manifest for version 0."""
    if version == NO_VERSION:
        return Ok(EMPTY_MANIFEST)
    record = await read_record(platform, version)
    if record.is_error():
        return Error(record.error)
    return await read_manifest(platform, record.ok)


def record_key(version: ConfigVersion) -> str:
    """Return the key of the row with the record of a version."""
    return f"{RECORD_PREFIX}{version:010d}"
