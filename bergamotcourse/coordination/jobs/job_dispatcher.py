"""The entry's dispatcher of jobs: takes them, places their tasks, settles them."""

from collections import Counter
from dataclasses import replace

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.agent_links import AgentLinks, Choices
from bergamotcourse.coordination.jobs.job_order import order_key, refusal_at_once
from bergamotcourse.coordination.jobs.job_run import (
    JobOutcome,
    JobRun,
    TaskRun,
    TaskState,
)
from bergamotcourse.coordination.jobs.placement import (
    PlacementRequest,
    choose,
    choose_to_open,
    suits,
)
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.rack_demand import RackDemand
from bergamotcourse.coordination.jobs.work_estimates import WorkEstimates
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.task_messages import (
    NEVER_RAN,
    Outcome,
    PlaceTask,
    TaskEnded,
)
from bergamotcourse.state.job_spec import JobId, JobQueue, JobSpec
from bergamotcourse.state.node_settings import REMOTE_FACTOR

ANSWER_SECONDS = 0.06
"""Left of a caller's time for the answer's way back."""

NEVER = float("inf")

PATIENCE_MS = 15
"""A run that finds no room after all comes back after this: two entries may have
counted on the same room, and there may be some elsewhere."""

LOOK_AHEAD = 4
"""Waiting jobs that find no room before the search ends. What has no room for the tasks
of one may have some for smaller ones, or for those whose data is elsewhere."""

MOST_CRASHES = 3
"""Upstreams that crash under a task before it is given up: with one or two the cause
may have been another task beside it."""

REFUSAL_SECONDS = 1.0
"""Callers who were refused for want of room may come back after this."""


