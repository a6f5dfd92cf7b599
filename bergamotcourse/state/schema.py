"""Schema fields: dataclass fields that carry constraints on their values.

A field created by ``schema_field`` carries a ``Rule``, which is checked by the
validation, printed on the reference page and quoted in error messages.
"""

from dataclasses import MISSING, dataclass, field, fields
from enum import Enum
from typing import Any

KIB = 1024
MIB = 1024 * KIB
RULE_METADATA_KEY = "rule"
"""Key of the rule in a field's metadata."""


class Format(Enum):
    """The required format of a text."""

    TEXT = "text"
    NAME = "name"
    NAME_PATTERN = "name pattern"
    IP = "IP number"
    SHA256 = "sha256"
    METHOD = "HTTP method"


@dataclass(frozen=True)
class Rule:
    """Constraints on a field's value, in addition to its type.

    Attributes:
        help: One-line description for the reference page.
        expected: The expected kind of value with its article, as in ``a port``.
        low: Minimum of a number, inclusive.
        high: Maximum of a number, inclusive.
        above: Minimum of a number, exclusive.
        unit: Unit of a number.
        format: Required format of a text.
        secret: The value is never shown in messages.
        may_be_empty: An empty text is accepted.
    """

    help: str = ""
    expected: str = ""
    low: float | None = None
    high: float | None = None
    above: float | None = None
    unit: str = ""
    format: Format = Format.TEXT
    secret: bool = False
    may_be_empty: bool = True


def schema_field(
    help_text: str, default: Any = MISSING, factory: Any = MISSING, **rule: Any
) -> Any:
    """Return a dataclass field that carries a rule.

    Args:
        help_text: One-line description for the reference page.
        default: Default value, if the field has one.
        factory: Function that returns the default value, if that is mutable.
        **rule: Further attributes of ``Rule``.
    """
    metadata = {RULE_METADATA_KEY: Rule(help=help_text, **rule)}
    return field(default=default, default_factory=factory, metadata=metadata)


def seconds_field(
    help_text: str, default: float, low: float = 0.05, high: float = 86400
) -> Any:
    """Return a field for a time in seconds."""
    return schema_field(
        help_text, default, expected="a time", low=low, high=high, unit="seconds"
    )


def count_field(help_text: str, default: int, low: int = 1, high: int = 10**9) -> Any:
    """Return a field for a count."""
    return schema_field(help_text, default, expected="a count", low=low, high=high)


def size_field(
    help_text: str, default: int, low: int = KIB, high: int = 1024 * MIB
) -> Any:
    """Return a field for a size in bytes."""
    return schema_field(
        help_text, default, expected="a size", low=low, high=high, unit="bytes"
    )


def name_field(help_text: str, default: str | None = None) -> Any:
    """Return a field for a name, which is required if there is no default."""
    if default is not None:
        return schema_field(help_text, default, format=Format.NAME)
    return schema_field(help_text, format=Format.NAME, may_be_empty=False)


def rules(schema: type) -> dict[str, Rule]:
    """Return the rule of each field of a dataclass."""
    return {
        item.name: item.metadata.get(RULE_METADATA_KEY, Rule())
        for item in fields(schema)
    }


def required(schema: type) -> list[str]:
    """Return the names of the fields that have no default."""
    return [
        item.name
        for item in fields(schema)
        if item.default is MISSING and item.default_factory is MISSING
    ]
