"""Decides which waiting task is sent to which agent, and when.

A task is sent to a slot that is free by the last reports. If none is, single requests
wait at this entry or at an agent, wherever a slot becomes free sooner. Tasks of jobs
wait at agents in batches; single requests go before them there too.
"""

from collections.abc import Callable

import trio

from bergamotcourse.coordination.agents import AgentView
from bergamotcourse.coordination.fair_queue import FairQueue
from bergamotcourse.coordination.in_flight_tasks import InFlightTasks
from bergamotcourse.coordination.routing import Router
from bergamotcourse.coordination.start_messages import StartOptions
from bergamotcourse.coordination.tasks import Task, TaskKind
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.waiting_tasks import WaitingTasks

MIN_WAKE_SECONDS = 0.001
MAX_EXCESS_PER_SLOT = 1.0
"""At most this many single requests per slot wait at an agent."""

MAX_AHEAD_SECONDS = 2.0
"""Tasks of jobs with about this much run time per slot may wait at an agent."""

MAX_AHEAD_SHARE = 0.5
"""At most this share of the remaining tasks of jobs is sent ahead. Batches thus get
smaller towards the end, and go to the agents whose slots become free first."""

AHEAD_REFILL_SHARE = 0.5
"""An agent gets more tasks of jobs once this share of its waiting ones has left."""

FINAL_TASKS_PER_AGENT = 2
"""Once this few tasks of jobs per agent remain, all are sent: the agents then know that
no more follow, and batch their last results."""


class Sender:
    """Assigns waiting tasks to agents.

    Attributes:
        send: Sends a task to an agent.
        nursery: Runs the wake-ups for quotas.
        pending_wakeups: Services with a scheduled wake-up.
    """

    def __init__(
        self,
        waiting: WaitingTasks,
        in_flight_tasks: InFlightTasks,
        router: Router,
        timers: Timers,
        send: Callable[[Task, AgentView, StartOptions], None],
    ):
        self.waiting = waiting
        self.in_flight_tasks = in_flight_tasks
        self.router = router
        self.decisions = router.decisions
        self.timers = timers
        self.send = send
        self.nursery: trio.Nursery | None = None
        self.pending_wakeups: set[str] = set()

    def pump(self, service: str) -> None:
        """Send waiting tasks of a service while agents can take them."""
        queue = self.waiting.queues.get(service)
        if not queue:
            return
        now = self.timers.now()
        self._fill_slots(service, queue, now)
        if queue.singles.size and self.decisions.wait_at_agents:
            self._wait_at_agents(service, queue, now)
        if queue.jobs.size and self.decisions.send_jobs_ahead:
            self._send_ahead(service, queue, now)
        if queue:
            self._schedule_quota_wakeup(service)

    def _fill_slots(self, service: str, queue: FairQueue[Task], now: float) -> None:
        while queue:
            choice = self.router.pick(service, now)
            if choice is None:
                return
            task = self.waiting.take(service)
            if task is None:
                return
            if choice.view.id in task.avoided_agents:
                choice = self.router.pick(service, now, task.avoided_agents) or choice
            self.send(
                task,
                choice.view,
                self._start_options(task, choice.view, choice.other_free_agents),
            )

    def _start_options(self, task: Task, view: AgentView, others: int) -> StartOptions:
        queue = self.waiting.queues[task.submission.service]
        slots = view.slots(task.submission.service)
        no_other = queue.singles.size or not others
        return StartOptions(
            queue_if_full=task.job
            or self.decisions.should_queue_when_full(task.refusals, slots),
            wants_slots=bool(no_other) and self.decisions.requests_slot_notices(),
            more_job_tasks=queue.jobs.size > 0,
        )

    def _wait_at_agents(self, service: str, queue: FairQueue[Task], now: float) -> None:
        """Send single requests to agents where a slot becomes free sooner than here.

        Waiting at this entry ends when one of its own tasks ends. An entry with few
        tasks, or none, would wait long while other entries use the slots.
        """
        while queue.singles.size:
            view = self.router.shortest_queue(service, now)
            if view is None or not self._frees_slot_sooner(view, service):
                return
            task = self.waiting.take(service, TaskKind.SINGLE)
            if task is None:
                return
            self.send(task, view, StartOptions(queue_if_full=True))

    def _frees_slot_sooner(self, view: AgentView, service: str) -> bool:
        """Return whether one more request gets a slot sooner at an agent than here."""
        slots = view.slots(service)
        excess = max(0, view.queue(service) - slots)
        if excess >= MAX_EXCESS_PER_SLOT * slots:
            return False
        # Waiting tasks of jobs take each free slot before this entry is notified of it.
        notified = (
            0 if view.jobs_ahead(service) else self.in_flight_tasks.count(service)
        )
        return (excess + 1) * notified < slots

    def _send_ahead(self, service: str, queue: FairQueue[Task], now: float) -> None:
        """Send tasks of jobs to wait at agents, so that they are sent in batches."""
        views = self.router.usable(service, now)
        if queue.jobs.size <= FINAL_TASKS_PER_AGENT * len(views):
            self._send_last(service, queue, views)
            return
        total = sum(view.slots(service) for view in views)
        for view in views:
            slots = view.slots(service)
            ahead = self._max_ahead_tasks(
                service, queue.jobs.size * slots / total, slots
            )
            room = slots + ahead - view.own_tasks(service)
            if ahead < 1 or room < max(1, AHEAD_REFILL_SHARE * ahead):
                continue
            for _ in range(room):
                if not self._send_job_task(
                    service, view, StartOptions(queue_if_full=True)
                ):
                    return

    def _max_ahead_tasks(self, service: str, share: float, slots: int) -> int:
        """Return how many tasks of jobs may wait at an agent.

        Args:
            service: The service.
            share: The agent's share of the remaining tasks, by slots.
            slots: The agent's slots.
        """
        mean = max(self.waiting.estimates.mean_seconds(service), 1e-3)
        return int(min(MAX_AHEAD_SHARE * share, MAX_AHEAD_SECONDS * slots / mean))

    def _send_last(
        self, service: str, queue: FairQueue[Task], views: list[AgentView]
    ) -> None:
        """Send the last tasks of jobs to the agents with the shortest queues."""
        while queue.jobs.size:
            view = min(views, key=lambda v: v.load(service) / v.slots(service))
            if view.load(service) >= (1 + FINAL_TASKS_PER_AGENT) * view.slots(service):
                return
            if not self._send_job_task(
                service, view, StartOptions(queue_if_full=True, more_job_tasks=False)
            ):
                return

    def _send_job_task(
        self, service: str, view: AgentView, options: StartOptions
    ) -> bool:
        task = self.waiting.take(service, TaskKind.JOB)
        if task is not None:
            self.send(task, view, options)
        return task is not None

    def _schedule_quota_wakeup(self, service: str) -> None:
        """Schedule a wake-up for when a waiting team's quota allows a start."""
        if service in self.pending_wakeups or self.nursery is None:
            return
        delay = self.waiting.seconds_until_token(service)
        if delay > 0:
            self.pending_wakeups.add(service)
            self.nursery.start_soon(
                self._pump_later, service, max(delay, MIN_WAKE_SECONDS)
            )

    async def _pump_later(self, service: str, delay: float) -> None:
        await trio.sleep(delay)
        self.pending_wakeups.discard(service)
        self.pump(service)
