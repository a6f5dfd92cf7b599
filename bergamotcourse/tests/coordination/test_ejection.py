import random

import pytest

from bergamotcourse.coordination.decisions import Decisions
from bergamotcourse.coordination.ejection import (
    FIRST_TRIAL_INTERVAL_SECONDS,
    MAX_EJECTED_SHARE,
    Ejector,
)
from bergamotcourse.tests.coordination.policy_parts import (
    SERVICE,
    make_directory,
    set_health,
)

NOW = 100.0


def make_ejector(agents=10):
    directory = make_directory(agents)
    for view in directory:
        set_health(view)
    ejector = Ejector(directory, Decisions(), random.Random(1))
    return ejector, list(directory)


def is_ejected(ejector, view):
    return ejector.current_ejection(view, SERVICE) is not None


def eject(ejector, view, now=NOW, **figures):
    set_health(view, **figures)
    ejector.record_result(view, SERVICE, done=False, now=now)
    assert is_ejected(ejector, view)


class TestFailing:
    def test_agent_that_fails_while_others_succeed_is_ejected(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], failing=70)

    def test_failures_below_threshold_do_not_eject(self):
        ejector, views = make_ejector()
        set_health(views[0], failing=55)
        ejector.record_result(views[0], SERVICE, False, NOW)
        assert not is_ejected(ejector, views[0])

    def test_failures_common_to_all_agents_eject_none(self):
        ejector, views = make_ejector()
        for view in views:
            set_health(view, failing=100)
        for view in views:
            ejector.record_result(view, SERVICE, False, NOW)
        assert not any(is_ejected(ejector, view) for view in views)

    def test_share_of_ejected_agents_is_bounded(self):
        ejector, views = make_ejector()
        for view in views[:5]:
            set_health(view, failing=100)
            ejector.record_result(view, SERVICE, False, NOW)
        ejected = sum(is_ejected(ejector, view) for view in views)
        assert ejected <= MAX_EJECTED_SHARE * len(views)


class TestTrials:
    def test_trials_are_sent_singly_with_backoff(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], failing=100)
        now, trials = NOW, []
        while now < NOW + 60:
            now += 0.05
            if ejector.is_trial_due(views[0], SERVICE, now):
                ejector.sent(views[0], SERVICE)
                assert not ejector.is_trial_due(views[0], SERVICE, now + 100)
                trials.append(now)
                set_health(views[0], failing=100, ended=10 + len(trials))
                ejector.record_result(views[0], SERVICE, False, now)
        pauses = [b - a for a, b in zip([NOW, *trials], trials, strict=False)]
        assert len(trials) <= 6
        assert pauses[-1] > 3 * pauses[0]

    def test_successful_trials_end_the_ejection(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], failing=100)
        now = NOW + 2 * FIRST_TRIAL_INTERVAL_SECONDS
        for number in range(2):
            assert ejector.is_trial_due(views[0], SERVICE, now)
            ejector.sent(views[0], SERVICE)
            set_health(views[0], failing=60 - 20 * number, ended=20 + number)
            ejector.record_result(views[0], SERVICE, True, now)
        assert not is_ejected(ejector, views[0])

    def test_relapse_continues_the_backoff(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], failing=100)
        first = ejector.current_ejection(views[0], SERVICE)
        first.released_at = NOW + 5
        eject(ejector, views[0], now=NOW + 6, failing=100)
        assert (
            ejector.current_ejection(views[0], SERVICE).trial_interval
            > first.trial_interval
        )

    def test_failed_trial_of_another_entry_postpones_own_trial(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], failing=100)
        before = ejector.current_ejection(views[0], SERVICE).next_trial_at
        set_health(views[0], failing=100, ended=11)
        ejector.check_report(views[0], SERVICE, before - 0.01)
        assert not ejector.is_trial_due(views[0], SERVICE, before)


class TestSlow:
    def test_slow_agent_is_ejected_until_it_recovers(self):
        ejector, views = make_ejector()
        eject(ejector, views[0], run_ms=3000)
        now = NOW + 2 * FIRST_TRIAL_INTERVAL_SECONDS
        for trial, run_ms in enumerate((2400, 1900, 1400, 1000, 550)):
            assert ejector.is_trial_due(views[0], SERVICE, now)
            ejector.sent(views[0], SERVICE)
            set_health(views[0], run_ms=run_ms, ended=11 + trial)
            ejector.record_result(views[0], SERVICE, True, now)
        assert not is_ejected(ejector, views[0])

    @pytest.mark.parametrize("run_ms", [0, 300, 800])
    def test_normal_and_unknown_run_times_do_not_eject(self, run_ms):
        ejector, views = make_ejector()
        set_health(views[0], run_ms=run_ms)
        ejector.check_report(views[0], SERVICE, NOW)
        assert not is_ejected(ejector, views[0])
