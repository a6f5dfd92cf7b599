import pytest

from bergamotcourse.coordination.jobs.upstream_life import (
    MIN_FAILED_HOLDS,
    UPSTREAM_SILENCE_SECONDS,
    UpstreamLife,
)


def life_with(*failed_at):
    life = UpstreamLife(None, None, 0.0, 0.0)
    became_silent = [life.record_failed_hold(at) for at in failed_at]
    return life, became_silent


class TestSilence:
    def test_is_not_caused_by_several_failed_holds_in_a_short_time(self):
        life, became_silent = life_with(
            *[0.01 * n for n in range(MIN_FAILED_HOLDS + 3)]
        )
        assert not life.silent
        assert not any(became_silent)

    def test_is_reported_once_when_failures_last(self):
        life, became_silent = life_with(1.0, 1.1, 1.1 + UPSTREAM_SILENCE_SECONDS, 2.0)
        assert life.silent
        assert became_silent == [False, False, True, False]

    def test_is_not_caused_by_two_failed_holds_far_apart(self):
        assert not life_with(1.0, 1.0 + 2 * UPSTREAM_SILENCE_SECONDS)[0].silent

    @pytest.mark.parametrize("failed_at, was", [([1.0], False), ([1, 2, 3], True)])
    def test_ends_with_an_answer(self, failed_at, was):
        life, _ = life_with(*failed_at)
        assert life.record_answered_hold() is was
        assert (life.silent, life.failed_holds) == (False, 0)
