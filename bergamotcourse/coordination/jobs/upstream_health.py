"""Whether an upstream fails, stalls or delays what it runs, by ends and progress.

An upstream that fails all its tasks at once ends them sooner than others, looks free,
and draws ever more of them; one that stands still or has turned slow holds its tasks
until their jobs are lost. One bad end says nothing, as tasks fail by their own fault
and declared times are far off; so several in a row are needed, or many runs that are
slow at once. A trial brings the upstream back.
"""

import math
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.protocol.upstream_orders import EndKind

FAILURE_WEIGHT = 0.12
"""Of one end in the share of failures."""

FAILING_SHARE = 0.3
"""Share of failures that puts an upstream on trial: reached by three in a row, or where
a third of all tasks fail."""

TRIAL_WEIGHT = 0.4
"""Of the end of a task on trial in that share."""

SOUND_SHARE = 0.1
"""Share of failures that ends a trial: three good tasks in a row."""

TRIAL_SECONDS = 1.0
"""An upstream on trial gets one task each so long, until one ends well."""

SPEED_WEIGHT = 0.05
"""Of an end in the average of speeds; declared times are far off one by one."""

LEAST_SLOWNESS = 0.3
MOST_SLOWNESS = 20.0

SLOW = 2.5
"""Times the usual from which on an upstream counts as slow: kinds of upstreams differ
by 1.3, and the slow ones that matter are three times slower or more."""

LEAST_RUNS = 2
"""Running tasks by which the present speed is told."""

RATIO_DEVIATION = 0.44
"""Standard deviation of the logarithm of the time taken over the time declared, on
sound upstreams."""

RUNNING_BIAS = 0.2
"""By how much the mean of that logarithm is higher among the tasks that run at a
moment: those that take long are seen running more often."""

CERTAINTY = 4.0
"""Standard deviations above the usual at which an upstream counts as slow; with fewer,
sound upstreams would come on trial by chance."""

LEAST_PROGRESS = 0.03
"""Progress by which the speed of a run is told: it is given in hundredths."""

LEAST_ELAPSED_SECONDS = 0.1
"""Age by which the speed of a run is told: a start is known some milliseconds late or
early, and reports are ten milliseconds old."""

STALL_SECONDS = 0.5
"""A run without progress for so long stands still: the longest task of 3.6 s, slowed 8
times, gains a hundredth in 0.3 s."""

YOUNG_SECONDS = 0.25
"""A run on a slow upstream that has not told its speed by then is moved."""

MOVE_SECONDS = 0.1
"""For stopping a run and starting it elsewhere."""


@dataclass
class UpstreamHealth:
    """What the ends and the progress of one life of an upstream tell.

    Attributes:
        failures: Share of failures among the latest ends.
        failing: The share was too high, and has not come down since.
        slowness: Average of the time taken over the time declared.
        pace: The same for the tasks that run now, as the mean of logarithms; 0 while
            too few tell.
        stalled: Runs that stood still, since the last that ended well.
        slow_since: When it was found to take far longer than usual; ``None`` if not.
        trial_at: When an upstream on trial may get its next task.
        tries: Whether it comes on trial at all.
    """

    failures: float = 0.0
    failing: bool = False
    slowness: float = 1.0
    pace: float = 0.0
    stalled: int = 0
    slow_since: float | None = None
    trial_at: float = 0.0
    tries: bool = True

    def ended(self, kind: EndKind, run: PlacedRun, ran: float, now: float) -> None:
        """Take the end of a run."""
        match kind:
            case EndKind.DONE:
                self.stalled = 0
                self._learn(run, ran)
                self._note_failure(0.0)
                if self.failing:
                    self.trial_at = now
            case EndKind.FAILED:
                self._note_failure(1.0)
                self.trial_at = now + TRIAL_SECONDS
            case _:
                pass

    def refused(self, now: float) -> None:
        """Take the refusal of an order by an upstream that says it is unhealthy."""
        self._note_failure(1.0)
        self.trial_at = now + TRIAL_SECONDS

    @property
    def slow(self) -> bool:
        """Return whether it takes far longer than usual."""
        return self.slow_since is not None

    def on_trial(self) -> bool:
        """Return whether it gets one task at a time."""
        return self.tries and (self.failing or self.stalled > 0 or self.slow)

    def runs_to_move(self, runs: list[PlacedRun], now: float) -> list[PlacedRun]:
        """Look at the runs, and return those that would be done sooner elsewhere."""
        running = [run for run in runs if run.state is RunState.RUNNING]
        stalled = [run for run in running if now - run.progress_at >= STALL_SECONDS]
        if stalled:
            self.stalled += len(stalled)
            self.trial_at = now + TRIAL_SECONDS
        self._look_at_pace(running, now)
        if not self.slow:
            return stalled
        moved = [run for run in running if run in stalled or self._gains(run, now)]
        if moved:
            self.trial_at = now + TRIAL_SECONDS
        return moved

    def _look_at_pace(self, running: list[PlacedRun], now: float) -> None:
        ratios = [
            math.log(projected(run) / run.order.estimate)
            for run in running
            if tells_speed(run) and run.order.estimate > 0
        ]
        if len(ratios) < LEAST_RUNS:
            self.pace = 0.0
            return
        self.pace = math.exp(sum(ratios) / len(ratios))
        if self.pace >= slow_from(len(ratios)) * self.slowness and not self.slow:
            self.slow_since = now
            self.trial_at = now + TRIAL_SECONDS

    def _gains(self, run: PlacedRun, now: float) -> bool:
        """Return whether a run on a slow upstream would be done sooner elsewhere."""
        if not tells_speed(run):
            return now - run.started_at > YOUNG_SECONDS
        total = projected(run)
        rest = total * (1 - run.progress)
        return rest > run.order.estimate * self.slowness + MOVE_SECONDS

    def _note_failure(self, failed: float) -> None:
        weight = TRIAL_WEIGHT if self.failing else FAILURE_WEIGHT
        self.failures += weight * (failed - self.failures)
        limit = SOUND_SHARE if self.failing else FAILING_SHARE
        self.failing = self.failures >= limit

    def _learn(self, run: PlacedRun, ran: float) -> None:
        if run.order is None or run.order.estimate <= 0 or ran <= 0:
            return
        ratio = min(max(ran / run.order.estimate, LEAST_SLOWNESS), MOST_SLOWNESS)
        if self.slow:
            # Runs from before were quick until then; only a trial tells.
            if run.started_at > self.slow_since and ratio < SLOW * self.slowness:
                self.slow_since = None
            return
        self.slowness += SPEED_WEIGHT * (min(ratio, SLOW) - self.slowness)


def slow_from(runs: int) -> float:
    """Return the pace, times the usual, at which so many runs tell a slow upstream."""
    chance = RUNNING_BIAS + CERTAINTY * RATIO_DEVIATION / math.sqrt(runs)
    return max(SLOW, math.exp(chance))


def tells_speed(run: PlacedRun) -> bool:
    """Return whether a run is old enough for its progress to tell its speed."""
    elapsed = run.progress_at - run.started_at
    return run.progress >= LEAST_PROGRESS and elapsed >= LEAST_ELAPSED_SECONDS


def projected(run: PlacedRun) -> float:
    """Return the seconds that a run will take in all, told by its progress."""
    return (run.progress_at - run.started_at) / run.progress
