"""Single calls to the platform over HTTP, behind a circuit breaker."""

from dataclasses import dataclass
from functools import cache
from typing import Protocol, TypeVar

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step
from bergamotcourse.protocol.circuit_breaker import CircuitBreaker, Permit
from bergamotcourse.protocol.platform import PlatformError
from bergamotcourse.protocol.platform_wire import (
    CLIENT_HEADER,
    CONTENT_TYPE,
    STATUS_OK,
    STATUS_SERVER_ERROR,
    Failure,
)
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse, Sent

T = TypeVar("T")


@cache
def _decoder_of(kind: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(kind)


class Requester(Protocol):
    """The interface of the HTTP client that the channel uses."""

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and return its response; the timeout is in seconds."""

    async def aclose(self) -> None:
        """Close the connections."""


@dataclass(frozen=True)
class CallError(PlatformError):
    """The failure of a single call.

    Attributes:
        status: HTTP status of the response, 0 if there was no response.
        retryable: Whether a retry of the same call may succeed.
    """

    status: int = 0
    retryable: bool = True

    def to_platform_error(self, took_effect: bool | None) -> PlatformError:
        """Return the error of the call after its last attempt."""
        return PlatformError(self.step, self.peer, self.detail, took_effect)


class PlatformChannel:
    """Makes single calls on behalf of one client.

    Attributes:
        client: The client's name, which is sent with each call.
        peer: The platform's name in errors.
    """

    def __init__(
        self, http: Requester, client: str, peer: str, breaker: CircuitBreaker
    ):
        self.http = http
        self.client = client
        self.peer = peer
        self.breaker = breaker

    async def call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> Result[bytes, CallError]:
        """Make one call and return the body of a successful response.

        Args:
            method: The HTTP method.
            target: Path and query.
            body: The request's body.
            timeout: Timeout in seconds.

        Returns:
            The response's body, or an error that says whether the call took effect.
        """
        permit = self.breaker.acquire()
        if permit is None:
            return Error(self.error("circuit breaker open", False, retryable=False))
        headers = [CONTENT_TYPE, (CLIENT_HEADER, self.client)]
        request = HttpRequest(method, target, headers, body)
        response = await self._request(request, timeout, permit)
        return response.map_error(self._transport_error).bind(self._check_status)

    def decode(self, kind: type[T], body: bytes) -> Result[T, CallError]:
        """Return the decoded body; if undecodable, the call's effect is unknown."""
        try:
            return Ok(decode_document(_decoder_of(kind), body))
        except ValueError as error:
            return Error(
                self.error(f"undecodable answer: {error}", None, retryable=False)
            )

    def error(
        self,
        detail: str,
        took_effect: bool | None,
        status: int = 0,
        retryable: bool = True,
    ) -> CallError:
        """Return an error with this channel's peer."""
        return CallError(Step.STORE, self.peer, detail, took_effect, status, retryable)

    async def _request(
        self, request: HttpRequest, timeout: float, permit: Permit
    ) -> Result[HttpResponse, HttpError]:
        try:
            response = await self.http.request(request, timeout)
        except BaseException:
            self.breaker.abandon(permit)
            raise
        if response.is_ok() and response.ok.status < STATUS_SERVER_ERROR:
            self.breaker.succeed(permit)
        else:
            self.breaker.fail(permit)
        return response

    def _transport_error(self, error: HttpError) -> CallError:
        took_effect = False if error.sent is Sent.NOTHING else None
        return self.error(f"{error.step.value}: {error.detail}", took_effect)

    def _check_status(self, response: HttpResponse) -> Result[bytes, CallError]:
        if response.status == STATUS_OK:
            return Ok(response.body)
        retryable = response.status >= STATUS_SERVER_ERROR
        failure = _decode_failure(response, None if retryable else False)
        return Error(
            self.error(failure.detail, failure.took_effect, response.status, retryable)
        )


def _decode_failure(response: HttpResponse, took_effect: bool | None) -> Failure:
    """Return the failure in a body, or one made from the status if undecodable."""
    try:
        return decode_document(_decoder_of(Failure), response.body)
    except ValueError:
        return Failure(f"status {response.status}", took_effect)
