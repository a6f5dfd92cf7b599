"""Jobs under load, replayed on a virtual clock: what is in time, late, and refused.

Entries, agents and stand-in upstreams as in production, with the arrivals and the work
of a seed. Run as ``python -m bergamotcourse.bench.job_load``.
"""

import math
import random
import statistics
from dataclasses import dataclass, field

import click
import trio
from msgspec import structs

from bergamotcourse.coordination.jobs.job_run import LATE_FACTOR, JobOutcome
from bergamotcourse.state.job_spec import JobId, JobQueue, JobSpec, StepSpec
from bergamotcourse.state.resources import Resources
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import CAPACITY, NEEDS, QUEUE, JobFleet

CALLER_SECONDS = 6.0
LATE_WORTH = 0.2
"""Of a job that is late, by the users' sheets."""

TASK_DEVIATION = 0.44
"""Of the logarithm of the time a task takes over the time declared, as measured."""

QUEUE_ERROR = 0.2
"""By how much a queue's declared times are off on the whole, up or down."""

WARM_UP_SECONDS = 2.0


@dataclass(frozen=True)
class Kind:
    """A kind of job.

    Attributes:
        share: Of all jobs.
        tasks: Mean number of tasks.
        work: Seconds of a task.
    """

    name: str
    share: float
    tasks: int
    work: float


KINDS = (
    Kind("check", 0.24, 8, 0.12),
    Kind("cast", 0.055, 4, 1.8),
    Kind("view", 0.705, 2, 0.4),
)
"""The mix of the users' vote platform."""


@dataclass
class Tally:
    """What became of the jobs of one kind.

    Attributes:
        refusals: Seconds from the arrival of a job to its refusal.
    """

    count: int = 0
    in_time: int = 0
    late: int = 0
    refusals: list[float] = field(default_factory=list)
    failed: int = 0

    def earned(self) -> float:
        """Return the share of the worth that was earned."""
        return (self.in_time + LATE_WORTH * self.late) / max(1, self.count)


class JobLoad:
    """One replay.

    Attributes:
        tallies: By kind.
        seconds: For how long jobs arrive and are counted.
        longest: By job, the seconds of its longest task.
    """

    def __init__(self, fleet: JobFleet, load: float, seconds: float):
        self.fleet = fleet
        self.rng = fleet.make_rng()
        self.tallies = {kind.name: Tally() for kind in KINDS}
        self.seconds = seconds
        self.per_second = load * len(fleet.agents) / mean_cost()
        self.queues = {kind.name: self._make_queue(kind) for kind in KINDS}
        self.number = 0
        self.noted = 0
        self.longest: dict[JobId, float] = {}

    def _make_queue(self, kind: Kind) -> JobQueue:
        return structs.replace(QUEUE, name=kind.name, path_prefix=f"/{kind.name}/")

    async def run(self) -> None:
        """Let jobs arrive, and wait for the last."""
        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            while (now := trio.current_time() - begun) < WARM_UP_SECONDS + self.seconds:
                await trio.sleep(self.rng.expovariate(self.per_second))
                nursery.start_soon(self._hand_in, now >= WARM_UP_SECONDS)

    async def _hand_in(self, counts: bool) -> None:
        [kind] = self.rng.choices(KINDS, [kind.share for kind in KINDS])
        spec = self._make_job(kind)
        entry = self.rng.choice(list(self.fleet.entries))
        begun = trio.current_time()
        answer = await self.fleet.submit(
            entry, spec, self.queues[kind.name], CALLER_SECONDS
        )
        if counts:
            took = trio.current_time() - begun
            self._count(kind, answer.outcome, took, self._objective(spec))

    def _make_job(self, kind: Kind) -> JobSpec:
        self.number += 1
        width = max(1, round(kind.tasks * self.rng.lognormvariate(-0.08, 0.4)))
        step = StepSpec(width, NEEDS, kind.work)
        return JobSpec(JobId(f"j{self.number}"), kind.name, (step,))

    def _objective(self, spec: JobSpec) -> float:
        """Return the seconds within which a job was wanted, by its longest task."""
        self._note_runs()
        longest = self.longest.get(spec.id, spec.steps[0].estimate)
        return QUEUE.objective(longest)

    def _note_runs(self) -> None:
        """Note the longest task of each job, of the runs since the last time."""
        runs = self.fleet.history[self.noted :]
        self.noted += len(runs)
        for run in runs:
            job = JobId(run.key.task.partition(".")[0])
            self.longest[job] = max(self.longest.get(job, 0.0), run.total)

    def _count(
        self, kind: Kind, outcome: JobOutcome, took: float, objective: float
    ) -> None:
        tally = self.tallies[kind.name]
        tally.count += 1
        match outcome:
            case JobOutcome.SUCCEEDED if took <= objective:
                tally.in_time += 1
            case JobOutcome.SUCCEEDED if took <= LATE_FACTOR * objective:
                tally.late += 1
            case JobOutcome.REFUSED:
                tally.refusals.append(took)
            case _:
                tally.failed += 1


