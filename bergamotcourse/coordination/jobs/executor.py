"""The agent's executor, the only component that sends orders to the agent's upstream.

It queues placed runs until the upstream has room, starts them, renews the upstream's
lease, stops runs that must end, and reports exactly one outcome for each run.

A *life* of an upstream is the time between one start of it and its end. An incarnation
number tells the lives of one upstream apart. A *hold* is a request to the upstream that
may renew its lease, acknowledges the ends of runs, and lists what runs there.
"""

from collections.abc import Callable
from dataclasses import replace

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs import departure_plan
from bergamotcourse.coordination.jobs.holding_reconciler import HoldingReconciler
from bergamotcourse.coordination.jobs.known_lives import (
    KnownLives,
    ReportKind,
    is_departure_of_life,
)
from bergamotcourse.coordination.jobs.lease_terms import (
    UPSTREAM_LEASE_EXPIRY_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)
from bergamotcourse.coordination.jobs.order_sender import (
    ORDER_RETRY_SECONDS,
    OrderSender,
)
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.run_registry import RunRegistry
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_candidates import (
    Candidate,
    UpstreamCandidates,
)
from bergamotcourse.coordination.jobs.upstream_health import UpstreamHealth
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.jobs.upstream_speed import UpstreamSpeed
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask, RunOutcome
from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    LifeKey,
    OrderPort,
    RunKey,
    StartVerdict,
    UpstreamReport,
)
from bergamotcourse.state.job_spec import job_id_of_task
from bergamotcourse.state.resources import NO_RESOURCES, Resources

NO_ROOM_BACKOFF_SECONDS = 0.02
"""Delay before the next start after the upstream refused one for lack of room, although
the agent had computed that there was some."""

START_PAUSE_FAILED_HOLDS = 2
"""Consecutive unanswered holds after which no run is started. If one order in twenty is
lost, this pauses starts for 0.1 s in ten seconds."""

MIN_START_LEASE_SECONDS = UPSTREAM_LEASE_SECONDS / 2
"""Least time left of a lease, while it may not be renewed, with which a run is started.
With less, the run would probably end with the lease."""

IDLE_RETRY_SECONDS = 0.25
"""Delay before the next hold to a silent upstream on which nothing runs."""

LEASE_CHECK_SECONDS = 0.5
"""Interval of the checks whether the lease of an unresponsive upstream has expired."""

RESTARTED_REASON = "it has restarted"
REPLACED_REASON = "another upstream has replaced it"
OTHER_BOOT_REASON = "another boot answers at its address"
"""Logged reasons for the end of a life that did not announce its departure."""


