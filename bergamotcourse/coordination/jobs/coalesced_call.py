"""Makes one call for all requests of a pass of the event loop."""

from collections.abc import Callable

import trio


class CoalescedCall:
    """Calls a function once, however often it was requested since the last pass.

    Attributes:
        call: The function.
        requested: Set while a call is requested.
    """

    def __init__(self, call: Callable[[], None]):
        self.call = call
        self.requested = trio.Event()

    def request(self) -> None:
        """Request a call as soon as the event loop runs ``run``."""
        self.requested.set()

    async def run(self) -> None:
        """Make the requested calls until cancelled."""
        while True:
            await self.requested.wait()
            self.requested = trio.Event()
            self.call()
