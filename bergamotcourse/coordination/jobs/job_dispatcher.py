"""The entry's job dispatcher: admits jobs, places their tasks, returns outcomes."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.admission_forecast import AdmissionForecast
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.agent_links import AgentLinks, PlacementCandidates
from bergamotcourse.coordination.jobs.job_order import (
    dispatch_order_key,
    immediate_refusal,
)
from bergamotcourse.coordination.jobs.job_records import JobRecords
from bergamotcourse.coordination.jobs.job_run import (
    Call,
    JobAnswer,
    JobOutcome,
    JobRun,
    TaskRun,
    TaskState,
)
from bergamotcourse.coordination.jobs.paced_call import PacedCall
from bergamotcourse.coordination.jobs.placement import (
    PlacementRequest,
    can_accept_task,
    choose_in_contact,
    choose_without_contact,
)
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.rack_demand import RackDemand
from bergamotcourse.coordination.jobs.retry_advice import RetryAdvice
from bergamotcourse.coordination.jobs.speed_placement import SpeedRound, SpeedTable
from bergamotcourse.coordination.jobs.withdrawn_runs import WithdrawnRuns
from bergamotcourse.coordination.jobs.work_estimates import WorkEstimates
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import NO_LIFE, ServiceName
from bergamotcourse.protocol.task_messages import (
    NEVER_STARTED_OUTCOMES,
    PlaceTask,
    RunOutcome,
    TaskEnded,
)
from bergamotcourse.state.job_spec import JobKey, JobQueue, JobSpec, job_id_of_task
from bergamotcourse.state.node_settings import REMOTE_FACTOR

RESPONSE_MARGIN_SECONDS = 0.06
"""Part of a caller's timeout that is reserved for sending the response."""

NEVER = float("inf")

AGENT_QUEUE_TIMEOUT_MS = 15
"""How long an agent may queue a run that has no room there before it returns the run.
Two entries may have counted on the same room, and another agent may have some."""

MAX_BLOCKED_JOBS = 4
"""Waiting jobs that may find no room before a placement round ends. Agents without room
for the tasks of one job may have room for smaller ones, or for those with data in
another rack."""

CANCELLED_WHY = "cancelled by its caller"

UNHANDLED_END_WHY = "the end of a task could not be handled"

NO_ROOM_RETRY_SECONDS = 1.0
"""``Retry-After`` of a job that is refused because no agent had room in time."""


def never_abandoned() -> bool:
    """Return false, for a caller that does not disconnect."""
    return False


