"""Concurrent clusters of real processes use different loopback networks."""

import socket

import pytest

from bergamotcourse.tests.platform import cluster


class TestClaimNet:
    def test_concurrent_clusters_claim_different_networks(self, monkeypatch):
        class RepeatedNumbers:
            """Draws the same numbers twice, as two test runs may."""

            def __init__(self):
                self.numbers = [70, 1, 70, 1, 70, 2]

            def randint(self, _low, _high):
                return self.numbers.pop(0)

        source = RepeatedNumbers()
        monkeypatch.setattr(cluster.random, "SystemRandom", lambda: source)
        monkeypatch.setattr(
            cluster, "NET_CLAIM_PORT", cluster.free_port("127.70.1.254")
        )
        first, one = cluster.claim_net()
        second, other = cluster.claim_net()
        with first, second:
            assert (one, other) == ("127.70.1", "127.70.2")

    def test_network_can_be_claimed_again_after_release(self):
        claim, net = cluster.claim_net()
        again = (f"{net}.254", cluster.NET_CLAIM_PORT)
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(again)
        claim.close()
        with socket.socket() as other:
            other.bind(again)
