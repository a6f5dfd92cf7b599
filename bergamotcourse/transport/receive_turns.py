"""Cooperative scheduling of a link that receives payloads without a pause."""

import trio

RECEIVES_PER_YIELD = 16
"""Payloads received in a row before the task yields to others."""


class ReceiveBudget:
    """Counts the payloads that a link receives without yielding to other tasks.

    Attributes:
        spent: Payloads received since the task last yielded.
        backlog_since: Since when the link has received without having to wait; ``None``
            while it waits for a payload.
    """

    def __init__(self):
        self.spent = 0
        self.backlog_since: float | None = None

    def backlog_seconds(self, now: float) -> float:
        """Return for how long there has been a payload to receive without a break.

        The time that payloads wait to be received does not show in how late timers
        are: the other tasks run between two turns of the receiver.
        """
        return 0.0 if self.backlog_since is None else now - self.backlog_since

    @property
    def is_whole(self) -> bool:
        """Return whether nothing was received since the task last yielded or waited."""
        return self.spent == 0

    async def spend(self) -> None:
        """Count one payload; yield to other tasks if the budget is used up."""
        if self.backlog_since is None:
            self.backlog_since = trio.current_time()
        self.spent += 1
        if self.spent < RECEIVES_PER_YIELD:
            await trio.lowlevel.checkpoint_if_cancelled()
            return
        self.spent = 0
        await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Restore the whole budget: the task is about to wait, which yields anyway."""
        self.spent = 0
        self.backlog_since = None
