from pathlib import Path

import pytest

from bergamotcourse.scenarios.parser import parse
from bergamotcourse.scenarios.runner import run_scenario

CASES = sorted((Path(__file__).parent / "cases").glob("*.scenario"))


class TestCases:
    """Runs each scenario file; the checker adds the invariants to its expectations."""

    @pytest.mark.parametrize("file", CASES, ids=lambda file: file.stem)
    def test_scenario_expectations_and_invariants_hold(self, file):
        steps = parse(file.read_text(), file.name).ok
        assert run_scenario(steps, seed=1).failures == []
