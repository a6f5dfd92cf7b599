"""Decides when an entry that is short of processor time passes callers to others.

The entry is not ready for a while, so that the balancer removes it, and closes a part
of its connections, each with its next response. Refusing jobs (``ProcessorLag``) lowers
the load at once but keeps the callers at this entry: each refused caller returns to it.
Both go on side by side, and a refusal is a response with which a connection can be
closed.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bergamotcourse.coordination.jobs.caller_balance import known_peers
from bergamotcourse.coordination.jobs.peers import Peer
from bergamotcourse.ids import LinkAddress, ZoneName

SHORT_SECONDS = 0.5
"""Time for which jobs must be rejected without a break before callers are passed on,
and without rejections after which the entry counts as no longer short. An entry at half
of the load that it can bear rejects jobs for up to 0.43 s."""

UNREADY_SECONDS = 2.0
"""The balancer checks each second and removes an entry after two misses."""

CLOSE_INTERVAL_SECONDS = 1.0
"""Interval between closings, also before the first one: a caller that reconnects sooner
is certainly sent here again, as the balancer has not missed two checks."""

RELEASE_SECONDS = 3.0
"""Time from the begin after which the balancer has certainly found the entry ready
again. A connection that is still open then stays, as its caller would return."""

MIN_INTERVAL_SECONDS = 20.0
"""Least time between the begins of two drains: an entry is unready for no more than a
tenth of the time."""

CLOSED_SHARE = 0.25
"""Share of the connections that is closed each time."""

ENTRIES_PER_DRAIN = 3
"""No more than one in this number of a zone's entries is unready at once."""


class DrainAction(Enum):
    """What to do after an update."""

    NONE = "none"
    BEGIN = "begin"
    CLOSE = "close"
    END = "end"
    RELEASE = "release"


@dataclass(frozen=True)
class Shortage:
    """How long an entry has been short of processor time.

    Attributes:
        since: Since when jobs have been rejected without a break, or ``None``.
        last_at: When jobs were last rejected.
    """

    since: float | None
    last_at: float

    def is_short(self, now: float) -> bool:
        """Return whether the entry sheds load now."""
        return now - self.last_at <= SHORT_SECONDS

    def is_lasting(self, now: float) -> bool:
        """Return whether it has shed load for long enough to pass callers on."""
        return self.since is not None and now - self.since >= SHORT_SECONDS


class CallerDrain:
    """Decides when this entry is unready and closes connections.

    Attributes:
        address: Address of this entry.
        zone: Its zone.
        began_at: When it last became unready.
        draining: Whether ``END`` is still to come.
        closing: Whether ``RELEASE`` is still to come.
        close_at: When to close connections next.
    """

    def __init__(self, address: LinkAddress, zone: ZoneName):
        self.address = address
        self.zone = zone
        self.began_at = -math.inf
        self.draining = False
        self.closing = False
        self.close_at = math.inf

    def is_unready(self, now: float) -> bool:
        """Return whether the entry must not be ready now."""
        return self.draining and now - self.began_at < UNREADY_SECONDS

    def update(
        self, now: float, shortage: Shortage, peers: Iterable[Peer]
    ) -> DrainAction:
        """Return what to do now; called periodically.

        Args:
            now: The time.
            shortage: How long this entry has been short of processor time.
            peers: The other entries.
        """
        zone_peers = [
            peer for peer in known_peers(now, peers) if peer.status.zone == self.zone
        ]
        if self.draining:
            if not self._is_permitted(zone_peers):
                self.close_at = -math.inf
                return self._end()
            if now - self.began_at >= UNREADY_SECONDS:
                return self._end()
        if self.closing:
            return self._update_closing(now, shortage)
        if (
            shortage.is_lasting(now)
            and now - self.began_at >= MIN_INTERVAL_SECONDS
            and self._is_permitted(zone_peers)
        ):
            self.began_at = now
            self.close_at = now + CLOSE_INTERVAL_SECONDS
            self.draining = self.closing = True
            return DrainAction.BEGIN
        return DrainAction.NONE

    def _end(self) -> DrainAction:
        self.draining = False
        return DrainAction.END

    def _update_closing(self, now: float, shortage: Shortage) -> DrainAction:
        ended_early = self.close_at == -math.inf
        if ended_early or now - self.began_at >= RELEASE_SECONDS:
            self.closing = False
            return DrainAction.RELEASE
        if now < self.close_at:
            return DrainAction.NONE
        self.close_at += CLOSE_INTERVAL_SECONDS
        return DrainAction.CLOSE if shortage.is_short(now) else DrainAction.NONE

    def _is_permitted(self, zone_peers: list[Peer]) -> bool:
        """Return whether this entry may be unready, as far as is known.

        If too many entries became unready at the same time, those with the lowest
        addresses stay so.
        """
        if not any(can_take_callers(peer) for peer in zone_peers):
            return False
        limit = (len(zone_peers) + 1) // ENTRIES_PER_DRAIN
        others = [peer.address for peer in zone_peers if peer.status.drains]
        if self.draining:
            others = [address for address in others if address < self.address]
        return len(others) < limit


def can_take_callers(peer: Peer) -> bool:
    """Return whether a peer can serve the callers of an entry that is short."""
    return not peer.status.short_of_cpu and not peer.status.drains
