"""Decides which callers' connections to close after another entry has started.

The balancer distributes new connections over the ready entries of a zone; an open
connection stays with its entry. So an entry that has started gets few callers until the
other entries close the connections that were opened before the balancer knew it.

Whether a peer has started is not derived from its silence, as an entry hears from each
peer only every few seconds: a peer tells since when the balancer has sent it callers.
Then only the connections that are older than that are closed, so that an entry that has
just started, or has not known the peer before, needs no special rule.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotcourse.coordination.jobs.peers import Peer
from bergamotcourse.ids import LinkAddress, ZoneName

PEER_KNOWN_SECONDS = 3.0
"""Time since its last greeting after which a peer is not relied on. A greeting follows
within 2.4 s if none is lost."""

BALANCER_SEES_SECONDS = 1.5
"""Time after which every balancer sends callers to an entry that one of them has found
ready: each checks once a second."""

SPREAD_SECONDS = 2.0
"""Time over which connections are closed, so that callers do not all reconnect at
once."""

MIN_INTERVAL_SECONDS = 5.0
"""Least time between two rebalancings of an entry, and least age of a connection that
is closed by one: so a caller reconnects no more often while entries restart in turn."""

STABLE_SECONDS = 10.0
"""Time for which a peer must serve before callers are rebalanced, if it served for less
than that before it started anew. A peer that crashes repeatedly gets no callers of
others, whose jobs would end with it."""


@dataclass(frozen=True)
class OpenConnection:
    """A caller's connection that is not to be closed yet.

    Attributes:
        number: Its number at the server.
        opened_at: When it was accepted.
    """

    number: int
    opened_at: float


@dataclass(frozen=True)
class Rebalancing:
    """A decision to close connections.

    Attributes:
        peer: The entry whose start is the reason.
        connections: Number of connections to close.
    """

    peer: LinkAddress
    connections: int


class CallerBalance:
    """Plans the closing of connections when a peer has started.

    Attributes:
        zone: Zone of this entry.
        handled_until: Connections opened before this time have been considered.
        rebalanced_at: When connections were last planned to be closed.
        close_at: By number of the connection, when to close it.
        only_ones: By peer of another zone, the ``serving_from`` of the start that found
            it to be the only entry of its zone, or 0.
        last_seen: By peer of another zone, the last ``serving_from`` that was judged.
    """

    def __init__(self, zone: ZoneName, rng: random.Random):
        self.zone = zone
        self.rng = rng
        self.handled_until = -math.inf
        self.rebalanced_at = -math.inf
        self.close_at: dict[int, float] = {}
        self.only_ones: dict[LinkAddress, int] = {}
        self.last_seen: dict[LinkAddress, int] = {}

    def find_started_peer(self, now: float, peers: Iterable[Peer]) -> Peer | None:
        """Return the peer that requires a rebalancing now, or ``None``.

        If there are several, it is the one that has started last.
        """
        known = known_peers(now, peers)
        self._judge_other_zones(now, known)
        if now - self.rebalanced_at < MIN_INTERVAL_SECONDS:
            return None
        started = [
            peer
            for peer in known
            if self._takes_callers_of(peer)
            and visible_at(peer) > self.handled_until
            and now >= visible_at(peer)
            and is_stable(now, peer)
        ]
        return max(started, key=visible_at, default=None)

    def plan(
        self, now: float, peer: Peer, connections: Iterable[OpenConnection]
    ) -> Rebalancing | None:
        """Plan to close the connections that were opened before a peer was visible.

        Args:
            now: The time.
            peer: The peer that has started.
            connections: The open connections that are not to be closed yet.

        Returns:
            The decision, or ``None`` if there is no such connection.
        """
        self.handled_until = visible_at(peer)
        older = [
            connection
            for connection in connections
            if connection.opened_at < self.handled_until
            and connection.number not in self.close_at
        ]
        if not older:
            return None
        self.rebalanced_at = now
        for connection in older:
            earliest = now + self.rng.uniform(0, SPREAD_SECONDS)
            self.close_at[connection.number] = max(
                earliest, connection.opened_at + MIN_INTERVAL_SECONDS
            )
        return Rebalancing(peer.address, len(older))

    def due(self, now: float) -> set[int]:
        """Remove and return the connections to close now with their next responses."""
        numbers = {number for number, at in self.close_at.items() if at <= now}
        for number in numbers:
            del self.close_at[number]
        return numbers

    def _takes_callers_of(self, peer: Peer) -> bool:
        """Return whether callers of a peer may be with this entry."""
        if peer.status.zone == self.zone:
            return True
        return self.only_ones.get(peer.address) == peer.serving_from

    def _judge_other_zones(self, now: float, known: list[Peer]) -> None:
        """Find out which peers started as the only entries of other zones.

        It is decided when a start becomes known: later, other entries of that zone may
        have stopped in their turn, without this entry having served any of its callers.
        """
        for peer in known:
            zone = peer.status.zone
            if zone == self.zone or self.last_seen.get(peer.address) == (
                peer.serving_from
            ):
                continue
            self.last_seen[peer.address] = peer.serving_from
            alone = not any(
                other.status.zone == zone for other in known if other is not peer
            )
            just_started = now - peer.serving_since <= PEER_KNOWN_SECONDS
            self.only_ones[peer.address] = (
                peer.serving_from if alone and just_started else 0
            )


def known_peers(now: float, peers: Iterable[Peer]) -> list[Peer]:
    """Return the peers that can be relied on: they have greeted lately and serve."""
    return [
        peer
        for peer in peers
        if now - peer.greeted_at <= PEER_KNOWN_SECONDS
        and peer.status.zone
        and peer.status.serving_from
    ]


def visible_at(peer: Peer) -> float:
    """Return when a peer is known to the balancer."""
    return peer.serving_since + BALANCER_SEES_SECONDS


def is_stable(now: float, peer: Peer) -> bool:
    """Return whether a peer has served long enough to be given callers."""
    return (
        peer.former_seconds >= STABLE_SECONDS
        or now - peer.serving_since >= STABLE_SECONDS
    )
