"""The owner's side of claims: deciding who may start a submission.

Each claim is decided in one step without an await, so that concurrent claims are
ordered. For work that is not idempotent the decision is then journaled before the
reply is sent.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotcourse.coordination.journal import Journal
from bergamotcourse.coordination.key_checks import KeyChecker
from bergamotcourse.coordination.lease_view import MAX_CLOCK_DRIFT_RATIO
from bergamotcourse.coordination.ownership import OwnedRange, Ownership, RangeState
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import Attempt, EntryId, Epoch, LinkAddress, RangeId
from bergamotcourse.protocol.messages import (
    Claim,
    ClaimRefused,
    Finished,
    Granted,
    Joined,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.ledger import Ledger, LedgerRecord

RETRY_AFTER_MS = 1000

EPOCH_SHIFT = 20
"""Attempt numbers carry the epoch in the bits above this one, so that they never equal
the number of an attempt that a former owner granted and that is not recorded here."""

SETTLED_MS_WHILE_RUNNING = -1
"""Reported as ``settled_ms`` while the claimant is known to run the attempt."""

ClaimReply = Granted | Joined | ClaimRefused


@dataclass
class ClaimCounters:
    """Counts of an owner's replies to claims."""

    granted: int = 0
    joined: int = 0
    refused: int = 0
    unknown: int = 0


