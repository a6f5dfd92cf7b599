"""Counts the outcomes of the jobs of a replay."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bergamotcourse.coordination.jobs.job_run import LATE_FACTOR, JobOutcome
from bergamotcourse.state.job_spec import JobId, TaskName

LATE_WORTH_SHARE = 0.2
"""Share of its worth that a late job earns, as the users' sheets state."""

WINDOW_SECONDS = 2.0
"""Length of the arrival windows, of which the worst ones are reported."""

WORST_WINDOW_COUNT = 2
"""Number of windows over which the share of the worst windows is averaged."""


@dataclass
class Tally:
    """Outcome counts of a group of jobs.

    Attributes:
        refusals: Seconds from the arrival of a job to its refusal.
    """

    count: int = 0
    in_time: int = 0
    late: int = 0
    refusals: list[float] = field(default_factory=list)
    failed: int = 0
    worth: float = 0.0
    earned: float = 0.0

    def add(
        self, outcome: JobOutcome | None, took: float, objective: float, worth: float
    ) -> None:
        """Count one job."""
        self.count += 1
        self.worth += worth
        match outcome:
            case JobOutcome.SUCCEEDED if took <= objective:
                self.in_time += 1
                self.earned += worth
            case JobOutcome.SUCCEEDED if took <= LATE_FACTOR * objective:
                self.late += 1
                self.earned += worth * LATE_WORTH_SHARE
            case JobOutcome.REFUSED:
                self.refusals.append(took)
            case _:
                self.failed += 1

    def share_earned(self) -> float:
        """Return the share of the worth that was earned."""
        return self.earned / self.worth if self.worth else 1.0


@dataclass(frozen=True)
class Call:
    """The first call for a counted job.

    Attributes:
        job: Id of the job.
        kind: Name of its kind.
        tasks: Number of its tasks.
        at: Time of the call, in seconds of the fleet's clock.
    """

    job: JobId
    kind: str
    tasks: int
    at: float


@dataclass
class ReplayOutcome:
    """Outcome counts of a replay: by kind, by arrival window, and in total.

    Attributes:
        counted_from: Begin of the counted time, in seconds of the fleet's clock.
        calls: The first call for each counted job.
        works: For each task, the work that its runs drew, in seconds.
        bound: Upper bound on the share of the worth; ``None`` if it was not computed.
        arrivals: Number of jobs that arrived in each second.
    """

    kinds: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    windows: dict[int, Tally] = field(default_factory=lambda: defaultdict(Tally))
    total: Tally = field(default_factory=Tally)
    counted_from: float = 0.0
    calls: list[Call] = field(default_factory=list)
    works: dict[TaskName, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    bound: float | None = None
    arrivals: Counter[int] = field(default_factory=Counter)

    def add(self, kind: str, arrived: float, *job) -> None:
        """Count one job that arrived ``arrived`` seconds into the counted time."""
        self.arrivals[int(arrived)] += 1
        window = int(arrived / WINDOW_SECONDS)
        for tally in (self.kinds[kind], self.windows[window], self.total):
            tally.add(*job)

    def worst_windows(self) -> float:
        """Return the mean share of worth earned in the worst windows."""
        shares = sorted(tally.share_earned() for tally in self.windows.values())
        worst = shares[:WORST_WINDOW_COUNT]
        return sum(worst) / len(worst) if worst else 1.0

    def peak_arrivals(self) -> int:
        """Return the largest number of jobs that arrived in one second."""
        return max(self.arrivals.values(), default=0)
