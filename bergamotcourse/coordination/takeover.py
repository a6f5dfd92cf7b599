"""Takeover of the ranges of an entry whose lease has ended.

One transaction marks the dead entry's lease as fenced and raises the epochs of its
ranges. The claims that the dead entry had granted are then recovered, see
``range_recovery``.
"""

import logging
from dataclasses import dataclass

import msgspec
from expression import Result

from bergamotcourse.coordination.lease import (
    MAX_AUTONOMY_SECONDS,
    MAX_CLOCK_DRIFT_RATIO,
    Lease,
    LeaseState,
)
from bergamotcourse.coordination.lease_view import (
    LeaseView,
    ObservedLease,
    ObservedRange,
)
from bergamotcourse.coordination.ownership import Ownership
from bergamotcourse.coordination.range_recovery import RangeRecovery, TakenOverRanges
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import Epoch, RangeId
from bergamotcourse.protocol.platform import Committed, Conflict, Platform, Write
from bergamotcourse.state.lease_rows import LeaseRow, RangeRow, lease_key, range_key

logger = logging.getLogger(__name__)

ORPHAN_LEASE_PERIODS = 3.0
"""Lease periods of silence after which a lease that no one can take over is an
orphan."""

AUTONOMY_EXPIRY_SECONDS = MAX_AUTONOMY_SECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
"""Silence after which no promise can extend an entry's lease any more."""


@dataclass(frozen=True)
class StartedTakeover:
    """A takeover that was started and may have taken effect.

    Attributes:
        version: Version of the lease row that it overwrites.
        lease_end: How the lease had ended.
    """

    version: int
    lease_end: "LeaseEnd"


@dataclass(frozen=True)
class LeaseEnd:
    """How a lease has ended.

    Attributes:
        grants_seconds: Time for which its grants may still be used.
        strict: Promises may still extend the lease, so the ranges become ready only
            once no agent admits its starts.
    """

    grants_seconds: float = 0.0
    strict: bool = False


