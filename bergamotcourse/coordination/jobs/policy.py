"""Switches for the mechanisms by which the job dispatcher decides.

Nearly all are on in production. Comparisons switch one off to measure its benefit; see
docs/design/decisions.md for the figures. An optional one is off unless it is requested.
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields, replace


@dataclass(frozen=True)
class JobPolicy:
    """Switches of the mechanisms.

    Attributes:
        learns_estimates: Declared task times are corrected by measured ones.
        puts_urgent_first: Waiting jobs are ordered by latest start time instead of by
            arrival.
        tells_some_of_room: Two waiting entries are notified of a freed slot, instead of
            all.
        tells_unseen_room: An entry that begins to wait is notified of room that it has
            not seen.
        tries_upstreams: A failing, stalled or slow upstream gets one task at a time.
        moves_runs: Runs on a stalled or slow upstream are stopped, to run elsewhere.
        turns_away_when_short: An entry short of processor time refuses a share of
            requests unread.
        learns_answer_time: The timeout of an order follows the measured answer times
            instead of being fixed.
        doubts_at_once: After one unanswered hold, an upstream's lease is not renewed
            until it answers.
        recalls_upstreams: A new agent process adopts its upstream by the last report in
            the store.
        places_near_data: Tasks are placed on the rack that has their data as long as
            that serves their job, and other tasks avoid that rack.
        keeps_to_share: An entry uses a share of the agents as long as that has room.
        keeps_jobs_together: The tasks of a job are placed at one agent as far as it has
            room.
        forecasts_admission: A job that cannot be in time, by the forecast of the
            backlog, is refused at once.
        weighs_speed: Where upstreams differ in speed, the fast ones get tasks first.
            Optional: it helps callers who measure response times against the work on an
            upstream of usual speed, and not those who measure them against the work on
            the upstream that ran the task.
        moves_from_leaving: Runs that cannot end before their upstream leaves are
            stopped, to run elsewhere.
        balances_callers: Entries close callers' connections so that callers are spread
            over the entries again.
    """

    learns_estimates: bool = True
    puts_urgent_first: bool = True
    tells_some_of_room: bool = True
    tells_unseen_room: bool = True
    tries_upstreams: bool = True
    moves_runs: bool = True
    turns_away_when_short: bool = True
    learns_answer_time: bool = True
    doubts_at_once: bool = True
    recalls_upstreams: bool = True
    places_near_data: bool = True
    keeps_to_share: bool = True
    keeps_jobs_together: bool = True
    forecasts_admission: bool = True
    weighs_speed: bool = False
    moves_from_leaving: bool = True
    balances_callers: bool = True

    @classmethod
    def without(cls, names: Iterable[str]) -> "JobPolicy":
        """Return the policy with some mechanisms switched off.

        Raises:
            ValueError: A name is not that of a mechanism.
        """
        return replace(cls(), **dict.fromkeys(check_names(names), False))

    def with_mechanisms(self, names: Iterable[str]) -> "JobPolicy":
        """Return this policy with some mechanisms switched on.

        Raises:
            ValueError: A name is not that of a mechanism.
        """
        return replace(self, **dict.fromkeys(check_names(names), True))

    def switched_off(self) -> list[str]:
        """Return the names of the mechanisms that are off, without optional ones."""
        return [name for name in STANDARD_SWITCHES if not getattr(self, name)]


SWITCHES = [switch.name for switch in fields(JobPolicy)]
"""The names of all mechanisms."""

STANDARD_SWITCHES = [switch.name for switch in fields(JobPolicy) if switch.default]
"""The names of those that are on unless they are switched off."""


def check_names(names: Iterable[str]) -> list[str]:
    """Return the names of mechanisms.

    Raises:
        ValueError: A name is not that of a mechanism.
    """
    names = list(names)
    unknown = sorted(set(names) - set(SWITCHES))
    if unknown:
        raise ValueError(
            f"no mechanism {', '.join(unknown)}; there are {', '.join(SWITCHES)}"
        )
    return names
