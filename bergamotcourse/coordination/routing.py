"""Chooses the agent for the next task."""

import random
from dataclasses import dataclass

from bergamotcourse.coordination.agents import AgentDirectory, AgentView
from bergamotcourse.coordination.decisions import Decisions
from bergamotcourse.coordination.ejection import Ejector


@dataclass(frozen=True)
class LeastLoaded:
    """Choose the agent with most free slots, by the last reports; ties at random."""


@dataclass(frozen=True)
class TwoChoices:
    """Choose the less loaded of two random agents."""


@dataclass(frozen=True)
class RoundRobin:
    """Choose the agents in turn."""


@dataclass(frozen=True)
class RandomAgent:
    """Choose an agent at random, regardless of load."""


RoutingPolicy = LeastLoaded | TwoChoices | RoundRobin | RandomAgent


@dataclass(frozen=True)
class Choice:
    """The agent for a task.

    Attributes:
        view: The agent.
        other_free_agents: Number of other candidates: agents with a free slot, by the
            last reports.
    """

    view: AgentView
    other_free_agents: int


class Router:
    """Chooses agents by a routing policy.

    Attributes:
        decisions: Switches of the dispatch decisions.
        ejector: Decides which agents get only trial tasks.
    """

    def __init__(
        self,
        directory: AgentDirectory,
        zone: str,
        rng: random.Random,
        policy: RoutingPolicy | None = None,
    ):
        self.directory = directory
        self.zone = zone
        self.rng = rng
        self.policy = policy or LeastLoaded()
        self.decisions = Decisions()
        self.ejector = Ejector(directory, self.decisions, rng)
        self.round_robin_count = 0

    def pick(
        self, service: str, now: float, avoid: set[str] | None = None
    ) -> Choice | None:
        """Return the agent for the next task of a service, or ``None`` to wait."""
        views = self.directory.usable(service, now)
        trial = self._agent_due_for_trial(views, service, now)
        if trial is not None:
            return Choice(trial, len(views) - 1)
        views = [v for v in self.healthy(views, service) if self._has_room(v, service)]
        if avoid:
            views = [v for v in views if v.id not in avoid] or views
        if not views:
            return None
        return Choice(self._choose_by_policy(views, service), len(views) - 1)

    def _choose_by_policy(self, views: list[AgentView], service: str) -> AgentView:
        match self.policy:
            case LeastLoaded():
                return min(views, key=lambda v: self._sort_key(v, service))
            case TwoChoices():
                pair = [self.rng.choice(views), self.rng.choice(views)]
                return min(pair, key=lambda v: v.load(service) / v.slots(service))
            case RoundRobin():
                self.round_robin_count += 1
                return views[self.round_robin_count % len(views)]
            case RandomAgent():
                return self.rng.choice(views)

    def usable(self, service: str, now: float) -> list[AgentView]:
        """Return the usable agents that are not ejected."""
        return self.healthy(self.directory.usable(service, now), service)

    def shortest_queue(self, service: str, now: float) -> AgentView | None:
        """Return the agent with the shortest queue per slot, by the last reports.

        Returns ``None`` if no agent is usable.
        """
        views = self.usable(service, now)
        if not views:
            return None
        return min(
            views,
            key=lambda v: (
                v.queue(service) / v.slots(service),
                self._sort_key(v, service),
            ),
        )

    def healthy(self, views: list[AgentView], service: str) -> list[AgentView]:
        """Return the agents that are not ejected."""
        if not self.ejector.ejections:
            return views
        return [
            view for view in views if not self.ejector.current_ejection(view, service)
        ]

    def _agent_due_for_trial(
        self, views: list[AgentView], service: str, now: float
    ) -> AgentView | None:
        if not self.ejector.ejections:
            return None
        for view in views:
            if view.own_tasks(service):
                continue
            self.ejector.discard_lost_trial(view, service, now)
            if self.ejector.is_trial_due(view, service, now):
                return view
        return None

    def _has_room(self, view: AgentView, service: str) -> bool:
        match self.policy:
            case LeastLoaded():
                return view.load(service) < view.slots(service)
            case _:
                return True

    def _sort_key(
        self, view: AgentView, service: str
    ) -> tuple[bool, bool, float, float]:
        """Return a sort key that is least for the best agent.

        A free slot comes first, then the entry's own availability zone, then the share
        of free slots.
        """
        slots = view.slots(service)
        free = slots - view.load(service)
        elsewhere = self.decisions.zone_affinity and view.zone != self.zone
        return (free <= 0, elsewhere, -free / slots, self.rng.random())
