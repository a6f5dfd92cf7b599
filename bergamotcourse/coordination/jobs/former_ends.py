"""Ends of runs that an earlier process of an agent had started."""

from bergamotcourse.protocol.upstream_orders import EndKind, RunKey

MOST_ENDS = 1000
"""An upstream lists what ended while nobody asked, within two seconds or so, a few
hundred at most."""


class FormerEnds:
    """Keeps such ends for the entries that will ask for their runs.

    Attributes:
        kinds: How each run ended, the oldest end first.
    """

    def __init__(self):
        self.kinds: dict[RunKey, EndKind] = {}

    def keep(self, key: RunKey, kind: EndKind) -> None:
        """Keep one end; the oldest goes where there are too many."""
        self.kinds[key] = kind
        if len(self.kinds) > MOST_ENDS:
            del self.kinds[next(iter(self.kinds))]

    def take(self, key: RunKey) -> EndKind | None:
        """Return how a run ended, and forget it; ``None`` if that is not known."""
        return self.kinds.pop(key, None)
