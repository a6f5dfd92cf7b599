"""Ejects agents whose tasks fail or are slow: they get only trial tasks.

Each agent is compared with the others, so that a common cause ejects none. The interval
between trials backs off exponentially. Entries share the trials: an entry that sees in
an agent's report that another entry's trial failed postpones its own.
"""

import random
import statistics
from dataclasses import dataclass
from enum import Enum

from bergamotcourse.coordination.agents import AgentDirectory, AgentView
from bergamotcourse.coordination.decisions import Decisions

FAILING_PERCENT = 65
MAX_OTHERS_FAILING_PERCENT = 30
"""An agent is not ejected for failures if the median of the others is this high."""

SLOW_RUN_TIME_FACTOR = 3.0
RECOVERED_RUN_TIME_FACTOR = 2.0
IMPROVED_RUN_TIME_SHARE = 0.9
"""A slow agent whose run time falls to this share of the last one gets its next trial
at once."""

FIRST_TRIAL_INTERVAL_SECONDS = 1.0
MAX_TRIAL_INTERVAL_SECONDS = 30.0
RELAPSE_WINDOW_SECONDS = 30.0
"""An agent that is ejected again within this time continues the former backoff."""

MAX_EJECTED_SHARE = 0.34
"""At most this share of the agents of a service may be ejected, so that a common cause
can't eject all of them."""

REQUIRED_GOOD_TRIALS = 2


class EjectionCause(Enum):
    """Why an agent is ejected."""

    FAILING = "failing"
    SLOW = "slow"


@dataclass
class Ejection:
    """One agent's ejection from one service.

    Attributes:
        trial_interval: Seconds between trials.
        next_trial_at: When the next trial may be sent, in seconds.
        ended: The agent's count of ended tasks at the last trial.
        run_ms: The agent's reported run time at the last trial.
        trial_in_flight: Whether a trial of this entry is in flight.
        good_trials: Successful trials in a row.
        released_at: When the ejection ended, in seconds; ``None`` while it lasts.
    """

    cause: EjectionCause
    trial_interval: float
    next_trial_at: float
    ended: int
    run_ms: int
    trial_in_flight: bool = False
    good_trials: int = 0
    released_at: float | None = None


