"""Runs admitted tasks on an agent's upstreams, within their slots."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from expression import Result

from bergamotcourse.coordination.estimates import RunEstimates
from bergamotcourse.coordination.fair_queue import FairQueue, QueuedItem
from bergamotcourse.coordination.task_health import TaskHealth
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.upstreams import Upstream, UpstreamSet
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import Header, Start, TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.transport.http import HttpRequest, HttpResponse, Sent

FIRST_SERVER_ERROR = 500
HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
}
"""Fields that belong to one connection (RFC 9110, section 7.6.1)."""


@dataclass
class RunningTask:
    """One admitted task, waiting for a slot or running.

    Attributes:
        deadline: Seconds on the agent's clock.
        waiting: Its place in the queue, while it waits.
        scope: Set once it runs; cancelling it ends the request to the upstream.
    """

    start: Start
    entry: LinkAddress
    admitted: float
    deadline: float
    cancelled: bool = False
    waiting: QueuedItem | None = None
    scope: trio.CancelScope | None = None


def result_of(start: Start, outcome: Outcome, detail: str, **flags: bool) -> TaskResult:
    """Return a result that has no response of an upstream.

    Args:
        start: The start that it answers.
        outcome: What became of the task.
        detail: One line for a person.
        flags: Why it was refused, as fields of ``TaskResult``.
    """
    return TaskResult(
        submission=start.submission,
        index=start.index,
        attempt=start.attempt,
        dispatch=start.dispatch,
        outcome=outcome,
        status=0,
        headers=[],
        body=b"",
        detail=detail,
        **flags,
    )


class TaskRunner:
    """Starts waiting tasks as slots get free and reports each result once.

    Attributes:
        finished: Called with the task and its result.
        freed: Called with a task whose slot nothing that waits here has taken.
        running: The number of tasks at upstreams, by service.
        jobs_waiting: The number of job tasks that wait, by entry and service.
        by_submission: The number of tasks here, by submission.
        health: How the tasks fare.
    """

    def __init__(
        self,
        timers: Timers,
        upstreams: UpstreamSet,
        finished: Callable[[RunningTask, TaskResult], None],
    ):
        self.timers = timers
        self.upstreams = upstreams
        self.finished = finished
        self.freed: Callable[[RunningTask], None] = lambda _task: None
        self.nursery: trio.Nursery | None = None
        self.queues: dict[str, FairQueue[RunningTask]] = {}
        self.jobs_waiting: Counter[tuple[LinkAddress, str]] = Counter()
        self.by_submission: Counter[bytes] = Counter()
        self.estimates = RunEstimates()
        self.health = TaskHealth()
        self.running: dict[str, int] = {}
        self.tasks: dict[tuple[bytes, int], RunningTask] = {}
        self.by_entry: Counter[tuple[LinkAddress, str]] = Counter()

    async def run(self) -> None:
        """Run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    def waiting(self, service: str) -> int:
        """Return the number of tasks that wait for a slot."""
        queue = self.queues.get(service)
        return len(queue) if queue is not None else 0

    def waiting_jobs(self, service: str) -> int:
        """Return the number of tasks of jobs that wait for a slot."""
        queue = self.queues.get(service)
        return queue.jobs.size if queue is not None else 0

    def has_room(self, service: str, job: bool, most: int) -> bool:
        """Return whether fewer than ``most`` tasks of its kind wait for a slot."""
        queue = self.queues.get(service)
        return queue is None or queue.of(job).size < most

    def has_free_slot(self, service: str) -> bool:
        """Return whether a task would run at once."""
        return any(upstream.free for upstream in self.upstreams.serving(service))

    def held_for(self, entry: LinkAddress, service: str) -> int:
        """Return the tasks of an entry that wait or run."""
        return self.by_entry.get((entry, service), 0)

    def busy(self) -> int:
        """Return the number of tasks waiting or running."""
        return len(self.tasks)

    def add(self, task: RunningTask) -> None:
        """Queue an admitted task and start what can start."""
        service = task.start.service
        self.tasks[(task.start.submission, task.start.index)] = task
        self.by_entry[(task.entry, service)] += 1
        self.by_submission[task.start.submission] += 1
        queue = self.queues.setdefault(service, FairQueue())
        start = task.start
        urgency = (task.deadline,) if start.job else ()
        task.waiting = queue.push(start.team, start.weight, task, start.job, urgency)
        if start.job:
            self.jobs_waiting[(task.entry, service)] += 1
        self.start_waiting(service)

    def start_waiting(self, service: str) -> None:
        """Start waiting tasks of a service while slots are free."""
        queue = self.queues.get(service)
        while queue and self.has_free_slot(service):
            task = queue.pop(self.estimates.mean_seconds(service))
            self._leave_queue(task)
            if task.deadline <= self.timers.now():
                detail = "deadline passed in queue"
                self._report(task, result_of(task.start, Outcome.NOT_RUN, detail))
                continue
            upstream = self.upstreams.take(service)
            self.running[service] = self.running.get(service, 0) + 1
            self.nursery.start_soon(self._run_task, task, upstream)

    def cancel(self, submission: bytes, index: int) -> None:
        """Cancel a task: in the queue it is not run, at the upstream unknown."""
        task = self.tasks.get((submission, index))
        if task is None:
            return
        task.cancelled = True
        if task.scope is not None:
            task.scope.cancel()
        elif task.waiting is not None:
            self.queues[task.start.service].remove(task.waiting)
            self._leave_queue(task)
            self._report(task, result_of(task.start, Outcome.NOT_RUN, "cancelled"))

    def refuse_waiting(self, service: str, detail: str) -> None:
        """Report all waiting tasks of a service as not run."""
        queue = self.queues.get(service)
        while queue:
            task = queue.pop()
            self._leave_queue(task)
            self._report(task, result_of(task.start, Outcome.NOT_RUN, detail))

    def _leave_queue(self, task: RunningTask) -> None:
        task.waiting = None
        if task.start.job:
            self.jobs_waiting[(task.entry, task.start.service)] -= 1

    async def _run_task(self, task: RunningTask, upstream: Upstream) -> None:
        began = self.timers.now()
        result = result_of(task.start, Outcome.UNKNOWN, "cancelled while it ran")
        try:
            with trio.CancelScope() as task.scope:
                if task.cancelled:
                    task.scope.cancel()
                timeout = max(0.0, task.deadline - began)
                request = upstream_request(task.start)
                response = await upstream.caller.request(request, timeout)
                result = task_result(task.start, response)
        finally:
            upstream.running -= 1
            self.running[task.start.service] -= 1
        run_ms = (self.timers.now() - began) * 1000
        wait_ms = (began - task.admitted) * 1000
        self._note(task, result, run_ms / 1000)
        self._report(task, _timed(result, run_ms, wait_ms))
        self.start_waiting(task.start.service)
        if self.has_free_slot(task.start.service):
            self.freed(task)

    def _note(self, task: RunningTask, result: TaskResult, run_seconds: float) -> None:
        service = task.start.service
        match result.outcome:
            case Outcome.DONE:
                mean = self.estimates.mean_seconds(service)
                queues = self.queues[service].of(task.start.job)
                queues.charge(task.start.team, run_seconds - mean)
                self.estimates.of(service).add(run_seconds)
                self.health.done(service, run_seconds)
            case _ if not task.cancelled:
                self.health.failed(service)

    def _report(self, task: RunningTask, result: TaskResult) -> None:
        self.tasks.pop((task.start.submission, task.start.index), None)
        submission = task.start.submission
        self.by_submission[submission] -= 1
        if not self.by_submission[submission]:
            del self.by_submission[submission]
        owner = (task.entry, task.start.service)
        self.by_entry[owner] -= 1
        if not self.by_entry[owner]:
            del self.by_entry[owner]
        self.finished(task, result)


