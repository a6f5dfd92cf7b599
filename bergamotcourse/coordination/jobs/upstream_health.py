"""Detection of upstreams that fail, stall or slow down their runs.

An upstream that fails all tasks at once ends them sooner than others, appears free and
attracts ever more of them. One that stalls or has become slow holds its tasks until
their jobs miss their deadlines. A single bad end is no evidence, as tasks fail by their
own fault and declared times are far off, so several failures in a row are needed, or
many runs that are slow at once. The upstream is then on trial: it gets one task at a
time, as with a half-open circuit breaker, until tasks succeed at the usual speed.
"""

import math
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.protocol.upstream_orders import EndKind

FAILURE_WEIGHT = 0.12
"""Weight of one end in the smoothed share of failures."""

TRIAL_FAILURE_SHARE = 0.3
"""Share of failures that puts an upstream on trial, reached by three failures in a row
or if a third of all tasks fail."""

TRIAL_FAILURE_WEIGHT = 0.4
"""Weight of the end of a trial task in the share of failures."""

RECOVERED_FAILURE_SHARE = 0.1
"""Share of failures that ends a trial, reached by three successes in a row."""

TRIAL_INTERVAL_SECONDS = 1.0
"""Interval of trial tasks until one succeeds."""

SLOWNESS_WEIGHT = 0.05
"""Weight of one end in the average slowness. Low, as single declared times are far
off."""

MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 20.0

SLOW_RUN_TIME_FACTOR = 2.5
"""Multiple of the usual slowness from which an upstream counts as slow. Kinds of
upstreams differ by a factor of 1.3, and the slow ones that matter are at least three
times slower."""

MIN_PACE_RUNS = 2
"""Fewest running tasks from which the current pace is computed."""

LOG_RATIO_DEVIATION = 0.44
"""Standard deviation of the logarithm of time taken over time declared, on healthy
upstreams."""

LOG_RATIO_BIAS = 0.2
"""How much higher the mean of that logarithm is among the tasks running at one moment:
tasks that take long are seen running more often."""

SLOW_DEVIATIONS = 4.0
"""Standard deviations above the usual pace from which an upstream counts as slow. With
fewer, healthy upstreams would be put on trial by chance."""

MIN_PROGRESS = 0.03
"""Least progress from which the speed of a run is computed. Progress is reported in
hundredths."""

MIN_ELAPSED_SECONDS = 0.1
"""Least age from which the speed of a run is computed. The start time is off by some
milliseconds, and reports are 10 ms old."""

STALL_SECONDS = 0.5
"""Time without progress after which a run is stalled. The longest task of 3.6 s, slowed
down 8 times, gains a hundredth in 0.3 s."""

UNKNOWN_SPEED_SECONDS = 0.25
"""Age at which a run on a slow upstream is moved if its speed is still unknown."""

MOVE_OVERHEAD_SECONDS = 0.1
"""Time to stop a run and start it elsewhere."""


