"""The evacuated availability zones, as this process knows them."""

from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.state.evacuations import Evacuations


class EvacuatedZones:
    """The newest word on which zones are evacuated; it only moves forward.

    Attributes:
        latest: The word in force.
        on_change: Called after other zones are evacuated than before.
    """

    def __init__(self, log: EventLog):
        self.log = log
        self.latest = Evacuations()
        self.on_change: Callable[[], None] = lambda: None

    def has(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self.latest.zones

    def adopt(self, word: Evacuations, source: str) -> None:
        """Put a word in force if it is newer."""
        if word.version <= self.latest.version:
            return
        former, self.latest = self.latest, word
        if word.zones == former.zones:
            return
        self.log.write(
            "zones.evacuated", zones=word.zones, version=word.version, source=source
        )
        self.on_change()
