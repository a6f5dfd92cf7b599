"""An entry's copy of all lease and range rows in the platform's table."""

import math
from dataclasses import dataclass, replace

import msgspec
from expression import Result

from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.platform import Platform, Row
from bergamotcourse.state.lease_rows import (
    LEASE_PREFIX,
    RANGE_PREFIX,
    LeaseRow,
    RangeRow,
    decode_lease_row,
    decode_range_row,
    range_of_key,
)

MAX_CLOCK_DRIFT_RATIO = 0.1
"""Bound on the relative difference in rate between the clocks of two processes."""

UNKNOWN_ENTRY = "?"
"""Successor of an entry whose lease row cannot be decoded; no entry has this name."""


@dataclass
class ObservedLease:
    """A lease row and when it changed; times are in seconds on this process's clock.

    Attributes:
        unchanged_since: When this version was first read; moved forward over periods in
            which the platform was unavailable.
        written_after: Lower bound of the time at which the last renewal took effect.
            Minus infinity for a row whose change this process has not seen.
        renewed_after: Lower bound of the time at which the entry began its last
            renewal. The entry began it after the previous renewal had taken effect, but
            possibly long before the last one took effect itself.
        renewed_before: Upper bound of the time at which the entry began its last
            renewal.
    """

    row: LeaseRow
    version: int
    unchanged_since: float
    written_after: float
    renewed_after: float
    renewed_before: float

    def earliest_time_of(self, clock_ms: int) -> float:
        """Return a lower bound of when the entry's clock showed a given time.

        Args:
            clock_ms: Time on the entry's clock, not later than the last renewal.

        Returns:
            Seconds on this process's clock.
        """
        age = (self.row.clock_ms - clock_ms) / 1000
        return self.renewed_after - age * (1 + MAX_CLOCK_DRIFT_RATIO)


@dataclass
class ObservedRange:
    """A range's row and its version."""

    row: RangeRow
    version: int


