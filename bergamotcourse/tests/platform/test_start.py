"""The modules that the start of an entry or an agent imports."""

import os
import subprocess
import sys

import pytest

OPTIONAL_LIBRARIES = ("click", "prometheus_client", "tenacity", "yaml", "eliot")
"""Libraries that few calls need: importing one lengthens the start and takes memory."""

OTHER_ROLE_MODULES = {
    "entry": ("bergamotcourse.coordination.jobs.executor",),
    "agent": ("bergamotcourse.coordination.jobs.job_dispatcher",),
}

SELF_SIGNALLING_MODULE = """
import os, signal
os.kill(os.getpid(), signal.SIGHUP)
raise SystemExit(7)
"""


def modules_loaded_by(role):
    modules = f"bergamotcourse.platform.{role}, bergamotcourse.platform.{role}_machine"
    code = f"import sys, {modules}; print(*sys.modules)"
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

    @pytest.mark.parametrize("role", ["entry", "agent"])
    def test_signal_to_reload_does_not_end_it(self, role, tmp_path):
        """Guards against SIGHUP ending a process that is importing its modules."""
        (tmp_path / "trio.py").write_text(SELF_SIGNALLING_MODULE)
        path = os.pathsep.join([str(tmp_path), *sys.path])
        done = subprocess.run(
            [sys.executable, "-m", f"bergamotcourse.platform.{role}"],
            env={**os.environ, "PYTHONPATH": path},
        )
        assert done.returncode == 7
