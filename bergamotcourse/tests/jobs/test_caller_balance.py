"""Which connections an entry closes after peers have started, on a clock set here."""

import random

import pytest

from bergamotcourse.coordination.jobs.balancer_checks import BalancerChecks
from bergamotcourse.coordination.jobs.caller_balance import (
    CallerBalance,
    OpenConnection,
)
from bergamotcourse.coordination.jobs.peers import EntryStatus, Peer

START = 100.0


def peer_at(now, since=START, zone="north", name="p", former=None):
    """Return a peer heard now that serves since a time, and before it once more."""
    peer = Peer(name, now)
    if former is not None:
        peer.update(since - 3.0, EntryStatus(zone, False, False, 1, former * 1000))
    age = int((now - since) * 1000)
    peer.update(now, EntryStatus(zone, False, False, 2, age))
    return peer


def plan_at(now, *peers, ages=(60.0, 0.01), balance=None):
    """Return the balance and how many of the connections it plans to close."""
    balance = balance or CallerBalance("north", random.Random(1))
    peer = balance.find_started_peer(now, peers)
    if peer is None:
        return balance, 0
    opened = [OpenConnection(n, now - age) for n, age in enumerate(ages)]
    plan = balance.plan(now, peer, opened)
    return balance, plan.connections if plan else 0


class TestStartedPeer:
    @pytest.mark.parametrize(
        ("after", "options", "closed"),
        [
            (1.4, {}, 0),
            (1.6, {}, 1),
            (4.0, {}, 1),
            (4.0, {"former": 60}, 1),
            (4.0, {"former": 4}, 0),
            (2.0, {"zone": ""}, 0),
            (2.0, {"zone": "south"}, 1),
            (40.0, {"zone": "south"}, 0),
        ],
    )
    def test_only_older_connections_are_closed(self, after, options, closed):
        assert plan_at(START + after, peer_at(START + after, **options))[1] == closed

    def test_entry_that_has_just_started_closes_nothing(self):
        peers = [peer_at(START, since=START - age, name=str(age)) for age in (5, 900)]
        assert plan_at(START, *peers, ages=(3.0, 0.1))[1] == 0

    def test_peer_of_zone_with_another_entry_changes_nothing(self):
        now = START + 2.0
        pair = peer_at(now, zone="south"), peer_at(now, 5.0, "south", "q")
        assert plan_at(now, *pair)[1] == 0

    def test_silent_peer_is_not_relied_on(self):
        peer = peer_at(START)
        assert plan_at(START + 2.9, peer)[1] == 1
        assert plan_at(START + 3.1, peer)[1] == 0

    def test_rebalancings_and_closings_keep_their_distance(self):
        balance, closed = plan_at(START + 2, peer_at(START + 2), ages=(60.0, 1.0))
        assert closed == 2
        times = balance.close_at
        assert START + 2 <= times[0] <= START + 4
        assert times[1] >= START + 1 + 5.0
        second = {"since": START + 3, "name": "q"}
        for after, closed in ((6.9, 0), (7.1, 1)):
            peers = peer_at(START + after), peer_at(START + after, **second)
            found = plan_at(START + after, *peers, ages=(60, 9, 8), balance=balance)
            assert found[1] == closed
        assert balance.due(START + 20) == {0, 1, 2}
        assert balance.due(START + 20) == set()


class TestBalancerChecks:
    @pytest.mark.parametrize(("gap", "since"), [(1.0, 10.0), (2.1, 10.0), (3.0, 13.0)])
    def test_two_missed_checks_begin_a_new_series(self, gap, since):
        checks = BalancerChecks()
        checks.record(10.0, ready=True)
        checks.record(10.0 + gap - 0.5, ready=False)
        checks.record(10.0 + gap, ready=True)
        assert checks.serving_since(10.0 + gap) == since
        assert checks.serving_since(20.0) is None
