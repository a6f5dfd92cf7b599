import random

from bergamotcourse.coordination.jobs.item_stream import (
    MOST_EARLY,
    REPEATED_BYTES,
    Incoming,
    Outgoing,
)
from bergamotcourse.coordination.jobs.lease_terms import (
    MAX_RETRANSMIT_SECONDS,
    RETRANSMIT_SECONDS,
)


class Letter(str):
    """An item; one in upper case is as large as all that is sent again at a time."""

    def size(self):
        return REPEATED_BYTES if self.isupper() else 10


def outgoing(items):
    """Return items on their way, none of them sent."""
    out = Outgoing()
    for item in items:
        out.add(Letter(item))
    return out


class TestOutgoing:
    def test_sends_each_item_once_until_it_is_late(self):
        out = outgoing("a")
        assert out.take(0.0) == (1, ["a"])
        out.add(Letter("b"))
        assert out.take(0.1) == (2, ["b"])
        assert not out.is_late(RETRANSMIT_SECONDS - 0.01)
        assert out.take(RETRANSMIT_SECONDS - 0.01) == (3, [])

    def test_a_later_item_does_not_put_off_the_oldest(self):
        """Behind a lost one nothing is taken, so the lost one must not wait."""
        out = outgoing("a")
        out.take(0.0)
        out.add(Letter("b"))
        out.take(RETRANSMIT_SECONDS / 2)
        assert out.is_late(RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (1, ["a", "b"])

    def test_the_time_until_an_item_is_late_starts_with_each_confirmation(self):
        out = outgoing("ab")
        out.take(0.0)
        out.confirm(1, 0.1)
        assert not out.is_late(RETRANSMIT_SECONDS)
        assert out.is_late(0.1 + RETRANSMIT_SECONDS)

    def test_waits_longer_each_time_up_to_a_bound(self):
        out = outgoing("a")
        out.take(0.0)
        now, waits = 0.0, []
        for _ in range(5):
            begun = now
            while not out.is_late(now):
                now += 0.01
            waits.append(now - begun)
            out.take(now)
        assert waits[1] > 1.5 * waits[0]
        assert max(waits) < MAX_RETRANSMIT_SECONDS + 0.02

    def test_sends_again_what_was_not_confirmed(self):
        out = outgoing("abc")
        out.take(0.0)
        out.confirm(1, 0.0)
        assert out.is_late(RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (2, ["b", "c"])

    def test_sends_no_more_again_at_a_time_than_fits_into_a_packet(self):
        out = outgoing("aBcd")
        out.take(0.0)
        assert out.take(RETRANSMIT_SECONDS) == (1, ["a"])
        out.confirm(1, RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (2, ["B"])
        out.confirm(2, RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (3, ["c", "d"])

    def test_sends_again_only_what_has_not_come(self):
        out = outgoing("ABCD")
        out.take(0.0)
        assert out.take(RETRANSMIT_SECONDS) == (1, ["A"])
        out.confirm(3, RETRANSMIT_SECONDS)
        assert out.is_late(RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (4, ["D"])

    def test_waits_before_it_sends_what_was_new_after_a_loss(self):
        out = outgoing("AB")
        out.take(0.0)
        out.take(RETRANSMIT_SECONDS)
        out.add(Letter("c"))
        out.confirm(2, RETRANSMIT_SECONDS)
        assert not out.is_late(RETRANSMIT_SECONDS)
        assert out.take(RETRANSMIT_SECONDS) == (3, ["c"])
        assert not out.is_late(RETRANSMIT_SECONDS + 0.01)

    def test_sends_a_large_item_again_alone(self):
        out = outgoing("AB")
        out.take(0.0)
        assert out.take(RETRANSMIT_SECONDS) == (1, ["A"])

    def test_sends_nothing_new_behind_an_item_that_is_sent_again(self):
        out = outgoing("a")
        out.take(0.0)
        out.take(RETRANSMIT_SECONDS)
        out.add(Letter("b"))
        assert out.take(RETRANSMIT_SECONDS + 0.01) == (2, [])
        out.confirm(1, RETRANSMIT_SECONDS + 0.02)
        assert out.take(RETRANSMIT_SECONDS + 0.03) == (2, ["b"])

    def test_tells_the_last_item_also_while_it_sends_only_the_first_again(self):
        out = outgoing("AB")
        out.take(0.0)
        assert out.take(RETRANSMIT_SECONDS) == (1, ["A"])
        assert out.last == 2

    def test_a_restart_numbers_the_rest_anew(self):
        out = outgoing("abc")
        out.take(0.0)
        out.confirm(2, 0.0)
        out.restart()
        assert out.take(0.1) == (1, ["c"])


class TestIncoming:
    def test_takes_each_item_once(self):
        incoming = Incoming()
        assert incoming.accept(1, ["a", "b"]) == ["a", "b"]
        assert incoming.accept(1, ["a", "b", "c"]) == ["c"]
        assert incoming.accept(2, ["b"]) == []
        assert incoming.seen == 3

    def test_takes_nothing_behind_a_gap(self):
        incoming = Incoming()
        assert incoming.accept(2, ["b"]) == []
        assert incoming.seen == 0

    def test_takes_what_came_early_once_the_gap_is_closed(self):
        incoming = Incoming()
        incoming.accept(2, ["b", "c"])
        incoming.accept(5, ["e"])
        assert incoming.accept(1, ["a"]) == ["a", "b", "c"]
        assert incoming.accept(4, ["d"]) == ["d", "e"]
        assert incoming.early == {}

    def test_takes_what_came_early_and_again_once(self):
        incoming = Incoming()
        incoming.accept(2, ["b"])
        assert incoming.accept(1, ["a", "b", "c"]) == ["a", "b", "c"]
        assert incoming.early == {}

    def test_keeps_a_bounded_number(self):
        incoming = Incoming()
        incoming.accept(2, ["x"] * (2 * MOST_EARLY))
        assert len(incoming.early) == MOST_EARLY
        assert len(incoming.accept(1, ["a"])) == 1 + MOST_EARLY


class TestBoth:
    def test_over_a_link_that_loses_half_all_arrive_in_order(self):
        rng = random.Random(7)
        out, incoming, received = Outgoing(), Incoming(), []
        now = 0.0
        for number in range(200):
            out.add(Letter(number))
            for _ in range(3):
                now += 0.1
                first, items = out.take(now)
                if rng.random() < 0.5:
                    received += incoming.accept(first, items)
                if rng.random() < 0.5:
                    out.confirm(incoming.seen, now)
        for _ in range(50):
            now += MAX_RETRANSMIT_SECONDS
            received += incoming.accept(*out.take(now))
            out.confirm(incoming.seen, now)
        assert received == [str(number) for number in range(200)]
