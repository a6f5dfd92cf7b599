"""Batches cancellations, so that each agent gets one message for many tasks."""

import trio

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Cancel, CancelledTasks

CANCEL_BATCH_SECONDS = 0.01
"""Cancellations are gathered for this long, which is short against a task's run
time."""


class CancelBatcher:
    """Gathers cancellations and sends one message to each agent.

    Attributes:
        nursery: Runs the delayed send; without it each cancellation is sent at once.
        batch: Whether to gather cancellations.
        waiting: Cancellations that are not sent yet, by agent.
    """

    def __init__(self, mailer: Mailer):
        self.mailer = mailer
        self.nursery: trio.Nursery | None = None
        self.batch = True
        self.waiting: dict[LinkAddress, list[CancelledTasks]] = {}

    def add(self, address: LinkAddress, cancelled: CancelledTasks) -> None:
        """Cancel tasks at an agent, with the next batch."""
        if self.nursery is None or not self.batch:
            self.mailer.post(address, Cancel([cancelled]))
            return
        if not self.waiting:
            self.nursery.start_soon(self._send_later)
        self.waiting.setdefault(address, []).append(cancelled)

    async def _send_later(self) -> None:
        await trio.sleep(CANCEL_BATCH_SECONDS)
        waiting, self.waiting = self.waiting, {}
        for address, cancelled in waiting.items():
            self.mailer.post(address, Cancel(cancelled))
