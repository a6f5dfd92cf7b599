"""The tasks that an entry has sent and whose results are outstanding."""

from collections.abc import Iterator

from bergamotcourse.coordination.agents import AgentView
from bergamotcourse.coordination.tasks import Task

RESULT_GRACE_SECONDS = 0.25
"""A task's agent is probed once the deadline has passed by this much."""


class InFlightTasks:
    """Tasks that are at agents.

    Attributes:
        silent_seconds: An agent without a message for this long is probed.
        tasks: The tasks, by submission and index.
        counts: The number of tasks, by service.
    """

    def __init__(self, silent_seconds: float):
        self.silent_seconds = silent_seconds
        self.tasks: dict[tuple[bytes, int], Task] = {}
        self.counts: dict[str, int] = {}

    def count(self, service: str) -> int:
        """Return the number of tasks of a service that are at agents."""
        return self.counts.get(service, 0)

    def get(self, submission: bytes, index: int) -> Task | None:
        """Return a task if it is at an agent, otherwise ``None``."""
        return self.tasks.get((submission, index))

    def record_sent(self, task: Task, view: AgentView, now: float) -> None:
        """Record that a task was sent to an agent."""
        service = task.submission.service
        task.view = view
        task.boot = view.boot
        task.asked = False
        task.sent_at = now
        view.last_sent = now
        self.tasks[task.key] = task
        self.counts[service] = self.count(service) + 1
        view.in_flight[service] = view.own_tasks(service) + 1
        if task.job:
            view.own_jobs[service] = view.own_jobs.get(service, 0) + 1

    def record_ended(self, task: Task) -> None:
        """Record that a task is no longer at its agent."""
        service = task.submission.service
        del self.tasks[task.key]
        self.counts[service] -= 1
        task.view.in_flight[service] = max(0, task.view.own_tasks(service) - 1)
        if task.job:
            task.view.own_jobs[service] -= 1

    def sent_before_restart(self, view: AgentView) -> list[Task]:
        """Return the tasks that were sent to an agent's former process."""
        return [
            task
            for task in self.tasks.values()
            if task.view is view and task.boot != view.boot
        ]

    def mark_overdue(self, now: float) -> Iterator[Task]:
        """Mark and yield the tasks whose results are overdue.

        A marked task is not yielded again until its ``asked`` is reset.
        """
        for task in list(self.tasks.values()):
            overdue = now > task.submission.deadline + RESULT_GRACE_SECONDS
            silent = now - task.view.last_received_at > self.silent_seconds
            lost = silent and now - task.sent_at > self.silent_seconds
            if (overdue or lost) and not task.asked:
                task.asked = True
                yield task
