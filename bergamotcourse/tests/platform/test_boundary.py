"""The platform's names stay inside the adapter."""

import re
from pathlib import Path

import bergamotcourse

ROOT = Path(bergamotcourse.__file__).parent
PATHS = re.compile(
    r"/bergamotcourse/(ready|run-start|run-stop|hold|pace|advise|rows-|blob-|machine"
    r"|Instances)"
)
# Not "wait_ms" and "clock_ms": the product has fields of its own of these names.
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
    def test_no_path_or_field_of_the_platform_stands_outside(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sources()
            for pattern in (PATHS, FIELDS)
            for match in pattern.finditer(path.read_text())
        ]
        assert found == []

    def test_nothing_below_the_daemons_imports_the_adapter(self):
        wrong = [
            str(path.relative_to(ROOT))
            for path in sources()
            if "tests" not in path.parts
            and "bergamotcourse.platform" in path.read_text()
        ]
        assert wrong == []
