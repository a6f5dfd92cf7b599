"""HTTP requests and responses as values, shared by server and client."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from bergamotcourse.errors import StepError

HeaderList = list[tuple[str, str]]


class Sent(Enum):
    """Whether a failed request may have reached the server.

    Attributes:
        NOTHING: No byte was written, so the request did not reach the server.
        MAYBE: The server may have received the request.
    """

    NOTHING = "nothing"
    MAYBE = "maybe"


@dataclass(frozen=True)
class HttpError(StepError):
    """An error of the HTTP client.

    Attributes:
        sent: Whether the request may have reached the server.
    """

    sent: Sent = Sent.MAYBE


@dataclass
class HttpRequest:
    """A complete request.

    Attributes:
        method: The method, in upper case.
        target: Path and query.
        headers: Pairs of name and value; names of received headers are in lower case.
        body: The complete body.
        peer: Address of the client; empty for a request to be sent.
        connection: Number of the connection it came on, unique in the process.
        is_abandoned: Returns whether the client of a received request has disconnected.
            The server cancels the handler then, but later than this shows it.
    """

    method: str
    target: str
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
    peer: str = ""
    connection: int = 0
    is_abandoned: Callable[[], bool] = field(default=lambda: False, compare=False)

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header, given its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


@dataclass
class HttpResponse:
    """A complete response.

    Attributes:
        close: Whether the server closes the connection after this response.
    """

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
    close: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Handles one request; cancelled when the client disconnects."""
