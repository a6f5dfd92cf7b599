"""The stand-in's transactional table and objects, without delays or faults."""

from bisect import bisect_right
from collections import OrderedDict
from dataclasses import dataclass

from bergamotcourse.protocol.platform import (
    ABSENT,
    Changes,
    Committed,
    Conflict,
    Row,
    Write,
)
from bergamotcourse.protocol.platform_wire import SincePage, StoredRow

REMEMBERED_WRITERS = 100_000
"""Number of verdicts kept for repeated writer ids; the oldest are evicted first."""

LOG_SLACK_ENTRIES = 1024
"""Superseded log entries beyond one per row that do not yet cause a compaction."""

Verdict = Committed | Conflict


@dataclass(frozen=True)
class LogEntry:
    """A change of one row; it is superseded once the row has a later version."""

    version: int
    key: str


class Table:
    """Rows under one version counter.

    A transaction with a repeated writer id changes nothing and gets the first
    verdict again, whether commit or conflict. So a delayed copy of a transaction
    can never take effect after its sender has received an answer.

    Attributes:
        version: Increases by one with each committed transaction.
        writer_limit: Number of writer ids whose verdicts are kept.
        rows: The latest state of each key that was ever written.
        log: Changes in version order.
        verdicts: First verdicts by writer id, oldest first.
        objects: Contents by name.
    """

    def __init__(self, writer_limit: int = REMEMBERED_WRITERS):
        self.version = 0
        self.writer_limit = writer_limit
        self.rows: dict[str, StoredRow] = {}
        self.log: list[LogEntry] = []
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.objects: dict[str, bytes] = {}

    def transact(self, writer: str, writes: list[Write]) -> Verdict:
        """Apply all writes or none; an empty writer id is not remembered."""
        if writer in self.verdicts:
            return self.verdicts[writer]
        verdict = self._decide(writer, writes)
        if writer:
            self._remember(writer, verdict)
        return verdict

    def get(self, key: str) -> StoredRow:
        """Return the row of a key; version ``ABSENT`` if it was never written."""
        return self.rows.get(key) or StoredRow(key, ABSENT, None)

    def read_since(self, prefix: str, version: int) -> Changes:
        """Return all rows under a prefix that changed after a version."""
        return Changes(self.version, self._changed(prefix, version, None))

    def read_page(self, prefix: str, version: int, limit: int) -> SincePage:
        """Return at least ``limit`` changed rows, or all if there are fewer.

        A page contains only whole transactions, so it may exceed the limit.
        """
        rows = self._changed(prefix, version, limit)
        more = len(rows) >= limit and rows[-1].version < self.version
        return SincePage(rows[-1].version if more else self.version, rows, more)

    def put_object(self, name: str, content: bytes) -> bool:
        """Store an object; return false if it exists with other content."""
        return self.objects.setdefault(name, content) == content

    def _decide(self, writer: str, writes: list[Write]) -> Verdict:
        stale = [write.key for write in writes if not self._is_precondition_met(write)]
        if stale:
            return Conflict([self.get(key).row() for key in stale])
        self.version += 1
        for write in writes:
            if not write.check_only:
                self._apply(writer, write)
        self._compact()
        return Committed(self.version)

    def _is_precondition_met(self, write: Write) -> bool:
        row = self.get(write.key)
        if write.expected is None or row.version == write.expected:
            return True
        return write.expected == ABSENT and row.value is None

    def _apply(self, writer: str, write: Write) -> None:
        row = StoredRow(write.key, self.version, write.value, writer)
        self.rows[write.key] = row
        self.log.append(LogEntry(self.version, write.key))

    def _remember(self, writer: str, verdict: Verdict) -> None:
        self.verdicts[writer] = verdict
        while len(self.verdicts) > self.writer_limit:
            self.verdicts.popitem(last=False)

    def _changed(self, prefix: str, version: int, limit: int | None) -> list[Row]:
        start = bisect_right(self.log, version, key=lambda entry: entry.version)
        rows: dict[str, Row] = {}
        last = version
        for index in range(start, len(self.log)):
            entry = self.log[index]
            if limit is not None and len(rows) >= limit and entry.version > last:
                break
            if self._is_current(entry) and entry.key.startswith(prefix):
                rows[entry.key] = self.rows[entry.key].row()
                last = entry.version
        return list(rows.values())

    def _is_current(self, entry: LogEntry) -> bool:
        return self.rows[entry.key].version == entry.version

    def _compact(self) -> None:
        if len(self.log) > 2 * len(self.rows) + LOG_SLACK_ENTRIES:
            self.log = [entry for entry in self.log if self._is_current(entry)]
