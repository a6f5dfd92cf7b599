"""Clusters of real processes have addresses of their own."""

import socket

import pytest

from bergamotcourse.tests.platform import cluster


class TestNets:
    def test_two_clusters_at_a_time_have_two(self, monkeypatch):
        class Twice:
            """Draws the same numbers twice, as two runs may."""

            def __init__(self):
                self.numbers = [70, 1, 70, 1, 70, 2]

            def randint(self, _low, _high):
                return self.numbers.pop(0)

        source = Twice()
        monkeypatch.setattr(cluster.random, "SystemRandom", lambda: source)
        monkeypatch.setattr(cluster, "CLAIM_PORT", cluster.free_port("127.70.1.254"))
        first, one = cluster.claim_net()
        second, other = cluster.claim_net()
        with first, second:
            assert (one, other) == ("127.70.1", "127.70.2")

    def test_one_that_is_given_back_can_be_had_again(self):
        claim, net = cluster.claim_net()
        again = (f"{net}.254", cluster.CLAIM_PORT)
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(again)
        claim.close()
        with socket.socket() as other:
            other.bind(again)
