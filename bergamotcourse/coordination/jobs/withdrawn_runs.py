"""Runs that an entry has withdrawn and of whose end it has not heard yet.

A job that is submitted again must not start a task while a run of its former submission
is still being stopped, at whatever agent that is.
"""

from bergamotcourse.coordination.jobs.job_run import JobRun, TaskRun, TaskState
from bergamotcourse.state.job_spec import JobId, TaskName


class WithdrawnRuns:
    """The withdrawn runs without a reported end, by the name of their task."""

    def __init__(self):
        self.runs: dict[TaskName, TaskRun] = {}

    def add(self, task: TaskRun) -> None:
        """Record that the last run of a task was withdrawn."""
        self.runs[task.name] = task

    def record_end(self, task: TaskRun, number: int) -> None:
        """Record that a run has ended.

        Args:
            task: The task of the run.
            number: The number of the run.
        """
        if self.runs.get(task.name) is task and task.number == number:
            del self.runs[task.name]

    def has_run_of(self, job_id: JobId) -> bool:
        """Return whether a withdrawn run of a job may not have ended yet."""
        return any(task.job.spec.id == job_id for task in self.runs.values())

    def continue_numbers(self, job: JobRun) -> None:
        """Number the runs of a new job after those of its former submission.

        An upstream bars the numbers up to that of a stopped run.
        """
        for task in job.tasks:
            former = self.runs.get(task.name)
            if former is not None:
                task.number = former.number

    def may_start(self, task: TaskRun) -> bool:
        """Return whether a task is ready to be placed and no former run remains."""
        return task.state is TaskState.PENDING and task.name not in self.runs
