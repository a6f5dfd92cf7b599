"""Logs the steps of tasks at an agent; ``tracing`` logs those at an entry."""

from eliot import Action, log_message

from bergamotcourse.coordination.agent import Agent
from bergamotcourse.coordination.runner import AdmittedTask
from bergamotcourse.coordination.tracing import ALWAYS_LOGGED, result_fields
from bergamotcourse.protocol.messages import TaskResult

AGENT_LEVEL = "2"


class AgentTracer:
    """Logs the steps of traced tasks at an agent, and the failures of all tasks.

    Attributes:
        actions: Actions of the traced tasks that wait or run, by submission and index.
    """

    def __init__(self, agent: Agent):
        self.agent = agent
        self.actions: dict[tuple[bytes, int], Action] = {}
        agent.on_started = self.log_started
        agent.on_finished = self.log_finished

    def log_started(self, task: AdmittedTask) -> None:
        """Log that a task was admitted."""
        start = task.start
        if not start.trace:
            return
        level = f"{AGENT_LEVEL}/{start.index + 1}/{start.dispatch}"
        self.actions[(start.submission, start.index)] = Action.continue_task(
            task_id=f"{start.trace}@/{level}",
            action_type="agent:task",
            agent=self.agent.location.id,
            submission=start.submission.hex(),
            index=start.index,
        )

    def log_finished(self, task: AdmittedTask, result: TaskResult) -> None:
        """Log a task's result if it is traced, or if it failed or is unknown."""
        fields = result_fields(result)
        action = self.actions.pop((task.start.submission, task.start.index), None)
        if action is not None:
            action.add_success_fields(**fields)
            action.finish()
        elif result.outcome in ALWAYS_LOGGED:
            log_message("agent:result", agent=self.agent.location.id, **fields)
