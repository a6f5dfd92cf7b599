"""The log of decisions and beliefs: one event a line, for a sink to write."""

from collections.abc import Callable
from typing import Any

Sink = Callable[[str, dict[str, Any]], None]
"""Takes the kind of an event and its fields; never blocks."""


def _ignore(_kind: str, _fields: dict[str, Any]) -> None:
    """Drop an event."""


class EventLog:
    """Hands events to a sink.

    Attributes:
        sink: Where events go; nowhere unless a daemon sets it.
    """

    def __init__(self, sink: Sink = _ignore):
        self.sink = sink

    def write(self, kind: str, **fields: Any) -> None:
        """Write one event."""
        self.sink(kind, fields)
