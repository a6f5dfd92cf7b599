"""The agent's executor: the only one that gives orders to its upstream.

It queues placed runs for room, starts them, renews the upstream's lease, stops what
must end, and reports exactly one outcome for each run.
"""

from collections.abc import Callable
from dataclasses import replace

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.holding_reader import HoldingReader
from bergamotcourse.coordination.jobs.known_lives import (
    KnownLives,
    ReportKind,
    ends_life,
)
from bergamotcourse.coordination.jobs.lease_terms import (
    HOLD_TIMEOUT_SECONDS,
    LAPSE_SECONDS,
)
from bergamotcourse.coordination.jobs.order_giver import RETRY_SECONDS, OrderGiver
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.run_book import RunBook
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_health import UpstreamHealth
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import Outcome, PlaceTask
from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    LifeKey,
    OrderPort,
    RunKey,
    StartVerdict,
    UpstreamReport,
)
from bergamotcourse.state.resources import NOTHING, Resources

ROOM_PAUSE_SECONDS = 0.02
"""Pause after the upstream had no room although the agent counted some."""

DOUBTED_HOLDS = 2
"""Renewals in a row without an answer from which on nothing is started: where one order
in twenty gets lost that happens for 0.1 s in ten seconds."""

IDLE_RETRY_SECONDS = 0.25
"""Pause before a silent upstream on which nothing runs is asked again."""

LOOK_SECONDS = 0.5
"""Pause between two looks at an upstream that does not answer."""

STARTED_AGAIN = "it has started again"
REPLACED = "another upstream at its place"
OTHER_BOOT = "another boot answers at its address"
"""Why a life is over that has not said so."""


