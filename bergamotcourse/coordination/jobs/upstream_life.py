"""One life of an upstream, as its agent knows it."""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.lease_terms import (
    LAPSE_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport

SILENT_SECONDS = 0.42
"""From the first renewal without an answer: a lease that was in force then is about to
end, and each further renewal might extend it, so that the runs would never be known to
be over."""

LEAST_FAILED_HOLDS = 3
"""One or two may be lost on a sound upstream."""


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
        unanswered_since: When the first of these was given up; ``None`` without any.
        silent: It has not answered for so long that its lease is left to lapse.
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
    unanswered_since: float | None = None
    silent: bool = False
    fenced: bool = False
    listed: int = 0

    def hold_failed(self, now: float) -> bool:
        """Note a renewal without an answer; true if it is taken as silent from now."""
        self.failed_holds += 1
        if self.unanswered_since is None:
            self.unanswered_since = now
        was_silent = self.silent
        lasts = now - self.unanswered_since >= SILENT_SECONDS
        self.silent = lasts and self.failed_holds >= LEAST_FAILED_HOLDS
        return self.silent and not was_silent

    def hold_answered(self) -> bool:
        """Note a renewal that was answered; true if it was taken as silent before."""
        was_silent = self.silent
        self.failed_holds = 0
        self.unanswered_since = None
        self.silent = False
        return was_silent

    def note_clock(self, clock: float | None, now: float) -> None:
        """Take the upstream's clock from an answer."""
        if clock is not None:
            self.clock_lead = clock - now

    def renew(self, now: float) -> float:
        """Return the lease's end to order now, on the upstream's clock."""
        self.lapses_at = max(self.lapses_at, now + LAPSE_SECONDS)
        return now + self.clock_lead + UPSTREAM_LEASE_SECONDS
