"""Stand-ins and sample messages for stages that are measured in isolation."""

from dataclasses import dataclass, field, replace

import h11
import trio

from bergamotcourse.bench.launcher import HOST, SERVICE, session_request
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import Header, Start, TaskResult
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.manifest import Manifest
from bergamotcourse.transport.http_wire import encode_message, request_head
from bergamotcourse.virtual.fleet import default_manifest

UNLIMITED = 1e6
BODY = b"ballot"
RESPONSE_BODY = b"upstream-1 POST ballot 1234"
RESPONSE_HEADERS = [Header("content-type", "text/plain")]
RESPONSE = (
    b"HTTP/1.1 200 \r\ncontent-type: text/plain\r\ncontent-length: 27\r\n\r\n"
    + RESPONSE_BODY
)


class RepeatingStream(trio.abc.HalfCloseableStream):
    """Returns the same bytes after each write, a fixed number of times, then EOF.

    Attributes:
        remaining: How often the bytes are still returned.
        pending: How often they can be returned before the next write.
        written: Wakes readers after a write.
    """

    def __init__(self, data: bytes, remaining: int, ready_at_start: bool):
        self.data = data
        self.remaining = remaining
        self.pending = int(ready_at_start)
        self.written = trio.lowlevel.ParkingLot()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the bytes once for each write, or ``b""`` at the end."""
        while self.remaining and not self.pending:
            await self.written.park()
        if not self.remaining:
            return b""
        self.pending -= 1
        self.remaining -= 1
        return self.data

    async def send_all(self, data: bytes) -> None:
        """Discard the data and allow one more read."""
        await trio.lowlevel.checkpoint()
        self.pending += 1
        self.written.unpark()

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def send_eof(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""


@dataclass
class PostRecorder:
    """Stands in for a mailer's ``post`` and records the messages."""

    messages: list[object] = field(default_factory=list)

    def __call__(self, peer: LinkAddress, message: object) -> bool:
        """Record a message."""
        self.messages.append(message)
        return True

    def has_result(self) -> bool:
        """Return whether a result was posted."""
        return any(isinstance(message, TaskResult) for message in self.messages)


def wire_request() -> bytes:
    """Return a session request as bytes on the wire."""
    request = session_request(BODY)
    head = request_head(request, HOST)
    return encode_message(h11.Connection(h11.CLIENT), head, request.body)


def result_for(start: Start) -> TaskResult:
    """Return the result of a start that the upstream answers with success."""
    return TaskResult(
        start.submission,
        start.index,
        start.attempt,
        start.dispatch,
        Outcome.DONE,
        200,
        RESPONSE_HEADERS,
        RESPONSE_BODY,
        run_ms=100.0,
    )


def start_message(number: int, token: int) -> Start:
    """Return a start message of a session request."""
    headers = [Header("content-type", "text/plain"), Header("host", "127.0.0.1:4000")]
    identity = number.to_bytes(16)
    return Start(
        identity, 0, 1, 1, -1, 1, token, "barakaldo", SERVICE, "POST", "/cast",
        headers, BODY, 30_000,
    )  # fmt: skip


def unlimited_manifest() -> Manifest:
    """Return a manifest with quotas that never limit the load."""
    manifest = default_manifest()
    teams = [
        replace(team, quota_starts_per_second=UNLIMITED) for team in manifest.teams
    ]
    return replace(manifest, teams=teams)
