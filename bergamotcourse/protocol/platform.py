"""The interface of the platform's transactional table and object store.

The table has one version counter. Each committed transaction increments it and stores
the new version with every row that it wrote, so that the rows changed since a given
version are well defined. A deleted row remains as a tombstone.
"""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from bergamotcourse.errors import StepError

ABSENT = 0
"""The version of a row that does not exist."""


@dataclass(frozen=True)
class Row:
    """One row.

    Attributes:
        version: The table's version at the row's last change; ``ABSENT`` if the row
            never existed.
        value: The content, or ``None`` for a deleted or missing row.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True)
class Write:
    """One conditional write.

    Attributes:
        value: The new content; ``None`` deletes the row.
        expected: The version that the row must have; ``ABSENT`` if the row must be
            missing or deleted; ``None`` to write unconditionally.
        check_only: Verify ``expected`` without changing the row.
    """

    key: str
    value: bytes | None
    expected: int | None
    check_only: bool = False


@dataclass(frozen=True)
class Committed:
    """All writes of the transaction took effect, at this version of the table."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """Nothing was written; these rows did not have their expected versions."""

    rows: list[Row]


@dataclass(frozen=True)
class Changes:
    """Rows changed since a version, with tombstones, and the current version."""

    version: int
    rows: list[Row]


@dataclass(frozen=True)
class PlatformError(StepError):
    """A call to the platform failed.

    Attributes:
        took_effect: ``False`` if the call certainly had no effect, ``None`` if that
            is unknown.
    """

    took_effect: bool | None = None


class Platform(Protocol):
    """The table and the object store."""

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflict, PlatformError]:
        """Apply all writes atomically, or none if any expected version differs."""

    async def get(self, keys: list[str]) -> Result[list[Row], PlatformError]:
        """Return one row for each key, in order; missing rows are ``ABSENT``."""

    async def read_since(
        self, prefix: str, version: int
    ) -> Result[Changes, PlatformError]:
        """Return the rows under a prefix that changed after a version."""

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store an object; storing the same content again under its name succeeds."""

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or ``None`` if it does not exist."""
