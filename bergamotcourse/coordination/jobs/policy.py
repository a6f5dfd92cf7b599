"""The mechanisms of the job dispatcher's decisions, each with a switch.

All are on in production. A comparison switches one off to tell what it is worth
(docs/design/decisions.md has the figures).
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields, replace


@dataclass(frozen=True)
class JobPolicy:
    """Which mechanisms decide.

    Attributes:
        learns_estimates: Declared times are corrected by what tasks have taken.
        puts_urgent_first: Waiting jobs go by when they must start, not by arrival.
        tells_some_of_room: Two waiting entries hear of a freed slot, not all.
        tells_unseen_room: An entry that begins to wait hears of room it missed.
        tries_upstreams: A failing, stalled or slow upstream gets one task at a time.
        moves_runs: Runs on a stalled or slow upstream are stopped, to run elsewhere.
        turns_away_when_short: An entry short of processor time refuses a share unread.
        learns_answer_time: An order without an answer is repeated after the time that
            answers take, not after a fixed one.
        doubts_at_once: An upstream's lease is not renewed after a renewal without an
            answer, until it answers.
        recalls_upstreams: A new process takes up upstreams by their last report in
            the store.
        places_near_data: Tasks go to the rack that has their data, as long as that
            serves their job, and others leave it to them.
        keeps_to_share: An entry uses a share of the agents as long as it has room.
        keeps_jobs_together: The tasks of a job go to one agent as far as it has room.
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

    @classmethod
    def without(cls, names: Iterable[str]) -> "JobPolicy":
        """Return the policy with some mechanisms switched off.

        Raises:
            ValueError: There is no mechanism of a name.
        """
        unknown = sorted(set(names) - set(SWITCHES))
        if unknown:
            raise ValueError(
                f"no mechanism {', '.join(unknown)}; there are {', '.join(SWITCHES)}"
            )
        return replace(cls(), **dict.fromkeys(names, False))

    def switched_off(self) -> list[str]:
        """Return the names of the mechanisms that are off."""
        return [name for name in SWITCHES if not getattr(self, name)]


SWITCHES = [switch.name for switch in fields(JobPolicy)]
"""The names of all mechanisms."""
