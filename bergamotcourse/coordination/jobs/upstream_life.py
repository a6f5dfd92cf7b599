"""State of one life of an upstream at its agent."""

from dataclasses import dataclass, field

import trio

from bergamotcourse.coordination.jobs.lease_terms import (
    UPSTREAM_LEASE_EXPIRY_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)
from bergamotcourse.coordination.jobs.upstream_clock import UpstreamClock
from bergamotcourse.protocol.upstream_orders import (
    OrderPort,
    RunKey,
    UpstreamReport,
)

UPSTREAM_SILENCE_SECONDS = 0.42
"""Time from the first unanswered hold after which an upstream is considered silent. A
lease in force at that hold is about to expire; each further renewal might extend it, so
that its runs would never certainly have ended."""

MIN_FAILED_HOLDS = 3
"""A healthy upstream may lose one or two in a row."""


@dataclass
class UpstreamLife:
    """An upstream between one start and its end.

    Attributes:
        report: The last report of this life.
        reported_at: When it arrived.
        port: Sends orders to this life.
        clock_offset: The upstream's clock minus the agent's, in seconds, when the last
            answer or report arrived. It is at most the true one, so that no lease is
            ordered for too long.
        lapses_at: When all runs there have ended unless the lease is renewed, by the
            agent's lease clock.
        lease_until: Latest end of the lease that was ordered, by the upstream's clock.
        processed_ends: Number of the last end that has been processed.
        acknowledged_ends: The last ``processed_ends`` sent in a hold that was answered.
        failed_holds: Consecutive holds without an answer.
        unanswered_since: When the first of these failed; ``None`` without any.
        silent: It has not answered for so long that its lease is left to expire.
        fenced: It takes orders from a later process and refuses those of this one.
        listed_runs: Number of runs in its last list, including those of earlier
            processes.
        unclaimed_runs: The runs in its last list that this process has not started and
            no entry has asked about.
        listed_at: When its last list was made.
        clock: Dates its answers.
        answer_made_at: When the list in the latest answer was made.
        leaves_at: Earliest time at which it leaves, by the agent's clock; ``None``
            unless it has announced one.
        last_move: Waits until shortly before that time; replaced with each notice.
    """

    report: UpstreamReport
    port: OrderPort
    clock_offset: float
    lapses_at: float
    reported_at: float = 0.0
    lease_until: float = 0.0
    processed_ends: int = 0
    acknowledged_ends: int = 0
    failed_holds: int = 0
    unanswered_since: float | None = None
    silent: bool = False
    fenced: bool = False
    listed_runs: int = 0
    unclaimed_runs: frozenset[RunKey] = frozenset()
    listed_at: float = 0.0
    clock: UpstreamClock = field(init=False)
    answer_made_at: float = 0.0
    leaves_at: float | None = None
    last_move: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __post_init__(self):
        self.clock = UpstreamClock(self.clock_offset)

    def record_failed_hold(self, now: float) -> bool:
        """Record an unanswered hold; return whether the upstream became silent now."""
        self.failed_holds += 1
        if self.unanswered_since is None:
            self.unanswered_since = now
        was_silent = self.silent
        lasts = now - self.unanswered_since >= UPSTREAM_SILENCE_SECONDS
        self.silent = lasts and self.failed_holds >= MIN_FAILED_HOLDS
        return self.silent and not was_silent

    def record_answered_hold(self) -> bool:
        """Record an answered hold; return whether the upstream was silent before."""
        was_silent = self.silent
        self.failed_holds = 0
        self.unanswered_since = None
        self.silent = False
        return was_silent

    @property
    def may_extend_lease(self) -> bool:
        """Return whether every run that the lease may cover is claimed.

        The lease covers all runs on the upstream. Nobody else ends a run of an earlier
        process whose entry was lost with that process.
        """
        return not self.unclaimed_runs

    def update_clock(self, clock: float | None, now: float) -> None:
        """Update the clock offset from the clock in an answer or report, if any."""
        if clock is not None:
            self.clock_offset = clock - now

    def extend_lease(self, now: float) -> float:
        """Extend the lease; return its new end to order, by the upstream's clock."""
        self.lapses_at = max(self.lapses_at, now + UPSTREAM_LEASE_EXPIRY_SECONDS)
        until = now + self.clock_offset + UPSTREAM_LEASE_SECONDS
        self.lease_until = max(self.lease_until, until)
        return until

    def remaining_lease_seconds(self, now: float) -> float:
        """Return for how long the lease lasts if every order has been carried out."""
        return self.lease_until - (now + self.clock_offset)
