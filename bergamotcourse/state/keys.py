"""Kinds of idempotency keys, which differ in what they reveal of a key's age.

There are three kinds. Keys under a prefix that an entry handed out carry the range, its
epoch and a time on the range owner's clock. UUIDv7 keys (RFC 9562) carry the wall-clock
time of their creation. All other keys are opaque.
"""

import re
import uuid
from dataclasses import dataclass

from bergamotcourse.ids import Epoch, RangeId

HANDED_OUT_PATTERN = re.compile(
    r"bc1-([0-9a-f]{1,16})-([0-9a-f]{1,8})-([0-9a-f]{1,12})-(.+)"
)
MAX_KEY_LENGTH = 200
TIMED_KEY_UUID_VERSION = 7


@dataclass(frozen=True)
class HandedOutKey:
    """A key under a prefix that an entry handed out.

    Attributes:
        made_ms: Time at which the prefix was handed out, in milliseconds on the owner's
            clock since it became the owner.
    """

    range: RangeId
    epoch: Epoch
    made_ms: int


@dataclass(frozen=True)
class TimedKey:
    """A UUIDv7 key.

    Attributes:
        made_ms: Creation time in Unix milliseconds, on the caller's wall clock.
    """

    made_ms: int


@dataclass(frozen=True)
class OpaqueKey:
    """A key that carries no time of creation."""


KeyKind = HandedOutKey | TimedKey | OpaqueKey


def key_kind(key: str) -> KeyKind:
    """Classify a key and return the fields that it carries."""
    handed_out = HANDED_OUT_PATTERN.fullmatch(key)
    if handed_out:
        range_id, epoch, made = (int(part, 16) for part in handed_out.groups()[:3])
        return HandedOutKey(RangeId(range_id), Epoch(epoch), made)
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return OpaqueKey()
    if parsed.version != TIMED_KEY_UUID_VERSION:
        return OpaqueKey()
    return TimedKey(parsed.int >> 80)


def key_prefix(range_id: RangeId, epoch: Epoch, made_ms: int) -> str:
    """Return a prefix under which a caller may create keys."""
    return f"bc1-{range_id:x}-{epoch:x}-{made_ms:x}-"
