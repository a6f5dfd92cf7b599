import logging

import pytest

from bergamotcourse.scenarios.schedules import make_schedule
from bergamotcourse.scenarios.survey import run_schedules

SEEDS_PER_BATCH = 25
BATCHES = 8


class TestSchedules:
    """Random faults on small fleets.

    A failing seed is reproduced and printed by
    ``bergamotcourse scenario --random 1 --seed SEED --verbose``.
    """

    @pytest.mark.parametrize("batch", range(BATCHES))
    def test_random_faults_violate_no_invariant(self, batch):
        survey = run_schedules(
            range(batch * SEEDS_PER_BATCH, (batch + 1) * SEEDS_PER_BATCH)
        )
        assert survey.failures == {}

    def test_same_seed_gives_same_schedule(self):
        assert make_schedule(7).text == make_schedule(7).text

    def test_log_level_is_restored_after_the_run(self):
        level = logging.getLogger("bergamotcourse").level
        run_schedules([0])
        assert logging.getLogger("bergamotcourse").level == level
