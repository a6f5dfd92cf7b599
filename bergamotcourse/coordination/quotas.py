"""Enforces the teams' quotas across all entries without a shared counter.

Each entry lets a team use the entry's share of the quota. The share follows the demand
that the entries report to each other in their lease rows, which they write and read
anyway. Without recent reports the live entries share evenly.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotcourse.state.manifest import Manifest

QUOTA_BURST_SECONDS = 0.25
"""Depth of a team's token bucket, in seconds of its rate."""

DEMAND_WINDOW_SECONDS = 1.0
"""Time constant of the exponentially decaying count of arrivals."""

DEMAND_REPORT_TTL_SECONDS = 3.0
"""Reports of other entries' demand are ignored once they are older than this."""

MIN_PART_OF_EVEN_SHARE = 0.25
"""An entry keeps at least this part of an even share, to serve demand that the other
entries don't know of yet."""

SHARE_RISE_SECONDS = 2.0
"""Time constant with which a share rises; it falls at once. If it rose at once, demand
that starts at several entries together would exceed the quota until they had reported
it to each other."""

MIN_REPORTED_DEMAND_SHARE = 0.5
"""Demand above this part of an even share of the limits is reported to the others."""


@dataclass
class TeamQuota:
    """The limits and the usage of one team at this entry.

    Attributes:
        max_starts_per_second: Limit for all entries together.
        in_flight_limit: Limit of tasks in flight for all entries together.
        tokens: Starts that may be made now.
        refilled_at: When the tokens were last updated, in seconds.
        arrivals: Exponentially decaying count of arrived tasks.
        arrivals_updated_at: When the count was last updated, in seconds.
        waiting: Number of tasks that wait at this entry.
        in_flight: Number of this entry's tasks at agents.
        other_demand: The other entries' last reported demand, in tasks a second.
        share: This entry's share of the limits.
        share_updated_at: When the share was last updated, in seconds.
    """

    max_starts_per_second: float = math.inf
    in_flight_limit: float = math.inf
    tokens: float = 1.0
    refilled_at: float = -math.inf
    arrivals: float = 0.0
    arrivals_updated_at: float = 0.0
    waiting: int = 0
    in_flight: int = 0
    other_demand: int = 0
    share: float = 1.0
    share_updated_at: float = -math.inf

    def recent_arrivals(self, now: float) -> float:
        """Return the decayed count of arrived tasks."""
        return self.arrivals * math.exp(
            (self.arrivals_updated_at - now) / DEMAND_WINDOW_SECONDS
        )

    def demand(self, now: float) -> int:
        """Return this entry's demand, in tasks a second."""
        return math.ceil(
            self.recent_arrivals(now) / DEMAND_WINDOW_SECONDS + self.waiting
        )

    def move_share(self, target: float, now: float) -> None:
        """Move this entry's share towards a target: down at once, up gradually."""
        rise = 1 - math.exp((self.share_updated_at - now) / SHARE_RISE_SECONDS)
        change = target - self.share
        self.share += change * rise if change > 0 else change

    def start_rate_for(self, share: float) -> float:
        """Return the starts a second that a share of the limit allows."""
        return self.max_starts_per_second * share

    def in_flight_limit_for(self, share: float) -> float:
        """Return the number of tasks in flight that a share of the limit allows."""
        return max(1.0, self.in_flight_limit * share) if self.in_flight_limit else 0

    def refill(self, share: float, now: float) -> float:
        """Add the tokens earned since the last update; return the tokens."""
        if math.isinf(self.max_starts_per_second):
            return math.inf
        rate = self.start_rate_for(share)
        depth = max(1.0, rate * QUOTA_BURST_SECONDS)
        gained = (
            depth if math.isinf(self.refilled_at) else (now - self.refilled_at) * rate
        )
        self.tokens = min(depth, self.tokens + gained)
        self.refilled_at = now
        return self.tokens


