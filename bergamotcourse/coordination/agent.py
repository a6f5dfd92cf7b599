"""The agent: admits starts, runs the tasks on its upstreams and reports to entries."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from bergamotcourse.coordination.agent_reports import AgentLocation, AgentReports
from bergamotcourse.coordination.result_batches import (
    JOB_END_HOLD_SECONDS,
    MAX_HOLD_SECONDS,
    ResultBatches,
)
from bergamotcourse.coordination.runner import (
    AdmittedTask,
    TaskRunner,
    result_without_response,
)
from bergamotcourse.coordination.slot_calls import SlotNoticeRequests
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.upstreams import Upstream, UpstreamSet
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AnyMessage,
    Attach,
    Bar,
    BarReply,
    Cancel,
    CloseUpstreams,
    Detach,
    Fence,
    Start,
    StartLogReply,
    StartRecord,
    TaskResult,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.result_store import ResultStore
from bergamotcourse.state.start_log import Admission, StartLog

BOOT_BITS = 20
MAX_WAITING_JOB_TASKS = 512
"""Limit of job tasks that wait for a slot, by service. They have a queue of their own
and do not delay single requests."""

START_LOG_RETENTION_FACTOR = 1.25
"""The start log keeps starts longer than configured, because entries measure the
configured time on another clock."""

HEARTBEAT_CHECK_SHARE = 0.5
"""Period of the checks for due heartbeats, as a share of the heartbeat period. A
heartbeat is late by at most this share."""


@dataclass(frozen=True)
class AgentLimits:
    """Bounds of one agent.

    Attributes:
        token_seconds: Lifetime of a token, which entries must send with a start.
        start_log_seconds: Retention period of the start log.
        result_bytes: Limit of the results kept for retransmission to entries, in bytes.
        queue_tasks: Limit of tasks of single requests that wait for a slot, by service.
        heartbeat_seconds: Period of the heartbeats to attached entries.
        upstream_lease_seconds: Time within which an upstream must renew its
            announcement.
    """

    token_seconds: float = 5.0
    start_log_seconds: float = 600.0
    result_bytes: int = 16 << 20
    queue_tasks: int = 16
    heartbeat_seconds: float = 1.0
    upstream_lease_seconds: float = 5.0


@dataclass
class AgentCounters:
    """Counters of an agent since its start.

    Attributes:
        started: Admitted tasks.
        refused: Refused starts, by reason.
        results: Results of admitted tasks, by outcome.
    """

    started: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    results: dict[str, int] = field(default_factory=dict)


class Agent:
    """One agent beside its upstreams.

    Attributes:
        boot: Random number that identifies this process.
        started_ms: Start of the process, in milliseconds on the agent's clock.
        reports: Reports state and load to the attached entries.
        has_more_job_tasks: Whether an entry has more job tasks to send, by entry and
            service, as its last start said.
        slot_notices: Entries that requested a notice of a free slot.
        first: Whether the platform's table had no row of this identity at the start.
        on_state_change: Called before a changed state is reported.
        on_started: Called with each admitted task.
        on_finished: Called with each admitted task and its result.
    """

    def __init__(
        self,
        location: AgentLocation,
        limits: AgentLimits,
        mailer: Mailer,
        timers: Timers,
        rng: random.Random,
    ):
        self.location = location
        self.limits = limits
        self.mailer = mailer
        self.timers = timers
        self.boot = rng.getrandbits(BOOT_BITS) | 1
        self.started_ms = 0
        self.start_log = StartLog(
            self.boot,
            int(limits.token_seconds * 1000),
            int(limits.start_log_seconds * 1000 * START_LOG_RETENTION_FACTOR),
        )
        self.results = ResultStore(limits.result_bytes)
        self.upstreams = UpstreamSet(timers, limits.upstream_lease_seconds)
        self.runner = TaskRunner(timers, self.upstreams, self._handle_result)
        self.reports = AgentReports(
            location,
            self.boot,
            self.upstreams,
            self.start_log,
            mailer,
            timers,
            limits.heartbeat_seconds,
        )
        self.reports.load_of = self._load_counts
        self.reports.health_of = self.runner.health.report
        self.batches = ResultBatches(self._send_results)
        self.has_more_job_tasks: dict[tuple[LinkAddress, str], bool] = {}
        self.slot_notices = SlotNoticeRequests()
        self.runner.on_slot_free = self._notify_of_free_slot
        self.attachments = self.reports.attachments
        self.counters = AgentCounters()
        self.first = False
        self.on_state_change: Callable[[], None] = lambda: None
        self.on_started: Callable[[AdmittedTask], None] = lambda _task: None
        self.on_finished: Callable[[AdmittedTask, TaskResult], None] = (
            lambda _task, _result: None
        )
        mailer.handler = self.handle
        check = limits.heartbeat_seconds * HEARTBEAT_CHECK_SHARE
        timers.every(check, "agent heartbeat", self._send_heartbeats)

    @property
    def leaving(self) -> bool:
        """Whether the agent refuses new starts because of a planned stop."""
        return self.reports.leaving

    async def run(self) -> None:
        """Run tasks until cancelled."""
        self.started_ms = self.timers.now_ms()
        async with trio.open_nursery() as nursery:
            self.batches.nursery = nursery
            nursery.start_soon(self.runner.run)

    def handle(self, sender: LinkAddress, message: AnyMessage) -> None:
        """Handle one message of an entry."""
        self.reports.record_contact(sender)
        match message:
            case Start():
                self._handle_start(sender, message)
            case Cancel(tasks=cancelled):
                for one in cancelled:
                    for index in one.indices:
                        self.runner.cancel(one.submission, index)
            case Attach(entry=entry, known_state_number=known_state_number):
                self.reports.attach(entry, sender, known_state_number)
            case Detach():
                self.reports.detach(sender)
            case CloseUpstreams(version=version, upstreams=names):
                self._close_upstreams(ConfigVersion(version), names)
            case Fence():
                self._handle_fence(sender, message)
            case Bar():
                self._handle_bar(sender, message)

    def announce(self, upstream: Upstream) -> None:
        """Add or renew an announced upstream, and start tasks that wait for a slot."""
        self.upstreams.announce(upstream)
        self.runner.start_waiting(upstream.service)
        if self.reports.update_number():
            self.report_to_all()

    def mark_upstream_leaving(self, upstream: Upstream) -> None:
        """Start no new tasks on an upstream, and report this to the entries at once."""
        self.upstreams.mark_leaving(upstream.id)
        if not self.upstreams.serving(upstream.service):
            self.runner.refuse_waiting(upstream.service, "the upstream is leaving")
        self.report_to_all()

    def begin_leaving(self) -> None:
        """Refuse new starts and waiting tasks and report it; running tasks continue."""
        self.reports.leaving = True
        for service in list(self.runner.queues):
            self.runner.refuse_waiting(service, "the agent is leaving")
        self.report_to_all()

    def report_to_all(self) -> None:
        """Report this agent's state to all attached entries."""
        self.on_state_change()
        self.reports.report_to_all()

    def _close_upstreams(self, version: ConfigVersion, names: list[str]) -> None:
        """Close the named upstreams and refuse waiting tasks without an open one."""
        if not self.reports.close_upstreams(version, names):
            return
        for service in list(self.runner.queues):
            if not self.upstreams.serving(service):
                detail = f"the configuration closed all upstreams of {service}"
                self.runner.refuse_waiting(service, detail)
            self.runner.start_waiting(service)
        self.report_to_all()

    def _load_counts(
        self, service: str, entry: LinkAddress
    ) -> tuple[int, int, int, int]:
        return (
            self.runner.running.get(service, 0),
            self.runner.waiting_count(service),
            self.runner.task_count_for(entry, service),
            self.runner.waiting_job_count(service),
        )

    def _handle_start(self, sender: LinkAddress, start: Start) -> None:
        admission = self.start_log.admit(start, sender, self.timers.now_ms())
        match admission:
            case Admission.ADMITTED:
                # The log may have forgotten an earlier start, whose result is kept.
                self.results.discard(start.submission, start.index)
                self._admit_task(sender, start)
            case Admission.DUPLICATE:
                self._resend_result(sender, start)
            case Admission.ALREADY_STARTED:
                kept = self.results.get(start.submission, start.index)
                unknown = result_without_response(
                    start, Outcome.UNKNOWN, admission.value
                )
                result = msgspec.structs.replace(
                    kept or unknown, dispatch=start.dispatch
                )
                self.mailer.post(sender, result)
            case Admission.STALE_TOKEN:
                self._refuse(sender, start, admission.value, stale_token=True)
            case Admission.OLD_EPOCH:
                self._refuse(sender, start, admission.value, newer_epoch=True)
            case Admission.BARRED:
                self._refuse(sender, start, admission.value, barred=True)
            case Admission.EPOCHS_UNKNOWN | Admission.FULL | Admission.OTHER_REQUEST:
                self._refuse(sender, start, admission.value)

    def _refusal_reason(self, start: Start) -> str | None:
        if self.leaving:
            return "the agent is leaving"
        if not self.upstreams.serving(start.service):
            return f"no upstream serves {start.service}"
        return None

    def _is_full(self, start: Start) -> bool:
        if self.runner.has_free_slot(start.service):
            return False
        most = MAX_WAITING_JOB_TASKS if start.job else self.limits.queue_tasks
        room = self.runner.has_queue_room(start.service, start.job, most)
        return not (start.queue and room)

    def _admit_task(self, sender: LinkAddress, start: Start) -> None:
        now = self.timers.now()
        self.slot_notices.update(start.service, sender, start.wants_slots, now)
        if start.job:
            self.has_more_job_tasks[(sender, start.service)] = start.more_job_tasks
        refusal = self._refusal_reason(start)
        no_free_slot = refusal is None and self._is_full(start)
        if refusal is not None or no_free_slot:
            # The start was admitted first, so that the log recognises a late duplicate.
            self.start_log.withdraw(start.submission, start.index)
            self._refuse(
                sender, start, refusal or "no slot is free", no_free_slot=no_free_slot
            )
            return
        self.counters.started += 1
        deadline = now + start.timeout_ms / 1000
        task = AdmittedTask(start, sender, now, deadline)
        self.on_started(task)
        self.runner.enqueue(task)

    def _refuse(
        self, sender: LinkAddress, start: Start, why: str, **flags: bool
    ) -> None:
        self.counters.refused[why] = self.counters.refused.get(why, 0) + 1
        result = result_without_response(start, Outcome.NOT_RUN, why, **flags)
        self.batches.add(sender, result)

    def _resend_result(self, sender: LinkAddress, start: Start) -> None:
        kept = self.results.get(start.submission, start.index)
        if kept is not None:
            self.mailer.post(sender, kept)

    def _handle_result(self, task: AdmittedTask, result: TaskResult) -> None:
        start = task.start
        if result.outcome is Outcome.NOT_RUN:
            # The result is not kept: a later dispatch may start the task here.
            self.start_log.withdraw(start.submission, start.index)
        else:
            self.results.add(start.submission, start.index, result)
        name = result.outcome.value
        self.counters.results[name] = self.counters.results.get(name, 0) + 1
        self.on_finished(task, result)
        if task.cancelled:
            return
        self.batches.add(task.entry, result, self._hold_seconds(task))

    def _hold_seconds(self, task: AdmittedTask) -> float:
        """Return the seconds for which a result may be held for batching."""
        if not task.start.job:
            return 0.0
        owner = (task.entry, task.start.service)
        if self.runner.waiting_job_tasks[owner]:
            return MAX_HOLD_SECONDS
        last = not self.has_more_job_tasks.get(owner, True)
        others = self.runner.by_submission[task.start.submission]
        return JOB_END_HOLD_SECONDS if last and others else 0.0

    def _notify_of_free_slot(self, task: AdmittedTask) -> None:
        """Notify a waiting entry of a slot that a task of another entry has freed."""
        now = self.timers.now()
        entry = self.slot_notices.pop_next(task.start.service, task.entry, now)
        if entry is not None:
            self.reports.report_to(entry)

    def _send_results(self, entry: LinkAddress, results: list[TaskResult]) -> None:
        # A changed state is sent before the results, because the entry dispatches by it
        # when it receives them.
        load = self.reports.load_for_result(entry)
        last = msgspec.structs.replace(results[-1], load=load)
        for result in [*results[:-1], last]:
            self.mailer.post(entry, result)

    def _handle_fence(self, sender: LinkAddress, fence: Fence) -> None:
        for range_id, epoch in fence.ranges:
            self.start_log.fence(range_id, epoch)
        now_ms = self.timers.now_ms()
        ranges = {range_id for range_id, _ in fence.ranges}
        records = [
            StartRecord(
                submission, s.range, s.attempt, now_ms - s.at_ms, s.claimant, s.digest
            )
            for submission, s in self.start_log.submissions_started_in(ranges)
        ]
        uptime_ms, first = self._start_log_coverage(now_ms)
        reply = StartLogReply(
            fence.id, self.location.id, self.boot, uptime_ms, first, records
        )
        self.mailer.post(sender, reply)

    def _handle_bar(self, sender: LinkAddress, bar: Bar) -> None:
        now_ms = self.timers.now_ms()
        started = self.start_log.bar(bar.submission, bar.attempt, now_ms)
        kept = [self.results.get(bar.submission, index) for index in started]
        uptime_ms, first = self._start_log_coverage(now_ms)
        reply = BarReply(
            request_id=bar.id,
            agent=self.location.id,
            boot=self.boot,
            uptime_ms=uptime_ms,
            first=first,
            started=started,
            results=[result for result in kept if result is not None],
            running=[i for i in started if (bar.submission, i) in self.runner.tasks],
            digest=self.start_log.digest(bar.submission),
        )
        self.mailer.post(sender, reply)

    def _start_log_coverage(self, now_ms: int) -> tuple[int, bool]:
        """Return the milliseconds covered by the start log, and whether it is complete.

        It is complete if it covers all starts that this identity ever admitted.
        """
        uptime_ms = now_ms - self.started_ms
        memory_ms = self.start_log.coverage_ms(uptime_ms)
        return memory_ms, self.first and memory_ms == uptime_ms

    async def _send_heartbeats(self) -> None:
        self.upstreams.expire()
        if self.reports.update_number():
            self.report_to_all()
        self.reports.send_heartbeats()
