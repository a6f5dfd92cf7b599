"""How far the declared times of a queue's tasks are off, learnt from their ends.

Load it answers: jobs whose declared times are off by 40% on the whole, each queue in
its own direction. Uncorrected, one queue's tasks would seem more urgent than they are,
and an upstream that runs many of them would seem slow.
"""

import math

WEIGHT = 0.02
"""Of one end in the average: a queue of 10 tasks a second is known in 5 s."""

MOST_FACTOR = 4.0
"""Bound of a single measurement, and of the correction: an upstream that is ten times
slower must not make a queue seem long."""


class WorkEstimates:
    """The corrections by queue.

    Attributes:
        logs: By queue, the logarithm of the time taken over the time declared.
    """

    def __init__(self):
        self.logs: dict[str, float] = {}

    def learn(self, queue: str, declared: float, ran: float) -> None:
        """Take the time that a task of a queue took."""
        if declared <= 0 or ran <= 0:
            return
        ratio = min(max(ran / declared, 1 / MOST_FACTOR), MOST_FACTOR)
        known = self.logs.get(queue, 0.0)
        self.logs[queue] = known + WEIGHT * (math.log(ratio) - known)

    def factor(self, queue: str) -> float:
        """Return by how much to multiply what the queue's callers declare."""
        return math.exp(self.logs.get(queue, 0.0))
