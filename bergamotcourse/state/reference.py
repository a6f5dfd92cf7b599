"""Documents generated from the schemas: the reference page and the JSON Schema."""

import dataclasses
import types
import typing
from dataclasses import MISSING, Field
from enum import Enum
from typing import Any

import msgspec

from bergamotcourse.state.manifest import Manifest
from bergamotcourse.state.schema import Format, Rule, rules
from bergamotcourse.state.settings import AgentSettings, EntrySettings
from bergamotcourse.state.validation import METHOD, NAME, NAME_PATTERN, SHA256
from bergamotcourse.state.validation_messages import describe_range, join_path

TABLE_HEADER = "| Key | Type | Default | Meaning |\n| --- | --- | --- | --- |\n"
TYPE_NAMES = {int: "whole number", float: "number", str: "text", bool: "true or false"}

PATTERNS = {
    Format.NAME: NAME,
    Format.NAME_PATTERN: NAME_PATTERN,
    Format.SHA256: SHA256,
    Format.METHOD: METHOD,
}


def settings_page() -> str:
    """Return the reference page of the settings, in Markdown."""
    sections = [
        "# Settings\n\nMade from the schema in `bergamotcourse/state/settings.py`;"
        " a test keeps this page equal to it.\n",
        "## Entry\n\n" + schema_table(EntrySettings),
        "## Agent\n\n" + schema_table(AgentSettings),
    ]
    return "\n".join(sections)


def schema_table(schema: type) -> str:
    """Return a table of a schema's keys, in Markdown."""
    return TABLE_HEADER + "".join(row + "\n" for row in _rows(schema, ""))


def _rows(schema: type, prefix: str) -> list[str]:
    hints = typing.get_type_hints(schema)
    schema_rules = rules(schema)
    rows = []
    for item in dataclasses.fields(schema):
        path = join_path(prefix, item.name)
        rows.append(_row(path, hints[item.name], item, schema_rules[item.name]))
        nested = _nested(hints[item.name])
        if nested:
            is_list = typing.get_origin(hints[item.name]) is list
            rows += _rows(nested, path + ("[]" if is_list else ""))
    return rows


def _row(path: str, kind: Any, item: Field, rule: Rule) -> str:
    unit = f" {rule.unit}" if rule.unit else ""
    words = describe_type(kind) + describe_range(rule) + unit
    return f"| `{path}` | {words} | {describe_default(item)} | {rule.help} |"


def _nested(kind: Any) -> type | None:
    for one in [kind, *typing.get_args(kind)]:
        if dataclasses.is_dataclass(one):
            return one
    return None


def describe_type(kind: Any) -> str:
    """Return the description of a type."""
    kind = getattr(kind, "__supertype__", kind)
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return describe_type(args[0])
    if origin is list:
        return f"list of {describe_type(args[0])}"
    if dataclasses.is_dataclass(kind):
        return "mapping"
    if issubclass(kind, Enum):
        return " or ".join(f"`{member.value}`" for member in kind)
    return TYPE_NAMES[kind]


def describe_default(item: Field) -> str:
    """Return the description of a field's default."""
    if item.default is MISSING and item.default_factory is MISSING:
        return "required"
    default = item.default if item.default is not MISSING else item.default_factory()
    if default is None or default in ("", []):
        return "none"
    if dataclasses.is_dataclass(default):
        return "see below"
    return f"`{msgspec.json.encode(default).decode()}`"


def manifest_schema() -> dict[str, Any]:
    """Return the JSON Schema of the manifest, for the pipeline that generates it."""
    document = msgspec.json.schema(Manifest)
    schemas = _dataclasses(Manifest)
    for name, definition in document["$defs"].items():
        if name not in schemas:
            continue
        definition["additionalProperties"] = False
        for key, rule in rules(schemas[name]).items():
            _add_rule(definition["properties"][key], rule)
    return document


def _dataclasses(schema: type) -> dict[str, type]:
    found = {schema.__name__: schema}
    for kind in typing.get_type_hints(schema).values():
        nested = _nested(kind)
        if nested:
            found.update(_dataclasses(nested))
    return found


def _add_rule(definition: dict[str, Any], rule: Rule) -> None:
    """Add a rule to a property; the rule of a list applies to its items."""
    definition["description"] = rule.help
    target = definition.get("items", definition)
    limits = {
        "minimum": rule.low,
        "maximum": rule.high,
        "exclusiveMinimum": rule.above,
    }
    target.update({key: limit for key, limit in limits.items() if limit is not None})
    if rule.format in PATTERNS:
        # A field that may be empty accepts the empty string in addition to the pattern.
        pattern = PATTERNS[rule.format].pattern
        target["pattern"] = f"^({pattern}){'?' if rule.may_be_empty else ''}$"