class Executor:
    """Runs tasks on one upstream.

    Attributes:
        connect: Returns the port that sends orders to one life of an upstream.
        registry: The runs without an outcome.
        order_sender: Sends orders to the upstream.
        may_start: Called right before a start order; returns whether the entry that
            placed the run is still in contact.
        process_started_at: Start of this process, by the lease clock. Runs of an
            earlier process have ended ``UPSTREAM_LEASE_EXPIRY_SECONDS`` later, unless
            this process has renewed their lease.
        life: The current life of the upstream; ``None`` without an upstream.
        lives: The lives of upstreams that this agent has seen.
        reconciler: Applies the lists of runs and ends in the upstream's answers.
        speed: Speed of the upstream in its current life.
        hold_count: Holds begun so far, also the number of the latest.
        paused_until: No run is started before this time.
        stopping: The agent is stopping and accepts no runs.
        evacuated: The operator has evacuated the zone; no runs are accepted.
        unclaimed_stops: Runs that nobody claims and that are being ordered to stop.
        candidates: Upstreams that have reported and not answered yet.
        standby: The last report of an upstream that answers while the current one does
            too; it is asked again once that is gone.
        on_upstream_change: Called when a life has begun.
        wake: Set when there may be a reason for a hold.
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
        self.registry = RunRegistry(log)
        self.order_sender = OrderSender(timers, self.policy.learns_answer_time)
        self.may_start: Callable[[LinkAddress], bool] = lambda _entry: True
        self.process_started_at = timers.lease_now()
        self.life: UpstreamLife | None = None
        self.lives = KnownLives()
        self.reconciler = HoldingReconciler(self.registry, timers, log)
        self.hold_count = 0
        self.paused_until = 0.0
        self.stopping = False
        self.evacuated = False
        self.health = self._new_health()
        self.speed = UpstreamSpeed()
        self.unclaimed_stops: set[RunKey] = set()
        self.candidates = UpstreamCandidates(
            self._open_life, self._adopt, self.order_sender, timers, log
        )
        self.standby: UpstreamReport | None = None
        self.on_upstream_change: Callable[[], None] = lambda: None
        self.nursery: trio.Nursery | None = None
        self.wake = trio.Event()

    def _new_health(self) -> UpstreamHealth:
        return UpstreamHealth(trials_enabled=self.policy.tries_upstreams)

    # Reports and requests.

    def handle_upstream_report(self, report: UpstreamReport) -> bool:
        """Apply an upstream's report; return false if it is of a former life."""
        kind = self.lives.classify_report(self.life and self.life.report, report)
        match kind:
            case ReportKind.CURRENT:
                self._update(self.life, report)
            case ReportKind.OUTDATED | ReportKind.FORMER_LIFE:
                self._log_old_report(report, kind)
            case ReportKind.NEXT_LIFE:
                self.candidates.add(report, self.nursery)
        return kind is not ReportKind.FORMER_LIFE

    def _log_old_report(self, report: UpstreamReport, kind: ReportKind) -> None:
        """Log a report that is ignored as out of date."""
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

    def recall_upstream(self, report: UpstreamReport) -> None:
        """Adopt the upstream of a stored report if that life still answers."""
        # The stored times left were measured at an unknown time; the next report gives
        # them again.
        report = replace(report, sequence=0, remaining_seconds=None, cold_seconds=0.0)
        self.candidates.add(report, self.nursery, is_recalled=True)

    def handle_upstream_departure(self, gone: LifeKey) -> None:
        """Handle an upstream's notice of its planned end."""
        if self.life is None:
            return
        if is_departure_of_life(self.life.report.life, gone):
            self._end_life("it left", RunOutcome.LOST)
            return
        self.log.write(
            "upstream.departure_ignored",
            upstream=gone.upstream,
            incarnation=gone.incarnation,
            here=self.life.report.id,
        )

    def set_evacuated(self, evacuated: bool) -> None:
        """Set whether this upstream's zone is evacuated.

        Queued runs are returned; started runs continue to their end.
        """
        self.evacuated = evacuated
        if evacuated:
            self.registry.return_queued_runs("the zone is evacuated")

    def place(self, entry: LinkAddress, order: PlaceTask) -> None:
        """Queue a run that an entry places, or return it if none is accepted now.

        A repeated placement of a known run is ignored.
        """
        if order.key in self.registry.runs:
            return
        run = PlacedRun(order.key, entry, order, self.timers.now())
        self.registry.add(run)
        refusal = self._placement_refusal(order)
        if refusal is not None:
            self.registry.finish(run, RunOutcome.RETURNED, refusal)
            return
        self.registry.enqueue(run)
        self.start_queued_runs()
        if run.state is RunState.QUEUED and self.nursery is not None:
            self.nursery.start_soon(
                self._return_after, run, order.queue_timeout_ms / 1000
            )

    def _placement_refusal(self, order: PlaceTask) -> str | None:
        """Return why a placement is not accepted, or ``None`` if it is.

        The entry has compared the needs of the task with what it knew of the upstream.
        Another life may have begun while the placement was on its way.
        """
        refusal = self.refusal()
        if refusal is None and order.life not in (NO_LIFE, self.answering_life()):
            return "it was placed for a former upstream"
        return refusal

    def withdraw(self, entry: LinkAddress, key: RunKey) -> None:
        """Stop a run, or bar it from starting if it is unknown here."""
        run = self.registry.runs.get(key)
        if run is None:
            self._withdraw_unknown(entry, key)
            return
        self._withdraw(run, "withdrawn")

    def _withdraw_unknown(self, entry: LinkAddress, key: RunKey) -> None:
        """Stop a run that an earlier process of this agent may have started."""
        run = PlacedRun(key, entry, None, self.timers.now(), RunState.STOPPING)
        run.is_withdrawn = True
        self.registry.add(run)
        if not self.reconciler.finish_former_run(run):
            # A start order of the earlier process may still be in flight.
            self._spawn_stop(run)

    def withdraw_runs_of_entry(self, entry: LinkAddress, why: str) -> None:
        """Stop all runs of an entry."""
        for run in self.registry.all():
            if run.entry == entry:
                self._withdraw(run, why)

    def _withdraw(self, run: PlacedRun, why: str) -> None:
        """Stop a run whose task may start elsewhere before its end is known."""
        run.is_withdrawn = True
        self._stop(run, why)

    def stop_all_runs(self, why: str) -> None:
        """Stop all runs."""
        for run in self.registry.all():
            self._stop(run, why)

    # State.

    def refusal(self) -> str | None:
        """Return why no run is accepted now, or ``None`` if runs are accepted."""
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
        """Return the upstream's capacity, or nothing while no run is accepted."""
        if self.refusal() is not None:
            return NO_RESOURCES
        return self.life.report.capacity

    def answering_life(self) -> LifeChecksum:
        """Return the upstream's life, or ``NO_LIFE`` while it does not answer."""
        answers = self.life is not None and not self.life.silent
        return self.life.report.life.checksum() if answers else NO_LIFE

    # Queue and starts.

    def start_queued_runs(self) -> None:
        """Start queued runs that fit, in the order of their rank."""
        if self.nursery is None or self.refusal() is not None:
            return
        if not self.life.may_extend_lease:
            return
        if self.timers.now() < self.paused_until or self._starts_paused():
            return
        capacity = self.life.report.capacity
        while (run := self.registry.dequeue_fitting_run(capacity)) is not None:
            if not self.may_start(run.entry):
                self.registry.finish(
                    run, RunOutcome.RETURNED, "contact with the entry is lost"
                )
                continue
            self._start(run)

    def _starts_paused(self) -> bool:
        """Return whether starts are paused, as the lease may be about to expire.

        That is so if several holds had no answer: each start order renews the lease of
        an upstream that may be lost. It is also so if the lease may not be renewed and
        little of it is left. Queued runs can be placed on other upstreams meanwhile.
        """
        too_many_failed = self.life.failed_holds >= START_PAUSE_FAILED_HOLDS
        if self.policy.doubts_at_once and too_many_failed:
            return True
        remaining = self.life.remaining_lease_seconds(self.timers.lease_now())
        return remaining < MIN_START_LEASE_SECONDS and not self._may_renew()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve the upstream until cancelled.

        ``task_status`` is started once upstream reports can be handled.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                await self._wait_for_work()
                if self.life is not None:
                    await self._hold(self.life)

    def _start(self, run: PlacedRun) -> None:
        self.registry.reserve_room(run)
        self.nursery.start_soon(self._order_start, run, self.life)

    async def _order_start(self, run: PlacedRun, life: UpstreamLife) -> None:
        verdict = await self.order_sender.start(
            run,
            life,
            lambda: (
                life is self.life
                and not life.report.draining
                and self.may_start(run.entry)
            ),
            self._may_renew,
        )
        if self.registry.has(run) and life is self.life:
            self._handle_start_verdict(run, verdict)

    def _handle_start_verdict(self, run: PlacedRun, verdict: StartVerdict) -> None:
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
                self._stop(run, "no answer to the start order")
            case StartVerdict.NO_ROOM:
                self._requeue(run)
            case StartVerdict.STALE:
                self.registry.finish(run, RunOutcome.STALE, verdict.value)
            case StartVerdict.OTHER_BOOT:
                self.registry.finish(run, RunOutcome.RETURNED, verdict.value)
                # Ended at once: until the next report, entries would place runs here
                # again and again, only to have them returned.
                self._end_life(OTHER_BOOT_REASON)
            case StartVerdict.UNHEALTHY:
                self.health.record_refusal(self.timers.now())
                self.registry.finish(run, RunOutcome.RETURNED, verdict.value)
            case _:
                self.registry.finish(run, RunOutcome.RETURNED, verdict.value)

    def _started(self, run: PlacedRun) -> None:
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        run.progress_at = run.started_at
        run.start_confirmed_hold = self.hold_count
        self.wake.set()
        if run.stop_requested:
            self._spawn_stop(run)

    def _requeue(self, run: PlacedRun) -> None:
        if run.stop_requested:
            self.registry.finish(run, RunOutcome.RETURNED, "no room")
            return
        refusal = self.refusal()
        if refusal is not None:
            # The queue was returned when the refusal began, and is not served now.
            self.registry.finish(run, RunOutcome.RETURNED, refusal)
            return
        self.registry.release_room(run)
        self.registry.enqueue(run)
        self.paused_until = self.timers.now() + NO_ROOM_BACKOFF_SECONDS
        self.nursery.start_soon(self._start_queued_runs_after_backoff)

    async def _return_after(self, run: PlacedRun, seconds: float) -> None:
        """Return a run to its entry if it is still queued after ``seconds``."""
        await trio.sleep(seconds)
        if run not in self.registry.queue:
            return
        paused = self.life is not None and self._starts_paused()
        why = "starts are paused" if paused else "no room"
        self.registry.finish(run, RunOutcome.RETURNED, why, starts_paused=paused)

    async def _start_queued_runs_after_backoff(self) -> None:
        await trio.sleep(NO_ROOM_BACKOFF_SECONDS)
        self.start_queued_runs()

    # Stops.

    def _stop(self, run: PlacedRun, why: str) -> None:
        if run.stop_requested:
            return
        run.stop_requested = True
        self.log.write(
            "run.stop", task=run.key.task, run=run.key.number, why=why, was=run.state
        )
        match run.state:
            case RunState.QUEUED:
                self.registry.finish(run, RunOutcome.RETURNED, why)
            case RunState.STARTING:
                # ``_order_start`` continues and still handles the start verdict.
                run.state = RunState.STOPPING
                self._spawn_stop(run)
            case RunState.RUNNING:
                run.state = RunState.STOPPING
                self._spawn_stop(run)
            case RunState.LAPSING:
                # It ends with the lease of its upstream, which no order reaches.
                pass

    def _spawn_stop(self, run: PlacedRun) -> None:
        run.stop_requested = True
        if self.nursery is not None:
            self.nursery.start_soon(self._order_stop, run)

    async def _order_stop(self, run: PlacedRun) -> None:
        """Repeat the stop order until it is confirmed or the run has its outcome."""
        while self.registry.has(run) and not run.is_stop_confirmed:
            if run.state is RunState.LAPSING:
                return
            life = self.life
            if life is None:
                await trio.sleep(ORDER_RETRY_SECONDS)
                self._finish_runs_if_lease_lapsed()
                continue
            if await self.order_sender.stop(run.key, life) and life is self.life:
                run.stop_confirmed_hold = self.hold_count
                self.wake.set()
                # Starts may have waited for the lease to be extended again.
                self.start_queued_runs()
                return
            run.unanswered_stops += 1
            self.log.write(
                "run.stop_unanswered",
                task=run.key.task,
                run=run.key.number,
                orders=run.unanswered_stops,
                withdrawn=run.is_withdrawn,
            )

    def _stop_unclaimed_runs(self, life: UpstreamLife) -> None:
        """Stop the listed runs that nobody claims."""
        for key in life.unclaimed_runs - self.unclaimed_stops:
            self.unclaimed_stops.add(key)
            self.log.write(
                "run.unclaimed",
                request=job_id_of_task(key.task),
                task=key.task,
                run=key.number,
                upstream=life.report.id,
            )
            self.nursery.start_soon(self._order_unclaimed_stop, key, life)

    async def _order_unclaimed_stop(self, key: RunKey, life: UpstreamLife) -> None:
        """Repeat the stop order until it is confirmed or the run is not unclaimed."""
        try:
            while life is self.life and key in life.unclaimed_runs:
                if await self.order_sender.stop(key, life):
                    return
        finally:
            self.unclaimed_stops.discard(key)

    # Holds.

    async def _wait_for_work(self) -> None:
        while not self._needs_hold():
            self.wake = trio.Event()
            with trio.move_on_after(LEASE_CHECK_SECONDS):
                await self.wake.wait()
            self._finish_runs_if_lease_lapsed()

    def _needs_hold(self) -> bool:
        life = self.life
        if life is None:
            return False
        if any(run.occupies_room for run in self.registry.all()):
            return True
        if life.fenced:
            return False
        # An upstream that failed to answer is probed until it does, even if nothing
        # runs there: without an answer it would get no run again. Ends of runs of an
        # earlier process must be acknowledged, too.
        return (
            life.failed_holds > 0
            or life.processed_ends > life.acknowledged_ends
            or life.listed_runs > 0
        )

    async def _hold(self, life: UpstreamLife) -> None:
        self.hold_count += 1
        number = self.hold_count
        busy = bool(self.registry.runs)
        renews = (
            busy
            and life.may_extend_lease
            and not self._withholds_renewal(life)
            and self._may_renew()
        )
        answer = await self.order_sender.hold(
            life, renews, waits=busy or life.listed_runs > 0
        )
        if life is not self.life:
            return
        match answer:
            case Holding():
                if life.record_answered_hold():
                    self.log.write("upstream.answers", upstream=life.report.id)
                    self.registry.room_changed()
                life.fenced = False
                self._handle_holding(life, answer, number)
            case HoldFailure.OTHER_BOOT:
                self._end_life(OTHER_BOOT_REASON)
            case _:
                life.fenced = answer is HoldFailure.FENCED
                self._hold_failed(life, answer)
                await trio.sleep(self._pause_after_failure(life, busy))

    def _withholds_renewal(self, life: UpstreamLife) -> bool:
        """Return whether the lease is not renewed, as the upstream may be lost.

        Its runs can be abandoned only once the lease has expired, and each unanswered
        renewal may have extended it. Holds without a renewal continue until one is
        answered.
        """
        if self.policy.doubts_at_once:
            return life.failed_holds > 0
        return life.silent

    def _pause_after_failure(self, life: UpstreamLife, busy: bool) -> float:
        if not busy:
            return IDLE_RETRY_SECONDS
        # A single lost hold is repeated at once: its answer would have listed ends
        # that entries wait for.
        alone = life.failed_holds == 1 and not life.fenced
        return 0.0 if alone and self.policy.learns_answer_time else ORDER_RETRY_SECONDS

    def _may_renew(self) -> bool:
        """Return whether every run that the lease covers may continue.

        A withdrawn run may not until its stop is confirmed: its task may be started
        elsewhere after a time in which the lease must have ended the run if every stop
        order was lost.

        After a pause of this process, the contact with an entry may have ended
        unnoticed. If the process renewed the lease then and died, that entry's runs
        would outlive the time after which another entry may start the job again.
        """
        return all(
            run.is_stop_confirmed
            or (not run.is_withdrawn and self.may_start(run.entry))
            for run in self.registry.all()
            if run.occupies_room
        )

    def _hold_failed(self, life: UpstreamLife, failure: HoldFailure) -> None:
        if life.record_failed_hold(self.timers.now()):
            self.log.write(
                "upstream.silent", upstream=life.report.id, failure=failure.value
            )
            self.registry.return_queued_runs("the upstream does not answer")
            self.registry.room_changed()
        self._finish_runs_if_lease_lapsed()

    def _finish_runs_if_lease_lapsed(self) -> None:
        """Finish the runs whose end is not known, once their lease has expired.

        These are all runs at an unresponsive upstream. At one that answers, they are
        the withdrawn runs whose stops are lost, and which it does not list. Such a run
        would keep the lease from being renewed for as long as its stops are lost.
        """
        now = self.timers.lease_now()
        lapses_at = (
            self.life.lapses_at
            if self.life
            else self.process_started_at + UPSTREAM_LEASE_EXPIRY_SECONDS
        )
        if now < lapses_at:
            return
        silent = self.life is None or self.life.silent
        life = self.life.report.life.checksum() if silent and self.life else NO_LIFE
        for run in self.registry.all():
            if run.occupies_room and (silent or run.is_withdrawal_unanswered):
                self.reconciler.give_up(run, "its lease lapsed", life)

    def _handle_holding(
        self, life: UpstreamLife, holding: Holding, number: int
    ) -> None:
        self.reconciler.reconcile(life, self.health, self.speed, holding, number)
        self._finish_runs_if_lease_lapsed()
        self._stop_unclaimed_runs(life)
        self._move_runs(life.answer_made_at)
        self._move_from_leaving(life)
        self.start_queued_runs()

    def _move_runs(self, now: float) -> None:
        """Stop runs that would finish sooner elsewhere; handle the start of a trial."""
        was_on_trial = self.health.on_trial()
        moved = self.health.runs_to_move(self.registry.all(), now)
        for run in moved if self.policy.moves_runs else ():
            run.is_moving = True
            self._stop(run, f"no progress at {run.progress:.2f}, pace {self.pace()}")
        if self.health.on_trial() and not was_on_trial:
            self.log.write(
                "upstream.on_trial",
                upstream=self.life.report.id,
                stalled=self.health.stalled,
                pace=self.pace(),
                slowness=round(self.health.slowness, 2),
            )
            self.registry.return_queued_runs("the upstream is on trial")
            self.registry.room_changed()

    def _handle_notice(self, life: UpstreamLife) -> None:
        """Apply the time left in the latest report, which counts from its arrival.

        A draining upstream that no longer states a time has not withdrawn the last one.
        """
        report = life.report
        if not report.draining:
            life.leaves_at = None
            life.last_move.cancel()
        elif report.remaining_seconds is not None and self.policy.moves_from_leaving:
            is_first = life.leaves_at is None
            life.leaves_at = life.reported_at + report.remaining_seconds
            life.last_move.cancel()
            life.last_move = trio.CancelScope()
            self._move_from_leaving(life, is_first)
            self.nursery.start_soon(self._move_last_runs, life, life.last_move)

    async def _move_last_runs(
        self, life: UpstreamLife, scope: trio.CancelScope
    ) -> None:
        """Move runs shortly before the upstream leaves, also if it does not answer."""
        with scope:
            wait = life.leaves_at - departure_plan.LAST_MOVE_SECONDS - self.timers.now()
            await trio.sleep(max(0.0, wait))
            if life is self.life:
                self._move_from_leaving(life)

    def _move_from_leaving(self, life: UpstreamLife, is_first: bool = False) -> None:
        """Stop the runs that cannot end before the upstream leaves.

        Args:
            life: The current life of the upstream.
            is_first: The time left has just been announced.
        """
        if life.leaves_at is None:
            return
        now = self.timers.now()
        left = life.leaves_at - now
        runs = self.registry.all()
        moved = departure_plan.runs_to_move(runs, left, life.listed_at, now)
        if moved or is_first:
            self.log.write(
                "upstream.leaving",
                upstream=life.report.id,
                remaining_ms=round(left * 1000),
                runs=len(runs),
                moved=len(moved),
                lost_ms=sum(self._ms_since(run.started_at) for run in moved),
            )
        for run in moved:
            run.is_moving = True
            self._stop(run, f"the upstream leaves, progress {run.progress:.2f}")

    def pace(self) -> float:
        """Return the ratio of the time that running tasks take to the estimate."""
        return round(self.health.pace, 2)

    # Lives of the upstream.

    def _open_life(self, report: UpstreamReport) -> UpstreamLife:
        return UpstreamLife(
            report,
            self.connect(report),
            clock_offset=report.clock - self.timers.lease_now(),
            lapses_at=self.process_started_at + UPSTREAM_LEASE_EXPIRY_SECONDS,
            reported_at=self.timers.now(),
        )

    async def _adopt(self, candidate: Candidate, holding: Holding) -> bool:
        """Begin the life of an upstream that has answered, if it replaces no other.

        Args:
            candidate: The upstream.
            holding: Its answer. It carries this process's fencing token, so the
                upstream refuses orders of an earlier process from now on.

        Returns:
            Whether the life has begun.
        """
        life = candidate.life
        while self.life is not None:
            if not await self._make_way(self.life, life):
                return False
        kind = self.lives.classify_report(None, life.report)
        if kind is not ReportKind.NEXT_LIFE:
            return False
        if candidate.is_recalled:
            self.log.write("upstream.recalled", upstream=life.report.id)
        self._begin_life(life, holding)
        return True

    async def _make_way(self, life: UpstreamLife, successor: UpstreamLife) -> bool:
        """End the current life if its upstream is gone, or does not answer.

        Args:
            life: The current life.
            successor: A life whose upstream has answered.

        Returns:
            Whether the successor may take its place.
        """
        present, next_report = life.report, successor.report
        if present.life == next_report.life:
            return False
        again = present.id == next_report.id
        reason = RESTARTED_REASON if again else REPLACED_REASON
        if present.address == next_report.address:
            # One upstream is at an address at a time: the one that answered last.
            if successor.answer_made_at < life.answer_made_at:
                return False
            self._end_life(reason)
            return True
        answer = await self.order_sender.probe(life)
        if life is not self.life:
            return True
        match answer:
            case HoldFailure.OTHER_BOOT:
                self._end_life(OTHER_BOOT_REASON)
            case HoldFailure.NO_ANSWER | HoldFailure.REFUSED:
                self._replace_silent_life(reason)
            case _:
                self.standby = next_report
                self.log.write(
                    "upstream.standby", upstream=next_report.id, here=present.id
                )
                return False
        return True

    def _begin_life(self, life: UpstreamLife, holding: Holding) -> None:
        report = life.report
        self.lives.record_life(report.life)
        self.life = life
        self.standby = None
        self.health = self._new_health()
        self.speed = UpstreamSpeed()
        self.speed.record_cold(report.cold_seconds, life.reported_at)
        self.log.write(
            "upstream.found",
            upstream=report.id,
            incarnation=report.incarnation,
            service=report.service,
            cpu=report.capacity.cpu,
        )
        self._handle_notice(life)
        self._handle_holding(life, holding, self.hold_count)
        self.wake.set()
        self.on_upstream_change()
        self.registry.room_changed()

    def _end_life(self, why: str, outcome: RunOutcome = RunOutcome.CRASHED) -> None:
        """End the current life, whose runs have ended, with ``outcome``."""
        life = self._leave_life(why)
        for run in self.registry.all():
            if run.state is RunState.LAPSING:
                continue
            crashed = outcome is RunOutcome.CRASHED and run.started_at > 0
            self.registry.finish(
                run,
                outcome,
                "the upstream is gone",
                interrupted=life.report.life.checksum() if crashed else NO_LIFE,
            )
        self.registry.room_changed()

    def _replace_silent_life(self, why: str) -> None:
        """End the current life, whose runs may continue until its lease has lapsed."""
        life = self._leave_life(why)
        self.lives.forget_life(life.report.life)
        runs = self.registry.all()
        for run in runs:
            self.registry.set_aside(run)
        self.nursery.start_soon(self._finish_lapsing_runs, life, runs)
        self.registry.room_changed()

    async def _finish_lapsing_runs(
        self, life: UpstreamLife, runs: list[PlacedRun]
    ) -> None:
        while (left := life.lapses_at - self.timers.lease_now()) > 0:
            await trio.sleep(left)
        for run in runs:
            if self.registry.has(run):
                checksum = life.report.life.checksum()
                self.reconciler.give_up(run, "its lease lapsed", checksum)

    def _leave_life(self, why: str) -> UpstreamLife:
        """Send no more orders to the current life, and return it."""
        life = self.life
        self.life = None
        life.last_move.cancel()
        self.speed = UpstreamSpeed()
        self.log.write("upstream.gone", upstream=life.report.id, why=why)
        self.nursery.start_soon(life.port.aclose)
        self.registry.return_queued_runs("the upstream is gone")
        if self.standby is not None:
            self.candidates.add(self.standby, self.nursery)
            self.standby = None
        return life

    def _update(self, life: UpstreamLife, report: UpstreamReport) -> None:
        began_draining = report.draining and not life.report.draining
        capacity = life.report.capacity
        life.report = report
        life.reported_at = self.timers.now()
        life.update_clock(report.clock, self.timers.lease_now())
        self.speed.record_cold(report.cold_seconds, self.timers.now())
        if began_draining:
            self.log.write("upstream.draining", upstream=report.id)
            self.registry.return_queued_runs("the upstream is draining")
            self.registry.room_changed()
        self._handle_notice(life)
        if report.capacity != capacity:
            self.log.write(
                "upstream.capacity",
                upstream=report.id,
                cpu=report.capacity.cpu,
                former_cpu=capacity.cpu,
            )
            self.start_queued_runs()

    def _ms_since(self, time: float) -> int:
        return round((self.timers.now() - time) * 1000)
