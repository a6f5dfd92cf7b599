"""Decision which runs leave an upstream that is about to leave itself.

When an upstream leaves, all runs there end with it. A run that cannot end before then
loses least if it is stopped at once. One that may end in time keeps its chance until
shortly before the upstream leaves.
"""

from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_health import (
    MIN_ELAPSED_SECONDS,
    MIN_PROGRESS,
)

LAST_MOVE_SECONDS = 0.1
"""Time before the upstream leaves at which the remaining late runs are stopped: a stop
takes up to 50 ms, and its end is listed by the next answer. A run that needs no longer
than this is not stopped, as it ends about as soon as a stop would."""

ESTIMATE_ERROR_FACTOR = 1.3
"""Factor by which an estimate must exceed the time left. A lower one would stop fresh
runs that end in time; progress shows the speed of a run within about 0.1 s."""

OVERRUN_SHARE = 0.34
"""Share of its estimate that a run without progress still needs in the median once it
has taken its estimate, if the logarithm of the ratio of the time taken to the estimate
has a standard deviation of 0.44."""

PROGRESS_RESOLUTION = 0.01
"""Progress is reported in hundredths, rounded down."""


def runs_to_move(
    runs: list[PlacedRun], seconds_left: float, listed_at: float, now: float
) -> list[PlacedRun]:
    """Return the running runs that are to be stopped now.

    Args:
        runs: The runs at the upstream.
        seconds_left: Least time in seconds until the upstream leaves; negative if it
            has stayed longer than announced.
        listed_at: When the upstream last listed the progress of its runs, in seconds on
            the clock of ``now``.
        now: The time in seconds.
    """
    return [
        run
        for run in runs
        if run.state is RunState.RUNNING
        and is_too_late(run, seconds_left, listed_at, now)
    ]


def is_too_late(
    run: PlacedRun, seconds_left: float, listed_at: float, now: float
) -> bool:
    """Return whether a run is stopped; the arguments are those of ``runs_to_move``.

    Shortly before the upstream leaves, a run without progress is also stopped if it is
    merely unlikely to end in time.
    """
    limit = max(seconds_left, LAST_MOVE_SECONDS)
    by_progress = remaining_by_progress(run, listed_at, now)
    if by_progress is not None:
        return by_progress > limit
    estimate = run.order.estimate
    by_estimate = estimate - (now - run.started_at)
    if seconds_left > LAST_MOVE_SECONDS:
        return by_estimate > limit * ESTIMATE_ERROR_FACTOR
    return max(by_estimate, estimate * OVERRUN_SHARE) > limit


def remaining_by_progress(run: PlacedRun, listed_at: float, now: float) -> float | None:
    """Return the least seconds that a run still needs, or ``None`` without progress.

    Its progress at ``listed_at`` was below the next hundredth, so at constant speed it
    is not faster than this.
    """
    elapsed = listed_at - run.started_at
    if run.progress < MIN_PROGRESS or elapsed < MIN_ELAPSED_SECONDS:
        return None
    done = min(1.0, run.progress + PROGRESS_RESOLUTION)
    return elapsed * (1 - done) / done - (now - listed_at)
