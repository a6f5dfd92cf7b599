"""Sets the destination of eliot's log."""

import sys

import eliot

from bergamotcourse.coordination.event_log import EventLog


def open_log(path: str) -> None:
    """Append eliot's log lines to a file, or write them to standard error for ``-``."""
    target = sys.stderr if path == "-" else open(path, "a", buffering=1)  # noqa: SIM115
    eliot.to_file(target)


def eliot_events() -> EventLog:
    """Return a log whose events are written to eliot's log."""
    return EventLog(lambda kind, fields: eliot.log_message(kind, **fields))
