"""One run of the policy benchmark: a virtual fleet under a plan of load and faults."""

import random
from collections import Counter
from dataclasses import dataclass, field

import trio

from bergamotcourse.bench.policy_figures import Figures, Ratios, Usage
from bergamotcourse.bench.policy_load import (
    JobPlan,
    Stream,
    arrivals,
    best_makespan,
    draw_seconds,
    listed_makespan,
    make_submission,
    task_request,
)
from bergamotcourse.bench.policy_scenarios import (
    FAULT_AT,
    PRESETS,
    SCENARIOS,
    Plan,
    Preset,
    make_manifest,
)
from bergamotcourse.bench.policy_variants import VARIANTS, Variant
from bergamotcourse.coordination.submissions import Completed, Refused, SubmissionAnswer
from bergamotcourse.ids import LinkAddress, TeamId
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.submission import SubmissionKind
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import VirtualFleet

DRAIN_SECONDS = 15.0
LOST = "lost"
SAME_HOST_SECONDS = 0.0001


@dataclass(frozen=True)
class Run:
    """What is run.

    Attributes:
        seconds: Measured time.
    """

    preset: str
    variant: str
    scenario: str
    load: float
    seed: int
    seconds: float


@dataclass
class Sample:
    """One single request, after its end.

    Attributes:
        at: When it came, in seconds from the start of the measurement.
        ended: When it was answered.
        outcome: ``Outcome`` by its value, or ``LOST``.
    """

    team: TeamId
    at: float
    ended: float
    run_seconds: float
    ratio: float
    outcome: str


@dataclass
class JobSample:
    """One job, after its end."""

    tasks: int
    runs: list[float]
    seconds: float
    outcome: str


