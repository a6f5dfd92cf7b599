"""Runs the policy benchmark once: a virtual fleet under a plan of load and faults."""

import random
from collections import Counter
from dataclasses import dataclass, field

import trio

from bergamotcourse.bench.policy_figures import Figures, ResponseRatios, Usage
from bergamotcourse.bench.policy_load import (
    JobPlan,
    Stream,
    arrivals,
    best_makespan,
    draw_seconds,
    listed_order_makespan,
    make_submission,
    task_request,
)
from bergamotcourse.bench.policy_scenarios import (
    FAULT_AT_SECONDS,
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
"""Time after the measured time in which open calls may still be answered."""

LOST = "lost"
"""Outcome of a call that ended without an answer."""

SAME_HOST_ROUND_TRIP_SECONDS = 0.0001


@dataclass(frozen=True)
class Run:
    """Parameters of one run.

    Attributes:
        seconds: Length of the measured time.
    """

    preset: str
    variant: str
    scenario: str
    load: float
    seed: int
    seconds: float


@dataclass
class Sample:
    """Result of one single request.

    Attributes:
        at: Time of arrival, in seconds from the start of the measurement.
        ended: Time of the answer, in seconds from the start of the measurement.
        ratio: Response time relative to the ideal response time.
        outcome: Value of an ``Outcome``, or ``LOST``.
    """

    team: TeamId
    at: float
    ended: float
    run_seconds: float
    ratio: float
    outcome: str


@dataclass
class JobSample:
    """Result of one job."""

    tasks: int
    runs: list[float]
    seconds: float
    outcome: str


@dataclass
class Bench:
    """State of a run in progress.

    Attributes:
        started_at: Start of the measurement, on trio's clock.
        calls_by_entry: Cancel scopes of the open calls, by entry.
        calls_by_leave_time: Cancel scopes of the open calls, by the time at which
            their callers hang up.
        recorded_usage: Totals recorded by ``record_usage``, by name.
    """

    run: Run
    preset: Preset
    plan: Plan
    variant: Variant
    fleet: VirtualFleet
    rng: random.Random
    started_at: float = 0.0
    samples: list[Sample] = field(default_factory=list)
    jobs: list[JobSample] = field(default_factory=list)
    calls_by_entry: dict[str, set[trio.CancelScope]] = field(default_factory=dict)
    calls_by_leave_time: dict[float, set[trio.CancelScope]] = field(
        default_factory=dict
    )
    recorded_usage: dict[str, Usage] = field(default_factory=dict)

    def now(self) -> float:
        """Return the time in seconds since the start of the measurement."""
        return trio.current_time() - self.started_at

    async def sleep_until(self, at: float) -> None:
        """Sleep until ``at`` seconds after the start of the measurement."""
        await trio.sleep_until(self.started_at + at)

    def usage(self) -> Usage:
        """Return the totals that all processes have sent up to now."""
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
        """Return each entry's view of the platform."""
        return [process.entry.platform for process in self.fleet.entries.values()]

    def pick_entry(self, wanted: str) -> str:
        """Return the wanted entry if it is alive, else a random live one.

        The platform's balancer picks in the same way.
        """
        alive = [
            name
            for name, process in self.fleet.entries.items()
            if not process.scope.cancel_called
        ]
        return wanted if wanted in alive else self.rng.choice(alive)

    def ideal(self, run_seconds: float) -> float:
        """Return the response time, in seconds, of a request that is never delayed."""
        return ideal_seconds(self.preset, run_seconds)

    async def send_requests(self, stream: Stream, nursery: trio.Nursery) -> None:
        """Send the requests of a stream at their arrival times."""
        for arrival in arrivals(stream, stream_seed(self.run, stream, self.plan)):
            await self.sleep_until(arrival.at)
            entry = self.pick_entry(stream.entry)
            nursery.start_soon(self.make_request, stream, entry, arrival.run_seconds)

    async def make_request(
        self, stream: Stream, entry: str, run_seconds: float
    ) -> None:
        """Make one single request and record its result."""
        at = self.now()
        answer = None
        with trio.CancelScope() as scope:
            scopes = self.calls_by_entry.setdefault(entry, set())
            leave_scopes = self.calls_by_leave_time.setdefault(stream.leave_at, set())
            scopes.add(scope)
            leave_scopes.add(scope)
            answer = await self.submit(stream, entry, run_seconds)
            scopes.discard(scope)
            leave_scopes.discard(scope)
        ended = self.now()
        response = ended - at + 2 * self.preset.caller_delay
        ratio = response / self.ideal(run_seconds)
        sample = Sample(stream.team, at, ended, run_seconds, ratio, outcome_of(answer))
        self.samples.append(sample)

    async def submit(
        self, stream: Stream, entry: str, run_seconds: float
    ) -> SubmissionAnswer:
        """Submit a single request to an entry and return its answer."""
        task = task_request(f"{self.rng.getrandbits(64):x}", run_seconds)
        deadline = trio.current_time() + stream.timeout
        weight = self.weight(stream.team)
        submission = make_submission(
            self.rng, SubmissionKind.SESSION, stream.team, weight, [task], deadline
        )
        process = self.fleet.entries[entry]
        return await process.entry.submissions.run_unkeyed(submission)

    async def run_job(self, plan: JobPlan) -> None:
        """Submit a job, wait for its complete answer, and record its result."""
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
        with trio.move_on_at(self.started_at + plan.cancel_at):
            answer = await entry.submissions.run_unkeyed(submission)
        seconds = self.now() - plan.at + 2 * self.preset.caller_delay
        self.jobs.append(JobSample(plan.tasks, runs, seconds, outcome_of(answer)))

    def weight(self, team: TeamId) -> float:
        """Return the weight of a team."""
        return next(t.weight for t in self.plan.teams if t.name == team)

    async def inject_faults(self) -> None:
        """Inject the plan's faults, and end the open calls of killed entries."""
        for fault in sorted(self.plan.faults, key=lambda fault: fault.at):
            await self.sleep_until(fault.at)
            fault.inject(self.fleet)
            for name, process in self.fleet.entries.items():
                if process.scope.cancel_called:
                    self.end_calls(self.calls_by_entry.pop(name, set()))

    async def hang_up_callers(self) -> None:
        """Hang up the callers at their leave times, all callers of a wave at once."""
        waves = {stream.leave_at for stream in self.plan.streams}
        for at in sorted(waves):
            if at < self.run.seconds:
                await self.sleep_until(at)
                self.record_usage("before the wave")
                self.end_calls(self.calls_by_leave_time.pop(at, set()))
                await trio.sleep(0.1)
                self.record_usage("after the wave")

    def end_calls(self, scopes: set[trio.CancelScope]) -> None:
        """Cancel calls before they are answered."""
        for scope in scopes:
            scope.cancel()

    def record_usage(self, name: str) -> None:
        """Record the totals sent up to now under a name."""
        self.recorded_usage[name] = self.usage()

    async def record_measured_usage(self) -> None:
        """Record the totals at the start and at the end of the measured time."""
        await self.sleep_until(0.0)
        self.record_usage("begin")
        await self.sleep_until(self.run.seconds)
        self.record_usage("end")


def stream_seed(run: Run, stream: Stream, plan: Plan) -> str:
    """Return the seed of one stream of a run."""
    return f"{run.seed}/{plan.streams.index(stream)}"


def outcome_of(answer: SubmissionAnswer | None) -> str:
    """Return the combined outcome of all tasks of an answer."""
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
    """Run a fleet under a plan and return the recorded results."""
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
        bench.started_at = trio.current_time() - first + 0.1
        async with trio.open_nursery() as load:
            for stream in plan.streams:
                load.start_soon(bench.send_requests, stream, load)
            for job in plan.jobs:
                load.start_soon(bench.run_job, job)
            load.start_soon(bench.inject_faults)
            load.start_soon(bench.hang_up_callers)
            load.start_soon(bench.record_measured_usage)
            load.cancel_scope.deadline = bench.started_at + run.seconds + DRAIN_SECONDS
            if plan.jobs:
                load.cancel_scope.deadline += max(job.timeout for job in plan.jobs)
        nursery.cancel_scope.cancel()
    return bench


def ideal_seconds(preset: Preset, run_seconds: float) -> float:
    """Return the response time, in seconds, of a request that is never delayed."""
    one_way = preset.caller_delay + preset.zone_delay
    return run_seconds + 2 * one_way + SAME_HOST_ROUND_TRIP_SECONDS


def delay_between(preset: Preset, one: LinkAddress, other: LinkAddress) -> float:
    """Return the one-way delay between two processes of a fleet."""
    zones = [int(address.rpartition("-")[2]) % 3 for address in (one, other)]
    return preset.zone_delay if zones[0] == zones[1] else preset.link_delay


def measure(run: Run) -> Figures:
    """Perform a run on a virtual clock and return its figures."""
    return figures_of(run_virtual(lambda: run_bench(run), run.seed))


def figures_of(bench: Bench) -> Figures:
    """Return the figures of a completed run."""
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


def _ratios(measured: list[Sample]) -> tuple[ResponseRatios, dict[str, ResponseRatios]]:
    ratios, by_team = ResponseRatios(), {}
    for sample in measured:
        if sample.outcome == Outcome.DONE.value:
            ratios.add(sample.ratio)
            by_team.setdefault(sample.team, ResponseRatios()).add(sample.ratio)
    return ratios, by_team


def _share(measured: list[Sample], outcomes: set[str]) -> float:
    count = sum(1 for sample in measured if sample.outcome in outcomes)
    return count / len(measured) if measured else 0.0


def _add_usage(figures: Figures, bench: Bench, tasks: int) -> None:
    used = bench.recorded_usage["end"].since(bench.recorded_usage["begin"])
    tasks = max(1, tasks)
    figures.messages = {kind: n / tasks for kind, n in sorted(used.messages.items())}
    figures.envelopes = used.envelopes / tasks
    figures.bytes = used.bytes / tasks
    figures.platform_calls = used.platform_calls / tasks


def _add_extra(figures: Figures, bench: Bench, measured: list[Sample]) -> None:
    settled = [s for s in measured if s.at >= FAULT_AT_SECONDS + 1]
    figures.extra["broken after 1 s"] = _share(settled, {Outcome.FAILED.value})
    if bench.jobs:
        figures.extra["envelopes of the job"] = _job_envelopes(figures)
    for job in bench.jobs:
        slots = bench.preset.agents * bench.preset.slots
        trip = bench.ideal(0.0)
        best = best_makespan(job.runs, slots) + trip
        listed = listed_order_makespan(job.runs, slots) + trip
        figures.extra["makespan / best"] = job.seconds / best
        figures.extra["makespan / list order"] = job.seconds / listed
        figures.extra["job done"] = float(job.outcome == Outcome.DONE.value)
    if "before the wave" in bench.recorded_usage:
        used = bench.recorded_usage["after the wave"].since(
            bench.recorded_usage["before the wave"]
        )
        figures.extra["cancels in the wave"] = float(used.messages["Cancel"])
        figures.extra["envelopes in the wave"] = float(used.envelopes)


def _job_envelopes(figures: Figures) -> float:
    """Return the envelopes per task, without those of heartbeats and attachments."""
    work = ("Start", "TaskResult")
    alone = [n for kind, n in figures.messages.items() if kind not in work]
    return figures.envelopes - sum(alone)
