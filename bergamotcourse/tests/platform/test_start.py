"""What a start of a role loads."""

import subprocess
import sys

import pytest

NOT_AT_A_START = ("click", "prometheus_client", "tenacity", "yaml", "eliot")
"""Libraries that only some calls use: each costs a start time, and memory after it."""

OTHERS_PARTS = {
    "entry": ("bergamotcourse.coordination.jobs.executor",),
    "agent": ("bergamotcourse.coordination.jobs.job_dispatcher",),
}


def loaded_by(role):
    code = f"import sys, bergamotcourse.platform.{role}; print(*sys.modules)"
    # Without the site module: what it loads is the machine's and no part of a start.
    done = subprocess.run(
        [sys.executable, "-S", "-c", f"import sys; sys.path = {sys.path!r}; {code}"],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


class TestStart:
    @pytest.mark.parametrize("role", ["entry", "agent"])
    def test_loads_only_what_the_role_uses(self, role):
        loaded = loaded_by(role)
        assert not loaded & {*NOT_AT_A_START, *OTHERS_PARTS[role]}
