"""A fixed piece of work that other measurements are compared with.

The speed of a shared machine changes within seconds. The ratio of two measurements
that are taken right after one another varies less than either of them.
"""

import time

ITERATIONS = 400
REPETITIONS = 3
US_PER_SECOND = 1e6


def reference_us() -> float:
    """Return the processor time of the fixed work in microseconds, best of three."""
    return min(_run_once_us() for _ in range(REPETITIONS))


def _run_once_us() -> float:
    began = time.process_time()
    counts: dict[str, int] = {}
    for number in range(ITERATIONS):
        name = f"task {number % 17}"
        counts[name] = counts.get(name, 0) + len(name.encode())
    return (time.process_time() - began) * US_PER_SECOND
