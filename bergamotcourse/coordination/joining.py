"""Joining a submission whose claim is held by another entry.

The claimant is asked for its answer. If it does not respond, the agents are queried
instead. What they report proves that tasks did not start only once no start of the
attempt can be admitted any more.
"""

import math
from dataclasses import dataclass

import trio
from expression import Result

from bergamotcourse.coordination.answer_recovery import (
    AnswerRecovery,
    LostSubmission,
    RecoveryFindings,
    RecoveryVerdict,
)
from bergamotcourse.coordination.claimant import Claimant, ClaimRequest, NotStartedProof
from bergamotcourse.coordination.tasks import synthetic_result
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.errors import StepError
from bergamotcourse.ids import Attempt, LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Answer, AnyMessage, AskAnswer, Joined
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.submission import Submission

ANSWER_WAIT_SECONDS = 1.0
ANSWER_TIMEOUT_SLACK_SECONDS = 0.5

CONCLUSIVE_VERDICTS = {RecoveryVerdict.FINISHED, RecoveryVerdict.CONFLICT}
"""Verdicts that hold even while starts of the attempt can still be admitted."""


@dataclass(frozen=True)
class Completed:
    """A submission with a final outcome for each task."""

    results: list


@dataclass(frozen=True)
class Refused:
    """A submission that was refused as a whole.

    Attributes:
        conflict: The key was used with a different request.
        retry_after: Seconds until a retry is advised; 0 for no advice.
        invalid: The key is malformed.
    """

    outcome: Outcome
    detail: str
    conflict: bool = False
    retry_after: float = 0.0
    invalid: bool = False


SubmissionAnswer = Completed | Refused

CONFLICT = Refused(
    Outcome.NOT_RUN, "the key was used with another request", conflict=True
)
STILL_RUNNING = Refused(
    Outcome.UNKNOWN, "the submission is still running", retry_after=1.0
)


class Joiner:
    """Obtains the answers of submissions whose claims other entries hold."""

    def __init__(
        self,
        claimant: Claimant,
        recovery: AnswerRecovery,
        mailer: Mailer,
        timers: Timers,
    ):
        self.claimant = claimant
        self.recovery = recovery
        self.mailer = mailer
        self.timers = timers

    async def join(
        self, submission: Submission, joined: Joined
    ) -> SubmissionAnswer | NotStartedProof:
        """Return the claimant's answer, or a proof that no task was started."""
        findings = None
        while self.timers.now() < submission.deadline:
            asked_at = self.timers.now()
            match await self._request_from_claimant(submission, joined):
                case Result(tag="ok", ok=Answer(conflict=True)):
                    return CONFLICT
                case Result(tag="ok", ok=Answer(known=True, running=True)):
                    continue
                case Result(tag="ok", ok=Answer(known=True, results=results)):
                    return Completed(results)
                case _:
                    pass
            joined = await self._look_up(submission) or joined
            settled_at = _settled_at(joined, asked_at)
            is_settled = settled_at <= asked_at
            if findings is None or is_settled:
                findings = await self._query_agents(submission, joined)
                if is_settled or findings.verdict in CONCLUSIVE_VERDICTS:
                    return await self._conclude(submission, joined, findings)
            if settled_at >= submission.deadline:
                return self._refuse_unsettled(settled_at)
            await self._sleep_until(min(settled_at, asked_at + ANSWER_WAIT_SECONDS))
        return STILL_RUNNING

    async def request_answer(
        self, joined: Joined, submission_id: bytes, digest: bytes, wait: float
    ) -> Result[AnyMessage, StepError]:
        """Request the answer from the claimant.

        Args:
            joined: The claim as reported by the range's owner.
            submission_id: The submission.
            digest: Hash of the request.
            wait: Seconds for which the claimant may wait for the answer.
        """
        wait_ms = max(1, int(wait * 1000))
        return await self.mailer.request(
            LinkAddress(joined.address),
            lambda message_id: AskAnswer(
                message_id, submission_id, joined.attempt, wait_ms, digest
            ),
            wait + ANSWER_TIMEOUT_SLACK_SECONDS,
        )

    async def _request_from_claimant(
        self, submission: Submission, joined: Joined
    ) -> Result[AnyMessage, StepError] | None:
        if joined.address == self.mailer.link.address:
            # Submissions running at this entry were looked up before the claim.
            return None
        left = submission.deadline - self.timers.now()
        wait = max(0.0, min(ANSWER_WAIT_SECONDS, left))
        return await self.request_answer(joined, submission.id, submission.digest, wait)

    async def _look_up(self, submission: Submission) -> Joined | None:
        """Return the claim's current holder; it may have been renewed or reassigned."""
        request = ClaimRequest(submission.id, submission.digest, submission.key)
        reply = await self.claimant.look_up(request)
        return reply if isinstance(reply, Joined) else None

    async def _sleep_until(self, when: float) -> None:
        await trio.sleep(max(0.0, when - self.timers.now()))

    def _refuse_unsettled(self, settled_at: float) -> Refused:
        detail = "the entry that holds the claim does not respond"
        wait = settled_at - self.timers.now()
        return Refused(Outcome.UNKNOWN, detail, retry_after=min(wait, 60.0))

    async def _query_agents(
        self, submission: Submission, joined: Joined
    ) -> RecoveryFindings:
        lost = LostSubmission(
            submission.id, submission.digest, len(submission.tasks), joined.age_ms
        )
        return await self.recovery.determine_outcome(lost, submission.deadline)

    async def _conclude(
        self, submission: Submission, joined: Joined, findings: RecoveryFindings
    ) -> SubmissionAnswer | NotStartedProof:
        match findings.verdict:
            case RecoveryVerdict.CONFLICT:
                return CONFLICT
            case RecoveryVerdict.FINISHED:
                return Completed(
                    _results_with_default(submission, findings, Outcome.UNKNOWN)
                )
            case RecoveryVerdict.NOT_STARTED:
                return NotStartedProof(Attempt(joined.attempt), joined.grant)
            case RecoveryVerdict.PARTIAL if await self._is_unchanged(
                submission, joined
            ):
                return Completed(
                    _results_with_default(submission, findings, Outcome.NOT_RUN)
                )
            case _:
                return Completed(
                    _results_with_default(submission, findings, Outcome.UNKNOWN)
                )

    async def _is_unchanged(self, submission: Submission, joined: Joined) -> bool:
        """Return whether the claim was not granted again since ``joined``."""
        latest = await self._look_up(submission)
        return (
            latest is not None
            and latest.grant == joined.grant
            and latest.settled_ms == 0
        )


def _settled_at(joined: Joined, asked_at: float) -> float:
    if joined.settled_ms < 0:
        return math.inf
    return asked_at + joined.settled_ms / 1000


def _results_with_default(
    submission: Submission, findings: RecoveryFindings, default: Outcome
) -> list:
    """Return the recovered results, with a default outcome for the other tasks."""
    detail = "the entry that ran the submission was lost"
    return [
        findings.results.get(index)
        or synthetic_result(submission, index, default, detail)
        for index in range(len(submission.tasks))
    ]
