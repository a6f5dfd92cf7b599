"""Validation of parsed YAML against a schema of dataclasses.

The validator reports all issues of a document at once. It replaces faulty values by
placeholders, so that the document always converts to the schema and the checks across
fields can run and report as well.
"""

import dataclasses
import ipaddress
import math
import re
import types
import typing
from enum import Enum
from typing import Any, Literal, Union

import msgspec

from bergamotcourse.state.issues import Issue, Severity
from bergamotcourse.state.schema import Format, Rule, required, rules
from bergamotcourse.state.validation_messages import (
    TYPE_PHRASES,
    describe_expected,
    join_path,
    quote_value,
    unknown_key_message,
)

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9*?][A-Za-z0-9._*?-]{0,99}")
SHA256 = re.compile(r"[0-9a-f]{64}")
METHOD = re.compile(r"[A-Z][A-Z-]{0,19}")


class Validator:
    """Validates a document against a schema and collects the issues.

    Attributes:
        file: Name of the document in the issues.
        issues: The issues found so far.
    """

    def __init__(self, file: str):
        self.file = file
        self.issues: list[Issue] = []

    def convert(self, document: Any, schema: type) -> Any:
        """Return the document as the schema's dataclass; faulty values are replaced."""
        cleaned = self.clean(document, schema, Rule(), "")
        return msgspec.convert(cleaned, schema, strict=True)

    def error(self, path: str, detail: str) -> None:
        """Add an error."""
        self.issues.append(Issue(self.file, path, detail))

    def warn(self, path: str, detail: str) -> None:
        """Add a warning."""
        self.issues.append(Issue(self.file, path, detail, Severity.WARNING))

    def clean(self, value: Any, kind: Any, rule: Rule, path: str) -> Any:
        """Check a value and return it, or a replacement of the expected type."""
        kind = getattr(kind, "__supertype__", kind)
        origin = typing.get_origin(kind)
        if origin in (Union, types.UnionType):
            return self._clean_optional(value, kind, rule, path)
        if origin is Literal:
            return self._clean_choice(value, list(typing.get_args(kind)), rule, path)
        if origin is list:
            return self._clean_list(value, kind, rule, path)
        if origin is dict:
            return self._clean_dict(value, kind, rule, path)
        if dataclasses.is_dataclass(kind):
            return self._clean_dataclass(value, kind, path)
        if issubclass(kind, Enum):
            choices = [member.value for member in kind]
            return self._clean_choice(value, choices, rule, path)
        return self._clean_scalar(value, kind, rule, path)

    def _clean_optional(self, value: Any, kind: Any, rule: Rule, path: str) -> Any:
        if value is None:
            return None
        inner = [one for one in typing.get_args(kind) if one is not type(None)]
        return self.clean(value, inner[0], rule, path)

    def _clean_choice(
        self, value: Any, choices: list[Any], rule: Rule, path: str
    ) -> Any:
        if value in choices:
            return value
        words = ", ".join(str(choice) for choice in choices)
        self.error(path, f"{quote_value(value, rule)} is not one of: {words}; give one")
        return choices[0]

    def _clean_list(self, value: Any, kind: Any, rule: Rule, path: str) -> list[Any]:
        if not isinstance(value, list):
            self.error(
                path, f"{quote_value(value, rule)} is not a list; write '- ' items"
            )
            return []
        (item,) = typing.get_args(kind)
        return [
            self.clean(one, item, rule, f"{path}[{index}]")
            for index, one in enumerate(value)
        ]

    def _clean_dict(self, value: Any, kind: Any, rule: Rule, path: str) -> dict:
        if not self._is_mapping(value, rule, path):
            return {}
        _, item = typing.get_args(kind)
        cleaned = {}
        for key, one in value.items():
            if isinstance(key, str):
                cleaned[key] = self.clean(one, item, rule, join_path(path, key))
            else:
                self.error(path, f"key {key!r} is not text; put it in quotes")
        return cleaned

    def _clean_dataclass(self, value: Any, schema: type, path: str) -> dict:
        if not self._is_mapping(value, Rule(), path):
            return empty(schema)
        hints = typing.get_type_hints(schema)
        schema_rules = rules(schema)
        cleaned = {}
        for key, one in value.items():
            if key not in hints:
                self.error(
                    join_path(path, str(key)),
                    unknown_key_message(str(key), list(hints)),
                )
                continue
            before = len(self.issues)
            item_path = join_path(path, key)
            result = self.clean(one, hints[key], schema_rules[key], item_path)
            replaced = len(self.issues) > before and type(one) is not type(result)
            if not replaced or key in required(schema):
                cleaned[key] = result
        for key in required(schema):
            if key not in value:
                expected = describe_expected(hints[key], schema_rules[key])
                self.error(join_path(path, key), f"missing; give {expected}")
                cleaned[key] = empty(hints[key])
        return cleaned

    def _is_mapping(self, value: Any, rule: Rule, path: str) -> bool:
        if isinstance(value, dict):
            return True
        self.error(
            path, f"{quote_value(value, rule)} is not a mapping; write 'key: value'"
        )
        return False

    def _clean_scalar(self, value: Any, kind: type, rule: Rule, path: str) -> Any:
        if not has_type(value, kind):
            needs_quotes = kind is str and value is not None
            expected = f"give {describe_expected(kind, rule)}"
            remedy = "put it in quotes" if needs_quotes else expected
            detail = f"{quote_value(value, rule)} is not {TYPE_PHRASES[kind]}; {remedy}"
            self.error(path, detail)
            return kind()
        fault = text_fault(value, rule) if kind is str else range_fault(value, rule)
        if fault:
            remedy = describe_expected(kind, rule)
            self.error(path, f"{quote_value(value, rule)} is {fault}; give {remedy}")
        return value


def has_type(value: Any, kind: type) -> bool:
    """Return whether a parsed scalar has a type; a Boolean is not a number."""
    if isinstance(value, bool):
        return kind is bool
    if kind is float:
        return isinstance(value, int | float) and math.isfinite(value)
    return isinstance(value, kind)


def range_fault(value: float, rule: Rule) -> str:
    """Return the fault of a number, or ``""`` if it is valid."""
    too_low = rule.low is not None and value < rule.low
    too_high = rule.high is not None and value > rule.high
    not_above = rule.above is not None and value <= rule.above
    return "out of range" if too_low or too_high or not_above else ""


def text_fault(value: str, rule: Rule) -> str:
    """Return the fault of a text, or ``""`` if it is valid."""
    if not value:
        return "" if rule.may_be_empty else "empty"
    match rule.format:
        case Format.TEXT:
            return ""
        case Format.NAME:
            return "" if NAME.fullmatch(value) else "not a name"
        case Format.NAME_PATTERN:
            return "" if NAME_PATTERN.fullmatch(value) else "not a name pattern"
        case Format.SHA256:
            return "" if SHA256.fullmatch(value) else "not a sha256"
        case Format.METHOD:
            return "" if METHOD.fullmatch(value) else "not an HTTP method"
        case Format.IP:
            return "" if is_ip(value) else "not an IP number"


def is_ip(value: str) -> bool:
    """Return whether a text is a literal IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def empty(kind: Any) -> Any:
    """Return a placeholder of a type for a required value that is missing or faulty."""
    scratch = Validator("")
    kind = getattr(kind, "__supertype__", kind)
    if dataclasses.is_dataclass(kind):
        return scratch.clean({}, kind, Rule(), "")
    return scratch.clean(None, kind, Rule(), "")
