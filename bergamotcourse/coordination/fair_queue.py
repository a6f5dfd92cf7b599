"""Weighted fair queueing of waiting tasks.

Single requests go before tasks of jobs, except that one pick in every
``JOB_PICK_INTERVAL`` goes to a job, so that jobs are never starved. Within each of the
two kinds, teams share by weight: the team with the least virtual time (run time divided
by weight) is served next. Within a team the most urgent task goes first.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

JOB_PICK_INTERVAL = 8
"""One pick in this many goes to a job while a task of a job waits."""

T = TypeVar("T")
Urgency = tuple[float, ...]
"""Sort key within a team; lower goes first."""


@dataclass(order=True)
class QueuedItem(Generic[T]):
    """A waiting task and its place in a team's heap.

    Attributes:
        sequence_number: Keeps equally urgent tasks in the order of arrival.
        removed: Whether it was popped or removed; a removed item may stay in the heap.
    """

    urgency: Urgency
    sequence_number: int
    item: T = field(compare=False)
    team: "TeamQueue[T]" = field(compare=False)
    removed: bool = field(default=False, compare=False)


@dataclass
class TeamQueue(Generic[T]):
    """One team's waiting tasks of one kind.

    Attributes:
        virtual_time: Run time served so far, divided by weight.
        size: Number of waiting tasks.
        heap: The tasks by urgency, and removed items that were not popped yet.
    """

    name: str
    weight: float = 1.0
    virtual_time: float = 0.0
    size: int = 0
    heap: list[QueuedItem[T]] = field(default_factory=list)

    def pop_most_urgent(self) -> T:
        """Remove and return the most urgent task.

        Raises:
            IndexError: No task waits.
        """
        while True:
            queued = heapq.heappop(self.heap)
            if not queued.removed:
                queued.removed = True
                self.size -= 1
                return queued.item


class TeamQueues(Generic[T]):
    """Waiting tasks of one kind, shared among teams by weight.

    Attributes:
        teams: All known teams.
        nonempty: Teams with waiting tasks.
        virtual_clock: Virtual time of the team that was served last, never decreasing.
        size: Number of waiting tasks of all teams.
    """

    def __init__(self):
        self.teams: dict[str, TeamQueue[T]] = {}
        self.nonempty: dict[str, TeamQueue[T]] = {}
        self.virtual_clock = 0.0
        self.size = 0
        self.sequence_numbers = itertools.count()

    def push(
        self, team: str, weight: float, item: T, urgency: Urgency
    ) -> QueuedItem[T]:
        """Add a task to its team's queue."""
        queue = self.teams.get(team)
        if queue is None:
            queue = self.teams[team] = TeamQueue(team)
        queue.weight = weight
        if not queue.size:
            # Idle time must not earn a team credit that would let it starve the others.
            queue.virtual_time = max(queue.virtual_time, self.virtual_clock)
            self.nonempty[team] = queue
        queued = QueuedItem(urgency, next(self.sequence_numbers), item, queue)
        heapq.heappush(queue.heap, queued)
        queue.size += 1
        self.size += 1
        return queued

    def remove(self, queued: QueuedItem[T]) -> None:
        """Remove a task; does nothing if it was popped or removed before."""
        if queued.removed:
            return
        queued.removed = True
        queued.team.size -= 1
        self.size -= 1
        self._drop_idle_teams(queued.team)

    def pop(
        self, cost: float, eligible: Callable[[str], bool] | None = None
    ) -> T | None:
        """Remove and return the next task of the eligible teams, and charge its team.

        Args:
            cost: The task's estimated run time, in seconds.
            eligible: Whether a team may be served now; all may by default.
        """
        teams = self.nonempty.values()
        ready = [team for team in teams if eligible is None or eligible(team.name)]
        if not ready:
            return None
        queue = min(ready, key=lambda team: team.virtual_time)
        self.virtual_clock = max(self.virtual_clock, queue.virtual_time)
        queue.virtual_time += cost / queue.weight
        item = queue.pop_most_urgent()
        self.size -= 1
        self._drop_idle_teams(queue)
        return item

    def charge(self, team: str, cost: float) -> None:
        """Charge a team for seconds of run time over the estimate; may be negative."""
        queue = self.teams.get(team)
        if queue is not None:
            queue.virtual_time += cost / queue.weight

    def _drop_idle_teams(self, queue: TeamQueue[T]) -> None:
        if queue.size:
            return
        queue.heap.clear()
        self.nonempty.pop(queue.name, None)
        for team in [t for t in self.teams.values() if not t.size]:
            if team.virtual_time <= self.virtual_clock:
                del self.teams[team.name]


class FairQueue(Generic[T]):
    """Waiting tasks of one service.

    Attributes:
        job_pick_interval: One pick in this many goes to a job while one waits.
        pick_count: Number of tasks popped so far.
    """

    def __init__(self, job_pick_interval: int = JOB_PICK_INTERVAL):
        self.job_pick_interval = job_pick_interval
        self.singles: TeamQueues[T] = TeamQueues()
        self.jobs: TeamQueues[T] = TeamQueues()
        self.pick_count = 0

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return self.singles.size + self.jobs.size

    def of(self, job: bool) -> TeamQueues[T]:
        """Return the queues of jobs or of single requests."""
        return self.jobs if job else self.singles

    def push(
        self, team: str, weight: float, item: T, job: bool, urgency: Urgency = ()
    ) -> QueuedItem[T]:
        """Add a task to its team's queue."""
        return self.of(job).push(team, weight, item, urgency)

    def remove(self, queued: QueuedItem[T]) -> None:
        """Remove a task that no longer waits."""
        one = self.singles.nonempty.get(queued.team.name) is queued.team
        (self.singles if one else self.jobs).remove(queued)

    def pop(
        self, cost: float = 1.0, eligible: Callable[[str], bool] | None = None
    ) -> T | None:
        """Remove and return the next task, or ``None`` if no eligible team has one.

        Args:
            cost: The task's estimated run time, in seconds.
            eligible: Whether a team may be served now; all may by default.
        """
        job_turn = (
            self.pick_count % self.job_pick_interval == self.job_pick_interval - 1
        )
        first, second = self.singles, self.jobs
        if job_turn:
            first, second = second, first
        item = first.pop(cost, eligible) if first.size else None
        if item is None and second.size:
            item = second.pop(cost, eligible)
        if item is not None:
            self.pick_count += 1
        return item
