"""Short soaks, and those that found a fault."""

import pytest
import trio

from bergamotcourse.tests.platform.soak.records import Variant
from bergamotcourse.tests.platform.soak.run import run_soak

FAULTY = {
    12: "an agent whose upstream was silent never asked it again",
    17: "an agent that came back did not note the ends from before",
    113: "a stopping entry did not wait for a request that was coming in",
    119: "a restarted agent said that a former run had not begun",
}
"""Seeds that found a fault, with its cause."""


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *FAULTY])
    def test_keeps_the_promises(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 5.0, tmp_path)
        assert result.violations == []

    @pytest.mark.parametrize("seed", [4])
    def test_keeps_them_while_zones_are_evacuated(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 10.0, tmp_path, Variant(evacuates=True))
        assert result.summary["faults"]["evacuate"]
        assert result.violations == []

    @pytest.mark.parametrize("seed", [2, 3])
    def test_keeps_them_of_workers_that_keep_their_ids(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 5.0, tmp_path, Variant(keeps_ids=True))
        assert result.violations == []

    @pytest.mark.parametrize("seed", [12])
    def test_keeps_them_while_connections_go_silent(self, seed, tmp_path):
        result = trio.run(run_soak, seed, 8.0, tmp_path, Variant(deafens=True))
        assert result.summary["faults"]["deafen"]
        assert result.violations == []
