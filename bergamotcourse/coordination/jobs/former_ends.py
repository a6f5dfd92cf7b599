"""Ends of runs that an earlier process of the agent had started."""

from bergamotcourse.protocol.upstream_orders import EndKind, RunKey

MAX_FORMER_ENDS = 1000
"""Bounds the memory. A few hundred ends are expected at most: those of about two
seconds in which no agent process acknowledged them."""


class FormerEnds:
    """Stores ends until the entries that placed the runs withdraw them.

    Attributes:
        kinds: How each run ended, oldest end first.
    """

    def __init__(self):
        self.kinds: dict[RunKey, EndKind] = {}

    def record(self, key: RunKey, kind: EndKind) -> None:
        """Store an end; the oldest is evicted beyond ``MAX_FORMER_ENDS``."""
        self.kinds[key] = kind
        if len(self.kinds) > MAX_FORMER_ENDS:
            del self.kinds[next(iter(self.kinds))]

    def pop(self, key: RunKey) -> EndKind | None:
        """Remove and return how a run ended; ``None`` if unknown."""
        return self.kinds.pop(key, None)
