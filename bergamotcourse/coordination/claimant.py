"""The claimant's side of claims: locating the range owner and requesting a claim."""

from dataclasses import dataclass, replace

import trio
from expression import Result

from bergamotcourse.coordination.claims import ClaimReply, ClaimService
from bergamotcourse.coordination.lease_view import LeaseView
from bergamotcourse.coordination.ownership import (
    FIRST_EPOCH,
    UNKEYED_RANGE,
    Ownership,
    RangeState,
    hashed_range,
)
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import Attempt, EntryId, LinkAddress, RangeId, SubmissionId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    Claim,
    ClaimRefused,
    Finished,
    FinishedReply,
    Granted,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.keys import HandedOutKey, KeyKind, TimedKey
from bergamotcourse.state.lease_rows import range_key
from bergamotcourse.state.submission import Grant, Submission

CLAIM_TIMEOUT_SECONDS = 1.5
"""Exceeds the longest time for which an owner waits for its journal write."""

CONFIRM_TIMEOUT_SECONDS = 0.5
MIN_CLAIM_TIMEOUT_SECONDS = 0.02
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5


@dataclass(frozen=True)
class NotStartedProof:
    """Proof that no task of an attempt was started and none can be started any more.

    Attributes:
        grant: Number of the attempt's newest grant when the proof was begun.
    """

    attempt: Attempt
    grant: int


@dataclass(frozen=True)
class ClaimRequest:
    """Parameters of a claim.

    Attributes:
        run: Random number that identifies the requesting run.
        held_attempt: Attempt that the claimant holds and wants renewed; 0 for none.
        proof: Proof that a former attempt was not started, or ``None``.
        lookup: Return the holder of the claim without requesting a grant.
    """

    submission: SubmissionId
    digest: bytes
    key: KeyKind
    write_ahead: bool = False
    run: int = 0
    held_attempt: Attempt = Attempt(0)
    proof: NotStartedProof | None = None
    lookup: bool = False

    @property
    def range(self) -> RangeId:
        """Return the range that contains the key."""
        match self.key:
            case HandedOutKey(range=range_id):
                return range_id
            case _:
                return hashed_range(self.submission)


