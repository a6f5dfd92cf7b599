"""An agent's memory of what it started: the receiver's side of "at most once".

A start is admitted only if all of these hold: its range's epoch is not older than the
newest the agent has seen, its token was issued by this agent process not longer ago
than the token's life, its submission is not barred up to its attempt, and the task was
never started before. Everything is measured on the agent's own monotonic clock.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from bergamotcourse.ids import Token

TOKEN_TIME_BITS = 40
"""A token is the process's random part above so many bits of milliseconds."""


class Admission(Enum):
    """Whether a task may start, and if not, why."""

    ADMITTED = "admitted"
    COPY = "a copy of a start seen before"
    ALREADY_STARTED = "already started here by an earlier attempt"
    OLD_EPOCH = "the range has a newer epoch"
    STALE_TOKEN = "the token is too old"
    BARRED = "the submission is barred"
    CLOSED = "the agent does not know the ranges' epochs yet"
    FULL = "the start log is full"


class StartOrder(Protocol):
    """What the start log reads of a start."""

    submission: bytes
    index: int
    attempt: int
    dispatch: int
    range: int
    epoch: int
    token: int
    digest: bytes


@dataclass
class Started:
    """What an agent started for one submission.

    Attributes:
        at_ms: When its last task was admitted.
        claimant: Link address of the entry that sent the last start.
        digest: Hash of the whole submission.
        barred: Attempts up to this one are refused; 0 for none.
        orders: By task, the newest attempt and dispatch seen; a start that is not
            newer is a copy.
        refused: Tasks that were seen and provably did not run.
    """

    range: int
    at_ms: int
    claimant: str = ""
    digest: bytes = b""
    attempt: int = 0
    barred: int = 0
    orders: dict[int, tuple[int, int]] = field(default_factory=dict)
    refused: set[int] = field(default_factory=set)

    def started(self) -> list[int]:
        """Return the tasks that may have run, in order."""
        return sorted(self.orders.keys() - self.refused)


class StartLog:
    """Admits starts and remembers them for a retention.

    Attributes:
        boot: Random number of this process, part of each token.
        keep_ms: Milliseconds for which a start is remembered. Must exceed the
            token's life, after which no copy of the start can be admitted any more.
        limit: The number of submissions remembered; beyond it starts are refused
            rather than forgotten early.
        opened: The epochs of all ranges are known: starts under them are admitted.
        oldest_token_ms: Tokens issued before are refused: once a start was refused
            for want of room, no copy of it may be admitted later.
        epochs: The newest epoch seen of each range.
    """

    def __init__(
        self,
        boot: int,
        token_ms: int,
        keep_ms: int,
        limit: int = 400_000,
        opened: bool = False,
    ):
        self.boot = boot
        self.token_ms = token_ms
        self.keep_ms = max(keep_ms, 2 * token_ms)
        self.limit = limit
        self.opened = opened
        self.oldest_token_ms = 0
        self.epochs: dict[int, int] = {}
        self.submissions: OrderedDict[bytes, Started] = OrderedDict()

    def issue_token(self, now_ms: int) -> Token:
        """Return a token that is good for the token's life from now."""
        return Token((self.boot << TOKEN_TIME_BITS) | now_ms)

    def token_is_current(self, token: int, now_ms: int) -> bool:
        """Return whether this process issued the token within its life."""
        boot, issued_ms = divmod(token, 1 << TOKEN_TIME_BITS)
        if boot != self.boot:
            return False
        if issued_ms < self.oldest_token_ms:
            return False
        return 0 <= now_ms - issued_ms <= self.token_ms

    def admit(self, start: StartOrder, claimant: str, now_ms: int) -> Admission:
        """Return whether a task may start now, and remember it if so."""
        if not self.opened and start.range >= 0:
            return Admission.CLOSED
        if start.epoch < self.epochs.get(start.range, 0):
            return Admission.OLD_EPOCH
        if not self.token_is_current(start.token, now_ms):
            return Admission.STALE_TOKEN
        started = self.submissions.get(start.submission)
        if started is None:
            self.forget_old(now_ms)
            if len(self.submissions) >= self.limit:
                self.oldest_token_ms = now_ms + 1
                return Admission.FULL
            started = Started(start.range, now_ms)
            self.submissions[start.submission] = started
        self.epochs[start.range] = start.epoch
        admission = self._admit_task(started, start, now_ms)
        if admission is Admission.ADMITTED:
            started.claimant = claimant
            started.digest = start.digest
        return admission

    def _admit_task(
        self, started: Started, start: StartOrder, now_ms: int
    ) -> Admission:
        order = (start.attempt, start.dispatch)
        known = started.orders.get(start.index)
        if known is not None and order <= known:
            return Admission.COPY
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

    def withdraw(self, submission: bytes, index: int) -> None:
        """Note that an admitted task provably did not run."""
        started = self.submissions.get(submission)
        if started is not None and index in started.orders:
            started.refused.add(index)

    def fence(self, range_id: int, epoch: int) -> None:
        """Refuse starts of epochs older than this from now on."""
        self.epochs[range_id] = max(epoch, self.epochs.get(range_id, 0))

    def bar(self, submission: bytes, attempt: int, now_ms: int) -> list[int]:
        """Refuse the submission up to an attempt; return the tasks started.

        Attempt 0 refuses nothing.
        """
        started = self.submissions.get(submission)
        if not attempt:
            return started.started() if started else []
        if started is None:
            started = Started(-1, now_ms)
            self.submissions[submission] = started
        started.barred = max(started.barred, attempt)
        started.at_ms = now_ms
        self.submissions.move_to_end(submission)
        return started.started()

    def digest(self, submission: bytes) -> bytes:
        """Return the hash of a submission as started here, or nothing."""
        started = self.submissions.get(submission)
        return started.digest if started else b""

    def memory_ms(self, uptime_ms: int) -> int:
        """Return for how long back all starts are remembered."""
        return min(uptime_ms, self.keep_ms)

    def started_in(self, ranges: set[int]) -> list[tuple[bytes, Started]]:
        """Return the submissions of some ranges of which a task was started."""
        return [
            (submission, started)
            for submission, started in self.submissions.items()
            if started.range in ranges and started.started()
        ]

    def forget_old(self, now_ms: int) -> None:
        """Drop what is older than the retention."""
        while self.submissions:
            submission, started = next(iter(self.submissions.items()))
            if now_ms - started.at_ms <= self.keep_ms:
                return
            del self.submissions[submission]
