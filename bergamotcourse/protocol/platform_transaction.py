"""One transaction over calls whose answers may be lost.

Each transaction has a unique writer id, which the platform stores with each row that
the transaction writes. The platform's answer to the transaction is final. After a call
with unknown outcome, the transaction is not retried until one of its written rows (the
witness) has been read back:

* The row's writer is this transaction: it is committed at the row's version.
* The row still has the expected version: no copy has taken effect so far. The same
  transaction is sent again with the same writer id.
* Otherwise another transaction wrote the row. This looks like a conflict, but this
  transaction may have taken effect first and been overwritten, so its outcome remains
  unknown.

A delayed first copy may still be in flight when the second is sent. At most one of them
takes effect, because both expect the same version of the witness, and because the
platform answers a repeated writer id with its first verdict, commit or conflict. The
latter requires that the platform remembers writer ids for longer than a call can be in
flight. For the same reason, a read never turns an outcome that was once unknown into
"did not take effect".

A transaction without a conditional write has no such guard and is not retried after an
unknown outcome. A transaction that only checks versions changes nothing and is retried
without a read.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.protocol.attempts import Attempts
from bergamotcourse.protocol.platform import (
    ABSENT,
    Committed,
    Conflict,
    PlatformError,
    Write,
)
from bergamotcourse.protocol.platform_channel import CallError, PlatformChannel
from bergamotcourse.protocol.platform_wire import (
    TRANSACT_TARGET,
    StoredRow,
    TransactAnswer,
    TransactCall,
)

Verdict = Committed | Conflict
ReadStored = Callable[
    [list[str], float], Awaitable[Result[list[StoredRow], PlatformError]]
]
"""Reads the rows of some keys, with a deadline on trio's clock."""


class ReadBackEvidence(Enum):
    """What the witness shows of a transaction that it does not prove committed.

    Attributes:
        NOT_APPLIED_YET: No copy of the transaction has taken effect so far.
        INCONCLUSIVE: The transaction may or may not have taken effect.
    """

    NOT_APPLIED_YET = "not_yet"
    INCONCLUSIVE = "none"


class Transaction:
    """One transaction, until its outcome is known or its attempts are exhausted.

    Attributes:
        call: The call, which is identical in each copy.
        outcome_unknown: An earlier copy may have taken effect, or may still do so.
    """

    def __init__(
        self,
        channel: PlatformChannel,
        read_stored: ReadStored,
        call: TransactCall,
        attempts: Attempts,
    ):
        self.channel = channel
        self.read_stored = read_stored
        self.call = call
        self.attempts = attempts
        self.witness = find_witness(call.writes)
        self.outcome_unknown = False

    async def run(self) -> Result[Verdict, PlatformError]:
        """Return the verdict, or an error that says whether it may have had effect."""
        while True:
            sent = await self._send()
            if sent.is_ok():
                return Ok(sent.ok)
            error = sent.error
            self.outcome_unknown = self.outcome_unknown or error.took_effect is None
            evidence = await self._read_back()
            if isinstance(evidence, Committed):
                return Ok(evidence)
            may_resend = (
                error.retryable and evidence is ReadBackEvidence.NOT_APPLIED_YET
            )
            if not may_resend or not await self.attempts.wait_for_retry():
                return Error(
                    error.to_platform_error(None if self.outcome_unknown else False)
                )

    async def _send(self) -> Result[Verdict, CallError]:
        body = msgspec.msgpack.encode(self.call)
        answer = await self.channel.call(
            "POST", TRANSACT_TARGET, body, self.attempts.attempt_timeout()
        )
        decoded = answer.bind(partial(self.channel.decode, TransactAnswer))
        return decoded.map(TransactAnswer.verdict)

    async def _read_back(self) -> Committed | ReadBackEvidence:
        if not self.outcome_unknown or self.witness is None:
            return ReadBackEvidence.NOT_APPLIED_YET
        rows = await self.read_stored([self.witness.key], self.attempts.deadline)
        if rows.is_error():
            return ReadBackEvidence.INCONCLUSIVE
        return evaluate_witness(self.witness, rows.ok[0], self.call.writer)


def find_witness(writes: list[Write]) -> Write | None:
    """Return the write whose row is read back.

    A guarded write is preferred; ``None`` if the transaction writes nothing.
    """
    written = [write for write in writes if not write.check_only]
    guarded = [write for write in written if is_guarded(write)]
    return next(iter(guarded + written), None)


def is_guarded(write: Write) -> bool:
    """Return whether a repetition of the write would fail because of the first."""
    deletes_nothing = write.expected == ABSENT and write.value is None
    return write.expected is not None and not deletes_nothing


def evaluate_witness(
    witness: Write, row: StoredRow, writer: str
) -> Committed | ReadBackEvidence:
    """Return what the witness's row shows of the transaction with a writer id."""
    if row.writer == writer:
        return Committed(row.version)
    if is_guarded(witness) and row.version == witness.expected:
        return ReadBackEvidence.NOT_APPLIED_YET
    return ReadBackEvidence.INCONCLUSIVE
