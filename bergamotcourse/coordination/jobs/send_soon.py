"""Sends once for all that becomes due in one turn of the scheduler."""

from collections.abc import Callable

import trio

from bergamotcourse.ids import LinkAddress


class SendSoon:
    """Peers to which something is to be sent at once.

    Attributes:
        send: Sends to a peer what it is owed.
    """

    def __init__(self, send: Callable[[LinkAddress], None]):
        self.send = send
        self.due: dict[LinkAddress, None] = {}
        self.wake = trio.Event()

    def mark(self, peer: LinkAddress) -> None:
        """Note that a peer is owed something."""
        self.due[peer] = None
        self.wake.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            due, self.due = self.due, {}
            for peer in due:
                self.send(peer)
