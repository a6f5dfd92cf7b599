"""Faults at random against a fleet, while callers hand jobs in."""

import random

import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.virtual.job_fleet import job

RESEND_SECONDS = 1.3
"""The soonest that a caller sends a job again after its connection broke."""


class Chaos:
    """Faults at random, one after the other and at the same time."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.jobs = 0
        self.outcomes = []
        self.struck = set()

    async def run(self):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(self.fault)
            for _ in range(40):
                nursery.start_soon(self.caller)
                await trio.sleep(0.1)

    async def caller(self):
        self.jobs += 1
        spec = job(f"j{self.jobs}", self.rng.randint(1, 8), self.rng.uniform(0.1, 1.5))
        for _ in range(3):
            entry = self.rng.choice(list(self.fleet.entries))
            answer = await self.fleet.submit(entry, spec, seconds=4.0)
            if answer.outcome not in (None, JobOutcome.TIMED_OUT):
                break
            await trio.sleep(RESEND_SECONDS)
        self.outcomes.append(answer.outcome)

    async def fault(self):
        fleet, rng = self.fleet, self.rng
        await trio.sleep(rng.uniform(0.2, 1.0))
        for _ in range(3):
            agent = rng.choice(sorted(set(fleet.agents) - self.struck))
            entry = rng.choice(sorted(set(fleet.entries) - self.struck) or ["entry-1"])
            seconds = rng.uniform(0.05, 2.0)
            if entry in self.struck:
                continue
            self.struck.update((agent, entry))
            match rng.randrange(7):
                case 0:
                    fleet.agents[agent].kill()
                    await trio.sleep(seconds)
                    fleet.start_agent(agent)
                case 1:
                    fleet.entries[entry].kill()
                    await trio.sleep(seconds)
                    fleet.start_entry(entry)
                    self.introduce(entry)
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
                    fleet.start_upstream(agent)
                case 6:
                    fleet.cut_upstreams.add(agent)
                    await trio.sleep(seconds)
                    fleet.cut_upstreams.discard(agent)
            self.struck.difference_update((agent, entry))

    def introduce(self, entry):
        address = self.fleet.entries[entry].address
        for agent in self.fleet.agents.values():
            agent.contacts.learn([address])