@dataclass
class UpstreamHealth:
    """Health of one life of an upstream, computed from ends and progress of runs.

    Attributes:
        failures: Smoothed share of failures among the latest ends.
        failing: The share reached ``TRIAL_FAILURE_SHARE`` and has not fallen below
            ``RECOVERED_FAILURE_SHARE`` since.
        slowness: Average ratio of time taken to time declared.
        pace: Geometric mean of that ratio for the tasks that run now; 0 if it is known
            for too few.
        stalled: Stalled runs since the last success.
        slow_since: When the upstream was found to be slow; ``None`` if it is not.
        trial_at: When an upstream on trial may get its next task.
        trials_enabled: Whether the upstream can be put on trial.
    """

    failures: float = 0.0
    failing: bool = False
    slowness: float = 1.0
    pace: float = 0.0
    stalled: int = 0
    slow_since: float | None = None
    trial_at: float = 0.0
    trials_enabled: bool = True

    def record_end(self, kind: EndKind, run: PlacedRun, ran: float, now: float) -> None:
        """Record the end of a run that ran for ``ran`` seconds."""
        match kind:
            case EndKind.DONE:
                self.stalled = 0
                self._update_slowness(run, ran)
                self._update_failures(0.0)
                if self.failing:
                    self.trial_at = now
            case EndKind.FAILED:
                self._update_failures(1.0)
                self.trial_at = now + TRIAL_INTERVAL_SECONDS
            case _:
                pass

    def record_refusal(self, now: float) -> None:
        """Record that the upstream refused an order, reporting itself unhealthy."""
        self._update_failures(1.0)
        self.trial_at = now + TRIAL_INTERVAL_SECONDS

    @property
    def slow(self) -> bool:
        """Return whether the upstream takes far longer than usual."""
        return self.slow_since is not None

    def on_trial(self) -> bool:
        """Return whether the upstream gets one task at a time."""
        return self.trials_enabled and (self.failing or self.stalled > 0 or self.slow)

    def runs_to_move(self, runs: list[PlacedRun], now: float) -> list[PlacedRun]:
        """Update health from the progress of runs, and return the runs to move.

        These are stalled runs and, on a slow upstream, runs that would finish sooner
        elsewhere.
        """
        running = [run for run in runs if run.state is RunState.RUNNING]
        stalled = [run for run in running if now - run.progress_at >= STALL_SECONDS]
        if stalled:
            self.stalled += len(stalled)
            self.trial_at = now + TRIAL_INTERVAL_SECONDS
        self._update_pace(running, now)
        if not self.slow:
            return stalled
        moved = [
            run
            for run in running
            if run in stalled or self._is_faster_elsewhere(run, now)
        ]
        if moved:
            self.trial_at = now + TRIAL_INTERVAL_SECONDS
        return moved

    def _update_pace(self, running: list[PlacedRun], now: float) -> None:
        ratios = [
            math.log(projected_seconds(run) / run.order.estimate)
            for run in running
            if has_measurable_speed(run) and run.order.estimate > 0
        ]
        if len(ratios) < MIN_PACE_RUNS:
            self.pace = 0.0
            return
        self.pace = math.exp(sum(ratios) / len(ratios))
        if self.pace >= slow_threshold(len(ratios)) * self.slowness and not self.slow:
            self.slow_since = now
            self.trial_at = now + TRIAL_INTERVAL_SECONDS

    def _is_faster_elsewhere(self, run: PlacedRun, now: float) -> bool:
        """Return whether a run on a slow upstream would finish sooner elsewhere."""
        if not has_measurable_speed(run):
            return now - run.started_at > UNKNOWN_SPEED_SECONDS
        total = projected_seconds(run)
        rest = total * (1 - run.progress)
        return rest > run.order.estimate * self.slowness + MOVE_OVERHEAD_SECONDS

    def _update_failures(self, failed: float) -> None:
        weight = TRIAL_FAILURE_WEIGHT if self.failing else FAILURE_WEIGHT
        self.failures += weight * (failed - self.failures)
        limit = RECOVERED_FAILURE_SHARE if self.failing else TRIAL_FAILURE_SHARE
        self.failing = self.failures >= limit

    def _update_slowness(self, run: PlacedRun, ran: float) -> None:
        if run.order is None or run.order.estimate <= 0 or ran <= 0:
            return
        ratio = min(max(ran / run.order.estimate, MIN_SLOWNESS), MAX_SLOWNESS)
        if self.slow:
            # Earlier runs were fast until then; only a trial task shows the speed.
            if (
                run.started_at > self.slow_since
                and ratio < SLOW_RUN_TIME_FACTOR * self.slowness
            ):
                self.slow_since = None
            return
        self.slowness += SLOWNESS_WEIGHT * (
            min(ratio, SLOW_RUN_TIME_FACTOR) - self.slowness
        )


def slow_threshold(runs: int) -> float:
    """Return the multiple of the usual slowness from which a pace is slow.

    Args:
        runs: Number of runs from which the pace is computed. The fewer there are, the
            higher the threshold.
    """
    chance = LOG_RATIO_BIAS + SLOW_DEVIATIONS * LOG_RATIO_DEVIATION / math.sqrt(runs)
    return max(SLOW_RUN_TIME_FACTOR, math.exp(chance))


def has_measurable_speed(run: PlacedRun) -> bool:
    """Return whether the speed of a run can be computed from its progress."""
    elapsed = run.progress_at - run.started_at
    return run.progress >= MIN_PROGRESS and elapsed >= MIN_ELAPSED_SECONDS


def projected_seconds(run: PlacedRun) -> float:
    """Return the total seconds that a run will take, extrapolated from its progress."""
    return (run.progress_at - run.started_at) / run.progress