class Claimant:
    """Requests claims from the owners of ranges.

    Attributes:
        claim_retry_seconds: How long a claim is retried while no owner of its range
            responds.
    """

    def __init__(
        self,
        service: ClaimService,
        ownership: Ownership,
        view: LeaseView,
        mailer: Mailer,
        timers: Timers,
        claim_retry_seconds: float,
    ):
        self.service = service
        self.ownership = ownership
        self.view = view
        self.mailer = mailer
        self.timers = timers
        self.claim_retry_seconds = claim_retry_seconds

    @property
    def entry_id(self) -> EntryId:
        """Return this entry's id."""
        return self.ownership.lease.entry

    async def claim(
        self, request: ClaimRequest, deadline: float
    ) -> tuple[ClaimReply, Grant | None]:
        """Claim a submission, retrying with backoff while no owner responds.

        Args:
            request: Parameters of the claim.
            deadline: Seconds on this process's clock.

        Returns:
            The owner's reply, and the grant if the claim was granted.
        """
        retry_deadline = min(deadline, self.timers.now() + self.claim_retry_seconds)
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            requested_at = self.timers.now()
            left = max(MIN_CLAIM_TIMEOUT_SECONDS, retry_deadline - requested_at)
            reply = await self._send_claim(request, min(CLAIM_TIMEOUT_SECONDS, left))
            match reply:
                case Granted(epoch=epoch, attempt=attempt, valid_ms=valid_ms):
                    until = requested_at + valid_ms / 1000
                    return reply, Grant(request.range, epoch, attempt, until)
                case ClaimRefused(retry_after_ms=retry_after_ms) if retry_after_ms:
                    if self.timers.now() + backoff >= retry_deadline:
                        return reply, None
                case _:
                    return reply, None
            await trio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            await self.view.refresh_range(request.range, range_key(request.range))

    async def look_up(self, request: ClaimRequest) -> ClaimReply:
        """Query the owner once for the holder of a submission's claim."""
        return await self._send_claim(replace(request, lookup=True))

    def unkeyed_grant(self) -> Grant:
        """Return the grant for a request without a key, which cannot be resubmitted."""
        return Grant(UNKEYED_RANGE, FIRST_EPOCH, Attempt(1), float("inf"))

    def permits_start(self, submission: Submission) -> bool:
        """Return whether a submission's grant permits starting tasks now."""
        grant = submission.grant
        now = self.timers.now()
        if grant.range == UNKEYED_RANGE:
            return True
        owned = self.ownership.held_range(grant.range, now)
        if owned is not None and owned.epoch == grant.epoch:
            return owned.state is RangeState.READY
        return now < grant.valid_until

    def fenced_out(self, submission: Submission) -> None:
        """Invalidate a submission's grant, because an agent knows a newer epoch.

        If this entry owns the range, it grants nothing more until the platform confirms
        its ownership.
        """
        grant = submission.grant
        if grant.range != UNKEYED_RANGE:
            grant.valid_until = 0.0
            self.ownership.suspend_range(grant.range, grant.epoch)

    async def refresh_fenced_owner(self, grant: Grant) -> None:
        """Reload the owner of a grant's range if the grant was found to be fenced."""
        if not grant.valid_until:
            await self.view.refresh_range(grant.range, range_key(grant.range))

    def report_outcome(self, submission: Submission, outcome: Outcome) -> None:
        """Report the final outcome to the owner, without acknowledgement."""
        message = self._finished_message(0, submission, outcome)
        if submission.grant.range in self.ownership.owned:
            self.service.record_outcome(message)
            return
        address = self._owner_address(submission.grant.range)
        if address is not None:
            self.mailer.post(address, message)

    async def confirm_outcome(self, submission: Submission, outcome: Outcome) -> bool:
        """Report the outcome to the owner and return whether the claim was exclusive.

        Only if no other claimant held the claim does a task that did not run under this
        claim count as not run under the key.
        """
        if submission.grant.range in self.ownership.owned:
            return self.service.record_outcome(
                self._finished_message(0, submission, outcome)
            )
        address = self._owner_address(submission.grant.range)
        if address is None:
            return False
        reply = await self.mailer.request(
            address,
            lambda message_id: self._finished_message(message_id, submission, outcome),
            CONFIRM_TIMEOUT_SECONDS,
        )
        match reply:
            case Result(tag="ok", ok=FinishedReply(held=held)):
                return held
            case _:
                return False

    async def _send_claim(
        self, request: ClaimRequest, timeout: float = CLAIM_TIMEOUT_SECONDS
    ) -> ClaimReply:
        if request.range in self.ownership.owned:
            message = self._claim_message(0, request)
            return await self.service.handle_claim(self.mailer.link.address, message)
        address = self._owner_address(request.range)
        if address is None:
            return self._owner_unavailable("the key's range has no owner that is known")
        reply = await self.mailer.request(
            address,
            lambda message_id: self._claim_message(message_id, request),
            timeout,
        )
        match reply:
            case Result(tag="ok", ok=answer):
                return answer
            case Result(error=error):
                return self._owner_unavailable(str(error))

    def _finished_message(
        self, message_id: int, submission: Submission, outcome: Outcome
    ) -> Finished:
        grant = submission.grant
        return Finished(submission.id, grant.attempt, outcome, message_id, grant.range)

    def _owner_address(self, range_id: RangeId) -> LinkAddress | None:
        seen = self.view.owner(range_id)
        return self.view.address(seen.row.owner) if seen else None

    def _owner_unavailable(self, detail: str) -> ClaimRefused:
        return ClaimRefused(0, Outcome.UNKNOWN, False, detail, 1)

    def _claim_message(self, message_id: int, request: ClaimRequest) -> Claim:
        epoch, made_ms = 0, 0
        match request.key:
            case HandedOutKey(epoch=epoch, made_ms=made_ms):
                pass
            case TimedKey(made_ms=made_ms):
                pass
        return Claim(
            id=message_id,
            submission=request.submission,
            range=request.range,
            digest=request.digest,
            entry=self.entry_id,
            key_epoch=epoch,
            made_ms=made_ms,
            write_ahead=request.write_ahead,
            proved_attempt=request.proof.attempt if request.proof else 0,
            lookup=request.lookup,
            proved_grant=request.proof.grant if request.proof else 0,
            run=request.run,
            held_attempt=request.held_attempt,
        )
