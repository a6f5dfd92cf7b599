"""Limits the share of its time that a process spends on one kind of work."""

from collections.abc import Callable

MAX_TIME_SHARE = 0.2
"""Share of the time that the calls may take, unless that delays them too long."""

MAX_DELAY_SECONDS = 0.03
"""Longest time between two calls. A pause of the process during a call would otherwise
delay the next one by a multiple of the pause."""


class PacedCall:
    """Makes requested calls at once, or later if the last one took long.

    A request that comes too soon is answered with the next one. The owner calls
    ``make_up`` periodically, in case that no other request comes.

    Attributes:
        call: The function.
        now: Returns the time in seconds.
        due_at: Time before which the function is not called again.
        is_requested: Whether a request has not been answered yet.
    """

    def __init__(self, call: Callable[[], None], now: Callable[[], float]):
        self.call = call
        self.now = now
        self.due_at = now()
        self.is_requested = False

    def request(self) -> None:
        """Call the function, now or with a later request."""
        self.is_requested = True
        self.make_up()

    def make_up(self) -> None:
        """Call the function if a request has not been answered and a call is due."""
        if not self.is_requested or self.now() < self.due_at:
            return
        self.is_requested = False
        began_at = self.now()
        self.call()
        ended_at = self.now()
        delay = (ended_at - began_at) * (1 / MAX_TIME_SHARE - 1)
        self.due_at = ended_at + min(delay, MAX_DELAY_SECONDS)
