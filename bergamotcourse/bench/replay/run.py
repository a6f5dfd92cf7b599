"""One replay: callers, faults, and what became of the jobs; by a seed, repeatable."""

import itertools
import math
import random

import trio
from msgspec import structs

from bergamotcourse.bench.replay.faults import Faults
from bergamotcourse.bench.replay.load_file import Burst, Kind, Load
from bergamotcourse.bench.replay.tally import Outcome
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.standins.order_upstream import Behaviour
from bergamotcourse.state.job_spec import (
    JobId,
    JobQueue,
    JobSpec,
    StepSpec,
    TaskName,
    job_id_of_task,
)
from bergamotcourse.state.resources import Resources
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.job_fleet import CAPACITY, QUEUE, JobFleet

CALLER_SECONDS = 6.0
"""For how long a caller waits."""

RESEND_SECONDS = 1.3
"""After which callers send again what was cut, to any entry."""

WARM_UP_SECONDS = 2.0
"""Of the load before jobs are counted and events begin."""

TASK_MEM_MB = 64

PADDING = "."
"""Fills payloads up; the name of the kind stands before it."""

BYTES_PER_MBIT = 125_000


class Callers:
    """Hands in the jobs of a load.

    Attributes:
        longest: By job, the seconds of its longest task: what its objective is by.
    """

    def __init__(self, fleet: JobFleet, load: Load, outcome: Outcome):
        self.fleet = fleet
        self.load = load
        self.outcome = outcome
        self.rng = fleet.make_rng()
        self.queues = {kind.name: make_queue(kind) for kind in load.kinds}
        self.needs = task_needs(load)
        self.numbers = itertools.count(1)
        self.noted = 0
        self.longest: dict[JobId, float] = {}

    async def run(self, counted_from: float) -> None:
        """Let jobs arrive, and wait for the last."""
        ends_at = counted_from + self.load.seconds
        async with trio.open_nursery() as nursery:
            while (now := trio.current_time()) < ends_at:
                rates = [
                    self._rate(kind, now - counted_from) for kind in self.load.kinds
                ]
                await trio.sleep(self.rng.expovariate(sum(rates)))
                [kind] = self.rng.choices(self.load.kinds, rates)
                nursery.start_soon(self._hand_in, kind, now - counted_from)

    def _rate(self, kind: Kind, at: float) -> float:
        """Return the jobs of a kind in a second, at a time."""
        rate = jobs_per_second(self.load) * kind.share / total_share(self.load)
        for event in self.load.events:
            match event:
                case Burst(at=begins, seconds=seconds, factor=factor, job=job):
                    if begins <= at < begins + seconds and job in ("", kind.name):
                        rate *= factor
        return rate

    async def _hand_in(self, kind: Kind, at: float) -> None:
        spec = self._make_job(kind)
        crashes = self.rng.random() < kind.crashing
        if crashes:
            self.fleet.crashing.add(TaskName(f"{spec.id}.0.0.0"))
        begun = trio.current_time()
        outcome = None
        while outcome is None and trio.current_time() < begun + CALLER_SECONDS:
            entry = self.rng.choice(list(self.fleet.entries))
            left = begun + CALLER_SECONDS - trio.current_time()
            queue = self.queues[kind.name]
            outcome = (await self.fleet.submit(entry, spec, queue, left)).outcome
            if outcome is None:
                await trio.sleep(RESEND_SECONDS)
        if at >= 0 and not crashes:
            took = trio.current_time() - begun
            objective = self.queues[kind.name].objective(self._longest_task(spec))
            self.outcome.add(kind.name, at, outcome, took, objective, kind.worth)

    def _make_job(self, kind: Kind) -> JobSpec:
        width = max(1, round(kind.tasks * self.rng.lognormvariate(-0.08, 0.4)))
        step = StepSpec(width, self.needs, kind.work)
        payload = kind.name.ljust(kind.payload_bytes, PADDING)
        return JobSpec(JobId(f"j{next(self.numbers)}"), payload, (step,))

    def _longest_task(self, spec: JobSpec) -> float:
        runs = self.fleet.history[self.noted :]
        self.noted += len(runs)
        for run in runs:
            job = job_id_of_task(run.key.task)
            self.longest[job] = max(self.longest.get(job, 0.0), run.total)
        return self.longest.get(spec.id, spec.steps[0].estimate)


def make_queue(kind: Kind) -> JobQueue:
    """Return the queue of a kind of job."""
    return structs.replace(
        QUEUE,
        name=kind.name,
        path_prefix=f"/{kind.name}/",
        slack_factor=kind.slack_factor,
        target_latency=kind.target,
    )


def task_needs(load: Load) -> Resources:
    """Return the needs of a task: an upstream has room for ``slots`` of them."""
    return Resources(CAPACITY.cpu // load.slots, TASK_MEM_MB, 0)


def total_share(load: Load) -> float:
    """Return the sum of the kinds' shares."""
    return sum(kind.share for kind in load.kinds)


def jobs_per_second(load: Load) -> float:
    """Return the jobs that come in a second, by the work that they bring."""
    longer = math.exp(load.spread**2 / 2)
    work = sum(kind.share * kind.tasks * kind.work for kind in load.kinds)
    mean = longer * work / total_share(load)
    return load.load * load.agents * load.slots / mean


def make_work(load: Load, rng: random.Random):
    """Return what tells the stand-ins the work of a task."""
    needs = task_needs(load)
    errors = {k.name: 1 + rng.uniform(-load.error, load.error) for k in load.kinds}
    works = {kind.name: kind.work for kind in load.kinds}

    def work_of(payload: str) -> tuple[Resources, float]:
        spread = rng.lognormvariate(0, load.spread)
        kind = payload.rstrip(PADDING)
        return needs, works[kind] * errors[kind] * spread

    return work_of


def replay(load: Load, policy: JobPolicy, seed: int) -> Outcome:
    """Replay a load, and return what became of its jobs."""

    async def main() -> Outcome:
        async with trio.open_nursery() as nursery:
            fleet = JobFleet(nursery, load.entries, load.agents, seed, policy)
            fleet.work_of = make_work(load, random.Random(seed))
            if load.link_mbps:
                fleet.limit_links(load.link_mbps * BYTES_PER_MBIT)
            await fleet.start()
            set_speeds(fleet, load)
            outcome = Outcome()
            await play(fleet, load, outcome)
            nursery.cancel_scope.cancel()
        return outcome

    return run_virtual(main, seed)


def set_speeds(fleet: JobFleet, load: Load) -> None:
    """Let the upstreams differ in speed, evenly from the fastest to the slowest."""
    last = max(1, len(fleet.upstreams) - 1)
    for place, upstream in enumerate(fleet.upstreams.values()):
        slowness = 1 + (load.slowest - 1) * place / last
        upstream.behaviour = Behaviour(slowness=slowness)


async def play(fleet: JobFleet, load: Load, outcome: Outcome) -> None:
    """Let jobs arrive and events happen, and wait for the last job."""
    counted_from = trio.current_time() + WARM_UP_SECONDS
    faults = Faults(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_events, faults, load, counted_from)
        await Callers(fleet, load, outcome).run(counted_from)


async def run_events(faults: Faults, load: Load, counted_from: float) -> None:
    """Let the events of a load happen."""
    await trio.sleep_until(counted_from)
    async with trio.open_nursery() as nursery:
        for event in load.events:
            nursery.start_soon(faults.run, event)
