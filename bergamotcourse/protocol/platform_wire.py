"""The platform's HTTP interface: targets, statuses and msgpack bodies."""

from typing import Annotated
from urllib.parse import parse_qs, quote, unquote, urlencode, urlsplit

import msgspec

from bergamotcourse.protocol.platform import Committed, Conflict, Row, Write

CLIENT_HEADER = "x-client"
CONTENT_TYPE = ("content-type", "application/msgpack")

TRANSACT_TARGET = "/v1/transact"
GET_TARGET = "/v1/get"
SINCE_TARGET = "/v1/since"
OBJECTS_TARGET = "/v1/objects/"

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503

PAGE_LIMIT = 1000
"""Default number of rows in one page of changes. A page may exceed its limit, because
it never ends inside a transaction."""


class StoredRow(msgspec.Struct, frozen=True):
    """A row with the id of the transaction that wrote it last.

    Attributes:
        writer: Writer id, sixteen hexadecimal digits; empty if there is none.
    """

    key: str
    version: int
    value: bytes | None
    writer: str = ""

    def row(self) -> Row:
        """Return the row without its writer id."""
        return Row(self.key, self.version, self.value)


class TransactCall(msgspec.Struct, frozen=True):
    """A transaction; every copy of it carries the same writer id."""

    writer: str
    writes: list[Write]


class TransactAnswer(msgspec.Struct, frozen=True):
    """The verdict on a transaction; exactly one of the fields is set."""

    committed: Committed | None = None
    conflict: Conflict | None = None

    def __post_init__(self):
        """Refuse an answer without exactly one verdict while it is decoded.

        Raises:
            ValueError: Neither or both of the fields are set.
        """
        if (self.committed is None) == (self.conflict is None):
            raise ValueError("not exactly one verdict")

    @classmethod
    def of(cls, verdict: Committed | Conflict) -> "TransactAnswer":
        """Return the answer that carries a verdict."""
        match verdict:
            case Committed():
                return cls(committed=verdict)
            case Conflict():
                return cls(conflict=verdict)

    def verdict(self) -> Committed | Conflict:
        """Return the verdict."""
        return self.committed or self.conflict


class GetCall(msgspec.Struct, frozen=True):
    """A request for the rows of some keys."""

    keys: list[str]


class GetAnswer(msgspec.Struct, frozen=True):
    """One row for each key of the call, in its order."""

    rows: list[StoredRow]


class SincePage(msgspec.Struct, frozen=True):
    """Changed rows in version order.

    Attributes:
        version: The table's version, or that of the last row if there are more rows.
        more: Whether there are more rows after this version.
    """

    version: int
    rows: list[Row]
    more: bool


class Failure(msgspec.Struct, frozen=True):
    """The body of an error response.

    Attributes:
        took_effect: As in ``PlatformError``.
    """

    detail: str
    took_effect: bool | None


class SinceQuery(msgspec.Struct, frozen=True):
    """The query of a request for changes."""

    prefix: str
    version: int
    limit: Annotated[int, msgspec.Meta(ge=1)] = PAGE_LIMIT

    def target(self) -> str:
        """Return the request target."""
        return f"{SINCE_TARGET}?{urlencode(msgspec.structs.asdict(self))}"

    @classmethod
    def parse(cls, target: str) -> "SinceQuery":
        """Return the query of a request target.

        Raises:
            msgspec.ValidationError: A field is missing or invalid.
        """
        fields = parse_qs(urlsplit(target).query, keep_blank_values=True)
        return msgspec.convert(
            {name: values[-1] for name, values in fields.items()}, cls, strict=False
        )


def object_target(name: str) -> str:
    """Return the request target of an object."""
    return OBJECTS_TARGET + quote(name, safe="")


def object_name(target: str) -> str:
    """Return the name of the object in a request target."""
    return unquote(target.removeprefix(OBJECTS_TARGET))
