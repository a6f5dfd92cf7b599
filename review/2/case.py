"""An entry is frozen and wakes after its callers have sent their jobs elsewhere."""

import itertools
import signal
import sys
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins import PREFIX, call, job_body, main, overlaps, run_text

ROUNDS = 10
FREEZE_SECONDS = 4.0
"""The site file's largest ``for_s`` of ``node_freeze``."""

IN_ROTATION_SECONDS = 2.0
"""The platform sends a frozen node no new channels after two missed checks."""

VIEW_SECONDS, VIEW_TASKS = 0.4, 2
"""The sheet's ``proposal-view``: 2 tasks of 0.4 s."""

BUDGET_SECONDS = 1.5
"""The sheet's time budget."""

RESEND_SECONDS = 1.3
"""``retransmit_ms`` of the sheet."""

SUBMIT_SECONDS = 0.06
"""The sheet has 50 of these jobs a second, in three zones."""


class Case:
    """A deployment of three entries and three agents."""

    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.record = record
        self.trouble = trouble
        self.numbers = itertools.count(1)

    async def run(self):
        """Return the broken rules."""
        await self.deployment.start(entries=3, agents=3)
        for _ in range(ROUNDS):
            await self.run_round()
        found = overlaps(self.deployment.history)
        for job in sorted({run.key.task.partition(".")[0] for run, _ in found}):
            for run in self.deployment.history:
                if run.key.task.startswith(job):
                    self.record.write(run_text(run, self.record.began))
        return [
            f"TWICE: two runs of {first.key.task} at the same time: run "
            f"{first.key.number} on {first.upstream}, run {second.key.number} on "
            f"{second.upstream}"
            for first, second in found
        ]

    async def run_round(self):
        """Freeze the first entry while callers submit jobs there."""
        process = self.deployment.nodes["entry-1"].process
        if self.trouble:
            self.record.write("SIGSTOP: entry-1")
            process.send_signal(signal.SIGSTOP)
        began = trio.current_time()
        while trio.current_time() - began < IN_ROTATION_SECONDS:
            self.deployment.nursery.start_soon(self.submit)
            await trio.sleep(SUBMIT_SECONDS)
        await trio.sleep_until(began + FREEZE_SECONDS)
        if self.trouble:
            process.send_signal(signal.SIGCONT)
            self.record.write("SIGCONT: entry-1")
        await trio.sleep(3.0)

    async def submit(self):
        """Submit a job, and send it again elsewhere after no response."""
        job = f"5c0e7a21d94b{next(self.numbers):04x}"
        body = job_body(VIEW_SECONDS, [VIEW_TASKS])
        for name in ("entry-1", "entry-2", "entry-3"):
            self.record.write(f"POST {PREFIX}{job} to {name}")
            entry = self.deployment.nodes[name]
            answer = await call(entry, "POST", PREFIX + job, body, BUDGET_SECONDS)
            self.record.write(f"POST {PREFIX}{job} at {name} answered {answer}")
            if answer[0] not in (0, 502, 504):
                return
            await trio.sleep(RESEND_SECONDS)


async def case(deployment, record, trouble):
    """Return the broken rules."""
    return await Case(deployment, record, trouble).run()


main(case, Path(__file__).resolve().parent)
