"""Writes events as JSON lines to standard output: bounded, and never blocking.

Each kind of event has an allowance; what goes beyond it is counted and told in one line
each second. What the reader does not take is dropped and counted as well.
"""

import os
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import trio

LINES_PER_SECOND = 250
"""Of one kind; at 77 jobs a second over three entries, placements, the most frequent,
come to about 110 a second at an entry, and to more than this in bursts."""

BUFFER_LINES = 20_000
"""Lines that wait for a slow reader, about 4 MB."""

FLUSH_SECONDS = 0.1
"""Between writes: one call then serves all lines of this time."""

STDOUT = 1


class JsonLog:
    """A sink for events.

    Attributes:
        name: Of the process, in each line.
        omitted: Lines beyond the allowance, by kind, since last told.
        dropped: Lines that the reader did not take.
    """

    def __init__(
        self, name: str, fd: int = STDOUT, clock: Callable[[], float] = time.time
    ):
        self.name = name
        self.clock = clock
        self.fd = fd
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.lines: list[bytes] = []
        self.rest = b""
        self.written: Counter[str] = Counter()
        self.omitted: Counter[str] = Counter()
        self.dropped = 0
        self.window = 0
        self.has_lines = trio.Event()

    def sink(self, kind: str, fields: dict[str, Any]) -> None:
        """Take one event."""
        now = self.clock()
        self._turn_window(int(now))
        self.written[kind] += 1
        if self.written[kind] > LINES_PER_SECOND:
            self.omitted[kind] += 1
            return
        self._append(
            {"time": round(now, 3), "event": kind, "node": self.name, **fields}
        )

    async def run(self) -> None:
        """Write lines until cancelled, and what is left then."""
        os.set_blocking(self.fd, False)
        try:
            while True:
                await self.has_lines.wait()
                await trio.sleep(FLUSH_SECONDS)
                self.has_lines = trio.Event()
                self.flush()
                if self.rest or self.omitted:
                    self.has_lines.set()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._turn_window(int(self.clock()))
        data = self.rest + b"".join(self.lines)
        self.lines.clear()
        while data:
            try:
                data = data[os.write(self.fd, data) :]
            except BlockingIOError:
                break
            except OSError:
                # Nobody can be told: the reader is gone.
                data = b""
        self.rest = data

    def _append(self, line: dict[str, Any]) -> None:
        if len(self.lines) >= BUFFER_LINES or len(self.rest) > BUFFER_LINES * 200:
            self.dropped += 1
            return
        self.lines.append(self.encoder.encode(line) + b"\n")
        self.has_lines.set()

    def _turn_window(self, second: int) -> None:
        if second == self.window:
            return
        self.window = second
        self.written.clear()
        if self.omitted or self.dropped:
            line = {"event": "log.omitted", "node": self.name, "kinds": self.omitted}
            omitted = {**line, "kinds": dict(self.omitted), "dropped": self.dropped}
            self.omitted.clear()
            self.dropped = 0
            self._append({"time": second, **omitted})
