"""Combines all sends to a peer that are requested in one pass of the event loop."""

from collections.abc import Callable

import trio

from bergamotcourse.ids import LinkAddress


class SendCoalescer:
    """Sends once to each peer, however many sends were requested since the last pass.

    Attributes:
        send: Sends to a peer all that is due to it.
        due: Peers to send to, in order of the first request.
        wake: Set while ``due`` is not empty.
    """

    def __init__(self, send: Callable[[LinkAddress], None]):
        self.send = send
        self.due: dict[LinkAddress, None] = {}
        self.wake = trio.Event()

    def request_send(self, peer: LinkAddress) -> None:
        """Request a message to a peer as soon as the event loop runs the sender."""
        self.due[peer] = None
        self.wake.set()

    async def run(self) -> None:
        """Send the requested messages until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            due, self.due = self.due, {}
            for peer in due:
                self.send(peer)