def upstream_request(start: Start) -> HttpRequest:
    """Return the request that goes to the upstream."""
    headers = [(h.name, h.value) for h in start.headers if h.name not in HOP_BY_HOP]
    return HttpRequest(start.method, start.target, headers, start.body)


def task_result(start: Start, response: Result) -> TaskResult:
    """Return what an upstream's response, or the lack of one, means."""
    match response:
        case Result(tag="ok", ok=answer):
            return _answered(start, answer)
        case Result(error=error):
            not_run = error.sent is Sent.NOTHING
            outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
            return result_of(start, outcome, str(error))


def _answered(start: Start, answer: HttpResponse) -> TaskResult:
    failed = answer.status >= FIRST_SERVER_ERROR
    headers = [Header(n, v) for n, v in answer.headers if n not in HOP_BY_HOP]
    return TaskResult(
        submission=start.submission,
        index=start.index,
        attempt=start.attempt,
        dispatch=start.dispatch,
        outcome=Outcome.FAILED if failed else Outcome.DONE,
        status=answer.status,
        headers=headers,
        body=answer.body,
    )


def _timed(result: TaskResult, run_ms: float, wait_ms: float) -> TaskResult:
    return msgspec.structs.replace(
        result, run_ms=round(run_ms, 2), wait_ms=round(wait_ms, 2)
    )