class Takeover:
    """Watches the other entries' leases and takes over those that have ended.

    Attributes:
        promised_until: Until when each entry was promised no takeover, in seconds.
        started_takeovers: Takeovers that were started, by entry.
    """

    def __init__(
        self,
        lease: Lease,
        view: LeaseView,
        ownership: Ownership,
        recovery: RangeRecovery,
        platform: Platform,
        timers: Timers,
    ):
        self.lease = lease
        self.view = view
        self.ownership = ownership
        self.recovery = recovery
        self.platform = platform
        self.timers = timers
        self.promised_until: dict[str, float] = {}
        self.started_takeovers: dict[str, StartedTakeover] = {}

    def promise(self, entry: str) -> int:
        """Promise an entry not to take it over and return for how many milliseconds.

        Returns 0 if this entry is not the successor, does not hold a valid lease
        itself, or has started a takeover. A takeover whose answer was lost counts as
        started.
        """
        now = self.timers.now()
        seen = self.view.leases.get(entry)
        if seen is None or seen.row.successor != self.lease.entry:
            return 0
        started = self.started_takeovers.get(entry)
        if started is not None and started.version >= seen.version:
            return 0
        if seen.row.fenced_by or not self.lease.valid(now):
            return 0
        seconds = self.lease.seconds
        self.promised_until[entry] = now + seconds * (1 + MAX_CLOCK_DRIFT_RATIO)
        return int(seconds * 1000)

    async def watch(self) -> None:
        """Take over entries whose leases have ended, and advance the recoveries."""
        if self.lease.state is not LeaseState.HELD:
            return
        now = self.timers.now()
        if self._view_is_current(now):
            for entry, seen in list(self.view.leases.items()):
                if entry == self.lease.entry or seen.row.fenced_by:
                    continue
                lease_end = self._lease_end(entry, seen, now)
                if lease_end is not None:
                    await self._take_over(entry, seen, lease_end)
            await self._take_over_late_ranges()
            self._start_recoveries()
        await self.recovery.watch()

    @property
    def lease_expiry_seconds(self) -> float:
        """Return the seconds without a renewal after which a lease has expired."""
        return self.lease.seconds * (1 + MAX_CLOCK_DRIFT_RATIO)

    def _view_is_current(self, now: float) -> bool:
        last_refresh = self.view.last_refresh
        return last_refresh is not None and now - last_refresh <= self.lease.seconds

    def _lease_end(
        self, entry: str, seen: ObservedLease, now: float
    ) -> LeaseEnd | None:
        """Return how a lease has ended; ``None`` if it may not be taken over here."""
        row = seen.row
        if row.address == self.lease.mailer.link.address:
            # Belongs to an earlier process, whose address this process now has.
            return LeaseEnd(self.lease.seconds)
        if row.released:
            is_assigned = self.ownership.is_fallback_successor_of(entry)
            return LeaseEnd(self.lease.seconds) if is_assigned else None
        if now < self.promised_until.get(entry, 0.0):
            return None
        if now - seen.unchanged_since <= self.lease_expiry_seconds:
            return None
        if self._is_successor(entry, row, now):
            return LeaseEnd()
        if self._is_orphan(entry, now) and self.ownership.is_fallback_successor_of(
            entry
        ):
            silent = now - seen.unchanged_since
            return LeaseEnd(strict=silent < AUTONOMY_EXPIRY_SECONDS)
        return None

    def _is_successor(self, entry: str, row: LeaseRow, now: float) -> bool:
        if row.successor == self.lease.entry:
            return True
        if not row.successor:
            # Without a successor there were no promises, so the lease expired on time.
            return self.ownership.is_fallback_successor_of(entry)
        # The entry that took over the successor replaces it once any promises that the
        # successor may have made have expired.
        successor = self.view.leases.get(row.successor)
        if successor is None or successor.row.fenced_by != self.lease.entry:
            return False
        return now - successor.unchanged_since > 2 * self.lease_expiry_seconds

    def _is_orphan(self, entry: str, now: float) -> bool:
        """Return whether a lease has ended and no successor is left to take it over.

        Follows the chain of successors, all of which must have been silent for
        ``ORPHAN_LEASE_PERIODS``.
        """
        followed = set()
        name = entry
        while name not in followed:
            followed.add(name)
            seen = self.view.leases.get(name)
            if seen is None:
                return True
            if (
                now - seen.unchanged_since
                <= ORPHAN_LEASE_PERIODS * self.lease_expiry_seconds
            ):
                return False
            name = seen.row.fenced_by or seen.row.successor
        return True

    async def _take_over(
        self, entry: str, seen: ObservedLease, lease_end: LeaseEnd
    ) -> None:
        # Kept if the answer is lost, because the write may take effect later.
        self.started_takeovers[entry] = StartedTakeover(seen.version, lease_end)
        fenced = msgspec.structs.replace(seen.row, fenced_by=self.lease.entry)
        write = Write(lease_key(entry), msgspec.json.encode(fenced), seen.version)
        owned = {r: s for r, s in self.view.ranges.items() if s.row.owner == entry}
        writes = [write, *self._range_writes(owned, lease_end.strict)]
        result = await self.platform.transact([*writes, self._own_lease_check()])
        match result:
            case Result(tag="ok", ok=Committed()):
                logger.warning("took over %d ranges of %s", len(owned), entry)
            case Result(tag="ok", ok=Conflict()):
                self.started_takeovers.pop(entry, None)
            case Result(error=error) if error.took_effect is False:
                self.started_takeovers.pop(entry, None)
        await self.view.refresh()

    async def _take_over_late_ranges(self) -> None:
        """Take over ranges that a fenced entry created just before it was fenced."""
        owned = {
            range_id: seen
            for range_id, seen in self.view.ranges.items()
            if seen.row.owner != self.lease.entry
            and self.view.final_successor(seen.row.owner) == self.lease.entry
        }
        if owned:
            writes = self._range_writes(owned, strict=False)
            await self.platform.transact([*writes, self._own_lease_check()])
            await self.view.refresh()

    def _own_lease_check(self) -> Write:
        """Return a check that this entry was not taken over itself.

        It prevents two entries from taking over each other.
        """
        key = lease_key(self.lease.entry)
        return Write(key, None, self.lease.version, check_only=True)

    def _range_writes(
        self, owned: dict[int, ObservedRange], strict: bool
    ) -> list[Write]:
        writes = []
        for range_id, seen in owned.items():
            former = seen.row
            row = RangeRow(
                owner=self.lease.entry,
                epoch=former.epoch + 1,
                doubtful=True,
                former=former.owner,
                strict=strict or former.strict,
            )
            content = msgspec.json.encode(row)
            writes.append(Write(range_key(range_id), content, seen.version))
        return writes

    def _start_recoveries(self) -> None:
        """Start recovering the ranges that the table shows as taken over.

        The table is used because the answer to the transaction may be lost.
        """
        new: dict[str, dict[RangeId, RangeRow]] = {}
        for range_id, seen in self.view.ranges.items():
            row = seen.row
            mine = row.owner == self.lease.entry and row.doubtful
            if mine and RangeId(range_id) not in self.ownership.owned:
                new.setdefault(row.former, {})[RangeId(range_id)] = row
        for former, rows in new.items():
            self.recovery.begin(self._taken_over_ranges(former, rows))

    def _taken_over_ranges(
        self, former: str, rows: dict[RangeId, RangeRow]
    ) -> TakenOverRanges:
        started = self.started_takeovers.get(former)
        dead = [*self.view.transitively_fenced_by(former), former]
        return TakenOverRanges(
            former=former,
            dead_leases={e: self.view.leases[e] for e in dead if e in self.view.leases},
            ranges={range_id: Epoch(row.epoch) for range_id, row in rows.items()},
            grants_seconds=started.lease_end.grants_seconds
            if started
            else self.lease.seconds,
            strict_seconds=AUTONOMY_EXPIRY_SECONDS if _any_strict(rows) else 0.0,
        )

    def forget(self, entry: str) -> None:
        """Drop the state kept for an entry whose rows were removed."""
        self.started_takeovers.pop(entry, None)
        self.promised_until.pop(entry, None)


def _any_strict(rows: dict[RangeId, RangeRow]) -> bool:
    return any(row.strict for row in rows.values())
