import pytest

from bergamotcourse.coordination.estimates import RunEstimates


class TestEstimate:
    @pytest.mark.parametrize("declared", [0.04, 0.4, 4.0])
    def test_wrong_declared_time_is_corrected_by_measurements(self, declared):
        estimates = RunEstimates()
        estimates.declare("voting", declared)
        assert estimates.mean_seconds("voting") == declared
        for _ in range(60):
            estimates.of("voting").add(0.4)
        assert estimates.mean_seconds("voting") == pytest.approx(0.4, rel=0.2)

    def test_new_declared_time_does_not_replace_measured_mean(self):
        estimates = RunEstimates()
        for _ in range(20):
            estimates.of("voting").add(0.4)
        before = estimates.mean_seconds("voting")
        estimates.declare("voting", 9.0)
        assert estimates.mean_seconds("voting") == before
