"""When an entry short of processor time is unready, on a clock set here."""

import math

import pytest

from bergamotcourse.coordination.jobs.caller_drain import (
    CallerDrain,
    DrainAction,
    Shortage,
)
from bergamotcourse.coordination.jobs.peers import EntryStatus, Peer

NOT_SHORT = Shortage(None, -math.inf)


def make_peers(now, *states):
    """Return peers that are "ok", "short", "drains", or "far" (of another zone)."""
    peers = [Peer(f"p{number}", now) for number in range(len(states))]
    for peer, state in zip(peers, states, strict=True):
        zone = "south" if state == "far" else "north"
        short = state in ("short", "drains")
        peer.update(now, EntryStatus(zone, short, state == "drains", 1, 60_000))
    return peers


def actions(states, seconds, shortage=None, address="p9", step=0.25):
    """Return the actions of an entry by time, while it is short from time 0 on."""
    drain, found = CallerDrain(address, "north"), []
    for number in range(int(seconds / step)):
        now = number * step
        peers = make_peers(now, *(states(now) if callable(states) else states))
        action = drain.update(now, shortage or Shortage(0.0, now), peers)
        if action is not DrainAction.NONE:
            found.append((now, action))
    return found


class TestCourse:
    def test_unready_for_2_s_and_closes_while_removed_by_balancer(self):
        found = actions(["ok", "ok"], 10)
        assert found == [
            (0.5, DrainAction.BEGIN),
            (1.5, DrainAction.CLOSE),
            (2.5, DrainAction.END),
            (2.75, DrainAction.CLOSE),
            (3.5, DrainAction.RELEASE),
        ]

    def test_unready_for_at_most_a_tenth_of_the_time(self):
        begins = [at for at, act in actions(["ok"] * 2, 99) if act is DrainAction.BEGIN]
        gaps = [b - a for a, b in zip(begins, begins[1:], strict=False)]
        assert min(gaps) >= 2.0 / 0.1

    def test_pause_of_process_does_not_lengthen_it(self):
        drain = CallerDrain("p9", "north")
        drain.update(1.0, Shortage(0.0, 1.0), make_peers(1.0, "ok", "ok"))
        assert drain.is_unready(2.9)
        assert not drain.is_unready(3.1)

    def test_ends_when_all_have_become_short(self):
        found = actions(lambda now: ["ok" if now < 1.2 else "short"] * 2, 4)
        assert [act for _, act in found] == [
            DrainAction.BEGIN,
            DrainAction.END,
            DrainAction.RELEASE,
        ]


class TestPermission:
    @pytest.mark.parametrize(
        ("states", "begins"),
        [
            ([], False),
            (["far", "far"], False),
            (["ok"], False),
            (["ok", "short"], True),
            (["short", "short"], False),
            (["ok", "drains"], False),
            (["ok", "ok", "ok", "ok", "drains"], True),
            (["ok", "ok", "ok", "drains", "drains"], False),
        ],
    )
    def test_begins_only_with_relief_and_below_a_third(self, states, begins):
        assert bool(actions(states, 2)) == begins

    @pytest.mark.parametrize(("address", "stays"), [("a", True), ("z", False)])
    def test_of_two_that_began_together_one_goes_on(self, address, stays):
        def states(now):
            return ["ok", "drains" if now > 0.5 else "ok"]

        found = actions(states, 2, address=address)
        assert (DrainAction.END in [act for _, act in found]) != stays

    @pytest.mark.parametrize("shortage", [NOT_SHORT, Shortage(None, 1.9)])
    def test_momentary_shortage_does_not_drain(self, shortage):
        assert actions(["ok", "ok"], 2, shortage) == []

    def test_silent_peer_is_no_relief(self):
        peers = make_peers(0.0, "ok", "ok")
        shortage = Shortage(0.0, 3.1)
        assert CallerDrain("p9", "north").update(3.1, shortage, peers) is (
            DrainAction.NONE
        )
