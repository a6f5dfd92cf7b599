"""When callers that were refused for lack of room may retry; decisions without I/O.

Callers that all retry after the same time return as one burst. They are spread over the
time in which the entry can serve them together with its backlog.
"""

import math
import random
from collections import deque

from bergamotcourse.ids import ServiceName

MIN_RETRY_SECONDS = 1.0
"""The smallest value that ``Retry-After`` can express; also used without a forecast."""

MAX_RETRY_SECONDS = 10.0
"""Longest time after which a caller may retry. The load is another one by then."""

RECENT_SECONDS = 5.0
"""Time for which a refused job counts as one that returns."""


class RetryAdvice:
    """Draws the ``Retry-After`` of refused jobs.

    Attributes:
        rng: Source of the draws.
        refused: Time and CPU of the recently refused jobs, by service.
        refused_cpu: Sum of their CPU, by service, in thousandths of a core.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.refused: dict[ServiceName, deque[tuple[float, int]]] = {}
        self.refused_cpu: dict[ServiceName, int] = {}

    def draw(
        self,
        service: ServiceName,
        cpu: int,
        backlog_cpu: int,
        rate: float | None,
        now: float,
    ) -> float:
        """Return the whole seconds after which the caller of a refused job may retry.

        Jobs with less CPU than the mean of those refused lately draw from the earlier
        half, as they fit into the first capacity that becomes free.

        Args:
            service: Service of the job.
            cpu: CPU of its tasks, in thousandths of a core.
            backlog_cpu: CPU that waits, in thousandths of a core.
            rate: CPU that the entry gets, in thousandths of a core per second; ``None``
                if it is not known.
            now: The time.
        """
        refused = self.refused.setdefault(service, deque())
        while refused and refused[0][0] < now - RECENT_SECONDS:
            _, old = refused.popleft()
            self.refused_cpu[service] -= old
        refused.append((now, cpu))
        total = self.refused_cpu.get(service, 0) + cpu
        self.refused_cpu[service] = total
        if not rate:
            return MIN_RETRY_SECONDS
        span = min((backlog_cpu + total) / rate, MAX_RETRY_SECONDS)
        if cpu * len(refused) < total:
            span /= 2
        return max(MIN_RETRY_SECONDS, float(math.ceil(self.rng.uniform(0.0, span))))