@dataclass
class Bench:
    """One run while it goes on.

    Attributes:
        began: When the measurement starts, on trio's clock.
        calls: By entry, the calls that are open there.
    """

    run: Run
    preset: Preset
    plan: Plan
    variant: Variant
    fleet: VirtualFleet
    rng: random.Random
    began: float = 0.0
    samples: list[Sample] = field(default_factory=list)
    jobs: list[JobSample] = field(default_factory=list)
    calls: dict[str, set[trio.CancelScope]] = field(default_factory=dict)
    leaving: dict[float, set[trio.CancelScope]] = field(default_factory=dict)
    marks: dict[str, Usage] = field(default_factory=dict)

    def now(self) -> float:
        """Return seconds from the start of the measurement."""
        return trio.current_time() - self.began

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time from the start of the measurement."""
        await trio.sleep_until(self.began + at)

    def usage(self) -> Usage:
        """Return what all processes have sent until now."""
        fleet = self.fleet
        processes = [*fleet.entries.values(), *fleet.agents.values()]
        counters = [process.mailer.counters for process in processes]
        messages: Counter[str] = Counter()
        for one in counters:
            messages.update(one.sent)
        return Usage(
            messages,
            sum(one.batches_sent for one in counters),
            sum(one.bytes_sent for one in counters),
            sum(sum(view.counters.values()) for view in self.views),
        )

    @property
    def views(self) -> list:
        """Return the platform as the entries see it."""
        return [process.entry.platform for process in self.fleet.entries.values()]

    def pick_entry(self, wanted: str) -> str:
        """Return a living entry, as the platform's balancer does."""
        alive = [
            name
            for name, process in self.fleet.entries.items()
            if not process.scope.cancel_called
        ]
        return wanted if wanted in alive else self.rng.choice(alive)

    def ideal(self, run_seconds: float) -> float:
        """Return the response time of a request that nothing delays."""
        return ideal_seconds(self.preset, run_seconds)

    async def feed(self, stream: Stream, nursery: trio.Nursery) -> None:
        """Let a stream's requests come."""
        for arrival in arrivals(stream, stream_seed(self.run, stream, self.plan)):
            await self.sleep_until(arrival.at)
            entry = self.pick_entry(stream.entry)
            nursery.start_soon(self.call, stream, entry, arrival.run_seconds)

    async def call(self, stream: Stream, entry: str, run_seconds: float) -> None:
        """Make one single request."""
        at = self.now()
        answer = None
        with trio.CancelScope() as scope:
            scopes = self.calls.setdefault(entry, set())
            hanging_up = self.leaving.setdefault(stream.leave_at, set())
            scopes.add(scope)
            hanging_up.add(scope)
            answer = await self.submit(stream, entry, run_seconds)
            scopes.discard(scope)
            hanging_up.discard(scope)
        ended = self.now()
        response = ended - at + 2 * self.preset.caller_delay
        ratio = response / self.ideal(run_seconds)
        sample = Sample(stream.team, at, ended, run_seconds, ratio, outcome_of(answer))
        self.samples.append(sample)

    async def submit(
        self, stream: Stream, entry: str, run_seconds: float
    ) -> SubmissionAnswer:
        """Hand a single request to an entry."""
        task = task_request(f"{self.rng.getrandbits(64):x}", run_seconds)
        deadline = trio.current_time() + stream.timeout
        weight = self.weight(stream.team)
        submission = make_submission(
            self.rng, SubmissionKind.SESSION, stream.team, weight, [task], deadline
        )
        process = self.fleet.entries[entry]
        return await process.entry.submissions.run_unkeyed(submission)

    async def run_job(self, plan: JobPlan) -> None:
        """Submit a job and wait for its whole answer."""
        await self.sleep_until(plan.at)
        runs = [draw_seconds(self.rng) for _ in range(plan.tasks)]
        tasks = [task_request(f"job-{n}", run) for n, run in enumerate(runs)]
        entry = self.fleet.entries[self.pick_entry(plan.entry)].entry
        submission = make_submission(
            self.rng,
            SubmissionKind.JOB,
            plan.team,
            self.weight(plan.team),
            tasks,
            trio.current_time() + plan.timeout,
        )
        answer = None
        with trio.move_on_at(self.began + plan.cancel_at):
            answer = await entry.submissions.run_unkeyed(submission)
        seconds = self.now() - plan.at + 2 * self.preset.caller_delay
        self.jobs.append(JobSample(plan.tasks, runs, seconds, outcome_of(answer)))

    def weight(self, team: TeamId) -> float:
        """Return a team's weight."""
        return next(t.weight for t in self.plan.teams if t.name == team)

    async def disturb(self) -> None:
        """Let the plan's faults happen."""
        for fault in sorted(self.plan.faults, key=lambda fault: fault.at):
            await self.sleep_until(fault.at)
            fault.act(self.fleet)
            for name, process in self.fleet.entries.items():
                if process.scope.cancel_called:
                    self.end_calls(self.calls.pop(name, set()))

    async def hang_up(self) -> None:
        """Let callers hang up, all of one wave at once."""
        waves = {stream.leave_at for stream in self.plan.streams}
        for at in sorted(waves):
            if at < self.run.seconds:
                await self.sleep_until(at)
                self.mark("before the wave")
                self.end_calls(self.leaving.pop(at, set()))
                await trio.sleep(0.1)
                self.mark("after the wave")

    def end_calls(self, scopes: set[trio.CancelScope]) -> None:
        """End calls without their answers."""
        for scope in scopes:
            scope.cancel()

    def mark(self, name: str) -> None:
        """Keep what was sent until now under a name."""
        self.marks[name] = self.usage()

    async def watch(self) -> None:
        """Take the counts at the start and at the end of the measured time."""
        await self.sleep_until(0.0)
        self.mark("begin")
        await self.sleep_until(self.run.seconds)
        self.mark("end")


def stream_seed(run: Run, stream: Stream, plan: Plan) -> str:
    """Return the seed of one stream of a run."""
    return f"{run.seed}/{plan.streams.index(stream)}"


def outcome_of(answer: SubmissionAnswer | None) -> str:
    """Return the outcome of an answer as a whole."""
    match answer:
        case Completed(results=results):
            outcomes = {result.outcome for result in results}
            if len(outcomes) == 1:
                return outcomes.pop().value
            return (
                Outcome.UNKNOWN if Outcome.UNKNOWN in outcomes else Outcome.FAILED
            ).value
        case Refused(outcome=outcome):
            return outcome.value
        case None:
            return LOST


async def run_bench(run: Run) -> Bench:
    """Run a fleet under a plan and return what was seen."""
    preset = PRESETS[run.preset]
    plan = SCENARIOS[run.scenario].plan(preset, run.load, run.seconds)
    variant = VARIANTS[run.variant]
    async with trio.open_nursery() as nursery:
        fleet = VirtualFleet(nursery, run.seed, preset.shape())
        fleet.network.pair_delay = lambda one, other: delay_between(preset, one, other)
        bench = Bench(run, preset, plan, variant, fleet, random.Random(run.seed))
        await fleet.start(make_manifest(plan, preset))
        for process in fleet.entries.values():
            variant.change_entry(process)
        for process in fleet.agents.values():
            variant.change_agent(process)
        first = min([stream.begin for stream in plan.streams], default=0.0)
        bench.began = trio.current_time() - first + 0.1
        async with trio.open_nursery() as load:
            for stream in plan.streams:
                load.start_soon(bench.feed, stream, load)
            for job in plan.jobs:
                load.start_soon(bench.run_job, job)
            load.start_soon(bench.disturb)
            load.start_soon(bench.hang_up)
            load.start_soon(bench.watch)
            load.cancel_scope.deadline = bench.began + run.seconds + DRAIN_SECONDS
            if plan.jobs:
                load.cancel_scope.deadline += max(job.timeout for job in plan.jobs)
        nursery.cancel_scope.cancel()
    return bench