class Executor:
    """Runs tasks on one upstream.

    Attributes:
        connect: Returns the port to one life of an upstream.
        book: The runs.
        may_start: Asked right before an order to start whether the entry that placed
            the run is still in contact.
        lives: The lives of upstreams that were here.
        reader: Takes what the upstream lists.
        born: When this process began; runs of an earlier one are over
            ``LAPSE_SECONDS`` after it.
        stopping: Nothing new is taken.
        evacuated: Nothing new is taken, as the operator has evacuated the zone.
    """

    def __init__(
        self,
        connect: Callable[[UpstreamReport], OrderPort],
        timers: Timers,
        log: EventLog,
        policy: JobPolicy | None = None,
    ):
        self.policy = policy or JobPolicy()
        self.connect = connect
        self.timers = timers
        self.log = log
        self.book = RunBook(log)
        self.giver = OrderGiver(timers, self.policy.learns_answer_time)
        self.may_start: Callable[[LinkAddress], bool] = lambda _entry: True
        self.born = timers.lease_now()
        self.life: UpstreamLife | None = None
        self.lives = KnownLives()
        self.reader = HoldingReader(self.book, timers, log)
        self.holds = 0
        self.paused_until = 0.0
        self.stopping = False
        self.evacuated = False
        self.health = self._new_health()
        self.nursery: trio.Nursery | None = None
        self.wake = trio.Event()

    def _new_health(self) -> UpstreamHealth:
        return UpstreamHealth(tries=self.policy.tries_upstreams)

    # What the agent is told.

    def take_report(self, report: UpstreamReport) -> bool:
        """Take an upstream's report of itself; false if it is of a former life."""
        kind = self.lives.judge(self.life and self.life.report, report)
        match kind:
            case ReportKind.NEWS:
                self._update(self.life, report)
            case ReportKind.OVERTAKEN | ReportKind.FORMER:
                self._pass_over(report, kind)
            case ReportKind.NEXT_LIFE:
                if self.life is not None:
                    again = self.life.report.id == report.id
                    self._end_life(STARTED_AGAIN if again else REPLACED)
                self._begin_life(report)
        return kind is not ReportKind.FORMER

    def _pass_over(self, report: UpstreamReport, kind: ReportKind) -> None:
        """Tell of a report that says nothing new."""
        last = self.life.report if self.life else None
        self.log.write(
            "upstream.report_old",
            upstream=report.id,
            why=kind.value,
            draining=report.draining,
            sequence=report.sequence,
            last_sequence=last and last.sequence,
            incarnation=report.incarnation,
            last_incarnation=last and last.incarnation,
        )

    async def recall(self, report: UpstreamReport) -> None:
        """Take up an upstream by a former report, if that life still answers."""
        port = self.connect(report)
        answer = await port.hold(0, None, 0.0, HOLD_TIMEOUT_SECONDS)
        await port.aclose()
        if self.life is not None or not isinstance(answer, Holding):
            return
        self.log.write("upstream.recalled", upstream=report.id)
        incarnation = answer.incarnation or report.incarnation
        self._begin_life(
            replace(report, clock=answer.clock, sequence=0, incarnation=incarnation)
        )

    def take_departure(self, gone: LifeKey) -> None:
        """Take the planned end of an upstream."""
        if self.life is None:
            return
        if ends_life(self.life.report.life, gone):
            self._end_life("it left", Outcome.LOST)
            return
        self.log.write(
            "upstream.departure_ignored",
            upstream=gone.upstream,
            incarnation=gone.incarnation,
            here=self.life.report.id,
        )

    def set_evacuated(self, evacuated: bool) -> None:
        """Take the word whether this upstream's zone is evacuated.

        What runs goes on to its end.
        """
        self.evacuated = evacuated
        if evacuated:
            self.book.return_waiting("the zone is evacuated")

    def place(self, entry: LinkAddress, order: PlaceTask) -> None:
        """Take a run that an entry places."""
        if order.key in self.book.runs:
            return
        run = PlacedRun(order.key, entry, order, self.timers.now())
        self.book.add(run)
        refusal = self.refusal()
        if refusal is not None:
            self.book.finish(run, Outcome.RETURNED, refusal)
            return
        self.book.enqueue(run)
        self.pump()
        if run.state is RunState.QUEUED and self.nursery is not None:
            self.nursery.start_soon(self._return_after, run, order.patience / 1000)

    def withdraw(self, entry: LinkAddress, key: RunKey) -> None:
        """End a run, or bar one that is unknown here."""
        run = self.book.runs.get(key)
        if run is None:
            self._withdraw_unknown(entry, key)
            return
        self._stop(run, "withdrawn")

    def _withdraw_unknown(self, entry: LinkAddress, key: RunKey) -> None:
        """End a run that this process has not started, but a former one may have."""
        run = PlacedRun(key, entry, None, self.timers.now(), RunState.STOPPING)
        run.asked_start = True
        self.book.add(run)
        if not self.reader.finish_former(run):
            # An order of the former process may still be on its way.
            self._spawn_stop(run)

    def withdraw_all(self, entry: LinkAddress, why: str) -> None:
        """End all runs of an entry."""
        for run in self.book.all():
            if run.entry == entry:
                self._stop(run, why)

    def stop_all(self, why: str) -> None:
        """Stop all runs."""
        for run in self.book.all():
            self._stop(run, why)

    # What the agent may ask.

    def refusal(self) -> str | None:
        """Return why no task is taken now, or ``None``."""
        if self.stopping:
            return "the agent is stopping"
        if self.evacuated:
            return "the zone is evacuated"
        if self.life is None:
            return "no upstream"
        if self.life.report.draining:
            return "the upstream is draining"
        if self.life.silent:
            return "the upstream does not answer"
        return None

    def capacity(self) -> Resources:
        """Return what can be placed at most, nothing while no task is taken."""
        if self.refusal() is not None:
            return NOTHING
        return self.life.report.capacity

    # Queue and starts.

    def pump(self) -> None:
        """Start what fits, in the order of rank."""
        if self.nursery is None or self.refusal() is not None:
            return
        if self.timers.now() < self.paused_until or self._hesitates():
            return
        capacity = self.life.report.capacity
        while (run := self.book.next_that_fits(capacity)) is not None:
            if not self.may_start(run.entry):
                self.book.finish(
                    run, Outcome.RETURNED, "contact with the entry is lost"
                )
                continue
            self._start(run)

    def _hesitates(self) -> bool:
        """Return whether nothing is started, as several renewals had no answer.

        Each order to start renews the lease; what waits goes elsewhere meanwhile.
        """
        doubted = self.life.failed_holds >= DOUBTED_HOLDS
        return self.policy.doubts_at_once and doubted

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve the upstream until cancelled; started once reports can be taken."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                await self._wait_for_work()
                if self.life is not None:
                    await self._hold(self.life)

    def _start(self, run: PlacedRun) -> None:
        self.book.occupy(run)
        self.nursery.start_soon(self._order_start, run, self.life)

    async def _order_start(self, run: PlacedRun, life: UpstreamLife) -> None:
        verdict = await self.giver.start(run, life, lambda: self.may_start(run.entry))
        if self.book.has(run) and life is self.life:
            self._take_verdict(run, verdict)

    def _take_verdict(self, run: PlacedRun, verdict: StartVerdict) -> None:
        self.log.write(
            "run.start",
            request=run.order.request,
            task=run.key.task,
            run=run.key.number,
            verdict=verdict.value,
            waited_ms=self._ms_since(run.placed_at),
        )
        match verdict:
            case StartVerdict.STARTED:
                self._started(run)
            case StartVerdict.UNKNOWN:
                self._stop(run, "the order to start had no answer")
            case StartVerdict.NO_ROOM:
                self._requeue(run)
            case StartVerdict.STALE:
                self.book.finish(run, Outcome.STALE, verdict.value)
            case StartVerdict.OTHER_BOOT:
                self.book.finish(run, Outcome.RETURNED, verdict.value)
                # At once: until the next report the entries would place at it, and be
                # refused, over and over.
                self._end_life(OTHER_BOOT)
            case StartVerdict.UNHEALTHY:
                self.health.refused(self.timers.now())
                self.book.finish(run, Outcome.RETURNED, verdict.value)
            case _:
                self.book.finish(run, Outcome.RETURNED, verdict.value)

    def _started(self, run: PlacedRun) -> None:
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        run.started_at = run.progress_at = self.timers.now()
        run.confirmed = self.holds
        self.wake.set()
        if run.stop_wanted:
            self._spawn_stop(run)

    def _requeue(self, run: PlacedRun) -> None:
        if run.stop_wanted:
            self.book.finish(run, Outcome.RETURNED, "no room")
            return
        self.book.release(run)
        self.book.enqueue(run)
        self.paused_until = self.timers.now() + ROOM_PAUSE_SECONDS
        self.nursery.start_soon(self._pump_after_pause)

    async def _return_after(self, run: PlacedRun, seconds: float) -> None:
        """Return a run that found no room in time: it may find some elsewhere."""
        await trio.sleep(seconds)
        if run in self.book.queue:
            self.book.finish(run, Outcome.RETURNED, "no room")

    async def _pump_after_pause(self) -> None:
        await trio.sleep(ROOM_PAUSE_SECONDS)
        self.pump()

    # Stops.

    def _stop(self, run: PlacedRun, why: str) -> None:
        if run.stop_wanted:
            return
        run.stop_wanted = True
        self.log.write(
            "run.stop", task=run.key.task, run=run.key.number, why=why, was=run.state
        )
        match run.state:
            case RunState.QUEUED:
                self.book.finish(run, Outcome.RETURNED, why)
            case RunState.STARTING:
                # The task that orders the start goes on here, once it has an answer,
                # or has none.
                run.state = RunState.STOPPING
                self._spawn_stop(run)
            case RunState.RUNNING:
                run.state = RunState.STOPPING
                self._spawn_stop(run)

    def _spawn_stop(self, run: PlacedRun) -> None:
        run.stop_wanted = True
        if self.nursery is not None:
            self.nursery.start_soon(self._order_stop, run)

    async def _order_stop(self, run: PlacedRun) -> None:
        """Stop a run until the upstream says so, or is gone."""
        while self.book.has(run) and run.barred < 0:
            life = self.life
            if life is None:
                await trio.sleep(RETRY_SECONDS)
                self._lapse_if_due()
                continue
            if await self.giver.stop(run, life):
                run.barred = self.holds
                self.wake.set()
                return

    # Holds.

    async def _wait_for_work(self) -> None:
        while not self._needs_hold():
            self.wake = trio.Event()
            with trio.move_on_after(LOOK_SECONDS):
                await self.wake.wait()
            self._lapse_if_due()

    def _needs_hold(self) -> bool:
        life = self.life
        if life is None:
            return False
        if any(run.asked_start for run in self.book.all()):
            return True
        if life.fenced:
            return False
        # One that was silent is asked until it answers, also when nothing runs there
        # any more: without an answer it would be offered no task again. Runs of an
        # earlier process end too, and their ends are to be noted.
        return life.failed_holds > 0 or life.noted > life.told or life.listed > 0

    async def _hold(self, life: UpstreamLife) -> None:
        self.holds += 1
        number = self.holds
        busy = bool(self.book.runs)
        renews = busy and not self._doubts(life) and self._may_renew()
        answer = await self.giver.hold(life, renews, waits=busy or life.listed > 0)
        if life is not self.life:
            return
        match answer:
            case Holding():
                if life.hold_answered():
                    self.log.write("upstream.answers", upstream=life.report.id)
                    self.book.room_changed()
                life.fenced = False
                self._take_holding(life, answer, number)
            case HoldFailure.OTHER_BOOT:
                self._end_life(OTHER_BOOT)
            case _:
                life.fenced = answer is HoldFailure.FENCED
                self._hold_failed(life, answer)
                await trio.sleep(self._pause_after_failure(life, busy))

    def _doubts(self, life: UpstreamLife) -> bool:
        """Return whether the upstream may be lost: its lease is then not renewed.

        Its runs can be given up once the lease has lapsed, and each renewal without an
        answer may have extended it. It is only looked at until it answers.
        """
        if self.policy.doubts_at_once:
            return life.failed_holds > 0
        return life.silent

    def _pause_after_failure(self, life: UpstreamLife, busy: bool) -> float:
        if not busy:
            return IDLE_RETRY_SECONDS
        # One that is lost by itself holds back the ends that it would have told.
        alone = life.failed_holds == 1 and not life.fenced
        return 0.0 if alone and self.policy.learns_answer_time else RETRY_SECONDS

    def _may_renew(self) -> bool:
        """Return whether each run that is not being stopped is still wanted.

        After a pause of this process the contact with an entry may have ended
        unnoticed. To renew the lease then, and to die, would let that entry's runs live
        on after another has taken the job.
        """
        return all(
            run.stop_wanted or self.may_start(run.entry)
            for run in self.book.all()
            if run.occupies
        )

    def _hold_failed(self, life: UpstreamLife, failure: HoldFailure) -> None:
        if life.hold_failed(self.timers.now()):
            self.log.write(
                "upstream.silent", upstream=life.report.id, failure=failure.value
            )
            self.book.return_waiting("the upstream does not answer")
            self.book.room_changed()
        self._lapse_if_due()

    def _lapse_if_due(self) -> None:
        """Give up runs whose lease at a silent upstream has ended."""
        now = self.timers.lease_now()
        over_at = self.life.lapses_at if self.life else self.born + LAPSE_SECONDS
        silent = self.life is None or self.life.silent
        if not silent or now < over_at:
            return
        # Of an upstream that this process has not known it is not known if it crashed.
        outcome = Outcome.CRASHED if self.life else Outcome.LOST
        for run in self.book.all():
            if run.occupies:
                self.book.finish(run, outcome, "its lease lapsed")

    def _take_holding(self, life: UpstreamLife, holding: Holding, number: int) -> None:
        self.reader.read(life, self.health, holding, number)
        self._move_runs(self.timers.now())
        self.pump()

    def _move_runs(self, now: float) -> None:
        """Stop the runs that would be done sooner elsewhere."""
        was_on_trial = self.health.on_trial()
        moved = self.health.runs_to_move(self.book.all(), now)
        for run in moved if self.policy.moves_runs else ():
            run.moves = True
            self._stop(run, f"no progress at {run.progress:.2f}, pace {self.pace()}")
        if self.health.on_trial() and not was_on_trial:
            self.log.write(
                "upstream.on_trial",
                upstream=self.life.report.id,
                stalled=self.health.stalled,
                pace=self.pace(),
                slowness=round(self.health.slowness, 2),
            )
            self.book.return_waiting("the upstream is on trial")
            self.book.room_changed()

    def pace(self) -> float:
        """Return how many times longer than declared the running tasks take."""
        return round(self.health.pace, 2)

    # Lives of the upstream.

    def _begin_life(self, report: UpstreamReport) -> None:
        now = self.timers.lease_now()
        lead = report.clock - now
        self.lives.begin(report.life)
        self.life = UpstreamLife(
            report, self.connect(report), lead, self.born + LAPSE_SECONDS
        )
        self.health = self._new_health()
        self.log.write(
            "upstream.found",
            upstream=report.id,
            incarnation=report.incarnation,
            service=report.service,
            cpu=report.capacity.cpu,
        )
        # Shows this process's token, so that orders of an earlier one are refused.
        self.nursery.start_soon(self._look, self.life)
        self.book.room_changed()

    async def _look(self, life: UpstreamLife) -> None:
        answer = HoldFailure.NO_ANSWER
        while life is self.life and not isinstance(answer, Holding):
            number = self.holds
            answer = await self.giver.look(life)
            if answer is HoldFailure.OTHER_BOOT and life is self.life:
                self._end_life(OTHER_BOOT)
            if answer is HoldFailure.FENCED:
                life.fenced = True
                return
            if not isinstance(answer, Holding):
                await trio.sleep(RETRY_SECONDS)
        if life is self.life:
            self._take_holding(life, answer, number)
            self.wake.set()

    def _end_life(self, why: str, outcome: Outcome = Outcome.CRASHED) -> None:
        """End the life that is here; ``outcome`` is that of its runs."""
        life = self.life
        self.life = None
        self.log.write("upstream.gone", upstream=life.report.id, why=why)
        self.nursery.start_soon(life.port.aclose)
        self.book.return_waiting("the upstream is gone")
        for run in self.book.all():
            self.book.finish(run, outcome, "the upstream is gone")
        self.book.room_changed()

    def _update(self, life: UpstreamLife, report: UpstreamReport) -> None:
        began_draining = report.draining and not life.report.draining
        capacity = life.report.capacity
        life.report = report
        life.note_clock(report.clock, self.timers.lease_now())
        if began_draining:
            self.log.write("upstream.draining", upstream=report.id)
            self.book.return_waiting("the upstream is draining")
            self.book.room_changed()
        if report.capacity != capacity:
            self.log.write(
                "upstream.capacity",
                upstream=report.id,
                cpu=report.capacity.cpu,
                former_cpu=capacity.cpu,
            )
            self.pump()

    def _ms_since(self, time: float) -> int:
        return round((self.timers.now() - time) * 1000)
