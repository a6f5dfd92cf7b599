"""From a submission to its answer: claim, dispatch, or join whoever has the claim."""

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
from bergamotcourse.coordination.tasks import bare_result
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

MOST_PROOFS = 3
"""A proof may come too late, when someone else has proved the same or the claimant has
been granted more time; so many are made for one submission."""

NOT_PROVED = "it is not proved that no other entry ran it"

__all__ = ["Completed", "Refused", "SubmissionAnswer", "Submissions", "overall"]


@dataclass
class Joining:
    """A submission on its way to an answer.

    Attributes:
        decided: Set once it runs here, or has an answer otherwise.
        answered: Set once there is an answer.
    """

    decided: trio.Event = field(default_factory=trio.Event)
    answered: trio.Event = field(default_factory=trio.Event)
    answer: SubmissionAnswer | None = None


class Submissions:
    """All submissions at one entry.

    Attributes:
        nursery: Runs submissions on after their caller went away.
        on_granted: Called with each submission whose claim is granted.
        longest_seconds: No submission may run for longer; much shorter than
            submissions are remembered.
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
        self.longest_seconds = answers.keep_seconds / 2
        self.nursery: trio.Nursery | None = None
        self.joining: dict[bytes, Joining] = {}
        self.on_granted: Callable[[Submission], None] = lambda _submission: None
        dispatcher.may_start = claimant.permits_start
        dispatcher.renew = self._renew_grant
        dispatcher.fenced_out = claimant.fenced_out

    async def run_unkeyed(self, submission: Submission) -> SubmissionAnswer:
        """Run a request that no one can submit again; a gone caller cancels it."""
        submission.grant = self.claimant.unkeyed_grant()
        refusal = self.dispatcher.submit(submission)
        if refusal is not None:
            return _refused(refusal)
        try:
            await submission.done.wait()
        finally:
            if not submission.done.is_set():
                self.dispatcher.cancel(submission)
        return Completed(submission.results)

    async def run_keyed(
        self, submission: Submission, write_ahead: bool
    ) -> SubmissionAnswer:
        """Run a submission or join the one under the same key.

        A gone caller does not end it: the same submission may come again.
        """
        self._bound(submission)
        while submission.id in self.joining:
            decided = self.joining[submission.id].decided
            if not await self._wait_until(decided, submission.deadline):
                return STILL_RUNNING
        known = self.answers.get(submission.id)
        if known is not None:
            return await self._join_local(submission, known)
        joining = self._begin(submission, write_ahead)
        await joining.answered.wait()
        return joining.answer

    def begin_keyed(self, submission: Submission, write_ahead: bool) -> None:
        """Run a submission that is waited for later; it is known from here on."""
        self._bound(submission)
        known = submission.id in self.joining or self.answers.get(submission.id)
        if not known:
            self._begin(submission, write_ahead)

    def find(self, submission_id: bytes) -> Submission | None:
        """Return a submission that runs here or whose answer is kept."""
        return self.answers.get(submission_id)

    async def cancel(self, submission: Submission) -> SubmissionAnswer:
        """Cancel a submission that runs here; return each task's outcome."""
        if not submission.done.is_set():
            self.dispatcher.cancel(submission)
        await submission.final.wait()
        return Completed(submission.results)

    async def wait(
        self, submission_id: SubmissionId, key: KeyKind, deadline: float
    ) -> SubmissionAnswer | None:
        """Wait for a submission of this or another entry; ``None`` if it runs on."""
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

    async def answer_ask(self, sender: LinkAddress, ask: AskAnswer) -> None:
        """Answer an entry that joined a submission of this one."""
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

    def _bound(self, submission: Submission) -> None:
        latest = self.timers.now() + self.longest_seconds
        submission.deadline = min(submission.deadline, latest)

    def _begin(self, submission: Submission, write_ahead: bool) -> "Joining":
        joining = Joining()
        self.joining[submission.id] = joining
        self.nursery.start_soon(self._answer, submission, write_ahead, joining)
        return joining

    async def _wait_until(self, event: trio.Event, deadline: float) -> bool:
        with trio.move_on_after(max(0.0, deadline - self.timers.now())):
            await event.wait()
        return event.is_set()

    async def _answer(
        self, submission: Submission, write_ahead: bool, joining: Joining
    ) -> None:
        joining.answer = await self._claim_and_run(submission, write_ahead, joining)
        self._decide(submission, joining)
        joining.answered.set()

    def _decide(self, submission: Submission, joining: Joining) -> None:
        if self.joining.get(submission.id) is joining:
            del self.joining[submission.id]
        joining.decided.set()

    async def _join_local(
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
        for _ in range(MOST_PROOFS):
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
        self._decide(submission, joining)
        refusal = self.dispatcher.submit(submission)
        await submission.done.wait()
        outcome = await self._settle(submission)
        if refusal is not None and outcome is Outcome.NOT_RUN:
            return _refused(refusal)
        return Completed(submission.results)

    async def _settle(self, submission: Submission) -> Outcome:
        """Tell the owner the outcome, and keep the answer if there is one."""
        outcome = overall(submission.results)
        if _may_run_elsewhere(submission.results):
            if not await self.claimant.confirm_outcome(submission, outcome):
                _withdraw_not_run(submission)
                outcome = overall(submission.results)
        else:
            self.claimant.report_outcome(submission, outcome)
        if outcome is Outcome.NOT_RUN:
            # May run under the next attempt: nothing to keep for those who come again.
            self.answers.drop(submission.id)
        else:
            self.answers.finish(submission, self.timers.now())
        submission.final.set()
        return outcome

    def _renew_grant(self, submission: Submission) -> None:
        self.nursery.start_soon(self._renew, submission)

    async def _renew(self, submission: Submission) -> None:
        """Claim again what is held, or take the answer of who has the claim now."""
        held = submission.grant
        await self.claimant.refresh_fenced_owner(held)
        proof = None
        for _ in range(MOST_PROOFS):
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
                    self.dispatcher.adopt(submission, results)
                    return
                case Refused(outcome=outcome, detail=detail):
                    self.dispatcher.abandon(submission, detail, outcome)
                    return
        self.dispatcher.abandon(submission, NOT_PROVED, Outcome.UNKNOWN)


def _refused(refusal: Refusal) -> Refused:
    return Refused(Outcome.NOT_RUN, refusal.detail, retry_after=refusal.retry_after)


def _may_run_elsewhere(results: list[TaskResult]) -> bool:
    """Return whether "not run" may be untrue by now: another may hold the claim.

    Where a task has run, no one can have proved that none did.
    """
    outcomes = {result.outcome for result in results}
    has_run = outcomes & {Outcome.DONE, Outcome.FAILED}
    return Outcome.NOT_RUN in outcomes and not has_run


def _withdraw_not_run(submission: Submission) -> None:
    for index, result in enumerate(submission.results):
        if result.outcome is Outcome.NOT_RUN:
            detail = f"{result.detail}; {NOT_PROVED}"
            unknown = bare_result(submission, index, Outcome.UNKNOWN, detail)
            submission.results[index] = unknown


def overall(results: list[TaskResult]) -> Outcome:
    """Return the outcome of a submission as a whole."""
    outcomes = {result.outcome for result in results}
    if outcomes == {Outcome.DONE}:
        return Outcome.DONE
    if outcomes == {Outcome.NOT_RUN}:
        return Outcome.NOT_RUN
    if Outcome.UNKNOWN in outcomes:
        return Outcome.UNKNOWN
    return Outcome.FAILED
