"""Replays one load with its callers and faults, repeatable by its seed."""

import itertools
import math
import random
from dataclasses import asdict

import trio
from msgspec import structs

from bergamotcourse.bench.replay.faults import FaultInjector
from bergamotcourse.bench.replay.load_file import Burst, Kind, Load
from bergamotcourse.bench.replay.tally import Call, ReplayOutcome
from bergamotcourse.coordination.jobs.job_run import JobOutcome
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
from bergamotcourse.virtual.event_loop import WorkCosts
from bergamotcourse.virtual.job_fleet import CAPACITY, QUEUE, JobFleet

CALLER_TIMEOUT_SECONDS = 6.0
"""Total time that a caller waits for a job, resubmissions included."""

RESUBMIT_DELAY_SECONDS = 1.3
"""Delay before a caller resubmits a job whose call was cut, to a random entry."""

WARM_UP_SECONDS = 2.0
"""Time under load before jobs are counted and events begin."""

TASK_MEM_MB = 64

PADDING = "."
"""Pads payloads to their size, after the name of the kind."""

BYTES_PER_MBIT = 125_000

CORE_SECONDS = WorkCosts(
    receive=0.0003, send=0.0002, place=0.0013, submit=0.001, reject=0.0005
)
"""Seconds of a core that the work of an entry with some dozens of agents takes."""


class Callers:
    """Submits the jobs of a load.

    Attributes:
        longest_task_seconds: By job, the run time of its longest task, from which its
            latency objective is computed.
        runs_read: Number of runs of the fleet's history that were already processed.
    """

    def __init__(self, fleet: JobFleet, load: Load, outcome: ReplayOutcome):
        self.fleet = fleet
        self.load = load
        self.outcome = outcome
        self.rng = fleet.make_rng()
        self.queues = {kind.name: make_queue(kind) for kind in load.kinds}
        self.needs = task_needs(load)
        self.numbers = itertools.count(1)
        self.runs_read = 0
        self.longest_task_seconds: dict[JobId, float] = {}

    async def run(self, counted_from: float) -> None:
        """Submit jobs until the counted time ends, and wait for the last one."""
        ends_at = counted_from + self.load.seconds
        async with trio.open_nursery() as nursery:
            while (now := trio.current_time()) < ends_at:
                rates = [
                    self._rate(kind, now - counted_from) for kind in self.load.kinds
                ]
                await trio.sleep(self.rng.expovariate(sum(rates)))
                [kind] = self.rng.choices(self.load.kinds, rates)
                nursery.start_soon(self._call, kind, now - counted_from)

    def _rate(self, kind: Kind, at: float) -> float:
        """Return the arrival rate of a kind, in jobs per second, at a given time."""
        rate = jobs_per_second(self.load) * kind.share / total_share(self.load)
        for event in self.load.events:
            match event:
                case Burst(at=begins, seconds=seconds, factor=factor, job=job):
                    if begins <= at < begins + seconds and job in ("", kind.name):
                        rate *= factor
        return rate

    async def _call(self, kind: Kind, at: float) -> None:
        """Submit a job, and others after refusals as often as the caller returns."""
        while True:
            submitted_at = trio.current_time()
            retry_after = await self._submit_job(kind, at)
            if not retry_after or not self._returns():
                return
            await trio.sleep(math.ceil(retry_after))
            at += trio.current_time() - submitted_at
            if at >= self.load.seconds:
                return

    def _returns(self) -> bool:
        """Return whether a refused caller returns; draws only if some do."""
        return self.load.returns > 0 and self.rng.random() < self.load.returns

    async def _submit_job(self, kind: Kind, at: float) -> float:
        """Submit a job and count it; return its ``Retry-After``, or 0."""
        spec = self._make_job(kind)
        crashes = self.rng.random() < kind.crashing
        if crashes:
            self.fleet.crashing.add(TaskName(f"{spec.id}.0.0.0"))
        started_at = trio.current_time()
        outcome, retry_after = None, 0.0
        while (
            outcome is None
            and trio.current_time() < started_at + CALLER_TIMEOUT_SECONDS
        ):
            entry = self.rng.choice(list(self.fleet.entries))
            left = started_at + CALLER_TIMEOUT_SECONDS - trio.current_time()
            queue = self.queues[kind.name]
            answer = await self.fleet.submit(entry, spec, queue, left)
            outcome, retry_after = answer.outcome, answer.retry_after
            if outcome is None:
                await trio.sleep(RESUBMIT_DELAY_SECONDS)
        if at >= 0 and not crashes:
            self.outcome.calls.append(
                Call(spec.id, kind.name, spec.steps[0].count, started_at)
            )
            took = trio.current_time() - started_at
            objective = self.queues[kind.name].objective(
                self._longest_task_seconds(spec)
            )
            self.outcome.add(kind.name, at, outcome, took, objective, kind.worth)
        return retry_after if outcome is JobOutcome.REFUSED else 0.0

    def _make_job(self, kind: Kind) -> JobSpec:
        width = max(1, round(kind.tasks * self.rng.lognormvariate(-0.08, 0.4)))
        step = StepSpec(width, self.needs, kind.work)
        payload = kind.name.ljust(kind.payload_bytes, PADDING)
        return JobSpec(JobId(f"j{next(self.numbers)}"), payload, (step,))

    def _longest_task_seconds(self, spec: JobSpec) -> float:
        runs = self.fleet.history[self.runs_read :]
        self.runs_read += len(runs)
        for run in runs:
            job = job_id_of_task(run.key.task)
            self.longest_task_seconds[job] = max(
                self.longest_task_seconds.get(job, 0.0), run.total
            )
        return self.longest_task_seconds.get(spec.id, spec.steps[0].estimate)


