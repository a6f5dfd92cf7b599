"""The configuration of the queues in force at this process: it only moves forward."""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.state.job_spec import QueueTable

Decoder = Callable[[bytes], QueueTable]
"""Decodes a configuration.

Raises:
    ValueError: It is malformed.
"""


class QueuesInForce:
    """The newest configuration that this process has seen.

    Attributes:
        content: As it was received, to be passed on.
        table: Its queues; ``None`` before the first.
        on_change: Called after each change.
    """

    def __init__(self, decode: Decoder, log: EventLog):
        self.decode = decode
        self.log = log
        self.content = b""
        self.table: QueueTable | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.first = trio.Event()

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.table.version if self.table else 0

    def adopt(self, content: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; false if it is not."""
        try:
            table = self.decode(content)
        except ValueError as error:
            self.log.write("config.malformed", source=source, detail=str(error))
            return False
        if table.version <= self.version:
            return False
        self.log.write(
            "config.in_force",
            version=table.version,
            former=self.version,
            queues=len(table.queues),
            source=source,
        )
        self.table = table
        self.content = content
        self.first.set()
        self.on_change()
        return True
