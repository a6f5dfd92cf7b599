"""Random faults injected into a fleet while callers submit jobs."""

import random

import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.state.job_spec import job_id_of_task
from bergamotcourse.virtual.job_fleet import job

CALLER_RETRY_SECONDS = 1.3
"""Least time until a caller submits a job again after its connection broke."""


class Chaos:
    """Random faults, both in sequence and at the same time.

    Attributes:
        keeps_ids: Whether crashed upstreams restart under their former id.
        submitted_once: Jobs that were answered at the first attempt.
        refused: Jobs of ``submitted_once`` that were reported as not run.
        faulted: Processes with a fault at present.
    """

    def __init__(self, fleet, seed, keeps_ids=False):
        self.keeps_ids = keeps_ids
        self.submitted_once = set()
        self.refused = set()
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.jobs = 0
        self.outcomes = []
        self.faulted = set()

    async def run(self):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(self.inject_faults)
            for _ in range(40):
                nursery.start_soon(self.call)
                await trio.sleep(0.1)

    async def call(self):
        self.jobs += 1
        spec = job(f"j{self.jobs}", self.rng.randint(1, 8), self.rng.uniform(0.1, 1.5))
        for attempt in range(3):
            is_first = attempt == 0
            entry = self.rng.choice(list(self.fleet.entries))
            answer = await self.fleet.submit(entry, spec, seconds=4.0)
            if answer.outcome not in (None, JobOutcome.TIMED_OUT):
                break
            await trio.sleep(CALLER_RETRY_SECONDS)
        self.outcomes.append(answer.outcome)
        if is_first:
            self.submitted_once.add(spec.id)
            if answer.outcome is JobOutcome.REFUSED:
                self.refused.add(spec.id)

    def refused_and_ran(self):
        """Return the jobs that were reported as not run, and ran."""
        return self.refused & {
            job_id_of_task(run.key.task) for run in self.fleet.history
        }

    def returned_and_ran(self):
        """Return the runs that an entry recorded as never started, and that ran."""
        ran = {(run.key.task, run.key.number) for run in self.fleet.history}
        returned = {
            (again["task"], again["run"])
            for again in self.fleet.logged("task.again")
            if again["outcome"] in ("returned", "stale")
            and job_id_of_task(again["task"]) in self.submitted_once
        }
        return ran & returned

    async def inject_faults(self):
        fleet, rng = self.fleet, self.rng
        await trio.sleep(rng.uniform(0.2, 1.0))
        for _ in range(3):
            agent = rng.choice(sorted(set(fleet.agents) - self.faulted))
            entry = rng.choice(sorted(set(fleet.entries) - self.faulted) or ["entry-1"])
            seconds = rng.uniform(0.05, 2.0)
            if entry in self.faulted:
                continue
            self.faulted.update((agent, entry))
            match rng.randrange(7):
                case 0:
                    fleet.agents[agent].kill()
                    await trio.sleep(seconds)
                    fleet.start_agent(agent)
                case 1:
                    fleet.entries[entry].kill()
                    await trio.sleep(seconds)
                    fleet.start_entry(entry)
                    self.announce_entry(entry)
                case 2:
                    process = fleet.agents[agent]
                    process.freeze()
                    await trio.sleep(seconds)
                    process.thaw()
                case 3:
                    process = fleet.entries[entry]
                    process.freeze()
                    await trio.sleep(seconds)
                    process.thaw()
                case 4:
                    pair = f"tcp://{entry}", f"tcp://{agent}"
                    pair = rng.choice([pair, pair[::-1]])
                    fleet.network.cut(*pair)
                    await trio.sleep(seconds)
                    fleet.network.heal(*pair)
                case 5:
                    fleet.upstreams[agent].crash()
                    await trio.sleep(seconds)
                    if self.keeps_ids:
                        fleet.restart_upstream(agent)
                    else:
                        fleet.start_upstream(agent)
                case 6:
                    fleet.cut_upstreams.add(agent)
                    await trio.sleep(seconds)
                    fleet.cut_upstreams.discard(agent)
            self.faulted.difference_update((agent, entry))

    def announce_entry(self, entry):
        address = self.fleet.entries[entry].address
        for agent in self.fleet.agents.values():
            agent.contacts.add_entries([address])
