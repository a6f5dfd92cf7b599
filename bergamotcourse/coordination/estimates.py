"""Run time estimates of services: the declared time first, then a measured mean."""

from dataclasses import dataclass

DEFAULT_RUN_SECONDS = 0.3
AVERAGING_TASKS = 50
"""The mean covers about this many of the last tasks."""

MIN_MEASURED_TASKS = 8
"""After this many tasks the estimate counts as measured rather than declared."""


@dataclass
class Estimate:
    """The run time estimate of one service.

    Attributes:
        declared_seconds: The run time in the configuration.
        mean_seconds: The current estimate.
        tasks: How many tasks were measured.
    """

    declared_seconds: float = DEFAULT_RUN_SECONDS
    mean_seconds: float = DEFAULT_RUN_SECONDS
    tasks: int = 0

    @property
    def is_measured(self) -> bool:
        """Whether the mean is measured rather than declared."""
        return self.tasks >= MIN_MEASURED_TASKS

    def add(self, seconds: float) -> None:
        """Record the run time of one task, in seconds."""
        self.tasks += 1
        # The declared time counts as one task only, because it is often far off.
        share = 1 / min(self.tasks + 1, AVERAGING_TASKS)
        self.mean_seconds += share * (seconds - self.mean_seconds)


class RunEstimates:
    """The run time estimates of all services."""

    def __init__(self):
        self.services: dict[str, Estimate] = {}

    def of(self, service: str) -> Estimate:
        """Return the estimate of a service."""
        estimate = self.services.get(service)
        if estimate is None:
            estimate = self.services[service] = Estimate()
        return estimate

    def declare(self, service: str, seconds: float) -> None:
        """Set the declared run time of a service, in seconds."""
        estimate = self.of(service)
        if estimate.declared_seconds != seconds:
            estimate.declared_seconds = seconds
            if not estimate.is_measured:
                estimate.mean_seconds = seconds

    def mean_seconds(self, service: str) -> float:
        """Return the estimated mean run time of a service, in seconds."""
        return self.of(service).mean_seconds
