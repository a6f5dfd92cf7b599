"""The runs of one agent: which there are, which wait for room, and what they take."""

from collections import Counter
from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import Outcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NOTHING, Resources

LOOK_AHEAD = 4
"""Waiting runs behind the first that may go before it where only they fit."""

Reporter = Callable[[LinkAddress, TaskEnded], None]
"""Told the outcome of a run, for the entry that placed it."""


class RunBook:
    """The runs of one agent.

    Attributes:
        runs: All that have no outcome.
        queue: Those that wait for room.
        used: Needs of those that take room at the upstream.
        total: Needs of all.
        by_entry: Needs by the entry that placed them; asked for each message.
        counts: Runs by the entry that placed them.
        report_end: Told each outcome.
        room_changed: Called after each outcome.
    """

    def __init__(self, log: EventLog):
        self.log = log
        self.report_end: Reporter = lambda _entry, _ended: None
        self.room_changed: Callable[[], None] = lambda: None
        self.runs: dict[RunKey, PlacedRun] = {}
        self.queue: list[PlacedRun] = []
        self.used = NOTHING
        self.total = NOTHING
        self.by_entry: dict[LinkAddress, Resources] = {}
        self.counts: Counter[LinkAddress] = Counter()

    def all(self) -> list[PlacedRun]:
        """Return all runs, as they are now."""
        return list(self.runs.values())

    def add(self, run: PlacedRun) -> None:
        """Take a run in."""
        self.runs[run.key] = run
        self.total = self.total + run.needs
        self.by_entry[run.entry] = self.committed(run.entry) + run.needs
        self.counts[run.entry] += 1

    def has_runs_of(self, entry: LinkAddress) -> bool:
        """Return whether an entry has runs here."""
        return self.counts[entry] > 0

    def has(self, run: PlacedRun) -> bool:
        """Return whether a run has no outcome yet."""
        return self.runs.get(run.key) is run

    def enqueue(self, run: PlacedRun) -> None:
        """Let a run wait for room."""
        run.state = RunState.QUEUED
        self.queue.append(run)

    def next_that_fits(self, capacity: Resources) -> PlacedRun | None:
        """Take the first run by rank that fits out of the queue."""
        self.queue.sort(key=PlacedRun.rank)
        room = capacity - self.used
        for run in self.queue[: LOOK_AHEAD + 1]:
            if run.needs.fits(room):
                self.queue.remove(run)
                return run
        return None

    def occupy(self, run: PlacedRun) -> None:
        """Let a run that left the queue take its room."""
        run.state = RunState.STARTING
        run.asked_start = True
        self.used = self.used + run.needs

    def release(self, run: PlacedRun) -> None:
        """Give a run's room back, as it never started."""
        run.asked_start = False
        self.used = self.used - run.needs

    def finish(
        self, run: PlacedRun, outcome: Outcome, detail: str, ran: float = 0.0
    ) -> None:
        """Report the outcome of a run and free its room."""
        del self.runs[run.key]
        self.total = self.total - run.needs
        self.by_entry[run.entry] = self.by_entry[run.entry] - run.needs
        self.counts[run.entry] -= 1
        if run in self.queue:
            self.queue.remove(run)
        if run.occupies:
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
        self.report_end(run.entry, TaskEnded(run.key, outcome, ran, detail))
        self.room_changed()

    def return_waiting(self, why: str) -> None:
        """Give all runs that wait for room back to their entries."""
        for run in list(self.queue):
            self.finish(run, Outcome.RETURNED, why)

    def committed(self, entry: LinkAddress | None = None) -> Resources:
        """Return the needs of all runs, or of those of one entry."""
        if entry is None:
            return self.total
        return self.by_entry.get(entry, NOTHING)
