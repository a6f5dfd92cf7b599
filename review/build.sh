#!/bin/bash
# Builds the stand-ins that the scripts start: compiles them, and imports each once.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps"
python3 -m compileall -q bergamotcourse review || exit 2
python3 - <<'END' || exit 2
import bergamotcourse.standins.order_upstream
import bergamotcourse.tests.platform.cluster
import bergamotcourse.tests.platform.standins
import review.stand_ins
END
