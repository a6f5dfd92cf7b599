"""Health of an upstream, computed from ends and progress of its runs."""

import random

from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_health import (
    STALL_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    UpstreamHealth,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources

ENTRY = LinkAddress("tcp://entry-1")


def make_run(number, started_at, progress=0.0, progress_at=None, estimate=0.4):
    key = RunKey(TaskName(f"task-{number}"), 1)
    order = PlaceTask(key, "job", "", Resources(3100), 100, estimate, 15)
    run = PlacedRun(key, ENTRY, order, started_at, RunState.RUNNING)
    run.started_at = started_at
    run.progress = progress
    run.progress_at = started_at if progress_at is None else progress_at
    return run


def slow_runs(count, started_at, now, slowness):
    """Return running tasks that take ``slowness`` times longer than declared."""
    progress = (now - started_at) / (0.4 * slowness)
    return [make_run(n, started_at, progress, now) for n in range(count)]


class UpstreamSimulation:
    """Tasks on one upstream, up to ``slots`` at a time, and its reports of them.

    The ratio of time taken to time declared has the measured spread.
    """

    LOG_RATIO_DEVIATION = 0.44
    SAMPLE_SECONDS = 0.1
    ESTIMATES_AND_WEIGHTS = ((0.12, 8), (0.4, 4), (1.8, 1))

    def __init__(self, rng, slots):
        self.rng = rng
        self.slots = slots
        self.health = UpstreamHealth()
        self.running = {}
        self.number = 0

    def sample(self, now, slowness=1.0):
        """End and start tasks, and update health from those that run."""
        for run, total in list(self.running.values()):
            elapsed = now - run.started_at
            if elapsed >= total:
                del self.running[run.key]
                self.health.record_end(EndKind.DONE, run, total, now)
                continue
            run.progress = int(100 * elapsed / total) / 100
            run.progress_at = now
        while len(self.running) < self.slots:
            self.start(now - self.rng.random() * self.SAMPLE_SECONDS, slowness)
        runs = [run for run, _ in self.running.values()]
        for run in self.health.runs_to_move(runs, now):
            del self.running[run.key]

    def start(self, at, slowness):
        self.number += 1
        estimates, weights = zip(*self.ESTIMATES_AND_WEIGHTS, strict=True)
        estimate = self.rng.choices(estimates, weights)[0]
        total = (
            estimate * slowness * self.rng.lognormvariate(0.0, self.LOG_RATIO_DEVIATION)
        )
        run = make_run(self.number, at, estimate=estimate)
        self.running[run.key] = (run, total)


def count_false_trials(rng, seconds):
    """Return how often a healthy upstream is put on trial."""
    simulation = UpstreamSimulation(rng, slots=rng.randint(2, 9))
    trials = 0
    for step in range(1, int(seconds / UpstreamSimulation.SAMPLE_SECONDS)):
        simulation.sample(step * UpstreamSimulation.SAMPLE_SECONDS)
        if simulation.health.on_trial():
            trials += 1
            simulation.health = UpstreamHealth()
    return trials


def seconds_until_trial(rng, slowness):
    """Return the seconds until a slow upstream is put on trial, 10 s at most."""
    simulation = UpstreamSimulation(rng, slots=6)
    for step in range(1, 100):
        simulation.sample(step * UpstreamSimulation.SAMPLE_SECONDS, slowness)
        if simulation.health.on_trial():
            return step * UpstreamSimulation.SAMPLE_SECONDS
    return 100 * UpstreamSimulation.SAMPLE_SECONDS


class TestFailures:
    def fail(self, health, number=1):
        health.record_end(EndKind.FAILED, make_run(number, 0.0), 0.03, 1.0)

    def succeed(self, health, number=1):
        health.record_end(EndKind.DONE, make_run(number, 0.0), 0.4, 1.0)

    def test_several_in_a_row_start_a_trial(self):
        health = UpstreamHealth()
        for _ in range(3):
            assert not health.on_trial()
            self.fail(health)
        assert health.on_trial()

    def test_a_high_share_of_failures_starts_a_trial(self):
        health = UpstreamHealth()
        rng = random.Random(3)
        for _ in range(40):
            self.fail(health) if rng.random() < 0.4 else self.succeed(health)
            if health.on_trial():
                break
        assert health.on_trial()

    def test_successes_end_the_trial(self):
        health = UpstreamHealth()
        for _ in range(4):
            self.fail(health)
        self.succeed(health)
        assert health.on_trial()
        for _ in range(3):
            self.succeed(health)
        assert not health.on_trial()

    def test_one_failure_in_ten_starts_no_trial(self):
        health = UpstreamHealth()
        for _ in range(20):
            self.fail(health)
            for _ in range(9):
                self.succeed(health)
                assert not health.on_trial()


class TestStall:
    def test_run_without_progress_is_moved(self):
        health = UpstreamHealth()
        stalled = make_run(1, 0.0, 0.2, 0.1)
        moving = make_run(2, 0.0, 0.2, 0.1 + STALL_SECONDS)
        now = 0.1 + STALL_SECONDS
        assert health.runs_to_move([stalled, moving], now) == [stalled]
        assert health.on_trial()


class TestSlowUpstream:
    def test_slow_runs_are_moved(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=6.5)
        assert health.runs_to_move(runs, 0.3) == runs
        assert health.on_trial()

    def test_wrong_estimates_start_no_trial(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=1.6)
        assert health.runs_to_move(runs, 0.3) == []
        assert not health.on_trial()

    def test_healthy_upstream_is_put_on_trial_at_most_once_an_hour(self):
        rng = random.Random(5)
        trials = 0
        for _ in range(200):
            trials += count_false_trials(rng, seconds=18.0)
        assert trials <= 1

    def test_slow_upstream_is_put_on_trial_within_a_second(self):
        rng = random.Random(6)
        found = [seconds_until_trial(rng, slowness=4.0) for _ in range(100)]
        assert sorted(found)[89] < 1.0

    def test_young_runs_start_no_trial(self):
        health = UpstreamHealth()
        runs = [make_run(n, 0.0, 0.03, 0.05) for n in range(6)]
        assert health.runs_to_move(runs, 0.05) == []
        assert not health.on_trial()

    def test_nearly_completed_run_is_not_moved(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=6.5)
        last = make_run(9, -2.0, 0.95, 0.3)
        assert last not in health.runs_to_move([*runs, last], 0.3)

    def test_success_of_a_run_started_before_does_not_end_the_trial(self):
        health = UpstreamHealth()
        old = make_run(9, -0.5, 0.9, 0.3)
        health.runs_to_move([*slow_runs(6, 0.0, 0.3, slowness=6.5), old], 0.3)
        health.record_end(EndKind.DONE, old, 0.5, 0.4)
        assert health.on_trial()

    def test_trial_task_at_the_usual_speed_ends_the_trial(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        health.record_end(EndKind.DONE, make_run(10, 1.3), 0.45, 1.75)
        assert not health.on_trial()

    def test_slow_trial_task_does_not_end_the_trial(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        health.record_end(EndKind.DONE, make_run(10, 1.3), 2.6, 3.9)
        assert health.on_trial()

    def test_next_trial_task_is_delayed_after_one_that_was_moved(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        trial = slow_runs(1, 2.0, 2.3, slowness=6.5)
        assert health.runs_to_move(trial, 2.3) == trial
        assert health.trial_at == 2.3 + TRIAL_INTERVAL_SECONDS
