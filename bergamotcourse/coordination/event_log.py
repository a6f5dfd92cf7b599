"""The log of decisions and state changes: one event a line, written by a sink."""

from collections.abc import Callable
from typing import Any

Sink = Callable[[str, dict[str, Any]], None]
"""Called with the kind of an event and its fields; must not block."""


def _ignore(_kind: str, _fields: dict[str, Any]) -> None:
    """Drop an event."""


class EventLog:
    """Passes events to a sink.

    Attributes:
        sink: Receives the events; drops them unless a daemon sets it.
    """

    def __init__(self, sink: Sink = _ignore):
        self.sink = sink

    def write(self, kind: str, /, **fields: Any) -> None:
        """Write one event; a field may have any name, also ``kind``."""
        self.sink(kind, fields)
