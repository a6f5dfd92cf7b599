import pytest

from bergamotcourse.bench.configuration import Figures, run_changes


class TestConfiguration:
    @pytest.mark.parametrize("seed", range(100, 104))
    def test_change_is_in_force_everywhere_in_time_and_never_reverts(self, seed):
        figures = Figures()
        run_changes(seed, 12, 3, figures)
        assert sum(map(len, figures.seconds.values())) + figures.in_doubt == 12
        assert not figures.late
        assert not figures.reverts
