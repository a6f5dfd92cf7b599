"""One life of an upstream, as its agent knows it."""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.lease_terms import (
    LAPSE_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport


@dataclass
class UpstreamLife:
    """An upstream between its start and its end.

    Attributes:
        port: Gives it orders.
        clock_lead: Its clock less the agent's, in seconds.
        noted: Ends up to this number are dealt with.
        told: The last ``noted`` that it has confirmed.
        lapses_at: When all runs there are over unless the lease is renewed.
        failed_holds: Renewals in a row that had no answer.
        fenced: It takes orders from a later process; there is nothing to ask it.
        listed: Runs that it listed last, those of earlier processes too.
    """

    report: UpstreamReport
    port: OrderPort
    clock_lead: float
    lapses_at: float
    noted: int = 0
    told: int = 0
    failed_holds: int = 0
    fenced: bool = False
    listed: int = 0

    def hear_clock(self, clock: float | None, now: float) -> None:
        """Take the upstream's clock from an answer."""
        if clock is not None:
            self.clock_lead = clock - now

    def renew(self, now: float) -> float:
        """Return the lease's end to order now, on the upstream's clock."""
        self.lapses_at = max(self.lapses_at, now + LAPSE_SECONDS)
        return now + self.clock_lead + UPSTREAM_LEASE_SECONDS
