"""Lets other tasks run while payloads keep coming."""

import trio

RECEIVES_PER_TURN = 16
"""Payloads taken in a row before other tasks get their turn."""


class ReceiveTurns:
    """Counts what a link receives in a row.

    Attributes:
        taken: Payloads since other tasks last had their turn.
    """

    def __init__(self):
        self.taken = 0

    async def take(self) -> None:
        """Begin to receive a payload; yields to other tasks now and then."""
        self.taken += 1
        if self.taken < RECEIVES_PER_TURN:
            await trio.lowlevel.checkpoint_if_cancelled()
            return
        self.taken = 0
        await trio.lowlevel.checkpoint()

    def end(self) -> None:
        """Note that the link waits, so that others have their turn anyway."""
        self.taken = 0
