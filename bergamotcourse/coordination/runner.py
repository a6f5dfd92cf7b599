"""Runs admitted tasks on an agent's upstreams, within the limits of their slots."""

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

FIRST_SERVER_ERROR_STATUS = 500
HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
}
"""Header fields that belong to one connection (RFC 9110, section 7.6.1)."""


MIN_TIMEOUT_FACTOR = 2.0
"""Multiple of the usual run time from which a task that its deadline ended counts as a
failure of the upstream."""


@dataclass
class AdmittedTask:
    """One admitted task, waiting for a slot or running.

    Attributes:
        admitted: Time of admission, in seconds on the agent's clock.
        deadline: Seconds on the agent's clock.
        queue_item: Its item in the queue, while it waits.
        scope: Set once it runs; cancelling it aborts the request to the upstream.
    """

    start: Start
    entry: LinkAddress
    admitted: float
    deadline: float
    cancelled: bool = False
    queue_item: QueuedItem | None = None
    scope: trio.CancelScope | None = None


def result_without_response(
    start: Start, outcome: Outcome, detail: str, **flags: bool
) -> TaskResult:
    """Return a result without a response of an upstream.

    Args:
        start: The start that the result answers.
        outcome: Outcome of the task.
        detail: The reason, for people.
        flags: Reasons of a refusal, as fields of ``TaskResult``.
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
    """Starts waiting tasks as slots become free and reports each result once.

    Attributes:
        on_result: Called with a task and its result.
        on_slot_free: Called with an ended task whose slot no waiting task acquired.
        queues: Waiting tasks, by service.
        waiting_job_tasks: Number of job tasks that wait, by entry and service.
        by_submission: Number of tasks that wait or run, by submission.
        estimates: Estimated run times, by service.
        health: Health of the tasks, by service.
        running: Number of tasks at upstreams, by service.
        tasks: Tasks that wait or run, by submission and index.
        by_entry: Number of tasks that wait or run, by entry and service.
    """

    def __init__(
        self,
        timers: Timers,
        upstreams: UpstreamSet,
        on_result: Callable[[AdmittedTask, TaskResult], None],
    ):
        self.timers = timers
        self.upstreams = upstreams
        self.on_result = on_result
        self.on_slot_free: Callable[[AdmittedTask], None] = lambda _task: None
        self.nursery: trio.Nursery | None = None
        self.queues: dict[str, FairQueue[AdmittedTask]] = {}
        self.waiting_job_tasks: Counter[tuple[LinkAddress, str]] = Counter()
        self.by_submission: Counter[bytes] = Counter()
        self.estimates = RunEstimates()
        self.health = TaskHealth()
        self.running: dict[str, int] = {}
        self.tasks: dict[tuple[bytes, int], AdmittedTask] = {}
        self.by_entry: Counter[tuple[LinkAddress, str]] = Counter()

    async def run(self) -> None:
        """Run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    def waiting_count(self, service: str) -> int:
        """Return the number of tasks that wait for a slot."""
        queue = self.queues.get(service)
        return len(queue) if queue is not None else 0

    def waiting_job_count(self, service: str) -> int:
        """Return the number of tasks of jobs that wait for a slot."""
        queue = self.queues.get(service)
        return queue.jobs.size if queue is not None else 0

    def has_queue_room(self, service: str, job: bool, most: int) -> bool:
        """Return whether fewer than ``most`` tasks of this kind wait for a slot."""
        queue = self.queues.get(service)
        return queue is None or queue.of(job).size < most

    def has_free_slot(self, service: str) -> bool:
        """Return whether a task of a service would run at once."""
        return any(upstream.free_slots for upstream in self.upstreams.serving(service))

    def task_count_for(self, entry: LinkAddress, service: str) -> int:
        """Return the number of an entry's tasks of a service that wait or run."""
        return self.by_entry.get((entry, service), 0)

    def task_count(self) -> int:
        """Return the number of tasks that wait or run."""
        return len(self.tasks)

    def enqueue(self, task: AdmittedTask) -> None:
        """Queue an admitted task and start waiting tasks if slots are free."""
        service = task.start.service
        self.tasks[(task.start.submission, task.start.index)] = task
        self.by_entry[(task.entry, service)] += 1
        self.by_submission[task.start.submission] += 1
        queue = self.queues.setdefault(service, FairQueue())
        start = task.start
        urgency = (task.deadline,) if start.job else ()
        task.queue_item = queue.push(start.team, start.weight, task, start.job, urgency)
        if start.job:
            self.waiting_job_tasks[(task.entry, service)] += 1
        self.start_waiting(service)

    def start_waiting(self, service: str) -> None:
        """Start waiting tasks of a service while slots are free."""
        queue = self.queues.get(service)
        while queue and self.has_free_slot(service):
            task = queue.pop(self.estimates.mean_seconds(service))
            self._record_dequeued(task)
            if task.deadline <= self.timers.now():
                detail = "deadline passed in queue"
                self._finish_task(
                    task, result_without_response(task.start, Outcome.NOT_RUN, detail)
                )
                continue
            upstream = self.upstreams.acquire_slot(service)
            self.running[service] = self.running.get(service, 0) + 1
            self.nursery.start_soon(self._run_task, task, upstream)

    def cancel(self, submission: bytes, index: int) -> None:
        """Cancel a task.

        Its outcome is not run if it waits, and unknown if it is at an upstream.
        """
        task = self.tasks.get((submission, index))
        if task is None:
            return
        task.cancelled = True
        if task.scope is not None:
            task.scope.cancel()
        elif task.queue_item is not None:
            self.queues[task.start.service].remove(task.queue_item)
            self._record_dequeued(task)
            self._finish_task(
                task, result_without_response(task.start, Outcome.NOT_RUN, "cancelled")
            )

    def refuse_waiting(self, service: str, detail: str) -> None:
        """Refuse all waiting tasks of a service: their outcome is not run."""
        queue = self.queues.get(service)
        while queue:
            task = queue.pop()
            self._record_dequeued(task)
            self._finish_task(
                task, result_without_response(task.start, Outcome.NOT_RUN, detail)
            )

    def _record_dequeued(self, task: AdmittedTask) -> None:
        task.queue_item = None
        if task.start.job:
            self.waiting_job_tasks[(task.entry, task.start.service)] -= 1

    async def _run_task(self, task: AdmittedTask, upstream: Upstream) -> None:
        began = self.timers.now()
        result = result_without_response(
            task.start, Outcome.UNKNOWN, "cancelled while it ran"
        )
        try:
            with trio.CancelScope() as task.scope:
                if task.cancelled:
                    task.scope.cancel()
                timeout = max(0.0, task.deadline - began)
                request = upstream_request(task.start)
                response = await upstream.caller.request(request, timeout)
                result = result_from_exchange(task.start, response)
        finally:
            upstream.running -= 1
            self.running[task.start.service] -= 1
        run_ms = (self.timers.now() - began) * 1000
        wait_ms = (began - task.admitted) * 1000
        self._record_outcome(task, result, run_ms / 1000)
        self._finish_task(task, _with_times(result, run_ms, wait_ms))
        self.start_waiting(task.start.service)
        if self.has_free_slot(task.start.service):
            self.on_slot_free(task)

    def _record_outcome(
        self, task: AdmittedTask, result: TaskResult, run_seconds: float
    ) -> None:
        service = task.start.service
        match result.outcome:
            case Outcome.DONE:
                mean = self.estimates.mean_seconds(service)
                queues = self.queues[service].of(task.start.job)
                queues.charge(task.start.team, run_seconds - mean)
                self.estimates.of(service).add(run_seconds)
                self.health.record_done(service, run_seconds)
            case Outcome.UNKNOWN if (
                task.deadline <= self.timers.now()
                and run_seconds
                < MIN_TIMEOUT_FACTOR * self.estimates.mean_seconds(service)
            ):
                # Its caller's deadline was too short for a healthy upstream.
                pass
            case _ if not task.cancelled:
                self.health.record_failed(service)

    def _finish_task(self, task: AdmittedTask, result: TaskResult) -> None:
        self.tasks.pop((task.start.submission, task.start.index), None)
        submission = task.start.submission
        self.by_submission[submission] -= 1
        if not self.by_submission[submission]:
            del self.by_submission[submission]
        owner = (task.entry, task.start.service)
        self.by_entry[owner] -= 1
        if not self.by_entry[owner]:
            del self.by_entry[owner]
        self.on_result(task, result)


