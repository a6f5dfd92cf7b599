"""Ends of runs that are not, or no longer, among the runs of the agent."""

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.upstream_orders import EndKind, RunKey

MAX_FORMER_ENDS = 1000
"""Bounds the memory, in ends and in runs given up. A few hundred ends are expected at
most: those of about two seconds in which no agent process acknowledged them."""


class FormerEnds:
    """Stores ends until the entries that placed the runs withdraw them.

    Attributes:
        kinds: How each run ended, oldest end first.
        given_up: The entry that placed each run whose lease has lapsed before its end
            was listed, oldest first.
    """

    def __init__(self):
        self.kinds: dict[RunKey, EndKind] = {}
        self.given_up: dict[RunKey, LinkAddress] = {}

    def record(self, key: RunKey, kind: EndKind) -> None:
        """Store an end; the oldest is evicted beyond ``MAX_FORMER_ENDS``."""
        self.kinds[key] = kind
        _evict_oldest(self.kinds)

    def pop(self, key: RunKey) -> EndKind | None:
        """Remove and return how a run ended; ``None`` if unknown."""
        return self.kinds.pop(key, None)

    def record_given_up(self, key: RunKey, entry: LinkAddress) -> None:
        """Store the entry of a run that may have ended unknown to this agent."""
        self.given_up[key] = entry
        _evict_oldest(self.given_up)

    def pop_given_up(self, key: RunKey) -> LinkAddress | None:
        """Remove and return the entry of a run given up; ``None`` if unknown."""
        return self.given_up.pop(key, None)


def _evict_oldest(stored: dict[RunKey, object]) -> None:
    if len(stored) > MAX_FORMER_ENDS:
        del stored[next(iter(stored))]
