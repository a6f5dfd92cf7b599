"""Decision which runs are stopped as their upstream is about to leave."""

import pytest

from bergamotcourse.coordination.jobs.departure_plan import runs_to_move
from bergamotcourse.coordination.jobs.task_runs import RunState
from bergamotcourse.tests.jobs.test_upstream_health import make_run

NOW = 10.0


def is_moved(left, progress, elapsed, estimate=1.0, listed_at=NOW):
    """Return whether a run is stopped that the upstream has listed since its start."""
    run = make_run(1, NOW - elapsed, progress, estimate=estimate)
    return runs_to_move([run], left, listed_at, NOW) == [run]


class TestRunsToMove:
    @pytest.mark.parametrize(
        "left, progress, elapsed, estimate, moved",
        [
            (1.5, 0.5, 2.0, 0.1, True),
            (1.5, 0.5, 1.0, 9.0, False),
            (1.5, 0.4, 1.0, 1.0, False),
            (1.5, 0.0, 0.0, 2.0, True),
            (1.5, 0.0, 0.0, 1.9, False),
            (1.5, 0.0, 2.0, 1.0, False),
        ],
        ids=[
            "progress shows that it is late",
            "progress shows that it is in time",
            "within the rounding of progress",
            "estimate is far above the time left",
            "estimate may be too high",
            "estimate is exceeded",
        ],
    )
    def test_only_certainly_late_runs_move_early(
        self, left, progress, elapsed, estimate, moved
    ):
        assert is_moved(left, progress, elapsed, estimate) == moved

    @pytest.mark.parametrize("left", [0.1, 0.0, -2.0])
    def test_at_the_end_all_move_but_those_near_their_end(self, left):
        """Guards against stops that cost more than waiting for the end of the run."""
        assert is_moved(left, progress=0.5, elapsed=0.5)
        assert is_moved(left, progress=0.0, elapsed=2.0)
        assert not is_moved(left, progress=0.95, elapsed=1.0)
        assert not is_moved(left, progress=0.0, elapsed=0.1, estimate=0.15)

    def test_progress_without_change_counts_until_it_was_last_listed(self):
        """Guards against taking a stalled run for one that is near its end."""
        assert is_moved(left=0.5, progress=0.5, elapsed=4.0)
        assert not is_moved(left=0.5, progress=0.5, elapsed=4.0, listed_at=NOW - 3.2)

    def test_only_running_runs_move(self):
        runs = [make_run(n, NOW, estimate=9.0) for n in range(len(RunState))]
        for run, state in zip(runs, RunState, strict=True):
            run.state = state
        moved = runs_to_move(runs, 1.0, NOW, NOW)
        assert [run.state for run in moved] == [RunState.RUNNING]
