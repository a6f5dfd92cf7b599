import random

from bergamotcourse.coordination.jobs.item_stream import Incoming, Outgoing
from bergamotcourse.coordination.jobs.lease_terms import RESEND_SECONDS


class TestOutgoing:
    def test_sends_each_item_once_until_it_is_late(self):
        out = Outgoing()
        out.add("a")
        assert out.take(0.0) == (1, ["a"])
        out.add("b")
        assert out.take(0.1) == (2, ["b"])
        assert not out.is_late(0.2)
        assert out.take(0.2) == (3, [])

    def test_sends_again_what_was_not_confirmed(self):
        out = Outgoing()
        for item in "abc":
            out.add(item)
        out.take(0.0)
        out.confirm(1)
        assert out.is_late(RESEND_SECONDS)
        assert out.take(RESEND_SECONDS) == (2, ["b", "c"])

    def test_a_restart_numbers_the_rest_anew(self):
        out = Outgoing()
        for item in "abc":
            out.add(item)
        out.take(0.0)
        out.confirm(2)
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


class TestBoth:
    def test_over_a_link_that_loses_half_all_arrive_in_order(self):
        rng = random.Random(7)
        out, incoming, received = Outgoing(), Incoming(), []
        now = 0.0
        for number in range(200):
            out.add(number)
            for _ in range(3):
                now += 0.1
                first, items = out.take(now)
                if rng.random() < 0.5:
                    received += incoming.accept(first, items)
                if rng.random() < 0.5:
                    out.confirm(incoming.seen)
        for _ in range(50):
            now += RESEND_SECONDS
            received += incoming.accept(*out.take(now))
            out.confirm(incoming.seen)
        assert received == list(range(200))
