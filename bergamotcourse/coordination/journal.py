"""The owner's journal of claims, stored in the platform's table.

Claims are written in batches, one row per flush: asynchronously after the start for
idempotent work, and before it for other work. While the platform is unavailable the
claims are kept pending and are written once it is available again.
"""

import logging
from collections import deque
from dataclasses import dataclass
from itertools import islice, takewhile

import msgspec
import trio
from expression import Result

from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import EntryId
from bergamotcourse.protocol.platform import (
    ABSENT,
    Changes,
    Committed,
    Platform,
    PlatformError,
    Write,
)
from bergamotcourse.state.lease_rows import (
    JournalRecord,
    JournalRow,
    decode_journal_row,
    journal_key,
    journal_prefix,
)
from bergamotcourse.state.ledger import Ledger, LedgerRecord

logger = logging.getLogger(__name__)

FLUSH_INTERVAL_SECONDS = 0.5
MAX_RECORDS_PER_ROW = 2000
MAX_DELETIONS_PER_TRANSACTION = 50


@dataclass(frozen=True)
class ReadJournal:
    """What was read of an owner's journal.

    Attributes:
        records: The records, oldest first.
        complete: Whether all rows could be decoded.
    """

    records: list[JournalRecord]
    complete: bool


class Journal:
    """The journal of one owner.

    Attributes:
        pending: Submissions whose records have not been written yet.
        being_written: Submissions whose records are part of the current write.
        journaled_through_ms: All claims made up to this time on this process's clock
            have been written.
        platform_available: Whether the last write succeeded.
        write_ahead_seconds: Longest time for which a grant waits for its write.
        written_rows: Number and write time, in seconds, of each row, oldest first.
        skipped_rows: Rows of other owners that could not be decoded.
    """

    def __init__(
        self,
        entry: EntryId,
        ledger: Ledger,
        platform: Platform,
        timers: Timers,
        write_ahead_seconds: float = 1.0,
    ):
        self.entry = entry
        self.ledger = ledger
        self.platform = platform
        self.timers = timers
        self.write_ahead_seconds = write_ahead_seconds
        self.pending: dict[bytes, None] = {}
        self.being_written: set[bytes] = set()
        self.next_row_number = 0
        self.written_rows: deque[tuple[int, float]] = deque()
        self.skipped_rows = SkippedRows()
        self.lock = trio.Lock()
        self.platform_available = True
        self.journaled_through_ms = timers.now_ms()
        self.writes = 0
        self.flushes = timers.every(FLUSH_INTERVAL_SECONDS, "journal flush", self.flush)

    def close(self) -> None:
        """Stop writing, because another entry owns the ranges."""
        self.flushes.active = False
        self.pending.clear()

    def enqueue(self, submission: bytes) -> None:
        """Schedule the submission's record for the next flush."""
        self.pending[submission] = None

    async def write_now(self, submission: bytes) -> bool:
        """Write the record and return whether it was written.

        Waits for the write for up to ``write_ahead_seconds``. If the last flush failed
        because the platform is unavailable, returns false immediately.
        """
        self.enqueue(submission)
        if not self.platform_available:
            return False
        with trio.move_on_after(self.write_ahead_seconds):
            while self._is_unwritten(submission) and self.platform_available:
                async with self.lock:
                    # The previous holder of the lock may have written this record too.
                    if submission in self.pending:
                        await self._write_pending()
        return not self._is_unwritten(submission)

    async def flush(self) -> None:
        """Write the records that are pending now, one batch at a time.

        Records added meanwhile are left for the next flush: under load there are always
        more, and a flush that included them would write without a pause.
        """
        async with self.lock:
            await self._write_pending()

    async def _write_pending(self) -> None:
        started_ms = self.timers.now_ms()
        due = len(self.pending)
        while due > 0 and self.pending:
            if not await self._write_batch(min(due, MAX_RECORDS_PER_ROW)):
                return
            due -= MAX_RECORDS_PER_ROW
        self.journaled_through_ms = started_ms

    async def read(self, entry: str) -> Result[ReadJournal, PlatformError]:
        """Return the records journaled by an owner."""
        changes = await self.platform.read_since(journal_prefix(entry), 0)
        return changes.map(self._decode)

    def _decode(self, changes: Changes) -> ReadJournal:
        records: list[JournalRecord] = []
        complete = True
        for row in changes.rows:
            if row.value is None:
                continue
            try:
                records += decode_journal_row(row.value).records
            except ValueError as error:
                self.skipped_rows.log(row, error)
                complete = False
        return ReadJournal(records, complete)

    def _is_unwritten(self, submission: bytes) -> bool:
        return submission in self.pending or submission in self.being_written

    async def _write_batch(self, size: int) -> bool:
        batch = list(islice(self.pending, size))
        # Removed first, so that a change during the write is left for the next one.
        for submission in batch:
            del self.pending[submission]
        self.being_written = set(batch)
        written = False
        try:
            written = await self._write(batch)
        finally:
            # Also reached when the write is cancelled by the time-out of its caller.
            self.being_written = set()
            if not written and self.flushes.active:
                self.pending.update(dict.fromkeys(batch))
        return written

    async def _write(self, batch: list[bytes]) -> bool:
        records = [self._record(submission) for submission in batch]
        row = JournalRow([record for record in records if record is not None])
        content = msgspec.msgpack.encode(row)
        key = journal_key(self.entry, self.next_row_number)
        started_at = self.timers.now()
        deletions = self._deletions(started_at)
        # The row may exist even after an error, so its number is not reused.
        self.written_rows.append((self.next_row_number, started_at))
        self.next_row_number += 1
        self.writes += 1
        result = await self.platform.transact([Write(key, content, ABSENT), *deletions])
        self.platform_available = result.is_ok()
        match result:
            case Result(tag="ok", ok=Committed()):
                for _ in deletions:
                    self.written_rows.popleft()
                return True
            case _:
                return False

    def _record(self, submission: bytes) -> JournalRecord | None:
        record = self.ledger.get(submission)
        return record and journal_record(submission, record)

    def _deletions(self, now: float) -> list[Write]:
        keep = 2 * self.ledger.retention_ms / 1000
        # The oldest are first, so the scan stops early instead of visiting every row.
        old = takewhile(lambda row: now - row[1] > keep, self.written_rows)
        return [
            Write(journal_key(self.entry, number), None, None)
            for number, _ in islice(old, MAX_DELETIONS_PER_TRANSACTION)
        ]


def journal_record(submission: bytes, record: LedgerRecord) -> JournalRecord:
    """Return a ledger record in the form in which it is journaled."""
    return JournalRecord(
        submission=submission,
        range=record.range,
        digest=record.digest,
        entry=record.entry,
        address=record.address,
        attempt=record.attempt,
        outcome=record.outcome,
        claimed_ms=record.claimed_ms,
    )