class JobDispatcher:
    """Takes jobs and sees each to its outcome.

    Attributes:
        jobs: Those without an outcome, by id.
        waiting: Those with tasks that are to be placed.
        outcomes: Counts by outcome.
        ends_at: When this entry ends, once a planned stop has begun.
        remote_factor: Times as long that a task takes away from its data.
    """

    def __init__(
        self,
        zone: str,
        links: AgentLinks,
        timers: Timers,
        log: EventLog,
        policy: JobPolicy | None = None,
        remote_factor: float = REMOTE_FACTOR,
    ):
        self.policy = policy or JobPolicy()
        self.remote_factor = remote_factor
        self.racks = RackDemand()
        self.zone = zone
        self.links = links
        self.timers = timers
        self.log = log
        self.jobs: dict[JobId, JobRun] = {}
        self.waiting: list[JobRun] = []
        self.estimates = WorkEstimates()
        self.outcomes: Counter[JobOutcome] = Counter()
        self.was_waiting = False
        self.began = timers.now()
        self.ends_at = NEVER
        links.on_end = self.take_end
        links.on_settled = self.pump
        links.on_room = self.take_room
        links.is_waiting = self.is_waiting

    def is_waiting(self) -> bool:
        """Return whether tasks wait for room."""
        return bool(self.waiting)

    def pending_jobs(self, queue: str) -> int:
        """Return the number of jobs of a queue none of whose tasks was placed."""
        return sum(
            job.queue.name == queue and not job.may_have_run
            for job in self.jobs.values()
        )

    async def submit(self, spec: JobSpec, queue: JobQueue, seconds: float) -> JobRun:
        """Run a job to its outcome.

        Args:
            spec: The job.
            queue: Its queue.
            seconds: For how long the caller waits for the answer.

        Returns:
            The job with its outcome. Cancelling the call withdraws the job.
        """
        job = self.jobs.get(spec.id)
        if job is None:
            job = self._take(spec, queue, seconds)
        job.callers += 1
        try:
            await self._see_to_its_end(job, seconds - ANSWER_SECONDS)
        finally:
            job.callers -= 1
            if not job.callers:
                self._settle(job)
        return job

    def cancel(self, job_id: JobId) -> bool:
        """Cancel a job; false if it is not known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.finish(JobOutcome.CANCELLED, "cancelled by its caller")
        self._withdraw(job)
        return True

    def give_up_all(self, why: str) -> None:
        """Give all jobs an outcome, before this process ends."""
        for job in list(self.jobs.values()):
            outcome = JobOutcome.TIMED_OUT if job.may_have_run else JobOutcome.REFUSED
            job.finish(outcome, why)

    def pump(self) -> None:
        """Place what finds room, in order."""
        # One that has its outcome stays here until its caller's task runs next; to
        # place it would start what its caller is told has not run.
        self.waiting = [job for job in self.waiting if job.outcome is None]
        if not self.waiting:
            return
        now = self.timers.now()
        choices = self.links.choices()
        if self.policy.puts_urgent_first:
            self.waiting.sort(key=lambda job: order_key(job, now))
        blocked = 0
        for job in list(self.waiting):
            blocked += not self._place_pending(job, choices, now)
            if blocked > LOOK_AHEAD:
                break
        # Only now: one whose placement came back may have found room elsewhere.
        for job in list(self.waiting):
            self._refuse_if_idle(job)
        if self.waiting and not self.was_waiting:
            self.links.tell_all()
        self.was_waiting = bool(self.waiting)

    def take_room(self, link: AgentLink) -> None:
        """Place what waits, if an agent that has told its load has room.

        All agents are looked at only then, not for each message of any one.
        """
        if self.waiting and link.room.capacity.cpu > link.load_cpu():
            self.pump()

    def take_evacuations(self) -> None:
        """Tell agents of evacuations; refuse what only evacuated zones could run."""
        self.links.tell_all()
        for job in self.waiting:
            if not job.may_have_run:
                self._refuse_if_hopeless(job, NEVER)
        self.pump()

    def take_end(self, task: TaskRun, link: AgentLink, ended: TaskEnded) -> None:
        """Take the outcome of a run."""
        job = task.job
        if ended.outcome in NEVER_RAN:
            job.runs -= 1
        current = task.state is TaskState.PLACED and task.key == ended.key
        if job.outcome is not None or task.state is TaskState.DONE:
            return
        if ended.outcome is Outcome.DONE:
            if self.policy.learns_estimates:
                declared = task.spec.estimate * self._factor_of(task)
                self.estimates.learn(job.queue.name, declared, ended.ran)
            self._task_done(job, task)
            return
        if ended.outcome in (Outcome.FAILED, Outcome.MOVED, Outcome.CRASHED):
            task.avoid.add(link.name)
        if ended.outcome is Outcome.CRASHED:
            task.crashes += 1
            if task.crashes >= MOST_CRASHES:
                why = f"{task.crashes} upstreams crashed under {task.name}"
                job.finish(JobOutcome.FAILED, why)
                return
        if ended.outcome is Outcome.FAILED:
            task.failures += 1
            if task.failures >= job.queue.max_attempts:
                job.finish(
                    JobOutcome.FAILED, f"{task.name} failed {task.failures} times"
                )
                return
        if current:
            self._place_again(job, task, ended)

    # Taking and settling.

    def _take(self, spec: JobSpec, queue: JobQueue, seconds: float) -> JobRun:
        factor = self.estimates.factor(queue.name)
        job = JobRun(spec, queue, self.timers.now(), factor)
        self.jobs[spec.id] = job
        self.waiting.append(job)
        for step in spec.steps:
            if step.data_rack:
                self.racks.note(step.data_rack, job.arrived)
        self.log.write(
            "job.taken",
            request=spec.id,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=round(job.objective * 1000),
            waits_ms=round(seconds * 1000),
        )
        self._refuse_if_hopeless(job, min(seconds, self.ends_at - job.arrived))
        if job.outcome is None:
            self.pump()
        return job

    def _refuse_if_hopeless(self, job: JobRun, left: float) -> None:
        """Refuse a job that certainly cannot be served.

        Args:
            job: A job of which nothing was placed.
            left: Seconds until its caller leaves, or this entry ends.
        """
        age = self.timers.now() - self.began
        refusal = refusal_at_once(job, self.links.available(), age, left)
        if refusal is not None:
            job.retry_after = refusal.retry_after
            job.finish(JobOutcome.REFUSED, refusal.why)

    async def _see_to_its_end(self, job: JobRun, seconds: float) -> None:
        now = self.timers.now()
        give_up = min(now + seconds, job.useless_at)
        offer_by = min(job.offer_by, give_up)
        with trio.move_on_after(max(0.0, offer_by - now)):
            await job.finished.wait()
        self._refuse_if_idle(job)
        with trio.move_on_after(max(0.0, give_up - self.timers.now())):
            await job.finished.wait()
        if job.outcome is None:
            job.finish(JobOutcome.TIMED_OUT, "not done in time")

    def _refuse_if_idle(self, job: JobRun) -> None:
        """Refuse a job that has found no room in its time; nothing of it ever ran."""
        if not job.may_have_run and self.timers.now() >= job.offer_by:
            job.retry_after = max(job.retry_after, REFUSAL_SECONDS)
            job.finish(JobOutcome.REFUSED, "no room in time")

    def _settle(self, job: JobRun) -> None:
        """Forget a job that nobody waits for, and end what still runs of it."""
        if self.jobs.get(job.spec.id) is job:
            del self.jobs[job.spec.id]
            job.finish(JobOutcome.CANCELLED, "its caller has gone")
            self.outcomes[job.outcome] += 1
            self.log.write(
                "job.settled",
                request=job.spec.id,
                outcome=job.outcome.value,
                why=job.why,
                took_ms=round((self.timers.now() - job.arrived) * 1000),
            )
        self._withdraw(job)

    def _withdraw(self, job: JobRun) -> None:
        if job in self.waiting:
            self.waiting.remove(job)
        for task in job.tasks:
            if task.state is TaskState.PLACED:
                task.state = TaskState.DONE
                self.links.withdraw(task.where, task.key)

    # Tasks.

    def _place_pending(self, job: JobRun, choices: Choices, now: float) -> bool:
        """Place the tasks of a job; false if one finds no room."""
        link = None
        for task in job.pending():
            link = self._choose(job, task, choices, now, link)
            if link is None:
                return False
            self._place(job, task, link, now)
        self.waiting.remove(job)
        return True

    def _choose(
        self,
        job: JobRun,
        task: TaskRun,
        choices: Choices,
        now: float,
        last: AgentLink | None,
    ) -> AgentLink | None:
        """Return the agent to place a task at, or ``None`` where none has room.

        Args:
            job: The job.
            task: Its task.
            choices: The agents at which it may be placed.
            now: The time.
            last: Where the task of the job before it was placed just now.
        """
        request = PlacementRequest(
            service=job.queue.service,
            step=task.spec,
            avoid=frozenset(task.avoid),
            zone=self.zone,
            reserved=self.racks.wanted(now),
        )
        near = task.spec.data_rack if self.policy.places_near_data else ""
        nearby = replace(request, rack=near) if near else request
        if self.policy.keeps_jobs_together and last and suits(last, nearby):
            # One message carries both, and the payload once.
            return last
        link = self._choose_anywhere(nearby, choices)
        if not near:
            return link
        if link is None and job.may_run_away(now, self.remote_factor):
            link = self._choose_anywhere(request, choices)
        return link

    def _choose_anywhere(
        self, request: PlacementRequest, choices: Choices
    ) -> AgentLink | None:
        link = self._choose_for(request, choices)
        if link is None and request.avoid:
            # Where it failed everywhere, it is tried anywhere.
            link = self._choose_for(replace(request, avoid=frozenset()), choices)
        return link

    def _choose_for(
        self, request: PlacementRequest, choices: Choices
    ) -> AgentLink | None:
        for in_contact, quiet in choices.in_turn():
            link = choose(in_contact, request)
            if link is not None:
                return link
            link = choose_to_open(quiet, request)
            if link is not None:
                # The next tasks share the exchange that gives contact.
                quiet.remove(link)
                in_contact.append(link)
                return link
        return None

    def _place(self, job: JobRun, task: TaskRun, link: AgentLink, now: float) -> None:
        task.number += 1
        task.state = TaskState.PLACED
        task.where = link
        task.placed_at = now
        near = task.spec.data_rack
        task.away = bool(near) and near not in link.room.labels
        order = PlaceTask(
            key=task.key,
            request=job.spec.id,
            payload=job.spec.payload,
            needs=task.spec.needs,
            rank=round((job.start_by - now) * 1000),
            estimate=task.spec.estimate * job.factor * self._factor_of(task),
            patience=PATIENCE_MS,
        )
        self.links.place(link, order, task.spec.needs, task)
        self.log.write(
            "task.placed",
            request=job.spec.id,
            task=task.name,
            run=task.number,
            agent=link.name,
            away=task.away,
            free_cpu=link.free().cpu,
            heard_ms=round((now - link.heard_at) * 1000),
            waited_ms=round((now - job.arrived) * 1000),
        )
        job.runs += 1

    def _factor_of(self, task: TaskRun) -> float:
        return self.remote_factor if task.away else 1.0

    def _place_again(self, job: JobRun, task: TaskRun, ended: TaskEnded) -> None:
        task.state = TaskState.PENDING
        task.where = None
        self.log.write(
            "task.again",
            request=job.spec.id,
            task=task.name,
            run=task.number,
            outcome=ended.outcome.value,
            detail=ended.detail,
        )
        if job.outcome is None and job not in self.waiting:
            self.waiting.append(job)

    def _task_done(self, job: JobRun, task: TaskRun) -> None:
        if task.state is TaskState.PLACED and task.where is not None:
            self._end_other_run(task)
        job.task_done(task)
        if not job.unfinished:
            job.finish(JobOutcome.SUCCEEDED)
        elif job.pending() and job not in self.waiting:
            self.waiting.append(job)

    def _end_other_run(self, task: TaskRun) -> None:
        """End a later run of a task of which an earlier one turned out done."""
        if task.key in task.where.placed:
            self.links.withdraw(task.where, task.key)