class ClaimService:
    """Decides claims on the ranges that this entry owns.

    Attributes:
        token_ms: Lifetime of an agent's token, in milliseconds. Once a grant expired
            this long ago, no start under it can be admitted any more.
        runs_here: Returns whether a submission is running at this entry.
    """

    def __init__(
        self,
        ownership: Ownership,
        ledger: Ledger,
        journal: Journal,
        timers: Timers,
        token_seconds: float,
        skew_seconds: float,
        runs_here: Callable[[bytes], bool],
    ):
        self.ownership = ownership
        self.ledger = ledger
        self.journal = journal
        self.timers = timers
        self.token_ms = int(token_seconds * 1000 * (1 + MAX_CLOCK_DRIFT_RATIO))
        self.runs_here = runs_here
        skew_ms = int(skew_seconds * 1000)
        self.key_checker = KeyChecker(ownership, timers, ledger.retention_ms, skew_ms)
        self.counters = ClaimCounters()
        self.grants = ownership.rng.getrandbits(62)

    async def handle_claim(self, sender: LinkAddress, claim: Claim) -> ClaimReply:
        """Decide a claim; for write-ahead claims, journal a grant before replying."""
        reply = self.decide_claim(sender, claim)
        if claim.write_ahead and isinstance(reply, Granted):
            await self.journal.write_now(claim.submission)
            owned = self.ownership.held_range(RangeId(claim.range), self.timers.now())
            if owned is None or owned.epoch != reply.epoch:
                return self._refuse_not_owner(claim)
        return reply

    def decide_claim(self, sender: LinkAddress, claim: Claim) -> ClaimReply:
        """Decide a claim; the decision takes effect immediately."""
        now = self.timers.now()
        owned = self.ownership.held_range(RangeId(claim.range), now)
        if owned is None or owned.state is not RangeState.READY or not self._valid_ms():
            return self._refuse_not_owner(claim)
        record = self.ledger.get(claim.submission)
        if claim.lookup:
            return self._look_up(claim, record)
        if record is not None:
            return self._decide_known_key(sender, claim, owned, record)
        return self._decide_new_key(sender, claim, owned)

    def record_outcome(self, message: Finished) -> bool:
        """Record the final outcome of a submission.

        Returns:
            Whether the claimant certainly held the claim until now, so that no other
            claimant can have run the submission.
        """
        record = self.ledger.get(message.submission)
        if record is None or record.attempt != message.attempt:
            return False
        now_ms = self.timers.now_ms()
        own = record.entry == self.ownership.entry_id
        # The claimant sends no more starts of this attempt.
        record.granted_until_ms = (
            now_ms if own else min(record.granted_until_ms, now_ms)
        )
        record.outcome = message.outcome
        record.restored = False
        record.at_ms = now_ms
        self.ledger.records.move_to_end(message.submission)
        self.journal.enqueue(message.submission)
        return self._is_confirmed_owner(RangeId(message.range))

    def _is_confirmed_owner(self, range_id: RangeId) -> bool:
        now = self.timers.now()
        owned = self.ownership.held_range(range_id, now)
        ready = owned is not None and owned.state is RangeState.READY
        return ready and self.ownership.lease.is_confirmed(now)

    def _decide_known_key(
        self,
        sender: LinkAddress,
        claim: Claim,
        owned: OwnedRange,
        record: LedgerRecord,
    ) -> ClaimReply:
        if record.digest and record.digest != claim.digest:
            detail = "the key was used with another request"
            return self._refuse(claim, Outcome.NOT_RUN, detail, conflict=True)
        if self._is_same_run(sender, claim, record):
            return self._grant_record(claim, owned, record)
        if self._may_grant_new_attempt(claim, owned, record):
            attempt = max(record.attempt + 1, first_attempt(owned.epoch))
            return self._create_record(sender, claim, owned, Attempt(attempt))
        self.counters.joined += 1
        return self._joined_reply(claim, record)

    def _is_same_run(
        self, sender: LinkAddress, claim: Claim, record: LedgerRecord
    ) -> bool:
        """Return whether a claim is a retry or a renewal by the run that holds it."""
        if record.outcome is not None or record.address != sender:
            return False
        is_retry = bool(claim.run) and claim.run == record.run
        return is_retry or claim.held_attempt == record.attempt

    def _may_grant_new_attempt(
        self, claim: Claim, owned: OwnedRange, record: LedgerRecord
    ) -> bool:
        """Return whether it is proved that no task of the submission was started."""
        if record.outcome is Outcome.NOT_RUN:
            # The journal may lack a later attempt that was started.
            return not (record.restored and self.key_checker.may_miss_grants(owned))
        proved = (
            claim.proved_attempt == record.attempt
            and claim.proved_grant == record.grant
            and self._settled_ms(claim.submission, record) == 0
        )
        return proved and record.outcome in (None, Outcome.UNKNOWN)

    def _settled_ms(self, submission: bytes, record: LedgerRecord) -> int:
        """Return the milliseconds until no start of the attempt can be admitted.

        Returns ``SETTLED_MS_WHILE_RUNNING`` if the submission is running at this entry.
        """
        if record.entry == self.ownership.entry_id and self.runs_here(submission):
            return SETTLED_MS_WHILE_RUNNING
        settled_at = record.granted_until_ms + self.token_ms
        return max(0, settled_at - self.timers.now_ms())

    def _look_up(self, claim: Claim, record: LedgerRecord | None) -> ClaimReply:
        if record is None:
            return self._refuse(claim, Outcome.UNKNOWN, "no such submission is known")
        return self._joined_reply(claim, record)

    def _joined_reply(self, claim: Claim, record: LedgerRecord) -> Joined:
        return Joined(
            claim.id,
            record.entry,
            record.address,
            record.attempt,
            age_ms=self.timers.now_ms() - record.claimed_ms,
            grant=record.grant,
            settled_ms=self._settled_ms(claim.submission, record),
        )

    def _decide_new_key(
        self, sender: LinkAddress, claim: Claim, owned: OwnedRange
    ) -> ClaimReply:
        detail = self.key_checker.rejection_reason(claim, owned)
        if detail:
            self.counters.unknown += 1
            return self._refuse(claim, Outcome.UNKNOWN, detail)
        if self.ledger.is_full(self.timers.now_ms()):
            detail = "too many submissions are stored"
            return self._refuse(claim, Outcome.NOT_RUN, detail, retry=True)
        return self._create_record(sender, claim, owned, first_attempt(owned.epoch))

    def _create_record(
        self,
        sender: LinkAddress,
        claim: Claim,
        owned: OwnedRange,
        attempt: Attempt,
    ) -> Granted:
        now_ms = self.timers.now_ms()
        record = LedgerRecord(
            range=RangeId(claim.range),
            digest=claim.digest,
            entry=EntryId(claim.entry),
            address=sender,
            attempt=attempt,
            at_ms=now_ms,
            claimed_ms=now_ms,
            run=claim.run,
        )
        self.ledger.put(claim.submission, record)
        self.journal.enqueue(claim.submission)
        return self._grant_record(claim, owned, record)

    def _grant_record(
        self, claim: Claim, owned: OwnedRange, record: LedgerRecord
    ) -> Granted:
        self.counters.granted += 1
        self.grants += 1
        valid_ms = self._valid_ms()
        record.grant = self.grants
        record.run = claim.run
        record.entry = EntryId(claim.entry)
        record.granted_until_ms = self.timers.now_ms() + valid_ms
        return Granted(claim.id, owned.epoch, record.attempt, valid_ms)

    def _valid_ms(self) -> int:
        left = self.ownership.lease.valid_until() - self.timers.now()
        return max(0, int(left * 1000))

    def _refuse_not_owner(self, claim: Claim) -> ClaimRefused:
        # The outcome cannot be "not run": another owner may have granted the key.
        detail = "this entry does not own the key's range now"
        return self._refuse(claim, Outcome.UNKNOWN, detail, retry=True)

    def _refuse(
        self,
        claim: Claim,
        outcome: Outcome,
        detail: str,
        conflict: bool = False,
        retry: bool = False,
    ) -> ClaimRefused:
        self.counters.refused += 1
        retry_ms = RETRY_AFTER_MS if retry else 0
        return ClaimRefused(claim.id, outcome, conflict, detail, retry_ms)


def first_attempt(epoch: Epoch) -> Attempt:
    """Return the number of the first attempt granted under an epoch."""
    return Attempt((epoch << EPOCH_SHIFT) | 1)
