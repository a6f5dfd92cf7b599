"""Cooperative scheduling of a link that receives payloads without a pause."""

import trio

RECEIVES_PER_YIELD = 16
"""Payloads received in a row before the task yields to others."""


class ReceiveBudget:
    """Counts the payloads that a link receives without yielding to other tasks.

    Attributes:
        spent: Payloads received since the task last yielded.
    """

    def __init__(self):
        self.spent = 0

    async def spend(self) -> None:
        """Count one payload; yield to other tasks if the budget is used up."""
        self.spent += 1
        if self.spent < RECEIVES_PER_YIELD:
            await trio.lowlevel.checkpoint_if_cancelled()
            return
        self.spent = 0
        await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Restore the whole budget: the task is about to wait, which yields anyway."""
        self.spent = 0