class Quotas:
    """The quotas of all teams at one entry.

    Attributes:
        now: Returns the time, in seconds.
        entries: Returns the number of live entries.
        teams: The teams, by name.
        others_reported_at: When the other entries' demand was last updated, in seconds.
    """

    def __init__(self, now: Callable[[], float], entries: Callable[[], int]):
        self.now = now
        self.entries = entries
        self.teams: dict[str, TeamQuota] = {}
        self.others_reported_at = -math.inf

    def of(self, team: str) -> TeamQuota:
        """Return a team's quota; a team that is not configured has no limits."""
        quota = self.teams.get(team)
        if quota is None:
            quota = self.teams[team] = TeamQuota()
        return quota

    def take_manifest(self, manifest: Manifest) -> None:
        """Apply the quotas of a configuration."""
        for team in manifest.teams:
            quota = self.of(team.name)
            quota.max_starts_per_second = team.quota_starts_per_second
            quota.in_flight_limit = team.max_in_flight

    def record_arrivals(self, team: str, tasks: int) -> None:
        """Record submitted tasks, including those that are refused afterwards."""
        quota, now = self.of(team), self.now()
        quota.arrivals = quota.recent_arrivals(now) + tasks
        quota.arrivals_updated_at = now

    def is_stopped(self, team: str) -> bool:
        """Return whether the configuration allows a team no starts at all."""
        quota = self.of(team)
        return quota.max_starts_per_second <= 0 or quota.in_flight_limit <= 0

    def may_start(self, team: str) -> bool:
        """Return whether a team may start a task now."""
        quota, now = self.of(team), self.now()
        share = self._share(quota, now)
        if quota.in_flight >= quota.in_flight_limit_for(share):
            return False
        return quota.refill(share, now) >= 1

    def record_start(self, team: str) -> None:
        """Record a start."""
        quota, now = self.of(team), self.now()
        quota.tokens = quota.refill(self._share(quota, now), now) - 1
        quota.in_flight += 1

    def record_end(self, team: str) -> None:
        """Record that a task is no longer at an agent."""
        self.of(team).in_flight -= 1

    def demand_to_report(self) -> dict[str, int]:
        """Return the demand to report to other entries, in tasks a second by team."""
        even, now = 1 / max(1, self.entries()), self.now()
        demands = {team: quota.demand(now) for team, quota in self.teams.items()}
        return {
            team: demand
            for team, demand in demands.items()
            if demand
            > MIN_REPORTED_DEMAND_SHARE
            * even
            * min(self.of(team).max_starts_per_second, self.of(team).in_flight_limit)
        }

    def update_other_demand(self, others: list[dict[str, int]]) -> None:
        """Record the demand that each of the other entries reported."""
        self.others_reported_at = self.now()
        for team, quota in self.teams.items():
            quota.other_demand = sum(demands.get(team, 0) for demands in others)

    def share(self, team: str) -> float:
        """Return this entry's share of a team's limits."""
        return self._share(self.of(team), self.now())

    def wait_seconds(self, team: str, run_seconds: float) -> float:
        """Estimate the seconds until the quota allows one more task to start.

        Args:
            team: The team.
            run_seconds: Mean run time of a task.
        """
        quota, now = self.of(team), self.now()
        share = self._share(quota, now)
        rate = quota.start_rate_for(share)
        missing = quota.waiting + 1 - quota.refill(share, now)
        paced = 0.0 if math.isinf(rate) else max(0.0, missing / max(rate, 1e-9))
        most = quota.in_flight_limit_for(share)
        over = quota.in_flight + quota.waiting + 1 - most
        full = 0.0 if over <= 0 else over * run_seconds / max(most, 1)
        return max(paced, full)

    def seconds_until_token(self, team: str) -> float:
        """Return the seconds until a team has a token, 0 if it has one."""
        quota, now = self.of(team), self.now()
        share = self._share(quota, now)
        missing = 1 - quota.refill(share, now)
        return max(0.0, missing / max(quota.start_rate_for(share), 1e-9))

    def _share(self, quota: TeamQuota, now: float) -> float:
        even = 1 / max(1, self.entries())
        own = quota.demand(now)
        recent = now - self.others_reported_at <= DEMAND_REPORT_TTL_SECONDS
        if not own or not recent or math.isinf(quota.share_updated_at):
            quota.share = even
        else:
            # The shares add up to one if all entries have the same reports.
            wanted = (1 - MIN_PART_OF_EVEN_SHARE) * own / (own + quota.other_demand)
            quota.move_share(MIN_PART_OF_EVEN_SHARE * even + wanted, now)
        quota.share_updated_at = now
        return quota.share