def mean_cost() -> float:
    """Return the mean part of an upstream's seconds that a job takes."""
    longer = math.exp(TASK_DEVIATION**2 / 2)
    return sum(
        kind.share * longer * kind.tasks * kind.work / (CAPACITY.cpu // NEEDS.cpu)
        for kind in KINDS
    )


def make_work(rng: random.Random):
    """Return what tells the stand-ins the work of a task."""
    errors = {kind.name: 1 + rng.uniform(-QUEUE_ERROR, QUEUE_ERROR) for kind in KINDS}
    kinds = {kind.name: kind for kind in KINDS}

    def work_of(payload: str) -> tuple[Resources, float]:
        kind = kinds[payload]
        work = kind.work * errors[payload] * rng.lognormvariate(0, TASK_DEVIATION)
        return NEEDS, work

    return work_of


def replay(
    load: float, seconds: float, seed: int, entries: int = 3, agents: int = 10
) -> JobLoad:
    """Replay a load, in parts of the capacity, and return what became of it."""

    async def main() -> JobLoad:
        async with trio.open_nursery() as nursery:
            fleet = JobFleet(nursery, entries, agents, seed)
            fleet.work_of = make_work(random.Random(seed))
            await fleet.start()
            run = JobLoad(fleet, load, seconds)
            await run.run()
            nursery.cancel_scope.cancel()
        return run

    return run_virtual(main, seed)


def report(run: JobLoad) -> list[str]:
    """Return a line for each kind, and one for all by worth."""
    lines = []
    for name, tally in run.tallies.items():
        waits = sorted(tally.refusals) or [0.0]
        lines.append(
            f"{name:6} {tally.count:6} in time {tally.in_time / tally.count:.3f} "
            f"late {tally.late / tally.count:.3f} "
            f"refused {len(tally.refusals) / tally.count:.3f} "
            f"(after {1000 * waits[len(waits) // 2]:.0f} ms, "
            f"90%: {1000 * waits[len(waits) * 9 // 10]:.0f} ms) "
            f"failed {tally.failed / tally.count:.3f} earned {tally.earned():.3f}"
        )
    mean = statistics.mean(tally.earned() for tally in run.tallies.values())
    lines.append(f"mean of kinds: earned {mean:.3f}")
    return lines


@click.command()
@click.option("--load", "loads", multiple=True, type=float, default=(0.8, 1.0, 1.3))
@click.option("--seconds", default=10.0, help="For how long jobs arrive.")
@click.option("--seeds", default=1)
@click.option("--entries", default=3)
@click.option("--agents", default=10)
def main(loads, seconds: float, seeds: int, entries: int, agents: int) -> None:
    """Replay jobs at loads given in parts of the capacity."""
    for load in loads:
        for seed in range(1, seeds + 1):
            click.echo(f"load {load}, seed {seed}")
            for line in report(replay(load, seconds, seed, entries, agents)):
                click.echo(f"  {line}")


if __name__ == "__main__":
    main()
