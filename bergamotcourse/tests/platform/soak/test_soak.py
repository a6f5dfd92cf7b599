"""Short soaks, including the seeds that once found a fault."""

import pytest
import trio

from bergamotcourse.tests.platform.soak.records import Variant
from bergamotcourse.tests.platform.soak.run import run_soak

FAULTY = {
    12: "an agent never polled its upstream again after the upstream was silent",
    17: "a returning agent did not record run ends from before its absence",
    113: "a stopping entry did not wait for a request still being received",
    119: "a restarted agent reported that an earlier run had not started",
}
"""Seeds that once found a fault, with its cause."""


def assert_no_violations(seed, seconds, folder, variant, fault):
    """Run a soak in which a fault occurs, and check that no guarantee is violated."""
    result = trio.run(run_soak, seed, seconds, folder, variant)
    assert result.summary["faults"][fault]
    assert result.violations == []


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *FAULTY])
    def test_no_violations_under_random_faults(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 5.0, tmp_path)
        assert result.violations == []

    @pytest.mark.parametrize("seed", [4])
    def test_no_violations_while_zones_are_evacuated(self, seed, tmp_path):
        variant = Variant(evacuates=True)
        assert_no_violations(seed, 10.0, tmp_path, variant, "evacuate")

    @pytest.mark.parametrize("seed", [2, 3])
    def test_no_violations_when_workers_restart_under_same_id(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 5.0, tmp_path, Variant(keeps_ids=True))
        assert result.violations == []

    @pytest.mark.parametrize("seed", [12])
    def test_no_violations_while_connections_are_black_holed(self, seed, tmp_path):
        variant = Variant(deafens=True)
        assert_no_violations(seed, 8.0, tmp_path, variant, "deafen")

    @pytest.mark.parametrize("seed", [1])
    def test_no_violations_while_workers_leave_at_short_notice(self, seed, tmp_path):
        variant = Variant(announces_leaving=True)
        assert_no_violations(seed, 10.0, tmp_path, variant, "announce_leaving")

    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_violations_when_entries_and_agents_are_killed_together(
        self, seed, tmp_path
    ):
        variant = Variant(kills_together=True)
        assert_no_violations(seed, 6.0, tmp_path, variant, "kill_together")

    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_violations_when_entries_wake_after_callers_left(self, seed, tmp_path):
        variant = Variant(freezes_entries=True)
        assert_no_violations(seed, 8.0, tmp_path, variant, "freeze_entry")

    @pytest.mark.parametrize("seed", [1, 3])
    def test_no_violations_when_agents_receive_late_reports(self, seed, tmp_path):
        variant = Variant(misreports=True)
        assert_no_violations(seed, 6.0, tmp_path, variant, "misreport")

    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_violations_when_entries_lack_processor_time(self, seed, tmp_path):
        variant = Variant(throttles=True)
        assert_no_violations(seed, 6.0, tmp_path, variant, "throttle_entry")

    @pytest.mark.parametrize("seed", [1306])
    def test_no_violations_while_workers_delay_orders(self, seed, tmp_path):
        variant = Variant(delays_orders=True)
        assert_no_violations(seed, 10.0, tmp_path, variant, "delay_orders")

    @pytest.mark.parametrize("seed", [9002])
    def test_no_violations_while_workers_lose_stop_orders(self, seed, tmp_path):
        variant = Variant(loses_stops=True, agents=6)
        assert_no_violations(seed, 8.0, tmp_path, variant, "lose_stops")

    @pytest.mark.parametrize("seed", [9001])
    def test_no_violations_while_zones_change_together(self, seed, tmp_path):
        variant = Variant(evacuates_together=True, agents=6)
        assert_no_violations(seed, 10.0, tmp_path, variant, "evacuate_together")

    @pytest.mark.parametrize("seed", [9002])
    def test_no_violations_when_workers_change_their_kind(self, seed, tmp_path):
        variant = Variant(changes_kinds=True, agents=6)
        assert_no_violations(seed, 8.0, tmp_path, variant, "change_kind")

    @pytest.mark.parametrize("seed", [2])
    def test_no_violations_while_callers_cancel_jobs(self, seed, tmp_path):
        variant = Variant(cancels=True)
        assert_no_violations(seed, 8.0, tmp_path, variant, "cancel")

    @pytest.mark.parametrize("seed", [14])
    def test_no_violations_when_others_leave_odd_entries(self, seed, tmp_path):
        variant = Variant(odd_entries=True)
        assert_no_violations(seed, 8.0, tmp_path, variant, "leave_odd_entries")

    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_violations_when_jobs_come_again_or_are_cancelled_elsewhere(
        self, seed, tmp_path
    ):
        variant = Variant(resubmits=True)
        assert_no_violations(seed, 6.0, tmp_path, variant, "cancel elsewhere")
