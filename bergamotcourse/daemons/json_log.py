"""Writes events as JSON lines to standard output, without blocking.

The rate of each kind of event is limited. Lines beyond the limit are counted and
reported in one line per second. If the reader is too slow, lines are dropped and
counted as well.
"""

import os
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import trio

LINES_PER_SECOND = 250
"""Limit for each kind of event. At 77 jobs a second over three entries, placements are
the most frequent: about 110 a second at an entry, with bursts above this limit."""

MAX_BUFFERED_LINES = 20_000
"""Limit of lines buffered for a slow reader, about 4 MB."""

FLUSH_SECONDS = 0.1
"""Interval between writes; one system call writes all lines of an interval."""

STDOUT = 1


class JsonLog:
    """A rate-limited log of events as JSON lines.

    Attributes:
        name: Name of the process, included in each line.
        window_lines: Events of each kind in the current second.
        omitted: Lines beyond the rate limit, by kind, since the last report.
        dropped: Lines dropped because the buffer was full, since the last report.
        unwritten: Encoded bytes that the reader has not accepted yet.
    """

    def __init__(
        self, name: str, fd: int = STDOUT, clock: Callable[[], float] = time.time
    ):
        self.name = name
        self.clock = clock
        self.fd = fd
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.lines: list[bytes] = []
        self.unwritten = b""
        self.window_lines: Counter[str] = Counter()
        self.omitted: Counter[str] = Counter()
        self.dropped = 0
        self.window = 0
        self.has_lines = trio.Event()

    def sink(self, kind: str, fields: dict[str, Any]) -> None:
        """Append one event, or count it as omitted or dropped."""
        now = self.clock()
        self._update_window(int(now))
        self.window_lines[kind] += 1
        if self.window_lines[kind] > LINES_PER_SECOND:
            self.omitted[kind] += 1
            return
        self._append(
            {"time": round(now, 3), "event": kind, "node": self.name, **fields}
        )

    async def run(self) -> None:
        """Write buffered lines until cancelled, and once more at the end."""
        os.set_blocking(self.fd, False)
        try:
            while True:
                await self.has_lines.wait()
                await trio.sleep(FLUSH_SECONDS)
                self.has_lines = trio.Event()
                self.flush()
                if self.unwritten or self.omitted:
                    self.has_lines.set()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        self._update_window(int(self.clock()))
        data = self.unwritten + b"".join(self.lines)
        self.lines.clear()
        while data:
            try:
                data = data[os.write(self.fd, data) :]
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported.
                data = b""
        self.unwritten = data

    def _append(self, line: dict[str, Any]) -> None:
        if (
            len(self.lines) >= MAX_BUFFERED_LINES
            or len(self.unwritten) > MAX_BUFFERED_LINES * 200
        ):
            self.dropped += 1
            return
        self.lines.append(self._encode(line) + b"\n")
        self.has_lines.set()

    def _encode(self, line: dict[str, Any]) -> bytes:
        try:
            return self.encoder.encode(line)
        except (ValueError, OverflowError, RecursionError) as error:
            # A text that isn't valid Unicode, for example.
            kept = {key: line[key] for key in ("time", "event", "node") if key in line}
            return self.encoder.encode({**kept, "not_logged": type(error).__name__})

    def _update_window(self, second: int) -> None:
        if second == self.window:
            return
        self.window = second
        self.window_lines.clear()
        if self.omitted or self.dropped:
            line = {"event": "log.omitted", "node": self.name, "kinds": self.omitted}
            omitted = {**line, "kinds": dict(self.omitted), "dropped": self.dropped}
            self.omitted.clear()
            self.dropped = 0
            self._append({"time": second, **omitted})