def make_queue(kind: Kind) -> JobQueue:
    """Return the job queue for a kind of job."""
    return structs.replace(
        QUEUE,
        name=kind.name,
        path_prefix=f"/{kind.name}/",
        slack_factor=kind.slack_factor,
        target_latency=kind.target,
        priority=kind.priority,
    )


def task_needs(load: Load) -> Resources:
    """Return the resources of a task, such that an upstream fits ``slots`` tasks."""
    return Resources(CAPACITY.cpu // load.slots, TASK_MEM_MB, 0)


def total_share(load: Load) -> float:
    """Return the sum of the shares of all kinds."""
    return sum(kind.share for kind in load.kinds)


def jobs_per_second(load: Load) -> float:
    """Return the arrival rate, in jobs per second, that produces the load's work."""
    mean_factor = math.exp(load.spread**2 / 2)
    work = sum(kind.share * kind.tasks * kind.work for kind in load.kinds)
    mean = mean_factor * work / total_share(load)
    return load.load * load.agents * load.slots / mean


def draw_work_errors(load: Load, rng: random.Random) -> dict[str, float]:
    """Return for each kind the factor by which its declared run time is off."""
    return {k.name: 1 + rng.uniform(-load.error, load.error) for k in load.kinds}


def make_work_sampler(load: Load, rng: random.Random):
    """Return a function that draws a task's resources and run time from its payload."""
    needs = task_needs(load)
    errors = draw_work_errors(load, rng)
    works = {kind.name: kind.work for kind in load.kinds}

    def work_of(payload: str) -> tuple[Resources, float]:
        spread = rng.lognormvariate(0, load.spread)
        kind = payload.rstrip(PADDING)
        return needs, works[kind] * errors[kind] * spread

    return work_of


def replay(load: Load, policy: JobPolicy, seed: int) -> ReplayOutcome:
    """Replay a load under a policy and return the outcome of its jobs."""

    async def main() -> ReplayOutcome:
        async with trio.open_nursery() as nursery:
            fleet = JobFleet(nursery, load.entries, load.agents, seed, policy)
            fleet.work_of = make_work_sampler(load, random.Random(seed))
            fleet.entry_costs = entry_costs(load)
            if load.link_mbps:
                fleet.limit_links(load.link_mbps * BYTES_PER_MBIT)
            await fleet.start()
            set_upstream_speeds(fleet, load)
            outcome = ReplayOutcome()
            await run_callers_and_events(fleet, load, outcome)
            nursery.cancel_scope.cancel()
        return outcome

    return run_virtual(main, seed)


def entry_costs(load: Load) -> WorkCosts | None:
    """Return what the work of an entry costs; ``None`` if it takes no time."""
    if not load.entry_cores:
        return None
    return WorkCosts(
        **{
            work: seconds / load.entry_cores
            for work, seconds in asdict(CORE_SECONDS).items()
        }
    )


def set_upstream_speeds(fleet: JobFleet, load: Load) -> None:
    """Set the slowness of each upstream, also for its later lives."""
    for index, (agent, upstream) in enumerate(fleet.upstreams.items()):
        slowness = upstream_slowness(load, index)
        fleet.slowness[agent] = slowness
        upstream.behaviour = Behaviour(slowness=slowness)


def upstream_slowness(load: Load, index: int) -> float:
    """Return the run time at an upstream relative to the nominal one."""
    if load.speeds:
        return 1 / load.speeds[index % len(load.speeds)]
    return 1 + (load.slowest - 1) * index / max(1, load.agents - 1)


async def run_callers_and_events(
    fleet: JobFleet, load: Load, outcome: ReplayOutcome
) -> None:
    """Run the callers and the events of a load until the last job has ended."""
    counted_from = trio.current_time() + WARM_UP_SECONDS
    faults = FaultInjector(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_events, faults, load, counted_from)
        await Callers(fleet, load, outcome).run(counted_from)
    outcome.counted_from = counted_from
    for run in fleet.history:
        outcome.works[run.key.task].append(run.total)


async def run_events(faults: FaultInjector, load: Load, counted_from: float) -> None:
    """Run the events of a load, counted from the end of the warm-up."""
    await trio.sleep_until(counted_from)
    async with trio.open_nursery() as nursery:
        for event in load.events:
            nursery.start_soon(faults.run, event)
