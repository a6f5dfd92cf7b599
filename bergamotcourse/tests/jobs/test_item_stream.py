import random

from bergamotcourse.coordination.jobs.item_stream import (
    MAX_OUT_OF_ORDER_ITEMS,
    MAX_RETRANSMITTED_BYTES,
    IncomingStream,
    OutgoingStream,
)
from bergamotcourse.coordination.jobs.lease_terms import (
    MAX_RETRANSMIT_SECONDS,
    RETRANSMIT_SECONDS,
)


class Letter(str):
    """An item; in upper case it is as large as one retransmission may be."""

    def size(self):
        return MAX_RETRANSMITTED_BYTES if self.isupper() else 10


def outgoing(items):
    """Return a stream with items, none of them sent."""
    out = OutgoingStream()
    for item in items:
        out.add(Letter(item))
    return out


class TestOutgoingStream:
    def test_sends_each_item_once_before_the_timeout(self):
        out = outgoing("a")
        assert out.next_batch(0.0) == (1, ["a"])
        out.add(Letter("b"))
        assert out.next_batch(0.1) == (2, ["b"])
        assert not out.needs_retransmission(RETRANSMIT_SECONDS - 0.01)
        assert out.next_batch(RETRANSMIT_SECONDS - 0.01) == (3, [])

    def test_later_item_does_not_delay_retransmission_of_the_oldest(self):
        """The receiver delivers nothing behind a lost item, which must not wait."""
        out = outgoing("a")
        out.next_batch(0.0)
        out.add(Letter("b"))
        out.next_batch(RETRANSMIT_SECONDS / 2)
        assert out.needs_retransmission(RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (1, ["a", "b"])

    def test_acknowledgement_restarts_the_timeout(self):
        out = outgoing("ab")
        out.next_batch(0.0)
        out.acknowledge(1, 0.1)
        assert not out.needs_retransmission(RETRANSMIT_SECONDS)
        assert out.needs_retransmission(0.1 + RETRANSMIT_SECONDS)

    def test_timeout_backs_off_up_to_a_bound(self):
        out = outgoing("a")
        out.next_batch(0.0)
        now, waits = 0.0, []
        for _ in range(5):
            begun = now
            while not out.needs_retransmission(now):
                now += 0.01
            waits.append(now - begun)
            out.next_batch(now)
        assert waits[1] > 1.5 * waits[0]
        assert max(waits) < MAX_RETRANSMIT_SECONDS + 0.02

    def test_retransmits_unacknowledged_items(self):
        out = outgoing("abc")
        out.next_batch(0.0)
        out.acknowledge(1, 0.0)
        assert out.needs_retransmission(RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (2, ["b", "c"])

    def test_retransmission_fits_into_a_packet(self):
        out = outgoing("aBcd")
        out.next_batch(0.0)
        assert out.next_batch(RETRANSMIT_SECONDS) == (1, ["a"])
        out.acknowledge(1, RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (2, ["B"])
        out.acknowledge(2, RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (3, ["c", "d"])

    def test_retransmits_only_items_that_have_not_arrived(self):
        out = outgoing("ABCD")
        out.next_batch(0.0)
        assert out.next_batch(RETRANSMIT_SECONDS) == (1, ["A"])
        out.acknowledge(3, RETRANSMIT_SECONDS)
        assert out.needs_retransmission(RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (4, ["D"])

    def test_item_first_sent_after_a_loss_is_not_retransmitted_at_once(self):
        out = outgoing("AB")
        out.next_batch(0.0)
        out.next_batch(RETRANSMIT_SECONDS)
        out.add(Letter("c"))
        out.acknowledge(2, RETRANSMIT_SECONDS)
        assert not out.needs_retransmission(RETRANSMIT_SECONDS)
        assert out.next_batch(RETRANSMIT_SECONDS) == (3, ["c"])
        assert not out.needs_retransmission(RETRANSMIT_SECONDS + 0.01)

    def test_retransmits_a_large_item_alone(self):
        out = outgoing("AB")
        out.next_batch(0.0)
        assert out.next_batch(RETRANSMIT_SECONDS) == (1, ["A"])

    def test_sends_nothing_new_during_a_retransmission(self):
        out = outgoing("a")
        out.next_batch(0.0)
        out.next_batch(RETRANSMIT_SECONDS)
        out.add(Letter("b"))
        assert out.next_batch(RETRANSMIT_SECONDS + 0.01) == (2, [])
        out.acknowledge(1, RETRANSMIT_SECONDS + 0.02)
        assert out.next_batch(RETRANSMIT_SECONDS + 0.03) == (2, ["b"])

    def test_last_counts_items_left_out_of_a_retransmission(self):
        out = outgoing("AB")
        out.next_batch(0.0)
        assert out.next_batch(RETRANSMIT_SECONDS) == (1, ["A"])
        assert out.last == 2

    def test_restart_renumbers_unacknowledged_items(self):
        out = outgoing("abc")
        out.next_batch(0.0)
        out.acknowledge(2, 0.0)
        out.restart_numbering()
        assert out.next_batch(0.1) == (1, ["c"])


class TestIncomingStream:
    def test_delivers_each_item_once(self):
        incoming = IncomingStream()
        assert incoming.accept(1, ["a", "b"]) == ["a", "b"]
        assert incoming.accept(1, ["a", "b", "c"]) == ["c"]
        assert incoming.accept(2, ["b"]) == []
        assert incoming.seen == 3

    def test_delivers_nothing_behind_a_gap(self):
        incoming = IncomingStream()
        assert incoming.accept(2, ["b"]) == []
        assert incoming.seen == 0

    def test_delivers_buffered_items_once_the_gap_is_closed(self):
        incoming = IncomingStream()
        incoming.accept(2, ["b", "c"])
        incoming.accept(5, ["e"])
        assert incoming.accept(1, ["a"]) == ["a", "b", "c"]
        assert incoming.accept(4, ["d"]) == ["d", "e"]
        assert incoming.out_of_order == {}

    def test_delivers_buffered_item_once_if_it_arrives_again(self):
        incoming = IncomingStream()
        incoming.accept(2, ["b"])
        assert incoming.accept(1, ["a", "b", "c"]) == ["a", "b", "c"]
        assert incoming.out_of_order == {}

    def test_buffers_a_bounded_number_of_items(self):
        incoming = IncomingStream()
        incoming.accept(2, ["x"] * (2 * MAX_OUT_OF_ORDER_ITEMS))
        assert len(incoming.out_of_order) == MAX_OUT_OF_ORDER_ITEMS
        assert len(incoming.accept(1, ["a"])) == 1 + MAX_OUT_OF_ORDER_ITEMS


class TestBothDirections:
    def test_all_items_arrive_in_order_over_a_link_that_loses_half(self):
        rng = random.Random(7)
        out, incoming, received = OutgoingStream(), IncomingStream(), []
        now = 0.0
        for number in range(200):
            out.add(Letter(number))
            for _ in range(3):
                now += 0.1
                first, items = out.next_batch(now)
                if rng.random() < 0.5:
                    received += incoming.accept(first, items)
                if rng.random() < 0.5:
                    out.acknowledge(incoming.seen, now)
        for _ in range(50):
            now += MAX_RETRANSMIT_SECONDS
            received += incoming.accept(*out.next_batch(now))
            out.acknowledge(incoming.seen, now)
        assert received == [str(number) for number in range(200)]
