"""Health of the tasks at one agent, by which entries detect a faulty or slow worker.

The agent sees the tasks of all entries and reports the figures with its results. An
entry thus detects after a few tasks what it would detect alone only after many.
"""

import math
from dataclasses import dataclass

from bergamotcourse.protocol.messages import Health

RUN_TIME_AVERAGING_TASKS = 8
FAILURE_AVERAGING_TASKS = 3
MIN_REPORTED_RUNS = 4
"""Minimum number of done tasks before the typical run time is reported."""

COUNT_MASK = 0xFFFF


@dataclass
class ServiceHealth:
    """Health of the tasks of one service.

    Attributes:
        log_run: Moving average of the logarithm of the run time in seconds.
        failing: Moving average of the share of tasks that fail.
        runs: Number of run times in ``log_run``.
        ended: Number of tasks that ended.
    """

    log_run: float = 0.0
    failing: float = 0.0
    runs: int = 0
    ended: int = 0


class TaskHealth:
    """Health of the tasks at one agent, by service."""

    def __init__(self):
        self.services: dict[str, ServiceHealth] = {}

    def record_done(self, service: str, run_seconds: float) -> None:
        """Record a task that was done."""
        health = self._health_of(service)
        health.runs += 1
        share = 1 / min(health.runs, RUN_TIME_AVERAGING_TASKS)
        health.log_run += share * (math.log(max(run_seconds, 1e-4)) - health.log_run)
        self._record_end(health, 0.0)

    def record_failed(self, service: str) -> None:
        """Record a task that failed, or whose upstream accepted no connection."""
        self._record_end(self._health_of(service), 1.0)

    def report(self, service: str) -> Health:
        """Return the health of a service's tasks as reported to entries."""
        health = self.services.get(service)
        if health is None:
            return Health(0, 0, 0)
        run_ms = (
            math.exp(health.log_run) * 1000 if health.runs >= MIN_REPORTED_RUNS else 0
        )
        percent = round(health.failing * 100)
        return Health(round(run_ms), percent, health.ended & COUNT_MASK)

    def _health_of(self, service: str) -> ServiceHealth:
        return self.services.setdefault(service, ServiceHealth())

    def _record_end(self, health: ServiceHealth, failed: float) -> None:
        health.ended += 1
        health.failing += (failed - health.failing) / FAILURE_AVERAGING_TASKS
