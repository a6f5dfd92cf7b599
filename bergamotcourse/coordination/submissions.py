"""Runs submissions: claims and dispatches them, or joins the entry with the claim."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from expression import Result

from bergamotcourse.coordination.admission import Refusal
from bergamotcourse.coordination.claimant import Claimant, ClaimRequest, NotStartedProof
from bergamotcourse.coordination.dispatcher import Dispatcher
from bergamotcourse.coordination.joining import (
    CONFLICT,
    STILL_RUNNING,
    Completed,
    Joiner,
    Refused,
    SubmissionAnswer,
)
from bergamotcourse.coordination.tasks import synthetic_result
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress, SubmissionId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    Answer,
    AskAnswer,
    ClaimRefused,
    Granted,
    Joined,
    TaskResult,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.answers import AnswerStore
from bergamotcourse.state.keys import KeyKind
from bergamotcourse.state.submission import Submission

MAX_PROOFS = 3
"""Maximum number of proofs for one submission. A proof can be outdated on arrival, if
another entry has proved the same or the claimant has been granted more time."""

NOT_PROVED = "it is not proved that no other entry ran it"

__all__ = ["Completed", "Refused", "SubmissionAnswer", "Submissions", "overall_outcome"]


@dataclass
class Joining:
    """A keyed submission without an answer yet; callers with the same key join it.

    Attributes:
        digest: Hash of the request.
        decided: Set once it runs at this entry, or has an answer otherwise.
        answered: Set once it has an answer.
        answer: The answer, once it is set.
    """

    digest: bytes
    decided: trio.Event = field(default_factory=trio.Event)
    answered: trio.Event = field(default_factory=trio.Event)
    answer: SubmissionAnswer | None = None


class Submissions:
    """All submissions at one entry.

    Attributes:
        nursery: Runs keyed submissions, which continue after their caller disconnects.
        max_run_seconds: Maximum run time of a submission; much shorter than the
            retention of answers.
        joining: Keyed submissions without an answer yet, by id.
        on_granted: Called with each submission whose claim is granted.
    """

    def __init__(
        self,
        claimant: Claimant,
        dispatcher: Dispatcher,
        joiner: Joiner,
        answers: AnswerStore,
        mailer: Mailer,
        timers: Timers,
    ):
        self.claimant = claimant
        self.dispatcher = dispatcher
        self.joiner = joiner
        self.answers = answers
        self.mailer = mailer
        self.timers = timers
        self.max_run_seconds = answers.retention_seconds / 2
        self.nursery: trio.Nursery | None = None
        self.joining: dict[bytes, Joining] = {}
        self.on_granted: Callable[[Submission], None] = lambda _submission: None
        dispatcher.may_start = claimant.permits_start
        dispatcher.renew_grant = self._start_grant_renewal
        dispatcher.fenced_out = claimant.fenced_out

    async def run_unkeyed(self, submission: Submission) -> SubmissionAnswer:
        """Run a request without a key.

        It is cancelled if its caller disconnects, because nobody can submit it again.
        """
        submission.grant = self.claimant.unkeyed_grant()
        refusal = self.dispatcher.submit(submission)
        if refusal is not None:
            return _refused_answer(refusal)
        try:
            await submission.done.wait()
        finally:
            if not submission.done.is_set():
                self.dispatcher.cancel(submission)
        return Completed(submission.results)

    async def run_keyed(
        self, submission: Submission, write_ahead: bool
    ) -> SubmissionAnswer:
        """Run a submission, or join the one under the same key.

        It continues if its caller disconnects, because the caller may submit it again.
        """
        self._cap_deadline(submission)
        while submission.id in self.joining:
            decided = self.joining[submission.id].decided
            if not await self._wait_until(decided, submission.deadline):
                return STILL_RUNNING
        known = self.answers.get(submission.id)
        if known is not None:
            return await self._wait_for_local(submission, known)
        joining = self._start_claim(submission, write_ahead)
        await joining.answered.wait()
        return joining.answer

    def start_keyed(self, submission: Submission, write_ahead: bool) -> Refused | None:
        """Start a submission whose answer is requested later.

        ``wait`` knows it from this call on.

        Returns:
            ``CONFLICT`` if this entry knows another request under the key.
        """
        self._cap_deadline(submission)
        known = self.joining.get(submission.id) or self.answers.get(submission.id)
        if known is None:
            self._start_claim(submission, write_ahead)
        elif known.digest != submission.digest:
            return CONFLICT
        return None

    def find(self, submission_id: bytes) -> Submission | None:
        """Return a submission that runs at this entry or whose answer is kept."""
        return self.answers.get(submission_id)

    async def cancel(self, submission: Submission) -> SubmissionAnswer:
        """Cancel a submission that runs at this entry; return each task's outcome."""
        if not submission.done.is_set():
            self.dispatcher.cancel(submission)
        await submission.final.wait()
        return Completed(submission.results)

    async def wait(
        self, submission_id: SubmissionId, key: KeyKind, deadline: float
    ) -> SubmissionAnswer | None:
        """Wait for a submission of this or another entry.

        Returns:
            Its answer, or ``None`` if it still runs at the deadline.
        """
        joining = self.joining.get(submission_id)
        if joining is not None:
            decided = await self._wait_until(joining.decided, deadline)
            if not decided:
                return None
            if isinstance(joining.answer, Refused):
                return joining.answer
        known = self.answers.get(submission_id)
        if known is not None:
            is_final = await self._wait_until(known.final, deadline)
            return Completed(known.results) if is_final else None
        reply = await self.claimant.look_up(ClaimRequest(submission_id, b"", key))
        if not isinstance(reply, Joined):
            return Refused(reply.outcome, reply.detail)
        left = deadline - self.timers.now()
        match await self.joiner.request_answer(reply, submission_id, b"", left):
            case Result(tag="ok", ok=Answer(known=True, running=False, results=done)):
                return Completed(done)
            case Result(tag="ok", ok=Answer(known=True)):
                return None
            case _:
                return Refused(Outcome.UNKNOWN, "the entry that ran it does not answer")

    async def handle_ask_answer(self, sender: LinkAddress, ask: AskAnswer) -> None:
        """Answer an entry that joins a submission of this entry."""
        deadline = self.timers.now() + ask.wait_ms / 1000
        joining = self.joining.get(ask.submission)
        if joining is not None:
            await self._wait_until(joining.decided, deadline)
        known = self.answers.get(ask.submission)
        if known is None:
            self.mailer.post(sender, Answer(ask.id, False, False, []))
            return
        if ask.digest not in (b"", known.digest):
            self.mailer.post(sender, Answer(ask.id, True, False, [], conflict=True))
            return
        is_final = await self._wait_until(known.final, deadline)
        results = known.results if is_final else []
        self.mailer.post(sender, Answer(ask.id, True, not is_final, results))

    def _cap_deadline(self, submission: Submission) -> None:
        latest = self.timers.now() + self.max_run_seconds
        submission.deadline = min(submission.deadline, latest)

    def _start_claim(self, submission: Submission, write_ahead: bool) -> "Joining":
        joining = Joining(submission.digest)
        self.joining[submission.id] = joining
        self.nursery.start_soon(
            self._claim_and_answer, submission, write_ahead, joining
        )
        return joining

    async def _wait_until(self, event: trio.Event, deadline: float) -> bool:
        with trio.move_on_after(max(0.0, deadline - self.timers.now())):
            await event.wait()
        return event.is_set()

    async def _claim_and_answer(
        self, submission: Submission, write_ahead: bool, joining: Joining
    ) -> None:
        joining.answer = await self._claim_and_run(submission, write_ahead, joining)
        self._mark_decided(submission, joining)
        joining.answered.set()

    def _mark_decided(self, submission: Submission, joining: Joining) -> None:
        if self.joining.get(submission.id) is joining:
            del self.joining[submission.id]
        joining.decided.set()

    async def _wait_for_local(
        self, submission: Submission, known: Submission
    ) -> SubmissionAnswer:
        if known.digest != submission.digest:
            return CONFLICT
        if not await self._wait_until(known.final, submission.deadline):
            return STILL_RUNNING
        return Completed(known.results)

    async def _claim_and_run(
        self, submission: Submission, write_ahead: bool, joining: Joining
    ) -> SubmissionAnswer:
        submission.run = next(self.mailer.request_ids)
        proof = None
        for _ in range(MAX_PROOFS):
            request = ClaimRequest(
                submission.id,
                submission.digest,
                submission.key,
                write_ahead,
                submission.run,
                proof=proof,
            )
            reply, grant = await self.claimant.claim(request, submission.deadline)
            match reply:
                case Granted():
                    submission.grant = grant
                    self.on_granted(submission)
                    return await self._run_granted(submission, joining)
                case ClaimRefused():
                    seconds = reply.retry_after_ms / 1000
                    return Refused(reply.outcome, reply.detail, reply.conflict, seconds)
                case Joined():
                    answer = await self.joiner.join(submission, reply)
                    if not isinstance(answer, NotStartedProof):
                        return answer
                    proof = answer
        return Refused(Outcome.UNKNOWN, NOT_PROVED, retry_after=1.0)

    async def _run_granted(
        self, submission: Submission, joining: Joining
    ) -> SubmissionAnswer:
        self.answers.begin(submission)
        self._mark_decided(submission, joining)
        refusal = self.dispatcher.submit(submission)
        await submission.done.wait()
        outcome = await self._settle(submission)
        if refusal is not None and outcome is Outcome.NOT_RUN:
            return _refused_answer(refusal)
        return Completed(submission.results)

    async def _settle(self, submission: Submission) -> Outcome:
        """Report the outcome to the owner, and keep the answer if there is one."""
        outcome = overall_outcome(submission.results)
        if _may_have_run_elsewhere(submission.results):
            if not await self.claimant.confirm_outcome(submission, outcome):
                _mark_not_run_unknown(submission)
                outcome = overall_outcome(submission.results)
        else:
            self.claimant.report_outcome(submission, outcome)
        if outcome is Outcome.NOT_RUN:
            # It may run under the next attempt, so later callers must not get this.
            self.answers.drop(submission.id)
        else:
            self.answers.finish(submission, self.timers.now())
        submission.final.set()
        return outcome

    def _start_grant_renewal(self, submission: Submission) -> None:
        self.nursery.start_soon(self._reclaim_grant, submission)

    async def _reclaim_grant(self, submission: Submission) -> None:
        """Renew a grant by a new claim, or adopt the answer of the new claimant."""
        held = submission.grant
        await self.claimant.refresh_fenced_owner(held)
        proof = None
        for _ in range(MAX_PROOFS):
            request = ClaimRequest(
                submission.id,
                submission.digest,
                submission.key,
                run=submission.run,
                held_attempt=held.attempt,
                proof=proof,
            )
            reply, grant = await self.claimant.claim(request, submission.deadline)
            match reply:
                case Granted():
                    submission.grant = grant
                    self.dispatcher.resume(submission)
                    return
                case ClaimRefused(outcome=outcome, detail=detail):
                    self.dispatcher.abandon(submission, detail, outcome)
                    return
            match await self.joiner.join(submission, reply):
                case NotStartedProof() as proof:
                    continue
                case Completed(results=results):
                    self.dispatcher.adopt_results(submission, results)
                    return
                case Refused(outcome=outcome, detail=detail):
                    self.dispatcher.abandon(submission, detail, outcome)
                    return
        self.dispatcher.abandon(submission, NOT_PROVED, Outcome.UNKNOWN)


