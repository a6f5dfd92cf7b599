"""Forecast of when waiting jobs are placed, and whom to refuse by it; pure decisions.

A job is refused as soon as it is known that its first task cannot be placed by the
job's placement deadline. The jobs are judged in dispatch order, and only jobs that stay
take up room in the forecast of those behind them.

The forecast of a job leaves out its own tasks. It would otherwise refuse wide jobs for
their size: an entry's rate assumes that all entries always compete, so that placing
eight tasks seems to take longer than it does.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.job_run import JobRun
from bergamotcourse.coordination.jobs.placement_rate import PlacementRate
from bergamotcourse.coordination.jobs.retry_advice import RetryAdvice
from bergamotcourse.ids import ServiceName

MIN_ENTRY_AGE_SECONDS = 1.0
"""Time after the start of an entry in which it has no forecast: its rate is not that of
an entry whose tasks run at all agents yet."""

MAX_CORRECTION_FACTOR = 2.0
"""Bound on the correction of forecast waits, in both directions. A forecast that is off
by more is the result of a change, which the measured rate follows."""

CORRECTION_WEIGHT = 0.05
"""Weight of one placed job in the correction. An entry places 20 waiting jobs a second
in a burst, so that it follows within a second."""

CERTAINTY_FACTOR = 1.5
"""Factor by which a forecast wait must exceed the limit. A job whose forecast is close
to the limit may still be placed in time, and otherwise is refused soon anyway."""

MIN_FORECAST_SECONDS = 0.01
"""Shortest forecast wait that is compared with the measured one. Rounds are some
milliseconds apart, so that shorter waits are mostly the time to the next round."""

RECOVERY_SECONDS = 1.0
"""Time without a refusal by forecast after which an overload has ended. Refusals in a
continuous overload are some milliseconds apart."""


@dataclass(frozen=True)
class Forecast:
    """When a waiting job is placed.

    Attributes:
        wait: Seconds until its first waiting task is placed.
        limit: Seconds until the latest time at which that is useful.
        ahead_cpu: CPU that is placed first, in thousandths of a core.
        rate_cpu: Rate at which this entry gets CPU, in thousandths of a core per
            second.
    """

    wait: float
    limit: float
    ahead_cpu: int
    rate_cpu: float


@dataclass(frozen=True)
class Expectation:
    """What was forecast when a job was admitted.

    Attributes:
        admitted_at: Time of admission.
        wait: Seconds until its first task is placed; 0 without a forecast.
    """

    admitted_at: float
    wait: float


class AdmissionForecast:
    """Forecasts the placement of an entry's waiting jobs and selects those to refuse.

    Attributes:
        started_at: Time at which the entry started.
        retry_advice: When callers of refused jobs may retry.
        rates: The rate at which the entry gets CPU, by service.
        corrections: Average log(measured / forecast wait) of placed jobs, by service.
        expected: What was forecast for the admitted jobs that wait.
        is_overloaded: Whether jobs were refused lately by the forecast.
        refused_at: Time of the last refusal by the forecast.
    """

    def __init__(self, started_at: float, retry_advice: RetryAdvice):
        self.started_at = started_at
        self.retry_advice = retry_advice
        self.rates: dict[ServiceName, PlacementRate] = {}
        self.corrections: dict[ServiceName, float] = {}
        self.expected: dict[JobRun, Expectation] = {}
        self.is_overloaded = False
        self.refused_at = started_at

    def rate(self, service: ServiceName) -> PlacementRate:
        """Return the rate of a service."""
        return self.rates.setdefault(service, PlacementRate())

    def correction(self, service: ServiceName) -> float:
        """Return the factor by which forecast waits of a service are corrected."""
        return math.exp(self.corrections.get(service, 0.0))

    def corrected_rate(
        self, service: ServiceName, running_cpu: int, now: float
    ) -> float | None:
        """Return the rate to forecast with; ``None`` if it is not known.

        Args:
            service: The service.
            running_cpu: CPU of the entry's tasks at all agents of the service.
            now: The time.
        """
        if now - self.started_at < MIN_ENTRY_AGE_SECONDS:
            return None
        rate = self.rate(service).estimate(running_cpu)
        return rate and rate / self.correction(service)

    def advance(self, was_waiting: bool, now: float) -> None:
        """Account for the time since the last call, in which jobs waited or not."""
        for rate in self.rates.values():
            rate.advance(now, was_waiting)

    def review(
        self,
        waiting: list[JobRun],
        running_cpu: dict[ServiceName, int],
        now: float,
        has_room: Callable[[JobRun], bool],
    ) -> list[tuple[JobRun, Forecast]]:
        """Return the jobs to refuse, and admit the others.

        Args:
            waiting: The waiting jobs without an outcome, in dispatch order.
            running_cpu: CPU of the entry's tasks at all agents, by service.
            now: The time.
            has_room: Whether a reachable agent has room for the largest task of a job.
        """
        self._record_placed_jobs(waiting, now)
        refused: list[tuple[JobRun, Forecast]] = []
        expected: dict[JobRun, Expectation] = {}
        ahead_cpu: dict[ServiceName, int] = {}
        rates = {
            service: self.corrected_rate(service, running_cpu.get(service, 0), now)
            for service in {job.queue.service for job in waiting}
        }
        for job in waiting:
            service = job.queue.service
            forecast = make_forecast(
                job, ahead_cpu.get(service, 0), rates[service], now
            )
            if forecast and should_refuse(job, forecast) and not has_room(job):
                refused.append((job, forecast))
                continue
            ahead_cpu[service] = ahead_cpu.get(service, 0) + waiting_cpu(job)
            wait = forecast.wait if forecast else 0.0
            expected[job] = self.expected.get(job) or Expectation(now, wait)
        self.expected = expected
        if refused:
            self.refused_at = now
        return refused

    def update_overload(self, is_waiting: bool, now: float) -> bool:
        """Update ``is_overloaded`` and return whether it has changed."""
        lately = now - self.refused_at < RECOVERY_SECONDS
        refused = self.refused_at > self.started_at
        before = self.is_overloaded
        self.is_overloaded = refused and (lately or (before and is_waiting))
        return self.is_overloaded != before

    def retry_after(self, job: JobRun, running_cpu: int, now: float) -> float:
        """Return when the caller of a job may retry that is refused for lack of room.

        Args:
            job: The job.
            running_cpu: CPU of the entry's tasks at all agents of its service.
            now: The time.

        Returns:
            Whole seconds.
        """
        service = job.queue.service
        backlog_cpu = sum(
            waiting_cpu(other)
            for other in self.expected
            if other.queue.service == service and other.outcome is None
        )
        rate = self.corrected_rate(service, running_cpu, now)
        return self.retry_advice.draw(service, waiting_cpu(job), backlog_cpu, rate, now)

    def _record_placed_jobs(self, waiting: list[JobRun], now: float) -> None:
        still_waiting = set(waiting)
        for job, expectation in self.expected.items():
            is_placed = job not in still_waiting and job.may_have_run
            if is_placed and expectation.wait >= MIN_FORECAST_SECONDS:
                waited = now - expectation.admitted_at
                self._record_wait(job.queue.service, expectation.wait, waited)

    def _record_wait(
        self, service: ServiceName, forecast: float, measured: float
    ) -> None:
        bound = math.log(MAX_CORRECTION_FACTOR)
        known = self.corrections.get(service, 0.0)
        # The forecast contains the correction, so the ratio changes the known one.
        ratio = max(measured, MIN_FORECAST_SECONDS) / forecast
        changed = known + CORRECTION_WEIGHT * math.log(ratio)
        self.corrections[service] = min(max(changed, -bound), bound)


def make_forecast(
    job: JobRun, ahead_cpu: int, rate: float | None, now: float
) -> Forecast | None:
    """Return the forecast of a job, or ``None`` without a rate.

    Args:
        job: The job.
        ahead_cpu: CPU of the tasks ahead of it, in thousandths of a core.
        rate: CPU that the entry gets, in thousandths of a core per second.
        now: The time.
    """
    if not rate:
        return None
    return Forecast(ahead_cpu / rate, job.placement_deadline - now, ahead_cpu, rate)


def should_refuse(job: JobRun, forecast: Forecast) -> bool:
    """Return whether a job of which no task can have started is placed too late."""
    limit = max(0.0, forecast.limit) * CERTAINTY_FACTOR
    return not job.may_have_run and forecast.wait > limit


def waiting_cpu(job: JobRun) -> int:
    """Return the CPU of a job's waiting tasks, in thousandths of a core."""
    if job.may_have_run:
        return sum(task.spec.needs.cpu for task in job.pending_tasks())
    return sum(step.count * step.needs.cpu for step in job.spec.steps if not step.after)
