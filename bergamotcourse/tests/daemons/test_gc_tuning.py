import subprocess
import sys

PROGRAM = """
import gc
from bergamotcourse.daemons.gc_tuning import (
    GENERATION_0_OBJECTS, tune_garbage_collector
)
before = gc.get_freeze_count()
tune_garbage_collector()
print(
    before,
    gc.get_freeze_count() > 1000,
    gc.get_threshold()[0] == GENERATION_0_OBJECTS,
)
"""


class TestTuneGarbageCollector:
    def test_startup_objects_are_excluded_from_collections(self):
        command = [sys.executable, "-c", PROGRAM]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert result.stdout.split() == ["0", "True", "True"], result.stderr
