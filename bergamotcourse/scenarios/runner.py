"""Runs a scenario on a virtual fleet; reports failed expectations and invariants."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

import trio

from bergamotcourse.coordination.config_store import apply
from bergamotcourse.coordination.ownership import hashed_range
from bergamotcourse.ids import submission_id
from bergamotcourse.scenarios import commands as c
from bergamotcourse.scenarios.callers import TEAM, Callers, Submission, owner_name
from bergamotcourse.scenarios.checker import Checker, RecordedStart, has_all_results
from bergamotcourse.scenarios.faults import Faults
from bergamotcourse.state.keys import HandedOutKey, key_kind
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet, default_manifest

READY_TIMEOUT_SECONDS = 30.0
CLOCK_SPREAD = 10_000.0
CLOCK_DRIFT = 0.03
FINAL_ANSWERS_TIMEOUT_SECONDS = 90.0
LATE_EFFECTS_SECONDS = 4.0
"""Time after the last answer in which late effects, such as starts, can show up.

All faults are cleared by then.
"""


@dataclass
class Report:
    """Result of a scenario.

    Attributes:
        failures: Failed expectations and violated invariants, one line each.
        outcomes: Number of copies by outcome.
        ended_at: End of the run in seconds of virtual time.
    """

    failures: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    submissions: list[Submission] = field(default_factory=list)
    starts: list[RecordedStart] = field(default_factory=list)
    ended_at: float = 0.0


class ScenarioRun:
    """One run of a scenario."""

    def __init__(self, fleet: VirtualFleet, nursery: trio.Nursery, seed: int):
        self.fleet = fleet
        self.callers = Callers(fleet, nursery, random.Random(seed))
        self.faults = Faults(fleet, nursery)
        self.starts: list[RecordedStart] = []
        self.report = Report(starts=self.starts)
        self.manifest_version = 1
        fleet.on_start = self._record_start

    async def run(self, steps: list[c.Step]) -> Report:
        """Execute all steps, then check the invariants."""
        for step in steps:
            failure = await self._execute(step.command)
            if failure:
                self.report.failures.append(f"line {step.line}: {step.text}: {failure}")
        await self._finish()
        return self.report

    async def _execute(self, command: c.Command) -> str:
        """Execute a command; return the failure of an expectation, or ``""``."""
        match command:
            case c.Fleet():
                pass
            case c.Submit():
                self.callers.submit(command)
            case c.Resubmit(name=name, via=via, label=label):
                self.callers.resubmit(name, via, label)
            case c.Cancel(name=name, via=via):
                self.callers.cancel(name, via)
            case c.Disconnect(label=label):
                self.callers.disconnect(label)
            case c.Apply(weight=weight):
                await self._apply(weight)
            case c.Wait(seconds=seconds):
                await trio.sleep(seconds)
            case c.WaitFor(label=label, seconds=seconds):
                with trio.move_on_after(seconds):
                    await self.callers.copies[label].answered.wait()
            case c.Trap() | c.LoseNext():
                self.faults.traps.append(command)
            case (
                c.ExpectOutcome()
                | c.ExpectStarts()
                | c.ExpectEqual()
                | c.ExpectWhole()
                | c.ExpectOwner()
                | c.ExpectNoWork()
                | c.ExpectSound()
            ):
                return await self._expect(command)
            case _:
                self.faults.inject(command)
        return ""

    async def _expect(self, expectation: c.Expectation) -> str:
        callers = self.callers
        match expectation:
            case c.ExpectOutcome(label=label, outcomes=outcomes, seconds=seconds):
                copy = callers.copies[label]
                with trio.move_on_after(seconds):
                    await copy.answered.wait()
                outcome = copy.outcome if copy.answered.is_set() else "no answer"
                detail = copy.body.decode(errors="replace")
                return "" if outcome in outcomes else f"{outcome} {detail}"
            case c.ExpectStarts(name=name, count=count):
                checker = self._checker()
                tasks = callers.submissions[name].tasks
                counts = {task: len(checker.start_times(task)) for task in tasks}
                wrong = {task: n for task, n in counts.items() if n != count}
                return str(wrong) if wrong else ""
            case c.ExpectEqual(label=label, other=other):
                await self._wait_for_answers(label, other)
                bodies = [callers.copies[one].body for one in (label, other)]
                return "" if bodies[0] == bodies[1] else f"{bodies[0]} {bodies[1]}"
            case c.ExpectWhole(label=label):
                await self._wait_for_answers(label)
                copy = callers.copies[label]
                [job] = [s for s in callers.submissions.values() if copy in s.copies]
                return (
                    "" if has_all_results(job, copy) else f"{copy.outcome} {copy.body}"
                )
            case c.ExpectOwner(name=name, entry=entry):
                owner = owner_name(self.fleet, self._key_range(name))
                return "" if owner == entry else owner or "none"
            case c.ExpectNoWork(agent=agent, seconds=seconds):
                since = self.faults.leaving_since[agent] + seconds
                late = [s for s in self.starts if s.agent == agent and s.at > since]
                return ", ".join(f"{s.task} at {s.at:.3f}" for s in late)
            case c.ExpectSound():
                return "; ".join(self._checker().find_violations(at_end=False))

    async def _wait_for_answers(self, *labels: str) -> None:
        with trio.move_on_after(FINAL_ANSWERS_TIMEOUT_SECONDS):
            for label in labels:
                await self.callers.copies[label].answered.wait()

    def _key_range(self, name: str) -> int:
        key = self.callers.submissions[name].key
        match key_kind(key):
            case HandedOutKey(range=range_id):
                return range_id
            case _:
                return hashed_range(submission_id(TEAM, key))

    async def _apply(self, weight: float) -> None:
        manifest = default_manifest()
        teams = [replace(team, weight=weight) for team in manifest.teams]
        manifest = replace(manifest, teams=teams)
        version = self.manifest_version
        await apply(self.fleet.platform, manifest, version, "scenario", "step")
        self.manifest_version += 1

    async def _finish(self) -> None:
        self._clear_faults()
        with trio.move_on_after(FINAL_ANSWERS_TIMEOUT_SECONDS):
            for copy in list(self.callers.copies.values()):
                await copy.answered.wait()
        await trio.sleep(LATE_EFFECTS_SECONDS)
        report = self.report
        report.submissions = list(self.callers.submissions.values())
        report.failures += self._checker().find_violations(at_end=True)
        report.outcomes.update(copy.outcome for copy in self.callers.copies.values())
        report.ended_at = trio.current_time()

    def _clear_faults(self) -> None:
        self.faults.traps.clear()
        self.faults.inject(c.HealStore())
        self.faults.inject(c.HealNetwork())
        self.faults.inject(c.Network())
        for process in [*self.fleet.entries.values(), *self.fleet.agents.values()]:
            process.thaw()

    def _checker(self) -> Checker:
        return Checker(list(self.callers.submissions.values()), self.starts)

    def _record_start(self, agent: str, request: HttpRequest) -> None:
        task = request.body.decode()
        self.starts.append(RecordedStart(task, trio.current_time(), agent))


def run_scenario(steps: list[c.Step], seed: int) -> Report:
    """Run a scenario on a virtual clock; the run is deterministic for a seed."""

    async def main() -> Report:
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed, _fleet_shape(steps))
            run = ScenarioRun(fleet, nursery, seed)
            with trio.fail_after(READY_TIMEOUT_SECONDS):
                await fleet.start()
            report = await run.run(steps)
            nursery.cancel_scope.cancel()
        return report

    return run_virtual(main, seed)


def _fleet_shape(steps: list[c.Step]) -> FleetShape:
    first = steps[0].command if steps else None
    fleet = first if isinstance(first, c.Fleet) else c.Fleet()
    return FleetShape(
        entries=fleet.entries,
        agents=fleet.agents,
        zones=fleet.zones,
        slots=fleet.slots,
        lease_seconds=fleet.lease,
        token_seconds=fleet.token,
        heartbeat_seconds=fleet.heartbeat,
        retention_seconds=fleet.retention,
        key_skew_seconds=fleet.skew,
        clock_spread=CLOCK_SPREAD,
        clock_drift=CLOCK_DRIFT,
    )