class JobDispatcher:
    """Admits jobs, places their tasks on agents and determines each job's outcome.

    Attributes:
        records: The jobs that are known here.
        jobs: Admitted jobs that still have callers, by id. The next call for a job
            replaces it if it has an outcome that concerns only the earlier calls.
        waiting: Jobs with tasks that are ready to be placed.
        speeds: Speeds of the agents.
        delayed: Tasks that are placed again after a delay.
        withdrawn: Runs that were withdrawn and may not have ended yet.
        outcomes: Number of jobs by outcome.
        had_waiting_jobs: Jobs were still waiting after the last placement round.
        ends_at: Time at which this entry exits, once a planned stop has begun.
        remote_factor: Run time of a task outside the rack with its data, as a multiple
            of its run time inside.
        forecast: Forecast of when waiting jobs are placed.
        placement_round: Places waiting jobs when something may have made room.
    """

    def __init__(
        self,
        zone: str,
        links: AgentLinks,
        timers: Timers,
        log: EventLog,
        policy: JobPolicy | None = None,
        remote_factor: float = REMOTE_FACTOR,
        rng: random.Random | None = None,
    ):
        self.policy = policy or JobPolicy()
        self.remote_factor = remote_factor
        self.rack_demand = RackDemand()
        self.zone = zone
        self.links = links
        self.timers = timers
        self.log = log
        self.records = JobRecords(timers)
        self.jobs = self.records.jobs
        self.waiting: list[JobRun] = []
        self.delayed: list[TaskRun] = []
        self.withdrawn = WithdrawnRuns()
        self.estimates = WorkEstimates()
        self.speeds = SpeedTable(log, self.policy.weighs_speed)
        self.outcomes: Counter[JobOutcome] = Counter()
        self.had_waiting_jobs = False
        self.started_at = timers.now()
        self.ends_at = NEVER
        self.forecast = AdmissionForecast(
            self.started_at, RetryAdvice(rng or random.Random())
        )
        links.on_run_ended = self.handle_run_outcome
        links.on_late_end = self.handle_late_end
        # A round examines all waiting jobs and agents, and takes many times as long as
        # the message or the job that requests it. One round for each of them would use
        # up the processor as soon as jobs wait.
        self.placement_round = PacedCall(self.place_waiting_jobs, timers.now)
        links.on_outcomes_reported = self.placement_round.request
        links.on_room_reported = self.handle_agent_load
        links.is_waiting = self.is_waiting
        links.on_tick = self.handle_tick
        links.on_contact_resumed = self.handle_contact_resumed

    async def run(self) -> None:
        """Run the delayed placement rounds until cancelled."""
        await self.placement_round.run()

    def is_waiting(self) -> bool:
        """Return whether jobs have tasks that wait for room."""
        return bool(self.waiting)

    def pending_jobs(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task can have started."""
        return sum(
            job.queue.name == queue and job.outcome is None and not job.may_have_run
            for job in self.jobs.values()
        )

    async def submit(
        self,
        spec: JobSpec,
        queue: JobQueue,
        seconds: float,
        is_abandoned: Callable[[], bool] = never_abandoned,
    ) -> JobAnswer:
        """Run a job until it has an outcome.

        A job whose id is already known is not admitted again; the call waits for the
        outcome of the known job. A job that has succeeded or failed, or was cancelled,
        is not run again. Any other outcome concerns only the earlier calls, and a
        further one runs the job anew. When the last call for a job is cancelled, the
        job is withdrawn.

        Args:
            spec: The job.
            queue: Its queue.
            seconds: Seconds for which the caller waits for the response.
            is_abandoned: Returns whether the caller has disconnected. The caller is
                connected at the time of this call.

        Returns:
            The outcome of the job, or that the time of this call is over while the job
            goes on for others.
        """
        job = self.jobs.get(spec.id)
        if job is not None and job.may_be_joined() and job.is_of(spec, queue):
            self._log_joined(job)
        elif (former := self._former_answer(spec, queue)) is not None:
            return former
        else:
            job = self._admit(spec, queue, seconds)
        call = Call(is_abandoned)
        job.calls.append(call)
        try:
            answer = await self._await_outcome(
                job, call, seconds - RESPONSE_MARGIN_SECONDS
            )
        finally:
            job.calls.remove(call)
            if not job.calls:
                self._remove_job(job)
        if answer.outcome in (JobOutcome.REFUSED, JobOutcome.TIMED_OUT):
            # It may have ended at another entry, which has announced it since.
            ended = self.records.ended_outcome(spec, queue)
            return JobAnswer(ended) if ended is not None else answer
        return answer

    def cancel(self, key: JobKey) -> bool:
        """Cancel a job, also one that has yet to come.

        A job that has succeeded or failed is not cancelled.

        Returns:
            Whether the job has callers here, or had some when it was cancelled before.
        """
        self.records.record_cancellation(key)
        job = self.records.find(key)
        if job is None:
            return self.records.is_cancelled_here(key)
        job.finish(JobOutcome.CANCELLED, CANCELLED_WHY)
        self._withdraw_tasks(job)
        return True

    def abandon_all_jobs(self, why: str) -> None:
        """Set an outcome for every job without one, before this process exits.

        Jobs that may have run time out; all others are refused.
        """
        for job in list(self.jobs.values()):
            if job.may_have_run:
                job.finish(JobOutcome.TIMED_OUT, why)
            else:
                self._refuse(job, why)

    def place_waiting_jobs(self) -> None:
        """Place tasks of waiting jobs on agents with room, in dispatch order.

        Then refuse the jobs that have waited too long.
        """
        # A job with an outcome stays in the list until the task of its caller runs.
        # Placing it would start a job that is reported to its caller as not run.
        self.waiting = [job for job in self.waiting if job.outcome is None]
        if not self.waiting:
            return
        now = self.timers.now()
        self.speeds.update(self.links.links.values(), now)
        self.forecast.advance(self.had_waiting_jobs, now)
        choices = self.links.placement_candidates()
        speeds = SpeedRound(self.speeds, now)
        if self.policy.puts_urgent_first:
            self.waiting.sort(key=lambda job: dispatch_order_key(job, now))
        blocked = 0
        for job in list(self.waiting):
            if not self.links.may_send():
                # Acknowledgements that make room also start the next round.
                break
            blocked += not self._place_pending_tasks(job, choices, speeds, now)
            if blocked > MAX_BLOCKED_JOBS:
                break
        # Not before the placement: a job whose run was returned by an agent may have
        # found room on another one just now.
        for job in list(self.waiting):
            self._refuse_if_placement_overdue(job)
        if self.policy.forecasts_admission:
            self._refuse_by_forecast(choices, now)
        if self.waiting and not self.had_waiting_jobs:
            self.links.notify_all_agents()
        self.had_waiting_jobs = bool(self.waiting)

    def handle_tick(self) -> None:
        """Update the forecast, and place the tasks whose delay has ended."""
        now = self.timers.now()
        self.forecast.advance(self.had_waiting_jobs, now)
        self._update_overload(now)
        self.release_delayed_tasks()

    def release_delayed_tasks(self) -> None:
        """Place the tasks whose delay has ended."""
        now = self.timers.now()
        delayed, self.delayed = self.delayed, []
        for task in delayed:
            if task.state is not TaskState.DELAYED:
                continue
            if task.interruptions.delayed_until() > now:
                self.delayed.append(task)
                continue
            task.state = TaskState.PENDING
            if task.job not in self.waiting:
                self.waiting.append(task.job)
        if len(self.delayed) < len(delayed):
            self.place_waiting_jobs()

    def handle_agent_load(self, link: AgentLink) -> None:
        """Place waiting jobs if an agent that has reported its load has free CPU.

        The check avoids examining all agents for each message of any agent.
        """
        if self.waiting and link.room.capacity.cpu > link.load_cpu():
            self.placement_round.request()

    def handle_contact_resumed(self, link: AgentLink) -> None:
        """Withdraw the runs of disconnected callers at an agent that was silent.

        Runs that were placed before the silence may be held there, and start with the
        next echo.
        """
        for job in {task.job for task in link.placed.values()}:
            self._cancel_if_abandoned(job)

    def handle_evacuations(self) -> None:
        """Notify agents of evacuations; refuse jobs that no remaining zone can run."""
        self.links.notify_all_agents()
        for job in self.waiting:
            if not job.may_have_run:
                self._refuse_if_unservable(job, NEVER)
        self.place_waiting_jobs()

    def handle_run_outcome(
        self, task: TaskRun, link: AgentLink, ended: TaskEnded
    ) -> None:
        """Apply the outcome of a run to its task and job.

        An exception ends the job, since what it left undone isn't known: the task may
        be neither running nor waiting, or a run of it may be missing from a count.
        """
        try:
            self._apply_run_outcome(task, link, ended)
        except Exception:
            task.job.finish(JobOutcome.TIMED_OUT, UNHANDLED_END_WHY)
            raise

    def _apply_run_outcome(
        self, task: TaskRun, link: AgentLink, ended: TaskEnded
    ) -> None:
        job = task.job
        self.withdrawn.record_end(task, ended.key.number)
        if ended.outcome in NEVER_STARTED_OUTCOMES:
            job.possible_runs -= 1
            task.agents.pop(ended.key.number, None)
            if ended.starts_paused:
                task.start_pauses[link.name] = self.timers.now()
        is_current = task.state is TaskState.PLACED and task.key == ended.key
        if job.outcome is not None or task.state is TaskState.DONE:
            return
        if ended.outcome is RunOutcome.DONE:
            self.forecast.rate(job.queue.service).record_run_time(ended.run_seconds)
            if self.policy.learns_estimates:
                declared = task.spec.estimate * self._remote_factor_of(task)
                declared *= self.speeds.relative_slowness(link, self.timers.now())
                self.estimates.record_run_time(
                    job.queue.name, declared, ended.run_seconds
                )
            self._complete_task(job, task)
            return
        if ended.interrupted != NO_LIFE:
            # Shows neither that the task has failed, nor whose fault it was.
            task.avoid.add(link.name)
            task.interruptions.add(link, ended, self.timers.now())
        match ended.outcome:
            case RunOutcome.FAILED:
                task.agents.pop(ended.key.number, None)
                task.avoid.add(link.name)
                self._record_failure(job, task)
                if job.outcome is not None:
                    return
            case RunOutcome.MOVED | RunOutcome.CRASHED:
                task.avoid.add(link.name)
        if is_current:
            self._requeue_task(job, task, ended)

    def handle_late_end(self, link: AgentLink, ended: TaskEnded) -> None:
        """Apply the end of a run that had been taken for lost.

        All work of that run is over, so the task may complete while a later run of it
        is waiting, on its way or in progress; that run is withdrawn.
        """
        job = self.jobs.get(job_id_of_task(ended.key.task))
        if job is None or job.outcome is not None:
            return
        task = job.task(ended.key.task)
        if task is None or task.state is TaskState.DONE:
            return
        if task.agents.pop(ended.key.number, None) != link.name:
            # The run was placed for an earlier job with this id.
            return
        self.log.write(
            "task.end_late",
            request=job.spec.id,
            task=task.name,
            run=ended.key.number,
            outcome=ended.outcome.value,
            last_run=task.number,
            was=task.state.value,
        )
        if ended.outcome is RunOutcome.DONE:
            self._complete_task(job, task)
        else:
            self._record_failure(job, task)

    def _record_failure(self, job: JobRun, task: TaskRun) -> None:
        task.failures += 1
        if task.failures >= job.queue.max_attempts:
            why = f"{task.name} failed {task.failures} times"
            job.finish(JobOutcome.FAILED, why)

    # Admission and outcomes of jobs.

    def _admit(self, spec: JobSpec, queue: JobQueue, seconds: float) -> JobRun:
        factor = self.estimates.factor(queue.name)
        former = self.jobs.get(spec.id)
        if former is not None:
            self._withdraw_tasks(former)
        job = JobRun(spec, queue, self.timers.now(), factor)
        self.withdrawn.continue_numbers(job)
        self.jobs[spec.id] = job
        self.waiting.append(job)
        for step in spec.steps:
            if step.data_rack:
                self.rack_demand.record_request(step.data_rack, job.arrived)
        self.log.write(
            "job.taken",
            request=spec.id,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=round(job.objective * 1000),
            waits_ms=round(seconds * 1000),
            former=former.outcome.value if former and former.outcome else "",
        )
        self._refuse_if_unservable(job, min(seconds, self.ends_at - job.arrived))
        if job.outcome is None:
            self.placement_round.request()
        return job

    def _former_answer(self, spec: JobSpec, queue: JobQueue) -> JobAnswer | None:
        """Return the answer to a job that has ended or was cancelled before."""
        outcome = self.records.ended_outcome(spec, queue)
        if outcome is None and self.records.is_cancelled(queue.key(spec.id)):
            outcome = JobOutcome.CANCELLED
        if outcome is None:
            return None
        self.log.write("job.ended_before", request=spec.id, outcome=outcome.value)
        return JobAnswer(outcome, "it has ended before")

    def _log_joined(self, job: JobRun) -> None:
        self.log.write(
            "job.joined",
            request=job.spec.id,
            calls=len(job.calls),
            outcome=job.outcome.value if job.outcome else "",
            age_ms=round((self.timers.now() - job.arrived) * 1000),
        )

    def _refuse_if_unservable(self, job: JobRun, seconds_left: float) -> None:
        """Refuse a job that certainly cannot be served.

        Args:
            job: A job of which no task can have started.
            seconds_left: Seconds until its caller times out or this entry exits.
        """
        entry_age = self.timers.now() - self.started_at
        refusal = immediate_refusal(
            job, self.links.available_agents(), entry_age, seconds_left
        )
        if refusal is not None:
            job.retry_after = refusal.retry_after
            self._refuse(job, refusal.why)

    async def _await_outcome(
        self, job: JobRun, call: Call, seconds: float
    ) -> JobAnswer:
        now = self.timers.now()
        outcome_deadline = min(now + seconds, job.abandon_at)
        placement_deadline = min(job.placement_deadline, outcome_deadline)
        with trio.move_on_after(max(0.0, placement_deadline - now)):
            await job.finished.wait()
        self._refuse_if_placement_overdue(job)
        with trio.move_on_after(max(0.0, outcome_deadline - self.timers.now())):
            await job.finished.wait()
        if job.outcome is None:
            why = "not done in time"
            if self.timers.now() < job.abandon_at and job.is_awaited_by_others(call):
                return JobAnswer(JobOutcome.TIMED_OUT, why)
            job.finish(JobOutcome.TIMED_OUT, why)
        return job.answer()

    def _refuse_if_placement_overdue(self, job: JobRun) -> None:
        """Refuse a job past its placement deadline if no task can have started."""
        if not job.may_have_run and self.timers.now() >= job.placement_deadline:
            self._refuse_for_lack_of_room(job, "no room in time")

    def _refuse_by_forecast(self, choices: PlacementCandidates, now: float) -> None:
        """Refuse the waiting jobs that cannot be placed in time, and admit the others.

        Args:
            choices: The agents at which tasks may be placed, after this round.
            now: The time.
        """
        waiting = [job for job in self.waiting if job.outcome is None]
        # Summed over all agents, so not for each arriving job that is placed at once.
        running_cpu = self._running_cpu() if waiting else {}
        refused = self.forecast.review(
            waiting, running_cpu, now, lambda job: has_room_for(job, choices)
        )
        for job, forecast in refused:
            self._refuse_for_lack_of_room(job, "no room in time, by the forecast")
            self.log.write(
                "admission.refused",
                request=job.spec.id,
                queue=job.queue.name,
                forecast_ms=round(forecast.wait * 1000),
                limit_ms=round(forecast.limit * 1000),
                ahead_cpu=forecast.ahead_cpu,
                rate_cpu=round(forecast.rate_cpu),
                retry_after=job.retry_after,
            )
        self._update_overload(now)

    def _refuse_for_lack_of_room(self, job: JobRun, why: str) -> None:
        if job.outcome is None and self.policy.forecasts_admission:
            cpu = self._running_cpu().get(job.queue.service, 0)
            retry_after = self.forecast.retry_after(job, cpu, self.timers.now())
            job.retry_after = max(job.retry_after, retry_after)
        job.retry_after = max(job.retry_after, NO_ROOM_RETRY_SECONDS)
        self._refuse(job, why)

    def _refuse(self, job: JobRun, why: str) -> None:
        """Refuse a job, or let it time out while a withdrawn run of it may go on."""
        may_run = self.withdrawn.has_run_of(job.spec.id)
        job.finish(JobOutcome.TIMED_OUT if may_run else JobOutcome.REFUSED, why)

    def _running_cpu(self) -> Counter[ServiceName]:
        """Return the CPU of this entry's tasks at all agents, by service."""
        running: Counter[ServiceName] = Counter()
        for link in self.links.links.values():
            if link.room is not None:
                running[link.room.service] += link.placed_needs.cpu
        return running

    def _update_overload(self, now: float) -> None:
        """Log the start or the end of an overload."""
        if not self.forecast.update_overload(bool(self.waiting), now):
            return
        is_overloaded = self.forecast.is_overloaded
        kind = "admission.overloaded" if is_overloaded else "admission.recovered"
        self.log.write(kind, waiting=len(self.waiting))

    def _cancel_if_abandoned(self, job: JobRun) -> bool:
        """Cancel a job if all its callers have disconnected; return whether it was.

        The server notices a disconnect later, and much later after a pause of this
        process.
        """
        if job.outcome is not None or not job.is_abandoned():
            return False
        job.finish(JobOutcome.CANCELLED, "its caller has disconnected")
        self._withdraw_tasks(job)
        return True

    def _remove_job(self, job: JobRun) -> None:
        """Remove a job that has no callers left, and withdraw its placed tasks."""
        job.finish(JobOutcome.CANCELLED, "its caller has gone")
        self.records.remove(job)
        self.outcomes[job.outcome] += 1
        self.log.write(
            "job.settled",
            request=job.spec.id,
            outcome=job.outcome.value,
            why=job.why,
            took_ms=round((self.timers.now() - job.arrived) * 1000),
        )
        self._withdraw_tasks(job)

    def _withdraw_tasks(self, job: JobRun) -> None:
        if job in self.waiting:
            self.waiting.remove(job)
        self.delayed = [task for task in self.delayed if task.job is not job]
        for task in job.tasks:
            if task.state is TaskState.PLACED:
                task.state = TaskState.DONE
                self._withdraw_run(task)

    def _withdraw_run(self, task: TaskRun) -> None:
        """Withdraw the last run of a task, unless its end has been reported."""
        if task.key in task.link.placed:
            self.withdrawn.add(task)
            self.links.withdraw(task.link, task.key)

    # Placement and outcomes of tasks.

    def _place_pending_tasks(
        self, job: JobRun, choices: PlacementCandidates, speeds: SpeedRound, now: float
    ) -> bool:
        """Place the pending tasks of a job; return false once one finds no room.

        A caller that has disconnected may have sent the job to another entry, which
        runs it. So a job without callers is cancelled instead.
        """
        link = None
        for task in filter(self.withdrawn.may_start, job.pending_tasks()):
            is_first = link is None
            link = self._choose_agent(job, task, choices, speeds, now, link)
            if link is None:
                return False
            if is_first and self._cancel_if_abandoned(job):
                return True
            self._place_task(job, task, link, now)
        if not job.pending_tasks():
            self.waiting.remove(job)
        return True

    def _choose_agent(
        self,
        job: JobRun,
        task: TaskRun,
        choices: PlacementCandidates,
        speeds: SpeedRound,
        now: float,
        previous: AgentLink | None,
    ) -> AgentLink | None:
        """Return the agent to place a task on, or ``None`` if none has room.

        Args:
            job: The job.
            task: Its task.
            choices: The agents on which it may be placed.
            speeds: Their speeds.
            now: The time.
            previous: The agent on which the previous task of the job was placed in this
                round.
        """
        excluded = task.agents_with_paused_starts(now)
        request = PlacementRequest(
            service=job.queue.service,
            step=task.spec,
            avoid=excluded.union(task.avoid),
            excluded=excluded,
            zone=self.zone,
            reserved=self.rack_demand.racks_in_demand(now),
            slowness=speeds.slowness_for(
                job.queue.service, task.spec.data_rack, self.remote_factor
            ),
        )
        local_rack = task.spec.data_rack if self.policy.places_near_data else ""
        local_request = replace(request, rack=local_rack) if local_rack else request
        if (
            self.policy.keeps_jobs_together
            and previous
            and can_accept_task(previous, local_request)
        ):
            # One message then carries both tasks, and the payload only once.
            return previous
        link = self._choose_retrying_avoided(local_request, choices)
        if not local_rack:
            return link
        if link is None and job.may_run_remotely(now, self.remote_factor):
            link = self._choose_retrying_avoided(request, choices)
        return link

    def _choose_retrying_avoided(
        self, request: PlacementRequest, choices: PlacementCandidates
    ) -> AgentLink | None:
        link = self._choose_by_group(request, choices)
        if link is None and request.avoid != request.excluded:
            # All other agents lack room or have failed the task as well.
            request = replace(request, avoid=request.excluded)
            link = self._choose_by_group(request, choices)
        return link

    def _choose_by_group(
        self, request: PlacementRequest, choices: PlacementCandidates
    ) -> AgentLink | None:
        for in_contact, without_contact in choices.by_preference():
            link = choose_in_contact(in_contact, request)
            if link is not None:
                return link
            link = choose_without_contact(without_contact, request)
            if link is not None:
                # The next tasks share the message exchange that establishes contact.
                without_contact.remove(link)
                in_contact.append(link)
                return link
        return None

    def _place_task(
        self, job: JobRun, task: TaskRun, link: AgentLink, now: float
    ) -> None:
        task.number += 1
        task.state = TaskState.PLACED
        task.link = link
        task.placed_at = now
        task.agents[task.number] = link.name
        local_rack = task.spec.data_rack
        task.is_remote = bool(local_rack) and local_rack not in link.room.labels
        order = PlaceTask(
            key=task.key,
            request=job.spec.id,
            payload=job.spec.payload,
            needs=task.spec.needs,
            slack_ms=round((job.start_by - now) * 1000),
            estimate=task.spec.estimate * job.factor * self._remote_factor_of(task),
            queue_timeout_ms=AGENT_QUEUE_TIMEOUT_MS,
            life=link.room.life,
        )
        self.links.place(link, order, task.spec.needs, task)
        if self.had_waiting_jobs:
            rate = self.forecast.rate(job.queue.service)
            rate.record_placement(task.spec.needs.cpu)
        self.log.write(
            "task.placed",
            request=job.spec.id,
            task=task.name,
            run=task.number,
            agent=link.name,
            away=task.is_remote,
            free_cpu=link.free().cpu,
            heard_ms=round((now - link.last_received_at) * 1000),
            waited_ms=round((now - job.arrived) * 1000),
        )
        job.possible_runs += 1

    def _remote_factor_of(self, task: TaskRun) -> float:
        return self.remote_factor if task.is_remote else 1.0

    def _requeue_task(self, job: JobRun, task: TaskRun, ended: TaskEnded) -> None:
        delay = task.interruptions.delayed_until() - self.timers.now()
        task.state = TaskState.DELAYED if delay > 0 else TaskState.PENDING
        task.link = None
        self.log.write(
            "task.again",
            request=job.spec.id,
            task=task.name,
            run=task.number,
            outcome=ended.outcome.value,
            detail=ended.detail,
            delay_ms=round(max(0.0, delay) * 1000),
        )
        if task.state is TaskState.DELAYED:
            self.delayed.append(task)
        elif job not in self.waiting:
            self.waiting.append(job)

    def _complete_task(self, job: JobRun, task: TaskRun) -> None:
        if task.state is TaskState.PLACED and task.link is not None:
            # A later run, while the earlier one has completed after all.
            self._withdraw_run(task)
        job.complete_task(task)
        if not job.unfinished_tasks:
            job.finish(JobOutcome.SUCCEEDED)
        elif job.pending_tasks() and job not in self.waiting:
            self.waiting.append(job)


def has_room_for(job: JobRun, choices: PlacementCandidates) -> bool:
    """Return whether an agent has room for the largest waiting task of a job."""
    largest = max(
        (step for step in job.spec.steps if not step.after),
        key=lambda step: step.needs.cpu,
    )
    request = PlacementRequest(job.queue.service, largest, frozenset(), "")
    return any(can_accept_task(link, request) for link in choices.all())