def _refused_answer(refusal: Refusal) -> Refused:
    return Refused(Outcome.NOT_RUN, refusal.detail, retry_after=refusal.retry_after)


def _may_have_run_elsewhere(results: list[TaskResult]) -> bool:
    """Return whether tasks reported as not run may have run at another claimant.

    If any task has run, no entry can have proved that none did, and so none can have
    been granted the claim on that proof.
    """
    outcomes = {result.outcome for result in results}
    has_run = outcomes & {Outcome.DONE, Outcome.FAILED}
    return Outcome.NOT_RUN in outcomes and not has_run


def _mark_not_run_unknown(submission: Submission) -> None:
    for index, result in enumerate(submission.results):
        if result.outcome is Outcome.NOT_RUN:
            detail = f"{result.detail}; {NOT_PROVED}"
            unknown = synthetic_result(submission, index, Outcome.UNKNOWN, detail)
            submission.results[index] = unknown


def overall_outcome(results: list[TaskResult]) -> Outcome:
    """Return the outcome of a submission as a whole.

    A mixture of outcomes is unknown if any task's outcome is unknown, otherwise failed.
    """
    outcomes = {result.outcome for result in results}
    if outcomes == {Outcome.DONE}:
        return Outcome.DONE
    if outcomes == {Outcome.NOT_RUN}:
        return Outcome.NOT_RUN
    if Outcome.UNKNOWN in outcomes:
        return Outcome.UNKNOWN
    return Outcome.FAILED
