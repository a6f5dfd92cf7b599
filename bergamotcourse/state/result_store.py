"""Store of recent results at an agent, bounded in bytes.

An entry that lost a result, or the successor of a failed entry, requests it again.
"""

from collections import OrderedDict
from typing import Protocol


class StoredResult(Protocol):
    """A result, of which only the body is used here."""

    body: bytes


RESULT_OVERHEAD_BYTES = 400
"""Counted for each result in addition to its body."""


class ResultStore:
    """Keeps the newest results up to a total size.

    Attributes:
        limit: Maximum size of the stored results, in bytes.
        size: Current size of the stored results, in bytes.
        results: The results by submission id and task index, oldest first.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.size = 0
        self.results: OrderedDict[tuple[bytes, int], StoredResult] = OrderedDict()

    def add(self, submission: bytes, index: int, result: StoredResult) -> None:
        """Store a result and evict the oldest results beyond the limit."""
        self.discard(submission, index)
        self.results[(submission, index)] = result
        self.size += RESULT_OVERHEAD_BYTES + len(result.body)
        while self.size > self.limit and self.results:
            _, oldest = self.results.popitem(last=False)
            self.size -= RESULT_OVERHEAD_BYTES + len(oldest.body)

    def discard(self, submission: bytes, index: int) -> None:
        """Remove a result if it is stored."""
        removed = self.results.pop((submission, index), None)
        if removed is not None:
            self.size -= RESULT_OVERHEAD_BYTES + len(removed.body)

    def get(self, submission: bytes, index: int) -> StoredResult | None:
        """Return a stored result, or ``None`` if it is not stored."""
        return self.results.get((submission, index))
