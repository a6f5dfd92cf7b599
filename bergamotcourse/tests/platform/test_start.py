"""The modules that the start of an entry or an agent imports."""

import subprocess
import sys

import pytest

OPTIONAL_LIBRARIES = ("click", "prometheus_client", "tenacity", "yaml", "eliot")
"""Libraries that few calls need: importing one lengthens the start and takes memory."""

OTHER_ROLE_MODULES = {
    "entry": ("bergamotcourse.coordination.jobs.executor",),
    "agent": ("bergamotcourse.coordination.jobs.job_dispatcher",),
}


def modules_loaded_by(role):
    code = f"import sys, bergamotcourse.platform.{role}; print(*sys.modules)"
    # Without the site module, whose imports depend on the machine.
    done = subprocess.run(
        [sys.executable, "-S", "-c", f"import sys; sys.path = {sys.path!r}; {code}"],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


class TestStart:
    @pytest.mark.parametrize("role", ["entry", "agent"])
    def test_imports_only_modules_that_the_role_uses(self, role):
        loaded = modules_loaded_by(role)
        assert not loaded & {*OPTIONAL_LIBRARIES, *OTHER_ROLE_MODULES[role]}
