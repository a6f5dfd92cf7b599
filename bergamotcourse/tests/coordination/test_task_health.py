import random

import pytest

from bergamotcourse.coordination.ejection import FAILING_PERCENT
from bergamotcourse.coordination.task_health import COUNT_MASK, TaskHealth
from bergamotcourse.protocol.messages import Health


class TestTaskHealth:
    def test_report_is_zero_before_any_task(self):
        assert TaskHealth().report("voting") == Health(0, 0, 0)

    def test_single_long_task_hardly_changes_typical_run_time(self):
        health, rng = TaskHealth(), random.Random(1)
        for _ in range(50):
            health.record_done("voting", rng.uniform(0.2, 0.4))
        health.record_done("voting", 5.0)
        assert health.report("voting").run_ms < 600

    def test_three_consecutive_failures_reach_ejection_threshold(self):
        health = TaskHealth()
        for _ in range(50):
            health.record_done("voting", 0.3)
        for _ in range(3):
            assert health.report("voting").failing < FAILING_PERCENT
            health.record_failed("voting")
        assert health.report("voting").failing >= FAILING_PERCENT

    def test_slow_worker_is_visible_after_six_tasks(self):
        health = TaskHealth()
        for seconds in [0.3] * 50 + [3.0] * 6:
            health.record_done("voting", seconds)
        assert health.report("voting").run_ms > 3 * 300

    def test_ended_count_wraps_at_sixteen_bits(self):
        health = TaskHealth()
        for _ in range(3):
            health.record_failed("voting")
        health.services["voting"].ended = COUNT_MASK
        health.record_failed("voting")
        assert health.report("voting").ended == pytest.approx(0)
