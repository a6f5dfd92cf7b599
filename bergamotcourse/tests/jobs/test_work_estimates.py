import random

import pytest

from bergamotcourse.coordination.jobs.work_estimates import (
    MAX_CORRECTION_FACTOR,
    WorkEstimates,
)


class TestWorkEstimates:
    def test_unknown_queue_is_not_corrected(self):
        assert WorkEstimates().factor("check") == 1.0

    def test_factor_converges_for_each_queue(self):
        rng = random.Random(1)
        estimates = WorkEstimates()
        for _ in range(400):
            work = rng.lognormvariate(0, 0.4)
            estimates.record_run_time("check", 1.0, 1.5 * work)
            estimates.record_run_time("cast", 1.0, 0.7 * work)
        assert estimates.factor("check") == pytest.approx(1.5, rel=0.2)
        assert estimates.factor("cast") == pytest.approx(0.7, rel=0.2)

    def test_single_outlier_has_bounded_effect(self):
        estimates = WorkEstimates()
        estimates.record_run_time("check", 0.1, 100.0)
        assert estimates.factor("check") < MAX_CORRECTION_FACTOR**0.03

    def test_sample_without_declared_time_is_ignored(self):
        estimates = WorkEstimates()
        estimates.record_run_time("check", 0.0, 1.0)
        assert estimates.factor("check") == 1.0