def ideal_seconds(preset: Preset, run_seconds: float) -> float:
    """Return the response time of a request that nothing delays."""
    one_way = preset.caller_delay + preset.zone_delay
    return run_seconds + 2 * one_way + SAME_HOST_SECONDS


def delay_between(preset: Preset, one: LinkAddress, other: LinkAddress) -> float:
    """Return the one-way delay between two processes of a fleet."""
    zones = [int(address.rpartition("-")[2]) % 3 for address in (one, other)]
    return preset.zone_delay if zones[0] == zones[1] else preset.link_delay


def measure(run: Run) -> Figures:
    """Run and return the figures."""
    return figures_of(run_virtual(lambda: run_bench(run), run.seed))


def figures_of(bench: Bench) -> Figures:
    """Return the figures of a run that ended."""
    seconds = bench.run.seconds
    measured = [s for s in bench.samples if 0 <= s.at < seconds]
    in_jobs = sum(job.tasks for job in bench.jobs)
    tasks = len(measured) + in_jobs
    ratios, by_team = _ratios(measured)
    done = [s for s in bench.samples if s.outcome == Outcome.DONE.value]
    ended = sum(1 for s in done if 0 <= s.ended < seconds)
    figures = Figures(tasks, ratios.mean, ratios.at(50), ratios.at(99))
    figures.goodput = ended / seconds
    figures.refused = _share(measured, {Outcome.NOT_RUN.value})
    broken = {Outcome.FAILED.value, Outcome.UNKNOWN.value, LOST}
    figures.broken = _share(measured, broken)
    figures.team_p99 = {team: ratios.at(99) for team, ratios in by_team.items()}
    figures.team_done = {t: ratios.count / seconds for t, ratios in by_team.items()}
    _add_usage(figures, bench, tasks)
    _add_extra(figures, bench, measured)
    return figures


def _ratios(measured: list[Sample]) -> tuple[Ratios, dict[str, Ratios]]:
    ratios, by_team = Ratios(), {}
    for sample in measured:
        if sample.outcome == Outcome.DONE.value:
            ratios.add(sample.ratio)
            by_team.setdefault(sample.team, Ratios()).add(sample.ratio)
    return ratios, by_team


def _share(measured: list[Sample], outcomes: set[str]) -> float:
    count = sum(1 for sample in measured if sample.outcome in outcomes)
    return count / len(measured) if measured else 0.0


def _add_usage(figures: Figures, bench: Bench, tasks: int) -> None:
    used = bench.marks["end"].since(bench.marks["begin"])
    tasks = max(1, tasks)
    figures.messages = {kind: n / tasks for kind, n in sorted(used.messages.items())}
    figures.envelopes = used.envelopes / tasks
    figures.bytes = used.bytes / tasks
    figures.platform_calls = used.platform_calls / tasks


def _add_extra(figures: Figures, bench: Bench, measured: list[Sample]) -> None:
    settled = [s for s in measured if s.at >= FAULT_AT + 1]
    figures.extra["broken after 1 s"] = _share(settled, {Outcome.FAILED.value})
    if bench.jobs:
        figures.extra["envelopes of the job"] = _job_envelopes(figures)
    for job in bench.jobs:
        slots = bench.preset.agents * bench.preset.slots
        trip = bench.ideal(0.0)
        best = best_makespan(job.runs, slots) + trip
        listed = listed_makespan(job.runs, slots) + trip
        figures.extra["makespan / best"] = job.seconds / best
        figures.extra["makespan / list order"] = job.seconds / listed
        figures.extra["job done"] = float(job.outcome == Outcome.DONE.value)
    if "before the wave" in bench.marks:
        used = bench.marks["after the wave"].since(bench.marks["before the wave"])
        figures.extra["cancels in the wave"] = float(used.messages["Cancel"])
        figures.extra["envelopes in the wave"] = float(used.envelopes)


def _job_envelopes(figures: Figures) -> float:
    """Return the envelopes a task but for those of heartbeats and attachments."""
    work = ("Start", "TaskResult")
    alone = [n for kind, n in figures.messages.items() if kind not in work]
    return figures.envelopes - sum(alone)
