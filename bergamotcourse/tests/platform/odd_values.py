"""Values that a valid document may have in place of one of its own."""

import msgspec

NESTING = 200_000

ROW_BYTES = 65_536
"""Most bytes that the platform's store keeps in a row."""

DEEP_JSON = b"[" * NESTING + b"]" * NESTING
DEEP_MSGPACK = b"\x91" * NESTING + b"\xc0"

ODD_JSON = {
    "deep": DEEP_JSON,
    "10^30": b"1" + b"0" * 30,
    "10^400": b"1" + b"0" * 400,
    "10^5000": b"1" + b"0" * 5000,
    "2^64": b"18446744073709551616",
    "2^64-1": b"18446744073709551615",
    "1e308": b"1e308",
    "1e400": b"1e400",
    "-1": b"-1",
    "-10^30": b"-1" + b"0" * 30,
    "NaN": b"NaN",
    "null": b"null",
    "true": b"true",
    "empty text": b'""',
    "long text": b'"' + b"x" * 300_000 + b'"',
    "lone surrogate": b'"\\ud800 and more text"',
    "text": b'"0"',
    "list": b"[[1]]",
    "object": b'{"a":{}}',
}
"""JSON texts by their names."""

ODD_MSGPACK = {
    "deep": DEEP_MSGPACK,
    "2^64-1": b"\xcf" + b"\xff" * 8,
    "-2^63": b"\xd3\x80" + b"\x00" * 7,
    "NaN": b"\xcb\x7f\xf8" + b"\x00" * 6,
    "infinity": b"\xcb\x7f\xf0" + b"\x00" * 6,
    "-infinity": b"\xcb\xff\xf0" + b"\x00" * 6,
    "1e308": msgspec.msgpack.encode(1e308),
    "nil": b"\xc0",
    "bad text": b"\xa1\xff",
    "long text": msgspec.msgpack.encode("x" * 300_000),
    "list": b"\x91\x91\x01",
    "extension": b"\xc7\x0c\xff" + b"\xff" * 12,
}
"""MessagePack values by their names."""

SHORTENED = {
    "deep": lambda size: b"\x91" * (size - 1) + b"\xc0",
    "long text": lambda size: msgspec.msgpack.encode("x" * (size - 5)),
}
"""The long ones of these values, with at most a number of bytes."""


def json_variants(document: dict) -> dict[str, bytes]:
    """Return a document once for each field and odd value; the names say which.

    Fields of objects in the document are replaced too, and an unknown field is added.
    """
    variants = {}
    for path in paths_of(document):
        for name, odd in ODD_JSON.items():
            where = ".".join(str(part) for part in path)
            changed = replaced(document, path, msgspec.Raw(odd))
            variants[f"{where} = {name}"] = msgspec.json.encode(changed)
    return variants


def msgpack_variants(document: dict) -> dict[str, bytes]:
    """Return the same for a document in MessagePack."""
    variants = {}
    for path in paths_of(document):
        for name, odd in ODD_MSGPACK.items():
            where = ".".join(str(part) for part in path)
            changed = replaced(document, path, msgspec.Raw(odd))
            variants[f"{where} = {name}"] = msgspec.msgpack.encode(changed)
    return variants


def row_variants(document: dict) -> dict[str, bytes]:
    """Return the same as rows of the store: as deep and as long as a row may be."""
    variants = {}
    for name, content in msgpack_variants(document).items():
        where, odd = name.split(" = ")
        excess = max(0, len(content) - ROW_BYTES)
        if excess:
            path = tuple(int(p) if p.isdigit() else p for p in where.split("."))
            value = SHORTENED[odd](len(ODD_MSGPACK[odd]) - excess)
            changed = replaced(document, path, msgspec.Raw(value))
            content = msgspec.msgpack.encode(changed)
        variants[name] = content
    return variants


def paths_of(value, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values inside a document, and of an unknown field."""
    match value:
        case dict():
            inner = [p for key in value for p in paths_of(value[key], (*path, key))]
            return [*inner, (*path, "unknown"), *([path] if path else [])]
        case list():
            inner = [
                p for i, one in enumerate(value) for p in paths_of(one, (*path, i))
            ]
            return [*inner, path]
        case _:
            return [path]


def replaced(value, path: tuple, odd):
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return odd
    first, *rest = path
    copy = value.copy()
    if rest:
        copy[first] = replaced(value[first], tuple(rest), odd)
    else:
        copy[first] = odd
    return copy
