"""HTTP responses with the result of a submission."""

import random
from http import HTTPStatus

from bergamotcourse.coordination.submissions import (
    Completed,
    Refused,
    SubmissionAnswer,
    overall_outcome,
)
from bergamotcourse.protocol.job_body import answer_body
from bergamotcourse.protocol.messages import TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.protocol.problem import Problem, TaskProblem, problem_response
from bergamotcourse.transport.http import HttpResponse

OUTCOME_HEADER = "bergamotcourse-outcome"
PREFIX_HEADER = "idempotency-key-prefix"
ENTRY_HEADERS = frozenset((OUTCOME_HEADER, PREFIX_HEADER))
"""Set by the entry only; those of an upstream are not passed on."""

RETRY_JITTER_SHARE = 0.5
"""Share by which Retry-After is randomly extended, so that retries spread out."""

PROBLEM_BASE = "urn:bergamotcourse:problem:"


def session_response(rng: random.Random, answer: SubmissionAnswer) -> HttpResponse:
    """Return the response to a session request."""
    match answer:
        case Refused():
            return refused_response(rng, answer)
        case Completed(results=[result]):
            if result.outcome in (Outcome.DONE, Outcome.FAILED):
                headers = [
                    (h.name, h.value)
                    for h in result.headers
                    if h.name not in ENTRY_HEADERS
                ]
                headers.append((OUTCOME_HEADER, result.outcome.value))
                return HttpResponse(result.status, headers, result.body)
            refused = Refused(result.outcome, result.detail, retry_after=1.0)
            return refused_response(rng, refused)


def job_response(rng: random.Random, answer: SubmissionAnswer) -> HttpResponse:
    """Return the response to a job: all results, or the outcome of each task."""
    match answer:
        case Refused():
            return refused_response(rng, answer)
        case Completed(results=results):
            outcome = overall_outcome(results)
            if outcome is not Outcome.DONE:
                return _failed_job(rng, outcome, results)
            headers = [
                ("content-type", "application/json"),
                (OUTCOME_HEADER, outcome.value),
            ]
            return HttpResponse(HTTPStatus.OK, headers, answer_body(results))


def refused_response(rng: random.Random, refused: Refused) -> HttpResponse:
    """Return the response to a submission that was refused."""
    retry_after = refused.retry_after * _retry_jitter(rng)
    if refused.invalid:
        return problem(HTTPStatus.BAD_REQUEST, refused.detail, refused.outcome)
    if refused.conflict:
        status = HTTPStatus.UNPROCESSABLE_ENTITY
        return problem(status, refused.detail, refused.outcome)
    if refused.outcome is Outcome.NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return problem(status, refused.detail, refused.outcome, retry_after or None)
    status = HTTPStatus.GATEWAY_TIMEOUT
    return problem(status, refused.detail, refused.outcome, retry_after or None)


def problem(
    status: HTTPStatus,
    detail: str,
    outcome: Outcome | None = None,
    retry_after: float | None = None,
    tasks: list[TaskProblem] | None = None,
) -> HttpResponse:
    """Return a problem details response."""
    name = outcome.value if outcome else status.name.lower()
    response = problem_response(
        Problem(
            type=f"{PROBLEM_BASE}{name}",
            title=status.phrase,
            status=int(status),
            detail=detail,
            outcome=outcome,
            retry_after=retry_after,
            tasks=tasks or [],
        )
    )
    if outcome is not None:
        response.headers.append((OUTCOME_HEADER, outcome.value))
    return response


def _failed_job(
    rng: random.Random, outcome: Outcome, results: list[TaskResult]
) -> HttpResponse:
    tasks = [
        TaskProblem(result.index, result.outcome, result.detail) for result in results
    ]
    not_run = outcome is Outcome.NOT_RUN
    status = HTTPStatus.SERVICE_UNAVAILABLE if not_run else HTTPStatus.BAD_GATEWAY
    retry_after = _retry_jitter(rng) if not_run else None
    counts = {one: sum(1 for r in results if r.outcome is one) for one in Outcome}
    detail = ", ".join(f"{n} {one.value}" for one, n in counts.items() if n)
    return problem(status, f"tasks: {detail}", outcome, retry_after, tasks)


def _retry_jitter(rng: random.Random) -> float:
    return 1 + RETRY_JITTER_SHARE * rng.random()
