"""What ends and progress tell of an upstream, replayed as they came."""

import random

from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_health import (
    STALL_SECONDS,
    TRIAL_SECONDS,
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
    """Runs whose speed is so many times lower than declared."""
    progress = (now - started_at) / (0.4 * slowness)
    return [make_run(n, started_at, progress, now) for n in range(count)]


class Replay:
    """Tasks on one upstream, some at a time, and what its reports say of them.

    The times they take over those declared are spread as measured.
    """

    SPREAD = 0.44
    LOOK_SECONDS = 0.1
    KINDS = ((0.12, 8), (0.4, 4), (1.8, 1))

    def __init__(self, rng, places):
        self.rng = rng
        self.places = places
        self.health = UpstreamHealth()
        self.running = {}
        self.number = 0

    def look(self, now, slowness=1.0):
        """Let tasks end and begin, and look at those that run."""
        for run, total in list(self.running.values()):
            elapsed = now - run.started_at
            if elapsed >= total:
                del self.running[run.key]
                self.health.ended(EndKind.DONE, run, total, now)
                continue
            run.progress = int(100 * elapsed / total) / 100
            run.progress_at = now
        while len(self.running) < self.places:
            self.start(now - self.rng.random() * self.LOOK_SECONDS, slowness)
        runs = [run for run, _ in self.running.values()]
        for run in self.health.runs_to_move(runs, now):
            del self.running[run.key]

    def start(self, at, slowness):
        self.number += 1
        kinds, weights = zip(*self.KINDS, strict=True)
        estimate = self.rng.choices(kinds, weights)[0]
        total = estimate * slowness * self.rng.lognormvariate(0.0, self.SPREAD)
        run = make_run(self.number, at, estimate=estimate)
        self.running[run.key] = (run, total)


def replay_sound_upstream(rng, seconds):
    """Return how often an upstream at the usual speed was put on trial."""
    replay = Replay(rng, places=rng.randint(2, 9))
    trials = 0
    for look in range(1, int(seconds / Replay.LOOK_SECONDS)):
        replay.look(look * Replay.LOOK_SECONDS)
        if replay.health.on_trial():
            trials += 1
            replay.health = UpstreamHealth()
    return trials


def seconds_until_found_slow(rng, slowness):
    """Return how long an upstream that has turned slow was not found out."""
    replay = Replay(rng, places=6)
    for look in range(1, 100):
        replay.look(look * Replay.LOOK_SECONDS, slowness)
        if replay.health.on_trial():
            return look * Replay.LOOK_SECONDS
    return 100 * Replay.LOOK_SECONDS


class TestFailures:
    def fail(self, health, number=1):
        health.ended(EndKind.FAILED, make_run(number, 0.0), 0.03, 1.0)

    def succeed(self, health, number=1):
        health.ended(EndKind.DONE, make_run(number, 0.0), 0.4, 1.0)

    def test_several_in_a_row_put_it_on_trial(self):
        health = UpstreamHealth()
        for _ in range(3):
            assert not health.on_trial()
            self.fail(health)
        assert health.on_trial()

    def test_a_third_of_all_put_it_on_trial(self):
        health = UpstreamHealth()
        rng = random.Random(3)
        for _ in range(40):
            self.fail(health) if rng.random() < 0.4 else self.succeed(health)
            if health.on_trial():
                break
        assert health.on_trial()

    def test_good_ends_bring_it_back(self):
        health = UpstreamHealth()
        for _ in range(4):
            self.fail(health)
        self.succeed(health)
        assert health.on_trial()
        for _ in range(3):
            self.succeed(health)
        assert not health.on_trial()

    def test_one_in_ten_of_jobs_that_can_never_be_done_says_nothing(self):
        health = UpstreamHealth()
        for _ in range(20):
            self.fail(health)
            for _ in range(9):
                self.succeed(health)
                assert not health.on_trial()


class TestStall:
    def test_a_run_without_progress_is_moved(self):
        health = UpstreamHealth()
        still = make_run(1, 0.0, 0.2, 0.1)
        moving = make_run(2, 0.0, 0.2, 0.1 + STALL_SECONDS)
        now = 0.1 + STALL_SECONDS
        assert health.runs_to_move([still, moving], now) == [still]
        assert health.on_trial()


class TestSlow:
    def test_many_slow_runs_are_moved(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=6.5)
        assert health.runs_to_move(runs, 0.3) == runs
        assert health.on_trial()

    def test_times_that_are_declared_wrong_are_no_sign(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=1.6)
        assert health.runs_to_move(runs, 0.3) == []
        assert not health.on_trial()

    def test_a_sound_upstream_is_let_alone_for_an_hour(self):
        rng = random.Random(5)
        trials = 0
        for _ in range(200):
            trials += replay_sound_upstream(rng, seconds=18.0)
        assert trials <= 1

    def test_a_slow_one_is_found_within_a_second(self):
        rng = random.Random(6)
        found = [seconds_until_found_slow(rng, slowness=4.0) for _ in range(100)]
        assert sorted(found)[89] < 1.0

    def test_a_young_run_says_nothing(self):
        health = UpstreamHealth()
        runs = [make_run(n, 0.0, 0.03, 0.05) for n in range(6)]
        assert health.runs_to_move(runs, 0.05) == []
        assert not health.on_trial()

    def test_what_is_nearly_done_stays(self):
        health = UpstreamHealth()
        runs = slow_runs(6, 0.0, 0.3, slowness=6.5)
        last = make_run(9, -2.0, 0.95, 0.3)
        assert last not in health.runs_to_move([*runs, last], 0.3)

    def test_the_end_of_a_run_from_before_does_not_bring_it_back(self):
        health = UpstreamHealth()
        old = make_run(9, -0.5, 0.9, 0.3)
        health.runs_to_move([*slow_runs(6, 0.0, 0.3, slowness=6.5), old], 0.3)
        health.ended(EndKind.DONE, old, 0.5, 0.4)
        assert health.on_trial()

    def test_a_trial_at_the_usual_speed_brings_it_back(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        health.ended(EndKind.DONE, make_run(10, 1.3), 0.45, 1.75)
        assert not health.on_trial()

    def test_a_trial_that_is_slow_does_not(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        health.ended(EndKind.DONE, make_run(10, 1.3), 2.6, 3.9)
        assert health.on_trial()

    def test_the_next_trial_comes_a_while_after_one_that_was_moved(self):
        health = UpstreamHealth()
        health.runs_to_move(slow_runs(6, 0.0, 0.3, slowness=6.5), 0.3)
        trial = slow_runs(1, 2.0, 2.3, slowness=6.5)
        assert health.runs_to_move(trial, 2.3) == trial
        assert health.trial_at == 2.3 + TRIAL_SECONDS
