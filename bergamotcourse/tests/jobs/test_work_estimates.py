import random

import pytest

from bergamotcourse.coordination.jobs.work_estimates import MOST_FACTOR, WorkEstimates


class TestWorkEstimates:
    def test_nothing_learnt_corrects_nothing(self):
        assert WorkEstimates().factor("check") == 1.0

    def test_learns_how_far_a_queue_is_off(self):
        rng = random.Random(1)
        estimates = WorkEstimates()
        for _ in range(400):
            work = rng.lognormvariate(0, 0.4)
            estimates.learn("check", 1.0, 1.5 * work)
            estimates.learn("cast", 1.0, 0.7 * work)
        assert estimates.factor("check") == pytest.approx(1.5, rel=0.2)
        assert estimates.factor("cast") == pytest.approx(0.7, rel=0.2)

    def test_one_end_changes_little_however_wrong_it_is(self):
        estimates = WorkEstimates()
        estimates.learn("check", 0.1, 100.0)
        assert estimates.factor("check") < MOST_FACTOR**0.03

    def test_nothing_declared_is_ignored(self):
        estimates = WorkEstimates()
        estimates.learn("check", 0.0, 1.0)
        assert estimates.factor("check") == 1.0
