"""A worker leaves the stop orders for a run unanswered after its job was given up."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from standins2.deployment import RETRANSMIT_SECONDS, SERVICE, Deployment, main
from standins2.worker import Run, Worker

JOB = "feed0000000000a1"
CPU = 20000
"""More than half of a worker, so that each worker has room for one such task."""

SECONDS = 7.7
ESTIMATE = 7.0
"""The task takes a tenth longer than its job says."""

DEADLINE = 4.0
SECOND_DEADLINE = 20.0

UNANSWERED_SECONDS = 1.7
"""Time after the first stop order for which stop orders are left unanswered."""

WINDOW_SECONDS = 5.5
"""Length of the disruption, from the first stop order; its share is taken over it."""

MAX_SHARE = 0.055

OTHER_JOBS_PER_SECOND = 50
OTHER_SECONDS = 0.2
OTHER_CPU = 1000


@dataclass
class Disruption:
    """Leaves the stop orders for the tasks of one job unanswered.

    Attributes:
        begun_at: Time of the first such order.
        arrived: Orders to all workers in the window.
        unanswered: Those left unanswered.
    """

    is_on: bool
    begun_at: float | None = None
    arrived: int = 0
    unanswered: int = 0

    def applies(self, name: str, body: dict) -> bool:
        """Return whether an order is left unanswered and carried out late."""
        now = time.monotonic()
        concerned = name == "run-stop" and body["task"].startswith(JOB)
        if self.begun_at is None and concerned:
            self.begun_at = now
        if self.begun_at is None or now - self.begun_at > WINDOW_SECONDS:
            return False
        self.arrived += 1
        lost = concerned and now - self.begun_at <= UNANSWERED_SECONDS and self.is_on
        self.unanswered += lost
        return lost


async def case(deployment: Deployment, trouble: bool) -> bool | None:
    """Return whether no two runs of a task were at work at the same time."""
    note = deployment.record.note
    disruption = Disruption(trouble)

    workers = [
        Worker(
            f"i-{number}",
            SERVICE,
            "127.0.0.1",
            note,
            lambda task: CPU if task.startswith(JOB) else OTHER_CPU,
            leaves_unanswered=disruption.applies,
        )
        for number in (1, 2, 3)
    ]
    await deployment.start(entries=2, workers=workers)
    others = asyncio.create_task(submit_others(deployment))
    first, second = deployment.entries
    await deployment.submit(first, JOB, SECONDS, CPU, 1, ESTIMATE, DEADLINE)
    await asyncio.sleep(RETRANSMIT_SECONDS)
    await deployment.submit(second, JOB, SECONDS, CPU, 1, ESTIMATE, SECOND_DEADLINE)
    others.cancel()
    runs = [run for worker in workers for run in worker.runs]
    if not any(run.task.startswith(JOB) for run in runs):
        return None
    share = disruption.unanswered / max(1, disruption.arrived)
    note(
        f"{disruption.unanswered} of {disruption.arrived} orders to the workers within "
        f"{WINDOW_SECONDS} s were left unanswered, a share of {share:.3f}"
    )
    if share > MAX_SHARE:
        return None
    pairs = overlaps(runs)
    for one, other in pairs:
        note(
            f"{one.name} on {one.worker} and {other.name} on {other.worker} were at "
            f"work at the same time for {overlap_seconds(one, other):.3f} s"
        )
    return not pairs


async def submit_others(deployment: Deployment) -> None:
    """Submit short jobs to both entries until cancelled."""
    entries = itertools.cycle(deployment.entries)
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count(1):
            tasks.create_task(
                deployment.submit(
                    next(entries), f"{number:016x}", OTHER_SECONDS, OTHER_CPU
                )
            )
            await asyncio.sleep(1 / OTHER_JOBS_PER_SECOND)


def overlap_seconds(one: Run, other: Run) -> float:
    """Return for how many seconds two runs were at work at the same time."""
    now = time.monotonic()
    end = min(one.ended_at or now, other.ended_at or now)
    return end - max(one.started_at, other.started_at)


def overlaps(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that were at work at the same time."""
    return [
        (one, other)
        for one, other in itertools.combinations(runs, 2)
        if one.task == other.task and overlap_seconds(one, other) > 0
    ]


if __name__ == "__main__":
    main(case)
