from typing import get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotcourse.errors import Step
from bergamotcourse.protocol import messages
from bergamotcourse.protocol.messages import SCHEMA_VERSION, AnyMessage, Envelope

INT64 = st.integers(-(1 << 63), (1 << 63) - 1)
FLOAT = st.floats(allow_nan=False)
for plain, strategy in ((int, INT64), (float, FLOAT)):
    st.register_type_strategy(plain, strategy)

NESTING_DEPTH = 100_000
"""Deeper than any recursion limit."""


def envelopes(kind):
    return st.builds(
        Envelope,
        schema=st.just(SCHEMA_VERSION),
        sender=st.text(),
        config=INT64,
        messages=st.lists(st.from_type(kind), max_size=3),
    )


class TestRoundTrip:
    @pytest.mark.parametrize("kind", get_args(AnyMessage))
    def test_each_message_type_survives_encoding(self, kind):
        @settings(max_examples=30)
        @given(envelopes(kind))
        def check(envelope):
            assert messages.decode(messages.encode(envelope)).ok == envelope

        check()


class TestDecode:
    @settings(max_examples=500)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_yield_an_error(self, payload):
        assert messages.decode(payload).is_error()

    @settings(max_examples=500)
    @given(envelopes(AnyMessage), st.data())
    def test_corrupted_envelopes_never_raise(self, envelope, data):
        payload = bytearray(messages.encode(envelope))
        at = data.draw(st.integers(0, len(payload) - 1))
        payload[at] = data.draw(st.integers(0, 255))
        cut = data.draw(st.integers(0, len(payload)))
        result = messages.decode(bytes(payload[:cut]))
        assert result.is_ok() or result.error.step is Step.DECODE

    def test_deep_nesting_yields_a_decode_error(self):
        good = msgspec.msgpack.encode([SCHEMA_VERSION, "sender", 0, []])
        longer = b"\x95" + good[1:] + b"\x91" * NESTING_DEPTH
        assert messages.decode(longer).error.step is Step.DECODE

    def test_other_schema_version_yields_an_error_naming_the_sender(self):
        envelope = Envelope(SCHEMA_VERSION + 1, "tcp://10.0.0.1:7000", 0, [])
        error = messages.decode(messages.encode(envelope)).error
        assert (error.step, error.peer) == (Step.DECODE, envelope.sender)
