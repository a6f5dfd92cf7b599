"""Requests to the administration API and its problem responses."""

import re
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.coordination.config_store import may_have_taken_effect
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.daemons.responses import PROBLEM_BASE
from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.platform import PlatformError
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.issues import Issue
from bergamotcourse.state.manifest import Operator, Team
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_problem import ProblemDetails, encode_problem

TRUE_VALUES = ("true", "1", "yes")
RETRY_SECONDS = 1.0
NUMBER_PATTERN = re.compile(r"[0-9]{1,18}")

T = TypeVar("T")


class AdminProblem(ProblemDetails, omit_defaults=True):
    """A problem of the administration API.

    Attributes:
        step: The processing step at which the error occurred.
        peer: Address or name of the peer involved, if any.
        issues: Issues found in a manifest.
        content: Details: the change that won a race, or the progress of a drain.
    """

    step: str = ""
    peer: str = ""
    issues: list[Issue] = []
    content: Any = None


@dataclass
class AdminRequest:
    """An authenticated request.

    Attributes:
        operator: The operator that sent it, if its token is an operator's.
        team: The team that sent it, if its token is a team's.
        path: Values of the path parameters, by name.
        query: Values of the query parameters, by name.
    """

    entry: Entry
    operator: Operator | None
    team: Team | None
    path: dict[str, str] = field(default_factory=dict)
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def audit_name(self) -> str:
        """Return the operator's name as recorded in the audit trail."""
        return self.operator.name

    def flag(self, name: str) -> bool:
        """Return whether a query parameter is set to a true value."""
        return self.query.get(name, "").lower() in TRUE_VALUES

    def number(self, name: str, default: int) -> Result[int, str]:
        """Return an integer query parameter, or an error message."""
        text = self.query.get(name)
        if text is None:
            return Ok(default)
        if not NUMBER_PATTERN.fullmatch(text):
            return Error(f"{name} is not a whole number")
        return Ok(int(text))

    def decode(self, kind: type[T]) -> Result[T, str]:
        """Return the JSON body decoded as a type, or an error message."""
        try:
            return Ok(decode_document(msgspec.json.Decoder(kind), self.body))
        except ValueError as error:
            return Error(str(error))


def admin_problem(
    status: HTTPStatus, detail: str, retry_after: float | None = None, **more: Any
) -> HttpResponse:
    """Return a problem details response."""
    problem = AdminProblem(
        type=f"{PROBLEM_BASE}{status.name.lower()}",
        title=status.phrase,
        status=int(status),
        detail=detail,
        **more,
    )
    return encode_problem(problem, retry_after)


def bad_request(detail: str) -> HttpResponse:
    """Return the response to a malformed request."""
    return admin_problem(HTTPStatus.BAD_REQUEST, detail)


def error_response(error: StepError) -> HttpResponse:
    """Return the response to a failed operation.

    504 means that the change may have been accepted, 503 that it was not.
    """
    origin = {"step": error.step.value, "peer": error.peer}
    if may_have_taken_effect(error):
        detail = f"{error.detail}; the change may have been accepted: ask again"
        return admin_problem(HTTPStatus.GATEWAY_TIMEOUT, detail, **origin)
    if isinstance(error, PlatformError):
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return admin_problem(status, error.detail, RETRY_SECONDS, **origin)
    match error.step:
        case Step.DECODE:
            status = HTTPStatus.BAD_GATEWAY
        case _:
            status = HTTPStatus.NOT_FOUND
    return admin_problem(status, error.detail, **origin)
