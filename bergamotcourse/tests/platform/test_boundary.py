"""The platform's paths and field names occur only in its adapter."""

import re
from pathlib import Path

import bergamotcourse

ROOT = Path(bergamotcourse.__file__).parent
PATHS = re.compile(
    r"/bergamotcourse/(ready|run-start|run-stop|hold|pace|advise|rows-|blob-|machine"
    r"|Instances)"
)
# "wait_ms" and "clock_ms" are missing: other parts have fields of these names too.
FIELDS = re.compile(
    r"\b(fencing_token|until_ms|observed|best_effort|estimated_ms|mem_mb"
    r"|listen_addrs|seed_nodes|internal_ports|control_plane"
    r"|cold_remaining_ms|heartbeat_endpoint)\b"
)


def sources():
    for path in ROOT.rglob("*.py"):
        inner = path.relative_to(ROOT).parts
        if "platform" not in inner[:2]:
            yield path


class TestBoundary:
    def test_platform_paths_and_fields_occur_only_in_adapter(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sources()
            for pattern in (PATHS, FIELDS)
            for match in pattern.finditer(path.read_text())
        ]
        assert found == []

    def test_no_module_outside_adapter_imports_it(self):
        wrong = [
            str(path.relative_to(ROOT))
            for path in sources()
            if "tests" not in path.parts
            and "bergamotcourse.platform" in path.read_text()
        ]
        assert wrong == []
