"""Runs programs on a virtual clock, with the same schedule for the same seed."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run_virtual(main: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run an async function on a clock that skips idle time.

    trio shuffles tasks that become ready together. Its random number generator is
    seeded here, so that runs with the same seed are identical.
    """
    trio._core._run._r = random.Random(seed)
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