class Ejector:
    """Decides which agents are ejected.

    Attributes:
        entries: Number of live entries, among which the trials are spread.
    """

    def __init__(
        self, directory: AgentDirectory, decisions: Decisions, rng: random.Random
    ):
        self.entries = 1
        self.directory = directory
        self.decisions = decisions
        self.rng = rng
        self.ejections: dict[tuple[str, str], Ejection] = {}

    def current_ejection(self, view: AgentView, service: str) -> Ejection | None:
        """Return an agent's ejection from a service, or ``None`` if there is none."""
        if not self.ejections:
            return None
        ejection = self.ejections.get((view.id, service))
        if ejection is None or ejection.released_at is not None:
            return None
        return ejection

    def is_trial_due(self, view: AgentView, service: str, now: float) -> bool:
        """Return whether an ejected agent is due for a trial."""
        ejection = self.current_ejection(view, service)
        return (
            ejection is not None
            and not ejection.trial_in_flight
            and now >= ejection.next_trial_at
        )

    def discard_lost_trial(self, view: AgentView, service: str, now: float) -> None:
        """Schedule another trial if the last one is no longer in flight.

        Its task may have ended without a result: its agent restarted or did not answer,
        or its caller left.

        Args:
            view: An agent at which this entry has no task of the service in flight.
            service: The service.
            now: The time.
        """
        ejection = self.current_ejection(view, service)
        if ejection is not None and ejection.trial_in_flight:
            ejection.trial_in_flight = False
            ejection.next_trial_at = now + self._randomized_delay(
                ejection.trial_interval
            )

    def sent(self, view: AgentView, service: str) -> None:
        """Record a task that was sent; it is a trial if the agent is ejected."""
        ejection = self.current_ejection(view, service)
        if ejection is not None:
            ejection.trial_in_flight = True

    def record_result(
        self, view: AgentView, service: str, done: bool, now: float
    ) -> None:
        """Record a result, after the health that the agent reported with it."""
        ejection = self.current_ejection(view, service)
        if ejection is None:
            self.check_report(view, service, now)
        elif ejection.trial_in_flight:
            ejection.trial_in_flight = False
            self._judge_trial(ejection, view, service, done, now)

    def check_report(self, view: AgentView, service: str, now: float) -> None:
        """Eject an agent if its report shows failures or slowness.

        If it is ejected already, postpone the next trial if another entry's trial
        failed.
        """
        ejection = self.current_ejection(view, service)
        if ejection is None:
            cause = self._ejection_cause(view, service)
            if cause is not None and self._may_eject_another(service):
                self._eject(view, service, cause, now)
            return
        health = view.health.get(service)
        tried = health is not None and health.ended != ejection.ended
        if (
            tried
            and not ejection.trial_in_flight
            and self._ejection_cause(view, service) is not None
        ):
            self._postpone_trial(ejection, view, service, now)

    def _eject(
        self, view: AgentView, service: str, cause: EjectionCause, now: float
    ) -> None:
        former = self.ejections.get((view.id, service))
        interval = FIRST_TRIAL_INTERVAL_SECONDS
        if former is not None and now - former.released_at < RELAPSE_WINDOW_SECONDS:
            interval = min(2 * former.trial_interval, MAX_TRIAL_INTERVAL_SECONDS)
        health = view.health[service]
        next_trial_at = now + self._randomized_delay(interval)
        self.ejections[view.id, service] = Ejection(
            cause, interval, next_trial_at, health.ended, health.run_ms
        )

    def _judge_trial(
        self, ejection: Ejection, view: AgentView, service: str, done: bool, now: float
    ) -> None:
        """Release the agent or schedule the next trial, by the result of a trial."""
        if ejection.cause is EjectionCause.FAILING:
            good = done
            ejection.good_trials = ejection.good_trials + 1 if good else 0
            over = ejection.good_trials >= REQUIRED_GOOD_TRIALS
        else:
            run_ms = view.health[service].run_ms
            good = run_ms <= IMPROVED_RUN_TIME_SHARE * ejection.run_ms
            over = run_ms <= RECOVERED_RUN_TIME_FACTOR * self._median_run_ms_of_others(
                view, service
            )
        if over:
            ejection.released_at = now
        elif good:
            self._record_health(ejection, view, service)
            ejection.next_trial_at = now
        else:
            self._postpone_trial(ejection, view, service, now)

    def _postpone_trial(
        self, ejection: Ejection, view: AgentView, service: str, now: float
    ) -> None:
        self._record_health(ejection, view, service)
        ejection.good_trials = 0
        ejection.trial_interval = min(
            2 * ejection.trial_interval, MAX_TRIAL_INTERVAL_SECONDS
        )
        ejection.next_trial_at = now + self._randomized_delay(ejection.trial_interval)

    def _record_health(self, ejection: Ejection, view: AgentView, service: str) -> None:
        health = view.health.get(service)
        if health is not None:
            ejection.ended = health.ended
            ejection.run_ms = health.run_ms

    def _ejection_cause(self, view: AgentView, service: str) -> EjectionCause | None:
        health = view.health.get(service)
        if health is None:
            return None
        others = self._health_of_others(view, service)
        if not others:
            return None
        if self.decisions.eject_failing and health.failing >= FAILING_PERCENT:
            usual = statistics.median(one.failing for one in others)
            if usual < MAX_OTHERS_FAILING_PERCENT:
                return EjectionCause.FAILING
        usual_ms = self._median_run_ms_of_others(view, service)
        slow = usual_ms and health.run_ms > SLOW_RUN_TIME_FACTOR * usual_ms
        return EjectionCause.SLOW if slow and self.decisions.eject_slow else None

    def _median_run_ms_of_others(self, view: AgentView, service: str) -> float:
        runs = [
            one.run_ms for one in self._health_of_others(view, service) if one.run_ms
        ]
        return statistics.median(runs) if runs else 0.0

    def _health_of_others(self, view: AgentView, service: str) -> list:
        return [
            other.health[service]
            for other in self.directory
            if other is not view and service in other.health and other.attached
        ]

    def _may_eject_another(self, service: str) -> bool:
        serving = [view for view in self.directory if view.slots(service)]
        ejected = sum(1 for view in serving if self.current_ejection(view, service))
        return ejected + 1 <= MAX_EJECTED_SHARE * len(serving)

    def _randomized_delay(self, interval: float) -> float:
        return interval * self.entries * (0.5 + self.rng.random())
