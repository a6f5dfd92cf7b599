import uuid

import pytest
import uuid6
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotcourse.state.keys import (
    HandedOutKey,
    OpaqueKey,
    TimedKey,
    key_kind,
    key_prefix,
)


class TestKeyKind:
    @settings(max_examples=200)
    @given(st.integers(0, 2**40), st.integers(1, 2**30), st.integers(0, 2**44))
    def test_handed_out_key_carries_range_epoch_and_time(self, range_id, epoch, ms):
        kind = key_kind(key_prefix(range_id, epoch, ms) + "a-1")
        assert kind == HandedOutKey(range_id, epoch, ms)

    def test_prefix_without_suffix_is_opaque(self):
        assert key_kind(key_prefix(64, 1, 5)) == OpaqueKey()

    def test_uuid7_key_carries_creation_time(self):
        key = uuid6.uuid7()
        assert key_kind(str(key)) == TimedKey(key.time)

    @pytest.mark.parametrize("key", ["", "order 17", str(uuid.UUID(int=0, version=4))])
    def test_other_keys_are_opaque(self, key):
        assert key_kind(key) == OpaqueKey()

    @settings(max_examples=300)
    @given(st.text(max_size=60) | st.text("bc1-0123456789abcdef", max_size=60))
    def test_arbitrary_text_never_fails_to_classify(self, key):
        assert isinstance(key_kind(key), HandedOutKey | TimedKey | OpaqueKey)
