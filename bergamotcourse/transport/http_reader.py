"""Incremental parser for the requests of one server connection; it does no I/O."""

from dataclasses import dataclass, field

import h11

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_wire import text_headers


@dataclass
class ServerLimits:
    """Limits on what a client may use.

    Attributes:
        header_bytes: Largest request line with headers; above it the status is 431.
        body_bytes: Largest body; above it the status is 413.
        header_seconds: Longest time from the first byte to the end of the headers;
            above it the status is 408.
        body_seconds: Longest time to receive a body; above it the status is 408.
        idle_seconds: Longest wait for the next request on a connection.
        write_seconds: Longest time to send a response.
        connections: Connections served at once; above it the status is 503.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_seconds: float = 10.0
    body_seconds: float = 30.0
    idle_seconds: float = 75.0
    write_seconds: float = 30.0
    connections: int = 1000


@dataclass
class RequestReader:
    """Parses the requests of one connection from the bytes fed to it.

    Attributes:
        http: The state of the HTTP protocol.
        limits: Limits on headers and bodies.
        peer: Address of the client.
        number: Number of the connection.
        head: The head of the current request, once it is complete.
        closed: Whether the client closed the connection between two requests.
        parts: The parts of the current request's body.
        size: Bytes of the current request's body.
    """

    http: h11.Connection
    limits: ServerLimits
    peer: str = ""
    number: int = 0
    head: h11.Request | None = None
    closed: bool = False
    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    @property
    def method(self) -> bytes:
        """Return the method of the current or last request."""
        return self.head.method if self.head else b""

    def reset(self) -> None:
        """Discard the previous request before the next one is parsed."""
        self.head = None
        self.parts = []
        self.size = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty bytes mean that the client sends no more."""
        self.http.receive_data(data)

    def read(self) -> HttpRequest | None:
        """Return the request if it is complete, or ``None`` if more bytes are needed.

        Also returns ``None`` and sets ``closed`` if the client closed the connection.

        Raises:
            h11.RemoteProtocolError: The request is malformed or too large.
        """
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return None
            match event:
                case h11.Request():
                    self._check_head(event)
                    self.head = event
                case h11.Data():
                    self._add_body_data(event.data)
                case h11.EndOfMessage():
                    return self._build_request()
                case h11.ConnectionClosed():
                    self.closed = True
                    return None

    def _check_head(self, head: h11.Request) -> None:
        if head.method == b"CONNECT":
            # A success would turn the connection into a tunnel.
            raise h11.RemoteProtocolError("tunnels are not supported", 501)
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self.limits.header_bytes:
            raise h11.RemoteProtocolError("the headers are too large", 431)
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self.limits.body_bytes:
                raise h11.RemoteProtocolError("the body is too large", 413)

    def _add_body_data(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limits.body_bytes:
            raise h11.RemoteProtocolError("the body is too large", 413)

    def _build_request(self) -> HttpRequest:
        parts = self.parts
        body = bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
        return HttpRequest(
            self.head.method.decode("ascii"),
            self.head.target.decode("ascii"),
            text_headers(self.head.headers),
            body,
            self.peer,
            self.number,
        )
