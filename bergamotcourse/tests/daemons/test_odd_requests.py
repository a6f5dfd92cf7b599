"""Requests and answers of other programs with one value that nobody expects."""

import msgspec

from bergamotcourse.protocol.circuit_breaker import CircuitBreaker
from bergamotcourse.protocol.platform_channel import PlatformChannel
from bergamotcourse.protocol.platform_wire import Failure, SincePage
from bergamotcourse.tests.platform.odd_values import (
    DEEP_MSGPACK,
    msgpack_variants,
)
from bergamotcourse.transport.http import HttpResponse

PAGE = {"version": 4, "rows": [{"key": "a", "version": 2, "value": b""}], "more": False}


class TestPlatformAnswer:
    def make_channel(self):
        return PlatformChannel(None, "entry-1", "platform", CircuitBreaker(5, 1.0))

    def test_is_decoded_or_an_error(self):
        """Guards against an answer of the platform that ends a process."""
        channel = self.make_channel()
        for body in [*msgpack_variants(PAGE).values(), DEEP_MSGPACK]:
            page = channel.decode(SincePage, body)
            assert page.is_ok() or page.error.took_effect is None

    def test_failure_is_decoded_or_made_from_the_status(self):
        channel = self.make_channel()
        failure = msgspec.to_builtins(Failure("down", False))
        for body in [*msgpack_variants(failure).values(), DEEP_MSGPACK]:
            assert channel._check_status(HttpResponse(503, [], body)).is_error()
