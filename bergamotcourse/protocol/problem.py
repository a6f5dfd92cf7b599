"""Problem details (RFC 9457) with this project's extension members."""

import msgspec

from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_problem import ProblemDetails, encode_problem


class TaskProblem(msgspec.Struct):
    """The outcome of one task of a refused or failed submission.

    Attributes:
        index: Index of the task in its submission, from 0.
        outcome: Outcome of the task.
        detail: A human-readable line.
    """

    index: int
    outcome: Outcome
    detail: str = ""


class Problem(ProblemDetails, omit_defaults=True):
    """A problem that also reports the outcome of the caller's tasks.

    Attributes:
        outcome: Outcome of the submission, if it is known.
        retry_after: Seconds after which the caller may retry, if it may.
        tasks: The tasks that have a problem of their own.
    """

    outcome: Outcome | None = None
    retry_after: float | None = None
    tasks: list[TaskProblem] = []


def problem_response(problem: Problem) -> HttpResponse:
    """Return a problem as a response, with ``Retry-After`` if there is one."""
    return encode_problem(problem, problem.retry_after)
