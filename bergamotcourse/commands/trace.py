"""``trace``: show the log lines of one request from several processes."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_json

MIN_ID_DIGITS = 6
HIDDEN_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "action_type", "message_type")
    + ("action_status", "submission")
)
MILLISECONDS_PER_SECOND = 1000

LogLine = dict[str, Any]


@dataclass
class TraceReport:
    """The log lines of a request, as JSON."""

    lines: list[LogLine] = field(default_factory=list)


def trace(request_id: str, files: list[str], json: bool = False) -> int:
    """Show the log lines of one request; return the exit code.

    Args:
        request_id: Hex id of the trace or submission, or a prefix of it.
        files: Paths of the logs of entries and agents.
        json: Write JSON instead of text.
    """
    id_prefix = request_id.lower()
    if len(id_prefix) < MIN_ID_DIGITS:
        click.echo(f"error: give at least {MIN_ID_DIGITS} digits of the id", err=True)
        return ExitCode.INVALID
    try:
        lines = find_lines(id_prefix, files)
    except OSError as error:
        click.echo(f"error: {error}", err=True)
        return ExitCode.INVALID
    if not lines:
        click.echo(f"error: no log line of {request_id}", err=True)
        return ExitCode.NOT_FOUND
    if json:
        echo_json(TraceReport(lines))
        return ExitCode.OK
    for line in lines:
        click.echo(describe_line(line, lines[0]["timestamp"]))
    return ExitCode.OK


def find_lines(id_prefix: str, files: list[str]) -> list[LogLine]:
    """Return the lines of a request ordered by timestamp, then by task level.

    Timestamps are of each machine's wall clock: clock skew between machines can change
    the order of lines of different processes.

    Raises:
        OSError: A file can't be read.
    """
    trace_ids = {
        line["task_uuid"]
        for path in files
        for line in _read_log(path)
        if line["task_uuid"].startswith(id_prefix)
        or str(line.get("submission", "")).startswith(id_prefix)
    }
    found = [
        line
        for path in files
        for line in _read_log(path)
        if line["task_uuid"] in trace_ids
    ]
    return sorted(found, key=lambda line: (line["timestamp"], line["task_level"]))


def describe_line(line: LogLine, first_timestamp: float) -> str:
    """Format a line, with milliseconds since the first one."""
    name = line.get("message_type") or line["action_type"]
    status = line.get("action_status", "")
    after = (line["timestamp"] - first_timestamp) * MILLISECONDS_PER_SECOND
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS
    )
    return f"{after:9.1f} ms  {name} {status}".rstrip() + f"  {fields}".rstrip()


def _read_log(path: str) -> Iterator[LogLine]:
    """Yield the lines of a log that eliot wrote; skip all others."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            if not text.startswith("{"):
                continue
            try:
                line = msgspec.json.decode(text)
            except msgspec.MsgspecError:
                continue
            if "task_uuid" in line and "timestamp" in line:
                yield line
