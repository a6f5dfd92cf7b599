"""Removal of the rows of entries that were taken over, once they are not needed.

Without it the table would grow with every entry process ever started. The rows of an
entry are removed by the entry that took it over, after everything that it had granted
is in that entry's own journal. A taken-over home range is removed when all keys handed
out under it exceed the retention period.
"""

from bergamotcourse.coordination.lease_view import LeaseView
from bergamotcourse.coordination.ownership import FIRST_EPOCH, Ownership
from bergamotcourse.coordination.range_recovery import RangeRecovery
from bergamotcourse.coordination.takeover import Takeover
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import RangeId
from bergamotcourse.protocol.platform import Platform, Write
from bergamotcourse.state.lease_rows import (
    HASHED_RANGES,
    journal_prefix,
    lease_key,
    range_key,
)

MAX_DELETIONS_PER_TRANSACTION = 50


class TakeoverCleanup:
    """Removes the rows of entries that this entry has taken over.

    Attributes:
        keep_seconds: Retention period of submissions.
    """

    def __init__(
        self,
        view: LeaseView,
        ownership: Ownership,
        recovery: RangeRecovery,
        takeover: Takeover,
        platform: Platform,
        timers: Timers,
        keep_seconds: float,
    ):
        self.view = view
        self.ownership = ownership
        self.recovery = recovery
        self.takeover = takeover
        self.platform = platform
        self.timers = timers
        self.keep_seconds = keep_seconds

    async def watch(self) -> None:
        """Remove rows that are not needed any more, at most one entry and one range."""
        if not self.ownership.lease.is_confirmed(self.timers.now()):
            return
        await self._remove_expired_range()
        for entry, seen in self.view.leases.items():
            if seen.row.fenced_by and self._is_removable(entry):
                await self._remove(entry, seen.version)
                return

    def _is_removable(self, entry: str) -> bool:
        own_id = self.ownership.entry_id
        if self.view.final_successor(entry) != own_id or self.recovery.needs_rows_of(
            entry
        ):
            return False
        if self.view.transitively_fenced_by(entry):
            return False
        if self.view.undecodable_ranges:
            # One of them may name the entry.
            return False
        rows = self.view.ranges.values()
        if any(entry in (one.row.owner, one.row.former) for one in rows):
            return False
        leases = self.view.leases.values()
        return not any(
            one.row.successor == entry and not one.row.fenced_by for one in leases
        )

    async def _remove(self, entry: str, version: int) -> None:
        journal = await self.platform.read_since(journal_prefix(entry), 0)
        if journal.is_error():
            return
        keys = [row.key for row in journal.ok.rows if row.value is not None]
        for begin in range(0, len(keys), MAX_DELETIONS_PER_TRANSACTION):
            batch = keys[begin : begin + MAX_DELETIONS_PER_TRANSACTION]
            deletions = [Write(key, None, None) for key in batch]
            if (await self.platform.transact(deletions)).is_error():
                return
        await self.platform.transact([Write(lease_key(entry), None, version)])
        self.takeover.forget(entry)

    async def _remove_expired_range(self) -> None:
        now = self.timers.now()
        for range_id, owned in self.ownership.owned.items():
            inherited = range_id >= HASHED_RANGES and owned.epoch > FIRST_EPOCH
            seen = self.view.owner(range_id)
            if not inherited or seen is None or seen.row.doubtful:
                continue
            if now - owned.granting_since > self.keep_seconds:
                await self._remove_range(range_id, seen.version)
                return

    async def _remove_range(self, range_id: RangeId, version: int) -> None:
        result = await self.platform.transact(
            [Write(range_key(range_id), None, version)]
        )
        if result.is_ok():
            await self.view.refresh()
            if self.view.owner(range_id) is None:
                self.ownership.drop({range_id})
