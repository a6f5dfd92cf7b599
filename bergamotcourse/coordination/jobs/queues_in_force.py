"""The queue configuration in force in this process; its version never decreases."""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.state.job_spec import QueueTable

Decoder = Callable[[bytes], QueueTable]
"""Decodes a configuration.

Raises:
    ValueError: The configuration is malformed.
"""


class QueuesInForce:
    """The newest configuration that this process has received.

    Attributes:
        content: The encoded configuration as received, for sending it to peers.
        table: The queues; ``None`` before the first configuration.
        on_change: Called after each change.
        first_adopted: Set once a configuration is in force.
    """

    def __init__(self, decode: Decoder, log: EventLog):
        self.decode = decode
        self.log = log
        self.content = b""
        self.table: QueueTable | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.first_adopted = trio.Event()

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.table.version if self.table else 0

    def adopt(self, content: bytes, source: str) -> bool:
        """Put a configuration in force if it is well-formed and newer.

        Args:
            content: The encoded configuration.
            source: Where it was received from, for the log.

        Returns:
            Whether it was put in force.
        """
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
        self.first_adopted.set()
        self.on_change()
        return True
