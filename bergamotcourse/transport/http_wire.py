"""Encoding shared by the HTTP server and client: headers and messages for h11."""

import select
from collections.abc import Iterable

import h11
import trio

from bergamotcourse.transport.http import HeaderList, HttpRequest, HttpResponse

RECEIVE_BYTES = 16384
"""Most bytes received from a connection in one call."""

WireHeaders = list[tuple[bytes, bytes]]

FRAMING_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that describe one connection or the framing of one message. They are not
passed on; each message gets its own when it is sent."""

BODILESS_STATUSES = frozenset((204, 304))
METHODS_WITH_BODY = frozenset(("PATCH", "POST", "PUT"))


def wire_headers(headers: HeaderList) -> WireHeaders:
    """Return the headers encoded for h11, without ``FRAMING_HEADERS``.

    Raises:
        UnicodeEncodeError: A name is not ASCII or a value is not Latin-1.
    """
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers
        if name.lower() not in FRAMING_HEADERS
    ]


def text_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return headers received by h11 as text; h11 has put names in lower case."""
    return [(name.decode("ascii"), value.decode("latin-1")) for name, value in headers]


def response_head(
    response: HttpResponse, close: bool, method: bytes = b""
) -> h11.Response:
    """Return the head of a response.

    Args:
        response: The response. Without a body it may name the length that it would
            have in response to ``GET``.
        close: Whether the connection is closed after it.
        method: The method of the request.

    Raises:
        ValueError: The status or a header is invalid, or cannot be encoded.
    """
    headers = wire_headers(response.headers)
    if response.status not in BODILESS_STATUSES:
        length = _named_length(response) if method == b"HEAD" else None
        if response.body or length is None:
            length = b"%d" % len(response.body)
        headers.append((b"content-length", length))
    if close:
        headers.append((b"connection", b"close"))
    try:
        return h11.Response(status_code=response.status, headers=headers)
    except h11.LocalProtocolError as error:
        raise ValueError(str(error)) from error


def _named_length(response: HttpResponse) -> bytes | None:
    """Return the length that a response names, or ``None`` if it names no valid one."""
    for name, value in response.headers:
        if name.lower() == "content-length" and value.isascii() and value.isdigit():
            return value.encode()
    return None


def request_head(request: HttpRequest, host: str) -> h11.Request:
    """Return the head of a request; ``host`` is used unless it has a host header.

    Raises:
        ValueError: The method, target or a header is invalid.
    """
    headers = wire_headers(request.headers)
    if not any(name.lower() == b"host" for name, _ in headers):
        headers.insert(0, (b"host", host.encode("ascii")))
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"content-length", b"%d" % len(request.body)))
    try:
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    except h11.LocalProtocolError as error:
        raise ValueError(str(error)) from error


def encode_message(
    http: h11.Connection, head: h11.Request | h11.Response, body: bytes
) -> bytes:
    """Return a complete message as bytes, to be sent in one call."""
    parts = [http.send(head)]
    if body:
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(parts)


def is_reusable(http: h11.Connection) -> bool:
    """Return whether request and response are complete and allow another request."""
    return http.our_state is h11.DONE and http.their_state is h11.DONE


def has_peer_closed(socket: trio.socket.SocketType) -> bool:
    """Return whether the peer has closed its sending half or reset the connection.

    Unlike receiving, this also finds an end that unread bytes precede.
    """
    return _has_event(socket, select.POLLRDHUP)


def is_readable(socket: trio.socket.SocketType) -> bool:
    """Return whether receiving from or accepting on the socket would not block."""
    return _has_event(socket, select.POLLIN)


def _has_event(socket: trio.socket.SocketType, event: int) -> bool:
    """Return whether an event of ``poll`` is present, or the connection has failed."""
    if socket.fileno() < 0:
        # The socket is closed: a call would fail at once.
        return True
    poll = select.poll()
    poll.register(socket.fileno(), event)
    return bool(poll.poll(0))
