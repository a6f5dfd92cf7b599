"""Claims of submissions, as recorded by the entry that owns their ranges.

Each record names the holder of a submission's claim. Records are evicted when the
retention since their last change expires. That is safe because keys older than the
retention are refused.
"""

from collections import OrderedDict
from dataclasses import dataclass

from bergamotcourse.ids import Attempt, EntryId, LinkAddress, RangeId
from bergamotcourse.protocol.outcome import Outcome


@dataclass(slots=True)
class LedgerRecord:
    """The claim of a submission; times are in milliseconds on the owner's clock.

    Attributes:
        digest: Hash of the request.
        entry: The claimant; empty if only its address is known.
        at_ms: Time of the last change.
        claimed_ms: Time of the claim, or an earlier time.
        outcome: The final outcome; ``None`` until it is known.
        run: Random number of the claimant's run; 0 if unknown.
        grant: Number of the newest grant; 0 if a former owner granted it.
        granted_until_ms: The claimant sends no start of the attempt after this time.
        restored: The record comes from a former owner's journal, so a later attempt may
            be missing.
    """

    range: RangeId
    digest: bytes
    entry: EntryId
    address: LinkAddress
    attempt: Attempt
    at_ms: int
    claimed_ms: int
    outcome: Outcome | None = None
    run: int = 0
    grant: int = 0
    granted_until_ms: int = 0
    restored: bool = False


class Ledger:
    """The claims in all ranges that an entry owns.

    Attributes:
        retention_ms: Milliseconds for which a record is kept after its last change.
        records: The records by submission id, least recently changed first.
        limit: Maximum number of records; new claims beyond it are refused.
    """

    def __init__(self, retention_ms: int, limit: int = 400_000):
        self.retention_ms = retention_ms
        self.limit = limit
        self.records: OrderedDict[bytes, LedgerRecord] = OrderedDict()

    def get(self, submission: bytes) -> LedgerRecord | None:
        """Return the record of a submission, or ``None``."""
        return self.records.get(submission)

    def put(self, submission: bytes, record: LedgerRecord) -> None:
        """Add or replace a record and mark it as the most recently changed."""
        self.records[submission] = record
        self.records.move_to_end(submission)

    def is_full(self, now_ms: int) -> bool:
        """Evict expired records and return whether there is no room for a new one."""
        self.evict_expired(now_ms)
        return len(self.records) >= self.limit

    def evict_expired(self, now_ms: int) -> None:
        """Remove the records whose retention has expired."""
        while self.records:
            submission, record = next(iter(self.records.items()))
            if now_ms - record.at_ms <= self.retention_ms:
                return
            del self.records[submission]

    def drop_ranges(self, ranges: set[int]) -> None:
        """Remove the records of ranges that this entry no longer owns."""
        gone = [s for s, record in self.records.items() if record.range in ranges]
        for submission in gone:
            del self.records[submission]
