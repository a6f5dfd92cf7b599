"""Reconciliation of an agent's runs with the runs and ends that its upstream lists."""

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.former_ends import FormerEnds
from bergamotcourse.coordination.jobs.lease_terms import HOLD_LONG_POLL_SECONDS
from bergamotcourse.coordination.jobs.run_registry import RunRegistry
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_health import UpstreamHealth
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.jobs.upstream_speed import UpstreamSpeed
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import NO_LIFE, LifeChecksum
from bergamotcourse.protocol.task_messages import RunOutcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import (
    EndedRun,
    EndKind,
    Holding,
    RunKey,
)
from bergamotcourse.state.job_spec import job_id_of_task

MAX_UNCERTAIN_SECONDS = 2 * HOLD_LONG_POLL_SECONDS
"""Longest time between two lists for which a run that ended in it has a run time."""

OUTCOME_BY_END_KIND = {
    EndKind.DONE: RunOutcome.DONE,
    EndKind.FAILED: RunOutcome.FAILED,
    EndKind.STOPPED: RunOutcome.STOPPED,
    EndKind.LAPSED: RunOutcome.LOST,
}


class HoldingReconciler:
    """Applies listed ends and progress to runs, and finishes runs that are not listed.

    Attributes:
        registry: The runs of the agent.
        former_ends: Ends of runs that an earlier process had started, or that were
            given up.
    """

    def __init__(self, registry: RunRegistry, timers: Timers, log: EventLog):
        self.registry = registry
        self.timers = timers
        self.log = log
        self.former_ends = FormerEnds()

    def reconcile(
        self,
        life: UpstreamLife,
        health: UpstreamHealth,
        speed: UpstreamSpeed,
        holding: Holding,
        number: int,
    ) -> None:
        """Apply the lists that a life of an upstream sent.

        Args:
            life: The life.
            health: Receives the ends of runs.
            speed: Receives the run times of completed runs.
            holding: The lists.
            number: Number of the hold that they answer. A run whose start or stop was
                confirmed before that hold began must be listed if it still runs.
        """
        for ended in holding.ended:
            if ended.number > life.processed_ends:
                life.processed_ends = ended.number
                self._handle_run_end(ended, life, health, speed)
        life.listed_at = life.answer_made_at
        listed = {running.key: running for running in holding.running}
        life.listed_runs = len(listed)
        life.unclaimed_runs = frozenset(
            key for key in listed if not self._is_claimed(key)
        )
        for run in self.registry.all():
            if run.state is RunState.LAPSING:
                continue
            running = listed.get(run.key)
            if running is not None:
                _note_progress(run, running.progress, life.answer_made_at)
            elif 0 <= run.start_confirmed_hold < number:
                self._finish_unlisted_run(run, life, holding)
            elif 0 <= run.stop_confirmed_hold < number:
                self.registry.finish(
                    run, RunOutcome.RETURNED, "stopped before it started"
                )

    def _is_claimed(self, key: RunKey) -> bool:
        """Return whether this process has started a run, or was asked to stop it."""
        run = self.registry.runs.get(key)
        return run is not None and run.occupies_room

    def finish_former_run(self, run: PlacedRun) -> bool:
        """Finish a run of an earlier process; return false if its end is unknown."""
        kind = self.former_ends.pop(run.key)
        if kind is None:
            return False
        self.registry.finish(run, OUTCOME_BY_END_KIND[kind], kind.value)
        return True

    def give_up(self, run: PlacedRun, why: str, silent: LifeChecksum) -> None:
        """Finish a run whose end is not known yet and may be listed later.

        Args:
            run: The run.
            why: Why, for the log and the entry.
            silent: The life of the upstream that does not answer.
        """
        self.former_ends.record_given_up(run.key, run.entry)
        interrupted = silent if run.started_at else NO_LIFE
        self.registry.finish(run, RunOutcome.LOST, why, interrupted=interrupted)

    def _handle_run_end(
        self,
        ended: EndedRun,
        life: UpstreamLife,
        health: UpstreamHealth,
        speed: UpstreamSpeed,
    ) -> None:
        run = self.registry.runs.get(ended.key)
        if run is None:
            self._handle_late_end(ended)
            return
        ran = self._run_seconds(run, life)
        if ended.kind is EndKind.DONE and run.order and not health.on_trial():
            # On trial, the upstream is slower or faster than it usually is.
            speed.record_run(run.order.estimate, ran, run.started_at)
        health.record_end(ended.kind, run, ran, self.timers.now())
        outcome = OUTCOME_BY_END_KIND[ended.kind]
        if run.is_moving and outcome is RunOutcome.STOPPED:
            outcome = RunOutcome.MOVED
        self.registry.finish(run, outcome, ended.kind.value, ran)

    def _run_seconds(self, run: PlacedRun, life: UpstreamLife) -> float:
        """Return for how long a run that is listed as ended ran; 0 if unknown.

        It ended at any time since the last list, which is long ago if the upstream did
        not answer meanwhile.
        """
        made_at = life.answer_made_at
        uncertain = made_at - max(run.started_at, life.listed_at)
        if not run.started_at or uncertain > MAX_UNCERTAIN_SECONDS:
            return 0.0
        return max(0.0, made_at - run.started_at)

    def _handle_late_end(self, ended: EndedRun) -> None:
        """Store the end of a run without an owner here, and report it if it is done.

        The entry was told that a run given up is lost, and may have placed its task
        again. If the run has completed its task after all, the entry need not wait for
        the new run. Any other end tells it nothing that it could use.
        """
        self.log.write(
            "run.end_late",
            request=job_id_of_task(ended.key.task),
            task=ended.key.task,
            run=ended.key.number,
            outcome=ended.kind.value,
        )
        self.former_ends.record(ended.key, ended.kind)
        entry = self.former_ends.pop_given_up(ended.key)
        if entry is not None and ended.kind is EndKind.DONE:
            detail = "listed after its lease lapsed"
            self.registry.report_end(
                entry, TaskEnded(ended.key, RunOutcome.DONE, detail=detail)
            )

    def _finish_unlisted_run(
        self, run: PlacedRun, life: UpstreamLife, holding: Holding
    ) -> None:
        """Finish as lost a run that has started and that the upstream does not list.

        It has ended, and may have run to completion. If it were reported as never
        started, its entry could refuse the job as one that has not run.
        """
        self.log.write(
            "run.unlisted",
            request=run.order.request,
            task=run.key.task,
            run=run.key.number,
            upstream=life.report.id,
            noted=life.processed_ends,
            incarnation=holding.incarnation,
            last_incarnation=life.report.incarnation,
        )
        self.registry.finish(run, RunOutcome.LOST, "the upstream does not list it")


def _note_progress(run: PlacedRun, progress: float, made_at: float) -> None:
    if progress > run.progress:
        run.progress = progress
        run.progress_at = made_at
