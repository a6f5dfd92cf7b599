"""Logs one request's steps through the processes, for a share of the requests.

All lines of a request carry one eliot task id: that of the caller's ``traceparent``
header (W3C Trace Context) or one that the entry makes. The level under it tells the
process: 1 is the entry, and 2, task and dispatch are an agent. Tasks that failed or
whose outcome is unknown are logged in any case.
"""

import random
import re

from eliot import Action, log_message

from bergamotcourse.coordination.dispatcher import Task
from bergamotcourse.protocol.messages import TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.submission import Submission, TaskRequest

TRACE_HEADER = "traceparent"
TRACE_PARENT = re.compile(r"[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}")
NO_TRACE = "0" * 32
"""Trace Context forbids it as an id."""

TRACE_BITS = 128
SPAN_BITS = 64
MOST_TRACES = 10_000
"""Of the requests that are open; a further one is not traced."""

ENTRY_LEVEL = "1"
ALWAYS_LOGGED = frozenset((Outcome.FAILED, Outcome.UNKNOWN))


class EntryTracer:
    """Logs the steps of requests at an entry.

    Attributes:
        share: Of the requests that are traced, from 0 to 1.
        actions: Of the traced requests that are open, by trace.
    """

    def __init__(self, rng: random.Random, share: float):
        self.rng = rng
        self.share = share
        self.actions: dict[str, Action] = {}

    def begin(self, submission: Submission) -> None:
        """Choose whether to trace a request, and log that it was received."""
        if not self.share or self.rng.random() >= self.share:
            return
        if len(self.actions) >= MOST_TRACES:
            return
        trace = self._trace_of(submission)
        if trace in self.actions:
            return
        submission.trace = trace
        self.actions[trace] = Action.continue_task(
            task_id=f"{trace}@/{ENTRY_LEVEL}",
            action_type="entry:request",
            submission=submission.id.hex(),
            kind=submission.kind.value,
            team=submission.team,
            service=submission.service,
            tasks=len(submission.tasks),
        )

    def granted(self, submission: Submission) -> None:
        """Log that the claim of a request was granted."""
        action = self.actions.get(submission.trace)
        if action is not None:
            grant = submission.grant
            action.log(
                "entry:claimed",
                range=grant.range,
                epoch=grant.epoch,
                attempt=grant.attempt,
            )

    def sent(self, task: Task) -> None:
        """Log that a task was sent."""
        action = self.actions.get(task.submission.trace)
        if action is not None:
            action.log(
                "entry:sent",
                index=task.index,
                dispatch=task.dispatches,
                agent=task.view.id,
            )

    def outcome(self, submission: Submission, result: TaskResult) -> None:
        """Log the final outcome of a task, if it is traced or went wrong."""
        action = self.actions.get(submission.trace)
        if action is not None:
            action.log("entry:result", **result_fields(result))
        elif result.outcome in ALWAYS_LOGGED:
            log_message("entry:result", **result_fields(result))

    def end(self, submission: Submission) -> None:
        """Log that the entry is done with a request, and forget it."""
        action = self.actions.pop(submission.trace, None)
        if action is not None:
            action.finish()

    def _trace_of(self, submission: Submission) -> str:
        """Return the caller's trace id, or a new one that the tasks carry on."""
        headers = submission.tasks[0].headers
        given = next((value for name, value in headers if name == TRACE_HEADER), "")
        found = TRACE_PARENT.fullmatch(given.strip())
        if found and found[1] != NO_TRACE:
            return found[1]
        trace = f"{self.rng.getrandbits(TRACE_BITS) or 1:032x}"
        for task in submission.tasks:
            _set_trace(task, f"00-{trace}-{self.rng.getrandbits(SPAN_BITS):016x}-01")
        return trace


def result_fields(result: TaskResult) -> dict[str, str | int | float]:
    """Return what is logged of a result."""
    return {
        "submission": result.submission.hex(),
        "index": result.index,
        "outcome": result.outcome.value,
        "status": result.status,
        "detail": result.detail,
        "wait_ms": result.wait_ms,
        "run_ms": result.run_ms,
    }


def _set_trace(task: TaskRequest, value: str) -> None:
    task.headers[:] = [(n, v) for n, v in task.headers if n != TRACE_HEADER]
    task.headers.append((TRACE_HEADER, value))
