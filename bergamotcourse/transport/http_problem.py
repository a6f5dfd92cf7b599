"""Problem details (RFC 9457): the body of HTTP error responses."""

import math
from http import HTTPStatus

import msgspec

from bergamotcourse.transport.http import HttpResponse

PROBLEM_CONTENT_TYPE = "application/problem+json"


class ProblemDetails(msgspec.Struct):
    """The members that RFC 9457 defines.

    Attributes:
        type: A URI for the kind of problem, or ``about:blank``.
        title: A short summary of the kind of problem.
        status: The HTTP status code.
        detail: One line that explains this occurrence to a person.
    """

    type: str
    title: str
    status: int
    detail: str


def encode_problem(
    problem: ProblemDetails, retry_after: float | None = None
) -> HttpResponse:
    """Return a response with problem details as its JSON body.

    Args:
        problem: The problem, or an instance of a subclass with further members.
        retry_after: Seconds after which the caller may retry, if known; rounded up in
            the header.
    """
    headers = [("content-type", PROBLEM_CONTENT_TYPE)]
    if retry_after is not None:
        headers.append(("retry-after", str(math.ceil(retry_after))))
    return HttpResponse(problem.status, headers, msgspec.json.encode(problem))


def plain_problem(
    status: int, detail: str, retry_after: float | None = None
) -> HttpResponse:
    """Return a response for a problem whose kind is its HTTP status."""
    title = HTTPStatus(status).phrase
    problem = ProblemDetails("about:blank", title, status, detail)
    return encode_problem(problem, retry_after)
