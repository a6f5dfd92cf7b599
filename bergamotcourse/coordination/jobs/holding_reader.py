"""What an upstream's lists of runs and ends say of the runs of its agent."""

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.former_ends import FormerEnds
from bergamotcourse.coordination.jobs.run_book import RunBook
from bergamotcourse.coordination.jobs.task_runs import PlacedRun
from bergamotcourse.coordination.jobs.upstream_health import UpstreamHealth
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.task_messages import Outcome
from bergamotcourse.protocol.upstream_orders import EndedRun, EndKind, Holding

OUTCOMES = {
    EndKind.DONE: Outcome.DONE,
    EndKind.FAILED: Outcome.FAILED,
    EndKind.STOPPED: Outcome.STOPPED,
    EndKind.LAPSED: Outcome.LOST,
}


class HoldingReader:
    """Takes the ends and the progress of runs, and finds those that are missing.

    Attributes:
        former_ends: Ends of runs that this process has not started.
    """

    def __init__(self, book: RunBook, timers: Timers, log: EventLog):
        self.book = book
        self.timers = timers
        self.log = log
        self.former_ends = FormerEnds()

    def read(
        self,
        life: UpstreamLife,
        health: UpstreamHealth,
        holding: Holding,
        number: int,
    ) -> None:
        """Take what a life of an upstream has listed.

        Args:
            life: The life.
            health: Told how its runs ended.
            holding: The lists.
            number: Of the renewal that they answer.
        """
        for ended in holding.ended:
            if ended.number > life.noted:
                life.noted = ended.number
                self._take_end(ended, health)
        listed = {running.key: running for running in holding.running}
        life.listed = len(listed)
        now = self.timers.now()
        for run in self.book.all():
            running = listed.get(run.key)
            if running is not None:
                _note_progress(run, running.progress, now)
            elif 0 <= run.confirmed < number:
                self._lose_unlisted(run, life, holding)
            elif 0 <= run.barred < number:
                self.book.finish(run, Outcome.RETURNED, "stopped before it started")

    def finish_former(self, run: PlacedRun) -> bool:
        """Finish a run of an earlier process if its end was listed."""
        kind = self.former_ends.take(run.key)
        if kind is None:
            return False
        self.book.finish(run, OUTCOMES[kind], kind.value)
        return True

    def _take_end(self, ended: EndedRun, health: UpstreamHealth) -> None:
        run = self.book.runs.get(ended.key)
        if run is None:
            self.former_ends.keep(ended.key, ended.kind)
            return
        ran = self.timers.now() - run.started_at if run.started_at else 0.0
        health.ended(ended.kind, run, ran, self.timers.now())
        outcome = OUTCOMES[ended.kind]
        if run.moves and outcome is Outcome.STOPPED:
            outcome = Outcome.MOVED
        self.book.finish(run, outcome, ended.kind.value, ran)

    def _lose_unlisted(
        self, run: PlacedRun, life: UpstreamLife, holding: Holding
    ) -> None:
        """Give up a run that has started and that the upstream does not know.

        It is over, and may have run to its end. Told as never started, it would let
        its entry refuse the job as one that has not run.
        """
        self.log.write(
            "run.unlisted",
            request=run.order.request,
            task=run.key.task,
            run=run.key.number,
            upstream=life.report.id,
            noted=life.noted,
            incarnation=holding.incarnation,
            last_incarnation=life.report.incarnation,
        )
        self.book.finish(run, Outcome.LOST, "the upstream does not know it")


def _note_progress(run: PlacedRun, progress: float, now: float) -> None:
    if progress > run.progress:
        run.progress = progress
        run.progress_at = now
