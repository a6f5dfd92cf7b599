"""Further calls for a job beside the one that waits for it."""

import random
from dataclasses import dataclass, replace

import trio

from bergamotcourse.tests.platform.soak.recorded_calls import (
    cancel_job,
    submit_job_again,
)
from bergamotcourse.tests.platform.soak.records import Records
from bergamotcourse.transport.http import HttpRequest

DELAY_SECONDS = (0.0, 0.6)
DEADLINES_MS = (300, 1000, 3000)
RESUBMITTED_SHARE = 0.6
CALL_TIMEOUT_SECONDS = 4.0
DEADLINE_HEADER = "bergamotcourse-deadline-ms"


@dataclass
class OtherCalls:
    """What one caller does beside one attempt, each on a connection of its own.

    A job is submitted again at once only where its former call ended by the caller's
    own doing: after a failure callers wait until the runs of a lost entry have ended.

    Attributes:
        request: The request that submits it.
        entry: The entry to which it was submitted.
        address: The address of that entry.
    """

    records: Records
    rng: random.Random
    request: HttpRequest
    entry: str
    address: tuple[str, int]

    async def run(self, waiting: trio.CancelScope) -> None:
        """Cancel the job, wait for it as well, or leave and submit it again.

        Args:
            waiting: Cancelled if the caller closes its connection.
        """
        await trio.sleep(self.rng.uniform(*DELAY_SECONDS))
        match self.rng.randrange(3):
            case 0:
                if await self._cancel() and self.rng.random() < RESUBMITTED_SHARE:
                    await self._submit()
            case 1:
                await self._submit()
            case 2:
                waiting.cancel()
                await self._submit()

    async def _cancel(self) -> bool:
        """Cancel the job; return whether the entry has acknowledged it."""
        acknowledged = await cancel_job(
            self.records, self.entry, self.address, self.request
        )
        self.records.count("cancel")
        return acknowledged

    async def _submit(self) -> None:
        """Submit the job once more, with another deadline."""
        deadline = str(self.rng.choice(DEADLINES_MS))
        headers = [
            (name, deadline if name == DEADLINE_HEADER else value)
            for name, value in self.request.headers
        ]
        request = replace(self.request, headers=headers)
        await submit_job_again(
            self.records, self.entry, self.address, request, CALL_TIMEOUT_SECONDS
        )
