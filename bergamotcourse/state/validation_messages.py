"""Wording of the messages on invalid documents."""

import dataclasses
import difflib
from typing import Any

from bergamotcourse.state.schema import Format, Rule, required

MAX_QUOTED_CHARS = 80
"""Longer values are truncated in messages."""

TYPE_PHRASES = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
}
FORMAT_HINTS = {
    Format.NAME: "a name of letters, digits, '.', '_' and '-'",
    Format.NAME_PATTERN: "a name in which '*' and '?' stand for other characters",
    Format.IP: "a literal IP number such as 10.0.0.1",
    Format.SHA256: "the sha256 of the token as 64 lower-case hex digits, in quotes",
    Format.METHOD: "an HTTP method in capitals, such as GET",
}


def describe_expected(kind: Any, rule: Rule) -> str:
    """Return a description of a field's values, as in ``a port from 0 to 65535``."""
    kind = getattr(kind, "__supertype__", kind)
    noun = (
        rule.expected
        or FORMAT_HINTS.get(rule.format)
        or TYPE_PHRASES.get(kind, "a value")
    )
    if dataclasses.is_dataclass(kind):
        noun = f"a mapping of {', '.join(required(kind)) or 'its keys'}"
    return noun + describe_range(rule) + (f" {rule.unit}" if rule.unit else "")


def describe_range(rule: Rule) -> str:
    """Return a description of a rule's range with a leading space, or ``""``."""
    words = ""
    if rule.above is not None:
        words += f" above {rule.above:g}"
    if rule.low is not None:
        words += f" from {rule.low:.15g}"
    if rule.high is not None:
        words += f" to {rule.high:.15g}"
    return words


def quote_value(value: Any, rule: Rule) -> str:
    """Return a faulty value as quoted in a message; secrets are not shown."""
    if value is None:
        return "empty value"
    if rule.secret:
        return f"the value ({len(str(value))} characters, not shown)"
    text = str(value) if type(value).__module__ == "datetime" else repr(value)
    return text if len(text) <= MAX_QUOTED_CHARS else text[:MAX_QUOTED_CHARS] + "..."


def unknown_key_message(key: str, known: list[str]) -> str:
    """Return the message on an unknown key, which suggests the closest known key."""
    near = difflib.get_close_matches(key, known, n=1)
    if near:
        return f"unknown key {key!r}; did you mean {near[0]!r}?"
    return f"unknown key {key!r}; known keys: {', '.join(known)}"


def join_path(path: str, key: str) -> str:
    """Return the path of a key within the mapping at ``path``."""
    return f"{path}.{key}" if path else key
