"""A job at the entry that took it: its tasks, their runs, and its times."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import JobQueue, JobSpec, StepSpec, TaskName

LATE_FACTOR = 3.0
"""A job that takes longer than so many times its objective is of no use to its caller
(the users' rule for what counts as late)."""

ESTIMATE_ERROR = 2.0
"""A job's work may be so many times what was declared, which is off by 40% as a rule;
to give up sooner would end jobs that are in time."""

OFFER_SHARE = 0.35
"""Share of the time to spare that a job may wait before its first task is placed: with
less, jobs are refused that could be in time; with more, callers wait longer for a
refusal, and those who waited longest are late all the same."""


class JobOutcome(Enum):
    """How a job ended for its caller."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    """No task of it was placed, and none will be."""
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"


class TaskState(Enum):
    """Where a task stands."""

    BLOCKED = "blocked"
    PENDING = "pending"
    PLACED = "placed"
    DONE = "done"


@dataclass
class TaskRun:
    """One task of a job.

    Attributes:
        number: Of its last run.
        failures: Runs that ended by failure.
        crashes: Runs during which their upstream crashed.
        avoid: Names of agents where it failed.
        where: The link to the agent of its last run, while that is placed.
        placed_at: When that run was placed.
        away: That run is not in the rack that has its data.
    """

    job: "JobRun"
    name: TaskName
    step: int
    state: TaskState
    number: int = 0
    failures: int = 0
    crashes: int = 0
    avoid: set[str] = field(default_factory=set)
    where: object | None = None
    placed_at: float = 0.0
    away: bool = False

    @property
    def spec(self) -> StepSpec:
        """Return the step of the task."""
        return self.job.spec.steps[self.step]

    @property
    def key(self) -> RunKey:
        """Return the key of its last run."""
        return RunKey(self.name, self.number)


class JobRun:
    """One job that an entry has taken.

    Attributes:
        factor: How many times longer than declared its tasks take, as learnt.
        work: Seconds of its longest chain of steps, corrected by the factor.
        objective: Seconds within which its caller wants it done.
        runs: Placed runs that may have started.
        finished: Set with the outcome.
        retry_after: Seconds for a caller who was refused.
    """

    def __init__(
        self, spec: JobSpec, queue: JobQueue, arrived: float, factor: float = 1.0
    ):
        self.spec = spec
        self.queue = queue
        self.arrived = arrived
        self.factor = factor
        self.work = longest_chain(spec.steps) * factor
        self.objective = queue.objective(self.work)
        self.tasks = make_tasks(self)
        self.unfinished = len(self.tasks)
        self.runs = 0
        self.finished = trio.Event()
        self.outcome: JobOutcome | None = None
        self.why = ""
        self.retry_after = 0.0
        self.callers = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether a task may have started."""
        return self.runs > 0

    @property
    def start_by(self) -> float:
        """Return when its work must begin for it to be in time."""
        return self.arrived + self.objective - self.work

    @property
    def offer_by(self) -> float:
        """Return when its first task must be placed, or it is refused."""
        return self.arrived + OFFER_SHARE * max(0.0, self.objective - self.work)

    @property
    def useless_at(self) -> float:
        """Return from when on its answer is certainly of no use."""
        return self.arrived + LATE_FACTOR * ESTIMATE_ERROR * self.objective

    def may_run_away(self, now: float, remote_factor: float) -> bool:
        """Return whether a task need not wait for room near its data.

        Away from it the job can be in time too, or it cannot be in time anywhere.
        """
        away_in_time = now + self.work * remote_factor <= self.arrived + self.objective
        return away_in_time or now > self.start_by

    def pending(self) -> list[TaskRun]:
        """Return the tasks that are to be placed."""
        return [task for task in self.tasks if task.state is TaskState.PENDING]

    def task_done(self, task: TaskRun) -> None:
        """Note the end of a task, and release the steps that waited for it."""
        task.state = TaskState.DONE
        self.unfinished -= 1
        done = {
            index
            for index in range(len(self.spec.steps))
            if all(t.state is TaskState.DONE for t in self.tasks if t.step == index)
        }
        for other in self.tasks:
            if other.state is TaskState.BLOCKED and done.issuperset(other.spec.after):
                other.state = TaskState.PENDING

    def finish(self, outcome: JobOutcome, why: str = "") -> None:
        """Set the outcome, unless there is one."""
        if self.outcome is None:
            self.outcome = outcome
            self.why = why
            self.finished.set()


def make_tasks(job: JobRun) -> list[TaskRun]:
    """Return the tasks of a job."""
    tasks = []
    for step, spec in enumerate(job.spec.steps):
        state = TaskState.BLOCKED if spec.after else TaskState.PENDING
        for index in range(spec.count):
            name = TaskName(f"{job.spec.id}.0.{step}.{index}")
            tasks.append(TaskRun(job, name, step, state))
    return tasks


def longest_chain(steps: tuple[StepSpec, ...]) -> float:
    """Return the seconds of the longest chain of steps that wait for each other."""
    ends: list[float] = []
    for step in steps:
        begins = max((ends[index] for index in step.after), default=0.0)
        ends.append(begins + step.estimate)
    return max(ends, default=0.0)
