"""State of a job at the entry that admitted it: tasks, runs and deadlines."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from bergamotcourse.coordination.jobs.interruptions import Interruptions
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import (
    JobKey,
    JobQueue,
    JobSpec,
    StepSpec,
    TaskName,
)

LATE_FACTOR = 3.0
"""A result that takes longer than this multiple of the job's objective is of no use to
the caller, by the users' rule for late results."""

ESTIMATE_ERROR_FACTOR = 2.0
"""Bound on actual over declared work. Declarations are commonly off by 40%; a smaller
bound would abandon jobs that are in time."""

PLACEMENT_WAIT_SHARE = 0.35
"""Share of a job's slack for which it may wait until its first task is placed. With a
smaller share, jobs are refused that could be in time. With a larger one, callers wait
longer for a refusal, and the jobs that waited longest are late anyway."""


START_PAUSE_SECONDS = 0.15
"""Time for which a task is not placed again at an agent that has returned it because it
started nothing: a failed hold takes about as long, and one that succeeds ends it."""


class JobOutcome(Enum):
    """How a job ended for its caller."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    """No task of the job has started, and none will."""
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class JobAnswer:
    """The answer to one call that submitted a job.

    Attributes:
        outcome: ``None`` if a different job with the same id is running.
        why: Reason of the outcome, for the caller.
        retry_after: Seconds after which the caller of a refused job may retry.
    """

    outcome: JobOutcome | None
    why: str = ""
    retry_after: float = 0.0


@dataclass(eq=False)
class Call:
    """A call that waits for the outcome of a job.

    Attributes:
        has_disconnected: Returns whether its caller has disconnected.
    """

    has_disconnected: Callable[[], bool]


class TaskState(Enum):
    """The state of a task."""

    BLOCKED = "blocked"
    DELAYED = "delayed"
    """Its runs were interrupted; it becomes pending after a delay."""
    PENDING = "pending"
    PLACED = "placed"
    DONE = "done"


@dataclass(eq=False)
class TaskRun:
    """One task of a job.

    Attributes:
        number: Number of its last run; 0 before the first.
        failures: Runs that reported a failure.
        interruptions: Runs that ended as their upstream stopped answering or crashed.
        avoid: Names of the agents on which a run failed, was moved or interrupted.
        link: Link to the agent of the last run, while that run is placed.
        placed_at: Time at which that run was placed.
        agents: The agent at which each run was placed, by the number of the run. Runs
            that have completed or failed are removed.
        start_pauses: By the name of an agent, when it last returned a run because its
            starts were paused.
        is_remote: That run is outside the rack that has its data.
    """

    job: "JobRun"
    name: TaskName
    step: int
    state: TaskState
    number: int = 0
    failures: int = 0
    interruptions: Interruptions = field(default_factory=Interruptions)
    avoid: set[str] = field(default_factory=set)
    link: object | None = None
    placed_at: float = 0.0
    agents: dict[int, str] = field(default_factory=dict)
    start_pauses: dict[str, float] = field(default_factory=dict)
    is_remote: bool = False

    @property
    def spec(self) -> StepSpec:
        """Return the step of the task."""
        return self.job.spec.steps[self.step]

    @property
    def key(self) -> RunKey:
        """Return the key of the last run."""
        return RunKey(self.name, self.number)

    def agents_with_paused_starts(self, now: float) -> frozenset[str]:
        """Return the agents that have lately returned a run as they started nothing."""
        return frozenset(
            agent
            for agent, at in self.start_pauses.items()
            if now - at < START_PAUSE_SECONDS
        )


class JobRun:
    """One job that an entry has admitted.

    Attributes:
        arrived: Time of admission.
        factor: Correction of the declared task times that was learnt for the queue.
        work: Seconds of the longest chain of dependent steps, corrected by ``factor``.
        objective: Target latency of the job in seconds.
        unfinished_tasks: Number of tasks that are not done.
        possible_runs: Number of placed runs that may have started.
        finished: Set together with the outcome.
        retry_after: Seconds after which the caller of a refused job may retry.
        calls: The calls that wait for the outcome.
    """

    def __init__(
        self, spec: JobSpec, queue: JobQueue, arrived: float, factor: float = 1.0
    ):
        self.spec = spec
        self.queue = queue
        self.arrived = arrived
        self.factor = factor
        self.work = critical_path_seconds(spec.steps) * factor
        self.objective = queue.objective(self.work)
        self.tasks = make_tasks(self)
        self.unfinished_tasks = len(self.tasks)
        self.possible_runs = 0
        self.finished = trio.Event()
        self.outcome: JobOutcome | None = None
        self.why = ""
        self.retry_after = 0.0
        self.calls: list[Call] = []

    @property
    def key(self) -> JobKey:
        """Return the key of the job."""
        return self.queue.key(self.spec.id)

    @property
    def has_ended(self) -> bool:
        """Return whether the job has succeeded or failed."""
        return self.outcome in (JobOutcome.SUCCEEDED, JobOutcome.FAILED)

    @property
    def may_have_run(self) -> bool:
        """Return whether a task may have started."""
        return self.possible_runs > 0

    def is_abandoned(self) -> bool:
        """Return whether all callers have disconnected; false before the first."""
        return bool(self.calls) and all(call.has_disconnected() for call in self.calls)

    def is_awaited_by_others(self, call: Call) -> bool:
        """Return whether a further call waits whose caller is still connected."""
        return any(
            other is not call and not other.has_disconnected() for other in self.calls
        )

    def is_of(self, spec: JobSpec, queue: JobQueue) -> bool:
        """Return whether a submission to a queue is one of this job."""
        return self.spec == spec and self.key == queue.key(spec.id)

    def may_be_joined(self) -> bool:
        """Return whether a further call for a job may get the outcome of this one.

        Any other outcome than success and failure concerns the earlier calls: they were
        refused, their time was over, or their callers had left.
        """
        return self.outcome is None or self.has_ended

    @property
    def start_by(self) -> float:
        """Return the latest time at which the work can start and still be in time."""
        return self.arrived + self.objective - self.work

    @property
    def placement_deadline(self) -> float:
        """Return the time at which the job is refused unless a task is placed."""
        return self.arrived + PLACEMENT_WAIT_SHARE * max(
            0.0, self.objective - self.work
        )

    @property
    def abandon_at(self) -> float:
        """Return the time after which the result is certainly of no use."""
        return self.arrived + LATE_FACTOR * ESTIMATE_ERROR_FACTOR * self.objective

    def may_run_remotely(self, now: float, remote_factor: float) -> bool:
        """Return whether tasks may run outside the rack that has their data.

        That is so if the job can be in time there too, or cannot be in time anywhere.

        Args:
            now: The time.
            remote_factor: Factor by which run times grow outside the rack.
        """
        remote_in_time = (
            now + self.work * remote_factor <= self.arrived + self.objective
        )
        return remote_in_time or now > self.start_by

    def task(self, name: TaskName) -> TaskRun | None:
        """Return the task with a name, or ``None`` if the job has none."""
        return next((task for task in self.tasks if task.name == name), None)

    def pending_tasks(self) -> list[TaskRun]:
        """Return the tasks that are ready to be placed."""
        return [task for task in self.tasks if task.state is TaskState.PENDING]

    def complete_task(self, task: TaskRun) -> None:
        """Mark a task as done, and unblock the steps that only waited for it."""
        task.state = TaskState.DONE
        self.unfinished_tasks -= 1
        done = {
            index
            for index in range(len(self.spec.steps))
            if all(t.state is TaskState.DONE for t in self.tasks if t.step == index)
        }
        for other in self.tasks:
            if other.state is TaskState.BLOCKED and done.issuperset(other.spec.after):
                other.state = TaskState.PENDING

    def answer(self) -> JobAnswer:
        """Return the outcome for the calls that wait for it."""
        return JobAnswer(self.outcome, self.why, self.retry_after)

    def finish(self, outcome: JobOutcome, why: str = "") -> None:
        """Set the outcome, unless the job already has one."""
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


def critical_path_seconds(steps: tuple[StepSpec, ...]) -> float:
    """Return the estimated seconds of the longest chain of dependent steps."""
    ends: list[float] = []
    for step in steps:
        begins = max((ends[index] for index in step.after), default=0.0)
        ends.append(begins + step.estimate)
    return max(ends, default=0.0)
