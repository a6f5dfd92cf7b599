"""An entry and an agent are killed at the same moment and start again at once."""

import itertools
import sys
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins import PREFIX, CaseError, call, job_body, main, overlaps, run_text

ROUNDS = 7
CAST_SECONDS, CAST_TASKS = 1.8, 4
"""The sheet's ``ballot-cast``: 4 tasks of 1.8 s."""

VIEW_SECONDS, VIEW_TASKS = 0.4, 2
"""The sheet's ``proposal-view``: 2 tasks of 0.4 s, the load at the other entries."""

VIEW_CLIENTS = 8
VIEW_PAUSE_SECONDS = 0.02
RESTART_SECONDS = 0.05
"""Delay of the platform's restart, which the pages call short."""

RESEND_SECONDS = 1.3
"""``retransmit_ms`` of the sheet."""


class Case:
    """A deployment of three entries and four agents under a steady load."""

    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.record = record
        self.trouble = trouble
        self.numbers = itertools.count(1)
        self.answered = 0
        self.loaded = True

    async def run(self):
        """Return the broken rules."""
        await self.deployment.start(entries=3, agents=4)
        others = [self.deployment.nodes[name] for name in ("entry-2", "entry-3")]
        for number in range(VIEW_CLIENTS):
            self.deployment.nursery.start_soon(self.view, others[number % len(others)])
        await trio.sleep(1.0)
        for number in range(ROUNDS):
            await self.run_round(number)
        self.loaded = False
        self.record.write(f"{self.answered} jobs of the steady load were answered")
        await trio.sleep(1.0)
        return [
            f"TWICE: two runs of {first.key.task} at the same time: run "
            f"{first.key.number} on {first.upstream}, run {second.key.number} on "
            f"{second.upstream}"
            for first, second in overlaps(self.deployment.history)
        ]

    async def view(self, entry):
        """Submit short jobs one after another."""
        body = job_body(VIEW_SECONDS, [VIEW_TASKS])
        while self.loaded:
            path = f"{PREFIX}{next(self.numbers):016x}"
            status, _ = await call(entry, "POST", path, body, 3.0)
            self.answered += bool(status)
            await trio.sleep(VIEW_PAUSE_SECONDS)

    async def run_round(self, number):
        """Submit one longer job at the first entry, and kill the machines."""
        job = f"5c0e7a21d94b{number:04x}"
        done = trio.Event()
        self.deployment.nursery.start_soon(self.cast, job, done)
        with trio.move_on_after(10):
            while len(self.runs_of(job)) < CAST_TASKS:
                await trio.sleep(0.005)
        if len(self.runs_of(job)) < CAST_TASKS:
            raise CaseError("the job's tasks didn't start")
        if self.trouble:
            await self.kill_and_restart(self.deployment.worker_of(self.runs_of(job)[0]))
        await done.wait()
        for run in self.runs_of(job):
            self.record.write(run_text(run, self.record.began))
        await trio.sleep(3.0)

    async def cast(self, job, done):
        """Submit a job, and again after a broken channel, at another entry."""
        body = job_body(CAST_SECONDS, [CAST_TASKS])
        for name in ("entry-1", "entry-2"):
            self.record.write(f"POST {PREFIX}{job} to {name}: {body.decode()}")
            entry = self.deployment.nodes[name]
            answer = await call(entry, "POST", PREFIX + job, body, 12.0)
            self.record.write(f"POST {PREFIX}{job} at {name} answered {answer}")
            if answer[0] not in (0, 502, 504):
                break
            await trio.sleep(RESEND_SECONDS)
        done.set()

    async def kill_and_restart(self, agent):
        """Kill an agent and the first entry; both start again soon."""
        killed = [self.deployment.nodes[name] for name in (agent, "entry-1")]
        upstream = self.deployment.workers[agent].upstream
        token = upstream.token
        killed_at = trio.current_time()
        self.record.write(f"SIGKILL: {', '.join(node.name for node in killed)}")
        for node in killed:
            node.process.kill()
        for node in killed:
            node.process.wait()
        await trio.sleep(RESTART_SECONDS)
        for node in killed:
            self.deployment.start_process(node)
        with trio.move_on_after(1.2):
            while upstream.token == token:
                await trio.sleep(0.005)
        seconds = trio.current_time() - killed_at
        self.record.write(f"first order of the new process after {seconds:.3f} s")

    def runs_of(self, job):
        """Return the runs of a job's tasks."""
        history = self.deployment.history
        return [run for run in history if run.key.task.startswith(job)]


async def case(deployment, record, trouble):
    """Return the broken rules."""
    return await Case(deployment, record, trouble).run()


main(case, Path(__file__).resolve().parent)
