import pytest

from bergamotcourse.coordination.jobs.upstream_life import (
    LEAST_FAILED_HOLDS,
    SILENT_SECONDS,
    UpstreamLife,
)


def life_with(*failed_at):
    life = UpstreamLife(None, None, 0.0, 0.0)
    told = [life.hold_failed(at) for at in failed_at]
    return life, told


class TestSilence:
    def test_some_lost_renewals_in_a_short_time_are_none(self):
        life, told = life_with(*[0.01 * n for n in range(LEAST_FAILED_HOLDS + 3)])
        assert not life.silent
        assert not any(told)

    def test_lasting_loss_is_told_once(self):
        life, told = life_with(1.0, 1.1, 1.1 + SILENT_SECONDS, 2.0)
        assert life.silent
        assert told == [False, False, True, False]

    def test_two_renewals_far_apart_are_none(self):
        assert not life_with(1.0, 1.0 + 2 * SILENT_SECONDS)[0].silent

    @pytest.mark.parametrize("failed_at, was", [([1.0], False), ([1, 2, 3], True)])
    def test_an_answer_ends_it(self, failed_at, was):
        life, _ = life_with(*failed_at)
        assert life.hold_answered() is was
        assert (life.silent, life.failed_holds) == (False, 0)
