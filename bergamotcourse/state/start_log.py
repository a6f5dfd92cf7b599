"""An agent's log of the starts that it admitted, which ensures at-most-once execution.

A start is admitted only if all of the following hold: its range's epoch is not older
than the newest one that the agent has seen, its token was issued by this agent process
and has not expired, no other request was started under its submission's id, its
submission is not barred up to its attempt, and the task was never started before. All
times are on the agent's own monotonic clock.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from bergamotcourse.ids import Token

TOKEN_TIME_BITS = 40
"""Low bits of a token that hold its time in milliseconds, below the boot number."""


class Admission(Enum):
    """The decision on a start; each refusal has its reason as the value."""

    ADMITTED = "admitted"
    DUPLICATE = "a copy of a start seen before"
    ALREADY_STARTED = "already started here by an earlier attempt"
    OLD_EPOCH = "the range has a newer epoch"
    STALE_TOKEN = "the token is too old"
    BARRED = "the submission is barred"
    OTHER_REQUEST = "another request was started here under the key"
    EPOCHS_UNKNOWN = "the agent does not know the ranges' epochs yet"
    FULL = "the start log is full"


class StartMessage(Protocol):
    """The fields of a start message that the start log reads."""

    submission: bytes
    index: int
    attempt: int
    dispatch: int
    range: int
    epoch: int
    token: int
    digest: bytes


@dataclass
class StartedSubmission:
    """The tasks of a submission that an agent started.

    Attributes:
        range: Range of the submission; negative if it has none or it is not known.
        at_ms: Time at which a task was last admitted or the submission last barred.
        claimant: Link address of the entry that sent the last admitted start.
        digest: Hash of the whole submission.
        attempt: The highest attempt of an admitted start.
        barred: Attempts up to this one are refused; 0 for none.
        orders: The newest attempt and dispatch seen, by task; a start that is not newer
            is a duplicate.
        refused: Tasks that were admitted but provably did not run.
    """

    range: int
    at_ms: int
    claimant: str = ""
    digest: bytes = b""
    attempt: int = 0
    barred: int = 0
    orders: dict[int, tuple[int, int]] = field(default_factory=dict)
    refused: set[int] = field(default_factory=set)

    def started_tasks(self) -> list[int]:
        """Return the indices of the tasks that may have run, sorted."""
        return sorted(self.orders.keys() - self.refused)


class StartLog:
    """Decides on starts and records the admitted ones for a retention period.

    Attributes:
        boot: Random number of this process, part of each token.
        token_ms: Lifetime of a token in milliseconds.
        retention_ms: Milliseconds for which a start is kept. Must exceed the lifetime
            of a token, after which no copy of the start can be admitted.
        limit: Maximum number of submissions. Beyond it starts are refused, because
            early eviction would allow duplicates.
        epochs_loaded: The epochs of all ranges are known. Until then, starts under a
            range are refused.
        oldest_token_ms: Tokens issued before this time are refused. Once a start was
            refused because the log was full, no copy of it may be admitted later.
        epochs: The newest epoch seen, by range.
        unknown_ranges: Ranges whose epochs are not known although those of others are;
            starts under them are refused.
        submissions: What was started, by submission id, least recently changed first.
    """

    def __init__(
        self,
        boot: int,
        token_ms: int,
        retention_ms: int,
        limit: int = 400_000,
        epochs_loaded: bool = False,
    ):
        self.boot = boot
        self.token_ms = token_ms
        self.retention_ms = max(retention_ms, 2 * token_ms)
        self.limit = limit
        self.epochs_loaded = epochs_loaded
        self.oldest_token_ms = 0
        self.epochs: dict[int, int] = {}
        self.unknown_ranges: set[int] = set()
        self.submissions: OrderedDict[bytes, StartedSubmission] = OrderedDict()

    def issue_token(self, now_ms: int) -> Token:
        """Return a token that is valid from now for the lifetime of a token."""
        return Token((self.boot << TOKEN_TIME_BITS) | now_ms)

    def token_is_current(self, token: int, now_ms: int) -> bool:
        """Return whether this process issued the token and it has not expired."""
        boot, issued_ms = divmod(token, 1 << TOKEN_TIME_BITS)
        if boot != self.boot:
            return False
        if issued_ms < self.oldest_token_ms:
            return False
        return 0 <= now_ms - issued_ms <= self.token_ms

    def admit(self, start: StartMessage, claimant: str, now_ms: int) -> Admission:
        """Decide whether a task may start now, and record it if so.

        Args:
            start: The start message.
            claimant: Link address of the entry that sent it.
            now_ms: Current time in milliseconds.
        """
        if start.range in self.unknown_ranges:
            return Admission.EPOCHS_UNKNOWN
        if not self.epochs_loaded and start.range >= 0:
            return Admission.EPOCHS_UNKNOWN
        if start.epoch < self.epochs.get(start.range, 0):
            return Admission.OLD_EPOCH
        if not self.token_is_current(start.token, now_ms):
            return Admission.STALE_TOKEN
        self.evict_expired(now_ms)
        started = self.submissions.get(start.submission)
        if started is not None and started.digest not in (b"", start.digest):
            # The owner of the range forgets a submission earlier than this log.
            return Admission.OTHER_REQUEST
        if started is None:
            if len(self.submissions) >= self.limit:
                self.oldest_token_ms = now_ms + 1
                return Admission.FULL
            started = StartedSubmission(start.range, now_ms)
            self.submissions[start.submission] = started
        self.epochs[start.range] = start.epoch
        admission = self._admit_task(started, start, now_ms)
        if admission is Admission.ADMITTED:
            started.claimant = claimant
            started.digest = start.digest
        return admission

    def _admit_task(
        self, started: StartedSubmission, start: StartMessage, now_ms: int
    ) -> Admission:
        order = (start.attempt, start.dispatch)
        known = started.orders.get(start.index)
        if known is not None and order <= known:
            return Admission.DUPLICATE
        if start.attempt <= started.barred:
            return Admission.BARRED
        if known is not None and start.index not in started.refused:
            return Admission.ALREADY_STARTED
        started.orders[start.index] = order
        started.refused.discard(start.index)
        started.range = start.range
        started.attempt = max(started.attempt, start.attempt)
        started.at_ms = now_ms
        self.submissions.move_to_end(start.submission)
        return Admission.ADMITTED

    @property
    def lacks_epochs(self) -> bool:
        """Whether the epoch of any range is not known."""
        return not self.epochs_loaded or bool(self.unknown_ranges)

    def withdraw(self, submission: bytes, index: int) -> None:
        """Record that an admitted task provably did not run."""
        started = self.submissions.get(submission)
        if started is not None and index in started.orders:
            started.refused.add(index)

    def fence(self, range_id: int, epoch: int) -> None:
        """Refuse starts with an older epoch of the range from now on."""
        self.epochs[range_id] = max(epoch, self.epochs.get(range_id, 0))

    def bar(self, submission: bytes, attempt: int, now_ms: int) -> list[int]:
        """Refuse starts of a submission up to an attempt; return the tasks started.

        Attempt 0 bars nothing and only returns the tasks.
        """
        started = self.submissions.get(submission)
        if not attempt:
            return started.started_tasks() if started else []
        if started is None:
            started = StartedSubmission(-1, now_ms)
            self.submissions[submission] = started
        started.barred = max(started.barred, attempt)
        started.at_ms = now_ms
        self.submissions.move_to_end(submission)
        return started.started_tasks()

    def digest(self, submission: bytes) -> bytes:
        """Return the hash of a submission that was started here, or ``b""``."""
        started = self.submissions.get(submission)
        return started.digest if started else b""

    def coverage_ms(self, uptime_ms: int) -> int:
        """Return for how many milliseconds back the log is complete.

        Args:
            uptime_ms: Milliseconds since the agent process started.
        """
        return min(uptime_ms, self.retention_ms)

    def submissions_started_in(
        self, ranges: set[int]
    ) -> list[tuple[bytes, StartedSubmission]]:
        """Return the submissions in the ranges of which a task may have run."""
        return [
            (submission, started)
            for submission, started in self.submissions.items()
            if started.range in ranges and started.started_tasks()
        ]

    def evict_expired(self, now_ms: int) -> None:
        """Remove the submissions whose retention has expired."""
        while self.submissions:
            submission, started = next(iter(self.submissions.items()))
            if now_ms - started.at_ms <= self.retention_ms:
                return
            del self.submissions[submission]
