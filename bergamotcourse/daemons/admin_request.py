"""One operator's or team's request to the administration API, and its answers."""

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
from bergamotcourse.state.issues import Issue
from bergamotcourse.state.manifest import Operator, Team
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_problem import ProblemDetails, encode_problem

TRUE_WORDS = ("true", "1", "yes")
RETRY_SECONDS = 1.0

T = TypeVar("T")


class AdminProblem(ProblemDetails, omit_defaults=True):
    """A problem of the administration API.

    Attributes:
        step: Where the error arose.
        peer: The other side, if there is one.
        issues: What is wrong with a manifest.
        content: What belongs to it: the winner of a lost race, a drain's progress.
    """

    step: str = ""
    peer: str = ""
    issues: list[Issue] = []
    content: Any = None


@dataclass
class AdminRequest:
    """A request that the route table let through.

    Attributes:
        operator: Who asks; ``None`` where a team does.
        team: The team that asks; ``None`` where an operator does.
        path: The values of the path's parameters, by name.
        query: The values of the query, by name.
    """

    entry: Entry
    operator: Operator | None
    team: Team | None
    path: dict[str, str] = field(default_factory=dict)
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def who(self) -> str:
        """Return the name for the audit trail."""
        return self.operator.name

    def flag(self, name: str) -> bool:
        """Return whether a query parameter says true."""
        return self.query.get(name, "").lower() in TRUE_WORDS

    def number(self, name: str, default: int) -> Result[int, str]:
        """Return a whole number of the query, or what is wrong with it."""
        text = self.query.get(name)
        if text is None:
            return Ok(default)
        if not (text.isascii() and text.isdigit()):
            return Error(f"{name} is not a whole number")
        return Ok(int(text))

    def decode(self, kind: type[T]) -> Result[T, str]:
        """Return the body as a type, or what is wrong with it."""
        try:
            return Ok(msgspec.json.decode(self.body, type=kind))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return Error(str(error))


def admin_problem(
    status: HTTPStatus, detail: str, retry_after: float | None = None, **more: Any
) -> HttpResponse:
    """Return problem details as a response."""
    problem = AdminProblem(
        type=f"{PROBLEM_BASE}{status.name.lower()}",
        title=status.phrase,
        status=int(status),
        detail=detail,
        **more,
    )
    return encode_problem(problem, retry_after)


def bad_request(detail: str) -> HttpResponse:
    """Return the response to a request that is malformed."""
    return admin_problem(HTTPStatus.BAD_REQUEST, detail)


def error_answer(error: StepError) -> HttpResponse:
    """Return an error as a response.

    504 says that the change may have been accepted, 503 that it was not.
    """
    place = {"step": error.step.value, "peer": error.peer}
    if may_have_taken_effect(error):
        detail = f"{error.detail}; the change may have been accepted: ask again"
        return admin_problem(HTTPStatus.GATEWAY_TIMEOUT, detail, **place)
    if isinstance(error, PlatformError):
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return admin_problem(status, error.detail, RETRY_SECONDS, **place)
    match error.step:
        case Step.DECODE:
            status = HTTPStatus.BAD_GATEWAY
        case _:
            status = HTTPStatus.NOT_FOUND
    return admin_problem(status, error.detail, **place)
