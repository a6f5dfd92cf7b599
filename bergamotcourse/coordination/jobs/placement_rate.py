"""The rate at which an entry gets CPU for its tasks; measured without I/O."""

import math

AVERAGING_SECONDS = 0.5
"""Time constant of the average. A loss of upstreams shows within half a second, while
the average still covers some placements of an entry that gets 20 slots a second."""

PRIOR_SECONDS = 0.1
"""Weight of the initial rate, as if it had been measured for this time. It bridges the
start of a backlog, in which a single placement would make up the whole average."""

MAX_STEP_SECONDS = 0.1
"""Longest time between two updates that counts as waiting. The dispatcher updates every
30 ms, so a longer gap is a pause of this process, in which it could place nothing."""

RUN_TIME_WEIGHT = 0.02
"""Weight of one sample in the average run time, as in ``WorkEstimates``."""


class PlacementRate:
    """The CPU that an entry gets for the tasks of one service, by time.

    The rate is averaged over the time in which jobs wait. Without a backlog the entry
    gets what it asks for, which says nothing about how much it could get.

    Attributes:
        waited_seconds: Averaged time in which jobs have waited.
        placed_cpu: Averaged CPU that was placed in this time, in thousandths of a core.
        mean_run_seconds: Average run time of a task; 0 before the first.
        updated_at: Time of the last update.
    """

    def __init__(self):
        self.waited_seconds = 0.0
        self.placed_cpu = 0.0
        self.mean_run_seconds = 0.0
        self.updated_at = 0.0

    def advance(self, now: float, was_waiting: bool) -> None:
        """Account for the time since the last update.

        Args:
            now: The time.
            was_waiting: Whether jobs have waited since the last update.
        """
        passed = min(max(0.0, now - self.updated_at), MAX_STEP_SECONDS)
        self.updated_at = now
        if was_waiting and passed:
            decay = math.exp(-passed / AVERAGING_SECONDS)
            self.waited_seconds = self.waited_seconds * decay + passed
            self.placed_cpu *= decay

    def record_placement(self, cpu: int) -> None:
        """Add the CPU of a task that was placed while jobs waited."""
        self.placed_cpu += cpu

    def record_run_time(self, seconds: float) -> None:
        """Add the run time of a completed task; zero or negative times are ignored."""
        if seconds <= 0:
            return
        if not self.mean_run_seconds:
            self.mean_run_seconds = seconds
        self.mean_run_seconds += RUN_TIME_WEIGHT * (seconds - self.mean_run_seconds)

    def estimate(self, running_cpu: int) -> float | None:
        """Return the rate in thousandths of a core per second; ``None`` if unknown.

        Args:
            running_cpu: CPU of the entry's tasks at all agents. Divided by the mean run
                time, it is the rate at which running tasks release CPU.
        """
        prior_cpu, prior_seconds = 0.0, 0.0
        if self.mean_run_seconds:
            prior_cpu = PRIOR_SECONDS * running_cpu / self.mean_run_seconds
            prior_seconds = PRIOR_SECONDS
        seconds = self.waited_seconds + prior_seconds
        cpu = self.placed_cpu + prior_cpu
        return cpu / seconds if cpu > 0 and seconds >= PRIOR_SECONDS else None
