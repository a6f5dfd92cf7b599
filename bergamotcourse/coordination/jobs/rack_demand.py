"""Which racks hold data that waiting and coming tasks want.

Load it answers: many jobs that want the same data at once. Tasks that run elsewhere
take a multiple of their time, so the rack with the data is left to them as long as
there is room in others.
"""

RACK_SECONDS = 1.0
"""A rack counts as wanted for so long after a job has named it: the tasks that other
jobs place there take up to so long, and would stand in the way of the next."""


class RackDemand:
    """The racks that jobs have named of late.

    Attributes:
        named_at: When each was named last.
    """

    def __init__(self):
        self.named_at: dict[str, float] = {}

    def note(self, rack: str, now: float) -> None:
        """Note that a job's data is in a rack."""
        self.named_at[rack] = now

    def wanted(self, now: float) -> frozenset[str]:
        """Return the racks that are wanted now."""
        if not self.named_at:
            return frozenset()
        self.named_at = {
            rack: at for rack, at in self.named_at.items() if now - at < RACK_SECONDS
        }
        return frozenset(self.named_at)