def upstream_request(start: Start) -> HttpRequest:
    """Return the request to send to the upstream."""
    headers = [
        (h.name, h.value) for h in start.headers if h.name not in HOP_BY_HOP_HEADERS
    ]
    return HttpRequest(start.method, start.target, headers, start.body)


def result_from_exchange(start: Start, response: Result) -> TaskResult:
    """Return the result that follows from an upstream's response or from an error."""
    match response:
        case Result(tag="ok", ok=answer):
            return _result_of_response(start, answer)
        case Result(error=error):
            not_run = error.sent is Sent.NOTHING
            outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
            return result_without_response(start, outcome, str(error))


def _result_of_response(start: Start, answer: HttpResponse) -> TaskResult:
    failed = answer.status >= FIRST_SERVER_ERROR_STATUS
    dropped = HOP_BY_HOP_HEADERS
    if start.method == "HEAD":
        # It describes the resource; there is no body whose length could be counted.
        dropped = dropped - {"content-length"}
    headers = [Header(n, v) for n, v in answer.headers if n not in dropped]
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


def _with_times(result: TaskResult, run_ms: float, wait_ms: float) -> TaskResult:
    return msgspec.structs.replace(
        result, run_ms=round(run_ms, 2), wait_ms=round(wait_ms, 2)
    )
