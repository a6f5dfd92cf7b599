import subprocess
import sys

import pytest

PROGRAM = "import sys; import bergamotcourse.__main__; print(*sys.modules)"


@pytest.fixture(scope="module")
def loaded_modules():
    command = [sys.executable, "-c", PROGRAM]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    return set(result.stdout.split())


class TestImports:
    """Modules loaded by the command line stay in the memory of each daemon."""

    @pytest.mark.parametrize(
        "module", ["pytest", "trio.testing", "hypothesis", "numpy", "matplotlib"]
    )
    def test_command_line_loads_no_test_or_plot_library(self, loaded_modules, module):
        assert module not in loaded_modules