class LeaseView:
    """A copy of the lease and range rows, updated by reading changed rows.

    Attributes:
        leases: Lease rows by entry.
        ranges: Range rows by range.
        undecodable_ranges: Ranges whose rows cannot be decoded, so that their owners
            and epochs are not known.
        skipped_rows: Rows that could not be decoded.
        last_refresh: When the copy was last updated, in seconds.
        current_as_of: The copy shows the table as of this time or later, in seconds.
    """

    def __init__(self, platform: Platform, timers: Timers, lease_seconds: float):
        self.platform = platform
        self.timers = timers
        self.lease_seconds = lease_seconds
        self.leases: dict[str, ObservedLease] = {}
        self.ranges: dict[int, ObservedRange] = {}
        self.undecodable_ranges: set[int] = set()
        self.skipped_rows = SkippedRows()
        self.lease_version = 0
        self.range_version = 0
        self.last_refresh: float | None = None
        self.current_as_of = -math.inf

    async def refresh(self) -> bool:
        """Read the changed rows and return whether the platform answered."""
        requested_at = self.timers.now()
        leases = await self.platform.read_since(LEASE_PREFIX, self.lease_version)
        ranges = await self.platform.read_since(RANGE_PREFIX, self.range_version)
        if leases.is_error() or ranges.is_error():
            return False
        now = self.timers.now()
        self._exclude_outage(requested_at)
        for row in leases.ok.rows:
            self._apply_lease_row(row, now)
        self.current_as_of = max(self.current_as_of, requested_at)
        for row in ranges.ok.rows:
            self._apply_range_row(row)
        self.lease_version = leases.ok.version
        self.range_version = ranges.ok.version
        self.last_refresh = now
        return True

    async def refresh_range(self, range_id: int, key: str) -> None:
        """Read the row of one range."""
        match await self.platform.get([key]):
            case Result(tag="ok", ok=[row]) if row.value:
                self._apply_range_row(row)
            case _:
                pass

    def owner(self, range_id: int) -> ObservedRange | None:
        """Return a range's row, which names its owner, or ``None`` without a row."""
        return self.ranges.get(range_id)

    def address(self, entry: str) -> LinkAddress | None:
        """Return an entry's link address if its lease row is known."""
        seen = self.leases.get(entry)
        return LinkAddress(seen.row.address) if seen else None

    def final_successor(self, entry: str) -> str:
        """Return the last entry of the chain of takeovers that starts at ``entry``.

        Returns ``entry`` itself if it was not taken over.
        """
        followed = set()
        while entry not in followed:
            followed.add(entry)
            seen = self.leases.get(entry)
            if seen is None or not seen.row.fenced_by:
                return entry
            entry = seen.row.fenced_by
        return entry

    def transitively_fenced_by(self, entry: str) -> list[str]:
        """Return the entries that an entry took over, directly or indirectly.

        The earliest takeovers are first.
        """
        direct = [e for e, s in self.leases.items() if s.row.fenced_by == entry]
        return [one for e in direct for one in (*self.transitively_fenced_by(e), e)]

    def is_alive(self, entry: str) -> bool:
        """Return whether an entry's lease row changed within two lease periods."""
        # As of the last read, because no row can change during an outage.
        seen = self.leases.get(entry)
        if seen is None or seen.row.fenced_by or seen.row.released:
            return False
        if self.last_refresh is None:
            return False
        return self.last_refresh - seen.unchanged_since <= 2 * self.lease_seconds

    def living_rows(self) -> list[LeaseRow]:
        """Return the lease rows of the entries that are alive, ordered by name."""
        return [
            seen.row
            for name, seen in sorted(self.leases.items())
            if self.is_alive(name)
        ]

    def unreleased_rows(self) -> list[LeaseRow]:
        """Return the lease rows of entries that neither left nor were taken over.

        Unlike ``living_rows``, this does not depend on recent renewals.
        """
        rows = [seen.row for _, seen in sorted(self.leases.items())]
        return [row for row in rows if not row.fenced_by and not row.released]

    def _exclude_outage(self, now: float) -> None:
        """Exclude outages of the platform, during which no lease could be renewed."""
        if self.last_refresh is None:
            return
        outage = now - self.last_refresh
        if outage > self.lease_seconds / 2:
            for seen in self.leases.values():
                seen.unchanged_since = max(seen.unchanged_since, now)

    def _apply_lease_row(self, row: Row, now: float) -> None:
        entry = row.key.removeprefix(LEASE_PREFIX)
        if row.value is None:
            self.leases.pop(entry, None)
            return
        known = self.leases.get(entry)
        if known is not None and known.version >= row.version:
            return
        try:
            content = decode_lease_row(row.key, row.value)
        except ValueError as error:
            self.skipped_rows.log(row, error)
            if known is not None:
                self.leases[entry] = self._observe_undecodable(known, row.version, now)
            return
        self.leases[entry] = self._observe(known, content, row.version, now)

    def _observe(
        self, known: ObservedLease | None, content: LeaseRow, version: int, now: float
    ) -> ObservedLease:
        if known is None:
            return ObservedLease(content, version, now, -math.inf, -math.inf, now)
        if known.row.renewals == content.renewals:
            # Changed by another entry, not renewed by its own.
            return replace(known, row=content, version=version, unchanged_since=now)
        after = known.written_after
        return ObservedLease(content, version, now, self.current_as_of, after, now)

    def _observe_undecodable(
        self, known: ObservedLease, version: int, now: float
    ) -> ObservedLease:
        # The entry may have named another successor before, which may have promised
        # not to take over. With an unknown one, the lease ends as that of an orphan.
        if known.row.successor != UNKNOWN_ENTRY:
            row = msgspec.structs.replace(known.row, successor=UNKNOWN_ENTRY)
            known = replace(known, row=row, unchanged_since=now)
        return replace(known, version=version)

    def _apply_range_row(self, row: Row) -> None:
        try:
            range_id = range_of_key(row.key)
        except ValueError as error:
            self.skipped_rows.log(row, error)
            return
        known = self.ranges.get(range_id)
        if row.value is None:
            self.ranges.pop(range_id, None)
            self.undecodable_ranges.discard(range_id)
        elif known is None or known.version < row.version:
            self._decode_range_row(range_id, row)

    def _decode_range_row(self, range_id: int, row: Row) -> None:
        try:
            content = decode_range_row(row.value)
        except ValueError as error:
            self.skipped_rows.log(row, error)
            # The last known epoch may be older than the one that was overwritten.
            self.ranges.pop(range_id, None)
            self.undecodable_ranges.add(range_id)
            return
        self.ranges[range_id] = ObservedRange(content, row.version)
        self.undecodable_ranges.discard(range_id)
