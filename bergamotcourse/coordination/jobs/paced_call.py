"""Limits how often a call is made that takes long, by passes of the event loop."""

from collections.abc import Callable

import trio

MAX_TIME_SHARE = 0.05
"""Share of the time that the calls may take which are not left to the next pass."""


class PacedCall:
    """Makes requested calls at once, or in the next pass soon after another one.

    All requests until that pass are answered by one call. The longer the passes of an
    overloaded process, the smaller the share of the calls.

    Attributes:
        call: The function.
        now: Returns the time in seconds.
        due_at: Time from which on a requested call is made at once.
        delayed: Set while a call is left to the next pass.
    """

    def __init__(self, call: Callable[[], None], now: Callable[[], float]):
        self.call = call
        self.now = now
        self.due_at = now()
        self.delayed = trio.Event()

    def request(self) -> None:
        """Call the function now or in the next pass."""
        if self.now() < self.due_at:
            self.delayed.set()
        else:
            self._call()

    async def run(self) -> None:
        """Make the delayed calls until cancelled."""
        while True:
            await self.delayed.wait()
            self._call()

    def _call(self) -> None:
        if self.delayed.is_set():
            self.delayed = trio.Event()
        began_at = self.now()
        self.call()
        ended_at = self.now()
        self.due_at = ended_at + (ended_at - began_at) * (1 / MAX_TIME_SHARE - 1)
