"""Dispatches tasks to agents and settles their outcomes.

A task is sent again only with proof that it did not run. A repeatable session request
is also sent again after an unknown outcome, within the retry budget.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from bergamotcourse.coordination.admission import Admission, Backlog, Refusal
from bergamotcourse.coordination.agents import AgentDirectory, AgentView
from bergamotcourse.coordination.cancel_batches import CancelBatcher
from bergamotcourse.coordination.estimates import RunEstimates
from bergamotcourse.coordination.in_flight_tasks import InFlightTasks
from bergamotcourse.coordination.quotas import Quotas
from bergamotcourse.coordination.retry_budget import RetryBudget
from bergamotcourse.coordination.routing import Router
from bergamotcourse.coordination.sender import Sender
from bergamotcourse.coordination.start_messages import StartOptions, start_message
from bergamotcourse.coordination.task_probes import (
    ProbeUnanswered,
    ResultRecovered,
    ResultUnavailable,
    StartNotReceived,
    StillRunning,
    TaskProber,
)
from bergamotcourse.coordination.tasks import Task, synthetic_result
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.waiting_tasks import WaitingTasks
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AnyMessage,
    CancelledTasks,
    Start,
    TaskResult,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.manifest import Manifest
from bergamotcourse.state.submission import Submission

SWEEP_SECONDS = 0.1
MAX_DISPATCHES = 20


@dataclass
class DispatchCounters:
    """Counters of a dispatcher, in status and metrics."""

    sent: int = 0
    retried: int = 0
    refused: int = 0
    late_results: int = 0
    asked: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class Dispatcher:
    """Queues tasks, sends them to agents, and settles their outcomes.

    Attributes:
        may_start: Returns whether a submission's grant is still valid; checked before
            each send.
        renew_grant: Called for a submission whose grant is no longer valid.
        fenced_out: Called for a submission whose range has a newer epoch.
        held: Tasks that wait for the renewal of their grant, by submission.
        in_flight: Tasks at agents, by key.
        on_sent: Called with each task that was sent.
        on_outcome: Called with the submission and each final outcome.
    """

    def __init__(
        self,
        mailer: Mailer,
        timers: Timers,
        directory: AgentDirectory,
        router: Router,
        may_start: Callable[[Submission], bool],
        renew_grant: Callable[[Submission], None],
        entries: Callable[[], int] = lambda: 1,
    ):
        self.mailer = mailer
        self.timers = timers
        self.directory = directory
        self.router = router
        self.decisions = router.decisions
        self.may_start = may_start
        self.renew_grant = renew_grant
        self.fenced_out: Callable[[Submission], None] = lambda _submission: None
        self.held: dict[bytes, list[Task]] = {}
        self.in_flight_tasks = InFlightTasks(directory.silent_seconds)
        self.in_flight = self.in_flight_tasks.tasks
        self.budget = RetryBudget()
        self.estimates = RunEstimates()
        self.entries = entries
        self.entry_count = 1
        self.quotas = Quotas(timers.now, lambda: self.entry_count)
        self.waiting = WaitingTasks(self.estimates, self.quotas)
        self.queues = self.waiting.queues
        self.admission = Admission(directory, self.estimates, self.quotas)
        self.sender = Sender(
            self.waiting, self.in_flight_tasks, router, timers, self._send
        )
        self.cancels = CancelBatcher(mailer)
        self.task_prober = TaskProber(mailer, timers)
        self.counters = DispatchCounters()
        self.nursery: trio.Nursery | None = None
        self.on_sent: Callable[[Task], None] = lambda _task: None
        self.on_outcome: Callable[[Submission, TaskResult], None] = (
            lambda _submission, _result: None
        )
        timers.every(SWEEP_SECONDS, "dispatch sweep", self._sweep)

    def run_in(self, nursery: trio.Nursery) -> None:
        """Use a nursery for background work: probes, cancellations and wake-ups."""
        self.nursery = nursery
        self.cancels.nursery = nursery
        self.sender.nursery = nursery

    def take_manifest(self, manifest: Manifest) -> None:
        """Apply a configuration."""
        self.decisions.apply_policy(manifest.policy)
        self.budget.share = manifest.policy.retry_budget
        self.quotas.take_manifest(manifest)
        for service in manifest.services:
            self.estimates.declare(service.name, service.declared_seconds)

    def submit(self, submission: Submission) -> Refusal | None:
        """Queue all tasks of a submission and send what can be sent.

        Returns:
            Why it was refused, or ``None``. The tasks of a refused submission are
            settled as not run.
        """
        now = self.timers.now()
        self.quotas.record_arrivals(submission.team, len(submission.tasks))
        refusal = self._check_admission(submission, now)
        if refusal is not None:
            self.counters.refused += 1
            self.abandon(submission, refusal.detail)
            return refusal
        for index in range(len(submission.tasks)):
            self._enqueue(Task(submission, index, now))
        self.pump(submission.service)
        return None

    def queued(self) -> int:
        """Return the number of tasks that wait at this entry."""
        return len(self.waiting.tasks)

    def cancel(self, submission: Submission) -> None:
        """Cancel a submission: settle queued tasks as not run, sent ones as unknown."""
        submission.cancelled = True
        self.held.pop(submission.id, None)
        sent: dict[LinkAddress, list[int]] = {}
        for index, result in enumerate(submission.results):
            if result is not None:
                continue
            task = self.in_flight_tasks.get(submission.id, index)
            if task is None:
                self._settle_not_run(submission, index, "cancelled")
                continue
            sent.setdefault(task.view.address, []).append(index)
            self._record_ended(task)
            detail = "cancelled after it was sent"
            self._settle(
                task, synthetic_result(submission, index, Outcome.UNKNOWN, detail)
            )
        for address, indices in sent.items():
            attempt = submission.grant.attempt
            cancelled = CancelledTasks(submission.id, attempt, indices)
            self.cancels.add(address, cancelled)

    def pump(self, service: str) -> None:
        """Send waiting tasks of a service while an agent has capacity."""
        self.sender.pump(service)

    def pump_all(self) -> None:
        """Send waiting tasks of every service while agents have capacity."""
        for service in list(self.queues):
            self.pump(service)

    def resume(self, submission: Submission) -> None:
        """Queue the held tasks of a submission after its grant was renewed."""
        for task in self.held.pop(submission.id, []):
            self._enqueue(task)
        self.pump(submission.service)

    def abandon(
        self,
        submission: Submission,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        """Settle the held and queued tasks of a submission with one outcome."""
        self.held.pop(submission.id, None)
        for index, result in enumerate(submission.results):
            if (
                result is None
                and self.in_flight_tasks.get(submission.id, index) is None
            ):
                synthetic = synthetic_result(submission, index, outcome, detail)
                self._settle_unsent(submission, synthetic)

    def adopt_results(self, submission: Submission, results: list[TaskResult]) -> None:
        """Settle held and queued tasks with the results of another claimant."""
        self.held.pop(submission.id, None)
        for result in results:
            known = submission.results[result.index] is not None
            if (
                not known
                and self.in_flight_tasks.get(submission.id, result.index) is None
            ):
                self._settle_unsent(submission, result)

    def handle_task_result(self, result: TaskResult) -> None:
        """Handle a result of an agent, or count it as late if it is not awaited."""
        task = self.in_flight_tasks.get(result.submission, result.index)
        if task is None or not self._is_current(task, result):
            self.counters.late_results += 1
            return
        self._record_ended(task)
        self._record_run_time(task, result)
        match result.outcome:
            case Outcome.NOT_RUN:
                self._handle_not_run(task, result)
            case Outcome.UNKNOWN:
                self._handle_unknown(task, result)
            case Outcome.DONE | Outcome.FAILED:
                self._settle(task, result)
        self.pump(task.submission.service)

    def handle_agent_report(self, view: AgentView) -> None:
        """Handle an agent's report: check its health and send what can be sent."""
        now = self.timers.now()
        for service in view.health:
            self.router.ejector.check_report(view, service, now)
        self.pump_all()

    def handle_unsent_messages(
        self, address: LinkAddress, messages: list[AnyMessage]
    ) -> None:
        """Retry at other agents the starts that were certainly not sent."""
        for message in messages:
            if not isinstance(message, Start):
                continue
            task = self.in_flight_tasks.get(message.submission, message.index)
            if task is not None and task.dispatches == message.dispatch:
                self._record_ended(task)
                task.avoided_agents.add(task.view.id)
                self._retry(task, f"{address} takes no messages")

    def handle_agent_restart(self, view: AgentView) -> None:
        """Handle as unknown the tasks that were sent to an agent's former process."""
        for task in self.in_flight_tasks.sent_before_restart(view):
            self._record_ended(task)
            self._handle_unknown(
                task, self._unknown_result(task, "the agent restarted")
            )

    def _check_admission(self, submission: Submission, now: float) -> Refusal | None:
        if not self.decisions.admission:
            return None
        service = submission.service
        backlog = Backlog(
            self.waiting.queue(service),
            sum(view.slots(service) for view in self.directory),
            self.in_flight_tasks.count(service),
            self.waiting.nonempty_since.get(service),
        )
        return self.admission.evaluate(submission, backlog, now)

    def _enqueue(self, task: Task) -> None:
        self.waiting.add(task, self.timers.now())

    def _send(self, task: Task, view: AgentView, options: StartOptions) -> None:
        submission = task.submission
        if not self.may_start(submission):
            self._hold_for_grant(task)
            return
        task.dispatches += 1
        start = start_message(task, view, options, self.timers.now())
        if not self.mailer.post(view.address, start):
            task.avoided_agents.add(view.id)
            self._retry(task, "the link's queue is full")
            return
        self.in_flight_tasks.record_sent(task, view, self.timers.now())
        self.quotas.record_start(submission.team)
        self.router.ejector.sent(view, submission.service)
        self.counters.sent += 1
        if task.dispatches == 1:
            self.budget.earn()
        self.on_sent(task)

    def _hold_for_grant(self, task: Task) -> None:
        """Hold a task until its submission's grant is renewed."""
        submission = task.submission
        held = self.held.setdefault(submission.id, [])
        held.append(task)
        if len(held) == 1:
            self.renew_grant(submission)

    def _is_current(self, task: Task, result: TaskResult) -> bool:
        if result.outcome in (Outcome.DONE, Outcome.FAILED):
            return True
        return result.dispatch == task.dispatches

    def _record_ended(self, task: Task) -> None:
        self.in_flight_tasks.record_ended(task)
        self.quotas.record_end(task.submission.team)

    def _record_run_time(self, task: Task, result: TaskResult) -> None:
        submission, now = task.submission, self.timers.now()
        service, team = submission.service, submission.team
        done = result.outcome is Outcome.DONE
        if result.outcome is not Outcome.NOT_RUN:
            self.router.ejector.record_result(task.view, service, done, now)
        if done and self.decisions.learn:
            seconds = result.run_ms / 1000
            queues = self.queues[service].of(task.job)
            queues.charge(team, seconds - self.estimates.mean_seconds(service))
            self.estimates.of(service).add(seconds)

    def _handle_not_run(self, task: Task, result: TaskResult) -> None:
        submission = task.submission
        if submission.cancelled:
            self._settle_not_run(submission, task.index, "cancelled")
        elif result.newer_epoch and self._may_redispatch(task):
            task.avoided_agents.add(task.view.id)
            self.fenced_out(submission)
            self._hold_for_grant(task)
        elif result.no_free_slot and self._may_redispatch(task):
            # Refusals are bounded: after the last one, a full agent queues the task.
            task.refusals += 1
            self._enqueue(task)
        elif result.stale_token and self._may_redispatch(task):
            self._enqueue(task)
        else:
            task.avoided_agents.add(task.view.id)
            self._retry(task, result.detail)

    def _may_redispatch(self, task: Task) -> bool:
        late = self.timers.now() >= task.submission.deadline
        return not late and task.dispatches < MAX_DISPATCHES

    def _retry(self, task: Task, detail: str) -> None:
        if not self._may_redispatch(task) or not self.budget.spend():
            self._settle_not_run(task.submission, task.index, detail)
            return
        self.counters.retried += 1
        self._enqueue(task)

    def _handle_unknown(self, task: Task, result: TaskResult) -> None:
        submission = task.submission
        early = self.timers.now() < submission.deadline
        if submission.repeatable and early and self.budget.spend():
            submission.may_have_run.add(task.index)
            task.avoided_agents.add(task.view.id)
            self.counters.retried += 1
            self._enqueue(task)
            self.pump(submission.service)
            return
        self._settle(task, result)

    def _settle_not_run(self, submission: Submission, index: int, detail: str) -> None:
        """Settle a task that is not in flight, as not run if that is proved.

        There is no proof once the grant is no longer valid, because another entry may
        have been granted the submission, nor if an earlier dispatch of a repeatable
        task has an unknown outcome. The task is settled as unknown then.
        """
        proved = self.may_start(submission) and index not in submission.may_have_run
        outcome = Outcome.NOT_RUN if proved else Outcome.UNKNOWN
        result = synthetic_result(submission, index, outcome, detail)
        self._settle_unsent(submission, result)

    def _settle_unsent(self, submission: Submission, result: TaskResult) -> None:
        task = self.waiting.tasks.get((submission.id, result.index))
        if task is not None:
            self.waiting.remove(task)
        self._finish(submission, result)

    def _settle(self, task: Task, result: TaskResult) -> None:
        self._finish(task.submission, result)

    def _finish(self, submission: Submission, result: TaskResult) -> None:
        name = result.outcome.value
        self.counters.outcomes[name] = self.counters.outcomes.get(name, 0) + 1
        self.on_outcome(submission, result)
        submission.finish(result.index, result)

    def _unknown_result(self, task: Task, detail: str) -> TaskResult:
        return synthetic_result(task.submission, task.index, Outcome.UNKNOWN, detail)

    async def _sweep(self) -> None:
        now = self.timers.now()
        self.entry_count = max(1, self.entries())
        self.router.ejector.entries = self.entry_count
        for task in self.in_flight_tasks.mark_overdue(now):
            self.nursery.start_soon(self._probe, task)
        self._drop_past_deadline(now)
        self.pump_all()

    def _drop_past_deadline(self, now: float) -> None:
        for task in self.waiting.past_deadline(now):
            if self.may_start(task.submission):
                detail = "the deadline passed in the queue"
                self._settle_not_run(task.submission, task.index, detail)
            else:
                self.waiting.remove(task)
                self._hold_for_grant(task)

    async def _probe(self, task: Task) -> None:
        self.counters.asked += 1
        dispatch = task.dispatches
        answer = await self.task_prober.probe(task)
        if self.in_flight.get(task.key) is not task or task.dispatches != dispatch:
            # Its result arrived during the probe; it may be at another agent by now.
            return
        match answer:
            case StillRunning():
                task.asked = False
                return
            case ResultRecovered(result=result):
                self.handle_task_result(result)
                return
        self._record_ended(task)
        match answer:
            case ProbeUnanswered():
                self._handle_unknown(
                    task, self._unknown_result(task, "the agent does not answer")
                )
            case ResultUnavailable():
                detail = "no result before the deadline"
                self._settle(task, self._unknown_result(task, detail))
            case StartNotReceived():
                task.avoided_agents.add(task.view.id)
                self._retry(task, "its start was lost")
        self.pump(task.submission.service)
