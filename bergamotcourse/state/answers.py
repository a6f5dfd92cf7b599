"""Store of submissions, from which an entry answers resubmissions."""

from collections import OrderedDict

from bergamotcourse.state.submission import Submission

SUBMISSION_OVERHEAD_BYTES = 1000
"""Counted for each completed submission in addition to its result bodies."""


class AnswerStore:
    """Keeps running submissions, and completed ones up to a size and an age.

    Running submissions are never evicted. Of the completed ones, the one that completed
    first is evicted first.

    Attributes:
        limit: Maximum size of the completed submissions, in bytes.
        retention_seconds: Maximum age of a completed submission, in seconds.
        size: Current size of the completed submissions, in bytes.
        running: The running submissions, by id.
        done: Completion time, size in bytes and submission, by id, in the order of
            completion.
    """

    def __init__(self, limit: int, retention_seconds: float):
        self.limit = limit
        self.retention_seconds = retention_seconds
        self.size = 0
        self.running: dict[bytes, Submission] = {}
        self.done: OrderedDict[bytes, tuple[float, int, Submission]] = OrderedDict()

    def get(self, submission: bytes) -> Submission | None:
        """Return a running or completed submission, or ``None`` if it is not stored."""
        running = self.running.get(submission)
        if running is not None:
            return running
        kept = self.done.get(submission)
        return kept[2] if kept else None

    def begin(self, submission: Submission) -> None:
        """Add a running submission; replaces an earlier one with the same id."""
        self.drop(submission.id)
        self.running[submission.id] = submission

    def finish(self, submission: Submission, now: float) -> None:
        """Move a submission from running to completed; ignored unless it is running."""
        if self.running.pop(submission.id, None) is None:
            return
        size = SUBMISSION_OVERHEAD_BYTES + sum(
            len(result.body) for result in submission.results
        )
        self.done[submission.id] = (now, size, submission)
        self.size += size
        self._evict(now)

    def drop(self, submission: bytes) -> None:
        """Remove a submission, whether running or completed."""
        self.running.pop(submission, None)
        kept = self.done.pop(submission, None)
        if kept is not None:
            self.size -= kept[1]

    def _evict(self, now: float) -> None:
        while self.done:
            submission, (at, _, _) = next(iter(self.done.items()))
            if self.size <= self.limit and now - at <= self.retention_seconds:
                return
            self.drop(submission)
