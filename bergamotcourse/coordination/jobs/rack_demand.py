"""Tracks the racks whose data recent jobs need.

It serves loads in which many jobs need the same data at once. Tasks that run outside
the rack with their data take a multiple of the time, so other tasks leave that rack to
them while other racks have room.
"""

RACK_DEMAND_SECONDS = 1.0
"""Time after the last request for which a rack counts as in demand. Tasks of other jobs
that are placed there run for up to this time, and would delay the next local task."""


class RackDemand:
    """The racks that recent jobs have requested.

    Attributes:
        requested_at: Time of the last request, by rack.
    """

    def __init__(self):
        self.requested_at: dict[str, float] = {}

    def record_request(self, rack: str, now: float) -> None:
        """Record that the data of a job is in a rack."""
        self.requested_at[rack] = now

    def racks_in_demand(self, now: float) -> frozenset[str]:
        """Return the racks that are in demand, and drop expired requests."""
        if not self.requested_at:
            return frozenset()
        self.requested_at = {
            rack: at
            for rack, at in self.requested_at.items()
            if now - at < RACK_DEMAND_SECONDS
        }
        return frozenset(self.requested_at)
