"""Batching of job results at an agent.

A job is answered as a whole, so nobody waits for a single one of its results. A result
is held while more of the entry's job tasks wait at the agent, because the entry then
need not fill the freed slot. At the end of a job, when the entry has no more tasks to
send, a result is held for a short time for the other tasks of the job that still run.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import TaskResult

MAX_HOLD_SECONDS = 0.9
"""Longest time that a result is held. Shorter than a heartbeat, which it replaces."""

JOB_END_HOLD_SECONDS = 0.2
"""The same at the end of a job. Until the result arrives, the entry does not know that
the slot is free."""

MAX_HELD_RESULTS = 64


@dataclass
class HeldResults:
    """The results held for one entry."""

    results: list[TaskResult] = field(default_factory=list)


class ResultBatches:
    """Holds results and sends them in batches.

    Attributes:
        send: Called with an entry and its results, in order.
        nursery: Runs the delayed sends; without it results are sent at once.
        held: The results held, by entry.
    """

    def __init__(self, send: Callable[[LinkAddress, list[TaskResult]], None]):
        self.send = send
        self.nursery: trio.Nursery | None = None
        self.held: dict[LinkAddress, HeldResults] = {}

    def add(self, entry: LinkAddress, result: TaskResult, hold: float = 0.0) -> None:
        """Add a result, and send it with those held unless it may be held itself.

        Args:
            entry: Address of the entry.
            result: The result.
            hold: Seconds for which the result may be held; 0 to send at once.
        """
        if self.nursery is None:
            self.send(entry, [result])
            return
        held = self.held.get(entry)
        if held is None:
            if not hold:
                self.send(entry, [result])
                return
            held = self.held[entry] = HeldResults()
            self.nursery.start_soon(self._send_later, entry, held, hold)
        held.results.append(result)
        if not hold or len(held.results) >= MAX_HELD_RESULTS:
            self.flush(entry)

    def flush(self, entry: LinkAddress) -> None:
        """Send the results held for an entry."""
        held = self.held.pop(entry, None)
        if held is not None:
            self.send(entry, held.results)

    async def _send_later(
        self, entry: LinkAddress, held: HeldResults, seconds: float
    ) -> None:
        await trio.sleep(seconds)
        if self.held.get(entry) is held:
            self.flush(entry)
