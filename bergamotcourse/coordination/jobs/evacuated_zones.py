"""The evacuated availability zones that are known to this process."""

from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.state.evacuations import Evacuations


class EvacuatedZones:
    """The newest known set of evacuated zones; older versions are ignored.

    Attributes:
        latest: The set in force.
        on_change: Called after the set of zones has changed.
    """

    def __init__(self, log: EventLog):
        self.log = log
        self.latest = Evacuations()
        self.on_change: Callable[[], None] = lambda: None

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self.latest.zones

    def adopt(self, evacuations: Evacuations, source: str) -> None:
        """Put a set of evacuated zones in force if it supersedes the present one.

        Args:
            evacuations: The set.
            source: Where it was received from, for the log.
        """
        if not evacuations.supersedes(self.latest):
            return
        former, self.latest = self.latest, evacuations
        if evacuations.zones == former.zones:
            return
        self.log.write(
            "zones.evacuated",
            zones=evacuations.zones,
            version=evacuations.version,
            source=source,
        )
        self.on_change()
