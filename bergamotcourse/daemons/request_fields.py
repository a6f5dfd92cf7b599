"""Reads the header fields of callers' requests."""

import math

import msgspec
import xxhash

from bergamotcourse.state.keys import MAX_KEY_LENGTH
from bergamotcourse.state.manifest import IDEMPOTENT_METHODS, Service
from bergamotcourse.state.submission import TaskRequest
from bergamotcourse.transport.http import HttpRequest

KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "idempotent"
TIMEOUT_HEADER = "request-timeout"
NOT_FORWARDED_HEADERS = {
    "authorization",
    KEY_HEADER,
    IDEMPOTENT_HEADER,
    TIMEOUT_HEADER,
    "prefer",
    "expect",
}


def is_idempotent(request: HttpRequest, service: Service) -> bool:
    """Return whether a request may be retried, by its header or else its method."""
    match request.header(IDEMPOTENT_HEADER).strip().lower():
        case "?1" | "true":
            return True
        case "?0" | "false":
            return False
    methods = service.idempotent_methods or IDEMPOTENT_METHODS
    return request.method in methods


def check_key(key: str) -> str:
    """Return why an idempotency key is invalid, or ``""`` if it is valid."""
    if len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        return f"the key is over {MAX_KEY_LENGTH} characters or not printable ASCII"
    if "/" in key or "?" in key or "#" in key:
        return "the key has a character that a path cannot have: / ? or #"
    return ""


def parse_seconds(text: str) -> float | None:
    """Return a finite, non-negative number of seconds, or ``None`` if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def tasks_digest(service: str, tasks: list[TaskRequest]) -> bytes:
    """Return a hash of the tasks, to detect a key reused for another request."""
    hasher = xxhash.xxh3_128(service.encode())
    for task in tasks:
        hasher.update(msgspec.msgpack.encode([task.method, task.target, task.body]))
    return hasher.digest()
