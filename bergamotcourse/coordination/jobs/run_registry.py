"""Registry of the runs of one agent: their queue and the resources they need."""

from collections import Counter
from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress
from bergamotcourse.protocol.task_messages import RunOutcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NO_RESOURCES, Resources

QUEUE_LOOKAHEAD_RUNS = 4
"""Queued runs behind the first that may overtake it if they fit and it does not."""

RunEndCallback = Callable[[LinkAddress, TaskEnded], None]
"""Receives the outcome of a run, for the entry that placed it."""


class RunRegistry:
    """The runs of one agent.

    Attributes:
        runs: All runs without an outcome.
        queue: Runs that wait for room at the upstream.
        used: Total needs of the runs that occupy room at the upstream.
        total: Total needs of all runs.
        needs_by_entry: Total needs by placing entry; read for each message.
        run_counts: Number of runs by placing entry.
        report_end: Called with each outcome.
        room_changed: Called after each outcome.
    """

    def __init__(self, log: EventLog):
        self.log = log
        self.report_end: RunEndCallback = lambda _entry, _ended: None
        self.room_changed: Callable[[], None] = lambda: None
        self.runs: dict[RunKey, PlacedRun] = {}
        self.queue: list[PlacedRun] = []
        self.used = NO_RESOURCES
        self.total = NO_RESOURCES
        self.needs_by_entry: dict[LinkAddress, Resources] = {}
        self.run_counts: Counter[LinkAddress] = Counter()

    def all(self) -> list[PlacedRun]:
        """Return a snapshot of all runs."""
        return list(self.runs.values())

    def add(self, run: PlacedRun) -> None:
        """Add a run."""
        self.runs[run.key] = run
        self.total = self.total + run.needs
        self.needs_by_entry[run.entry] = self.committed(run.entry) + run.needs
        self.run_counts[run.entry] += 1

    def has_runs_of(self, entry: LinkAddress) -> bool:
        """Return whether an entry has runs here."""
        return self.run_counts[entry] > 0

    def has(self, run: PlacedRun) -> bool:
        """Return whether a run has no outcome yet."""
        return self.runs.get(run.key) is run

    def enqueue(self, run: PlacedRun) -> None:
        """Append a run to the queue."""
        run.state = RunState.QUEUED
        self.queue.append(run)

    def dequeue_fitting_run(self, capacity: Resources) -> PlacedRun | None:
        """Remove and return the first queued run by rank that fits, or ``None``."""
        self.queue.sort(key=PlacedRun.rank)
        room = capacity - self.used
        for run in self.queue[: QUEUE_LOOKAHEAD_RUNS + 1]:
            if run.needs.fits(room):
                self.queue.remove(run)
                return run
        return None

    def reserve_room(self, run: PlacedRun) -> None:
        """Reserve room for a run that has left the queue."""
        run.state = RunState.STARTING
        self.used = self.used + run.needs

    def release_room(self, run: PlacedRun) -> None:
        """Release the room of a run that has not started."""
        self.used = self.used - run.needs

    def set_aside(self, run: PlacedRun) -> None:
        """Free the room of a run whose upstream was replaced while it may be running.

        It keeps its place among the runs until it has an outcome.
        """
        self.total = self.total - run.needs
        self.needs_by_entry[run.entry] = self.needs_by_entry[run.entry] - run.needs
        if run.occupies_room:
            self.used = self.used - run.needs
        run.state = RunState.LAPSING

    def finish(
        self,
        run: PlacedRun,
        outcome: RunOutcome,
        detail: str,
        ran: float = 0.0,
        interrupted: LifeChecksum = NO_LIFE,
        starts_paused: bool = False,
    ) -> None:
        """Remove a run, free its room, and report its outcome.

        Args:
            run: The run.
            outcome: Its outcome.
            detail: Why, for the log and the entry.
            ran: Seconds that it ran.
            interrupted: The life of the upstream that interrupted it, if one did.
            starts_paused: Whether it is returned because nothing is started for now.
        """
        del self.runs[run.key]
        self.total = self.total - run.needs
        self.needs_by_entry[run.entry] = self.needs_by_entry[run.entry] - run.needs
        self.run_counts[run.entry] -= 1
        if run in self.queue:
            self.queue.remove(run)
        if run.occupies_room:
            self.used = self.used - run.needs
        self.log.write(
            "run.end",
            request=run.order.request if run.order else run.key.task,
            task=run.key.task,
            run=run.key.number,
            outcome=outcome.value,
            detail=detail,
            ran_ms=round(ran * 1000),
        )
        ended = TaskEnded(run.key, outcome, ran, detail, interrupted, starts_paused)
        self.report_end(run.entry, ended)
        self.room_changed()

    def return_queued_runs(self, why: str) -> None:
        """Return all queued runs to their entries."""
        for run in list(self.queue):
            self.finish(run, RunOutcome.RETURNED, why)

    def committed(self, entry: LinkAddress | None = None) -> Resources:
        """Return the total needs of all runs, or of those of one entry."""
        if entry is None:
            return self.total
        return self.needs_by_entry.get(entry, NO_RESOURCES)
