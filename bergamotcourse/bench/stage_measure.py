"""Measures the processor time and the function calls of one stage."""

import time
from collections.abc import Awaitable, Callable
from cProfile import Profile
from dataclasses import dataclass

from bergamotcourse.bench.reference import reference_us

REPETITIONS = 9
US_PER_SECOND = 1e6


@dataclass(frozen=True)
class Stage:
    """One stage in the processing of a request.

    Attributes:
        run: Performs the work of the stage.
        tasks: Number of tasks that one run processes.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    tasks: int


async def measure(stage: Stage) -> tuple[list[float], list[float]]:
    """Measure the processor time per task in each repetition.

    Returns:
        The times in microseconds, and the same times divided by the reference work.
    """
    await stage.run()
    figures, ratios = [], []
    for _ in range(REPETITIONS):
        reference = reference_us()
        began = time.process_time()
        await stage.run()
        figure = (time.process_time() - began) / stage.tasks * US_PER_SECOND
        figures.append(figure)
        ratios.append(figure / min(reference, reference_us()))
    return figures, ratios


async def count_calls(stage: Stage) -> float:
    """Return the Python and C function calls per task.

    Unlike processor time, the count does not depend on other load on the machine.
    """
    profile = Profile()
    profile.enable()
    await stage.run()
    profile.disable()
    return sum(entry.callcount for entry in profile.getstats()) / stage.tasks
