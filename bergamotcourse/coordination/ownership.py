"""Ownership of ranges of the key space, and how an entry acquires them.

Ranges below ``HASHED_RANGES`` contain the keys that callers generate. Each entry also
creates its own home range, under which it hands out keys: claims on those need no
message as long as the session stays with the entry.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from bergamotcourse.coordination.lease import Lease, LeaseState
from bergamotcourse.coordination.lease_view import LeaseView, ObservedLease
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import Epoch, RangeId, SubmissionId
from bergamotcourse.protocol.platform import ABSENT, Platform, Write
from bergamotcourse.state.lease_rows import (
    HASHED_RANGES,
    RangeRow,
    lease_key,
    range_key,
)

FIRST_EPOCH = Epoch(1)
UNKEYED_RANGE = RangeId(-1)
"""Range of requests without a key; it has no owner, as they cannot be resubmitted."""

HOME_RANGE_BITS = 32


class RangeState(Enum):
    """Whether claims on an owned range may be granted.

    Attributes:
        RECOVERING: The range was taken over, and the former owner's grants are being
            recovered.
        READY: Claims are granted.
        UNCONFIRMED: An agent reported a newer epoch, so another entry may have taken
            over; claims are refused until the platform confirms the ownership.
    """

    RECOVERING = "recovering"
    READY = "ready"
    UNCONFIRMED = "questioned"


@dataclass
class OwnedRange:
    """A range that this entry owns.

    Attributes:
        former: Lease row of the former owner as last read; ``None`` if there was
            no former owner.
        unreported_agents: Agents that may have started work of the former owner and
            have not reported all of it. While there are any, an unknown key that may
            date from before the takeover is refused.
        granting_since: When this entry began to grant claims, in seconds.
        granting_since_wall_ms: Wall-clock time after the former owner's last grant,
            for keys that carry a time. Taken from the former owner's wall clock if that
            was ahead.
    """

    epoch: Epoch
    state: RangeState
    granting_since: float
    granting_since_wall_ms: int
    former: ObservedLease | None = None
    unreported_agents: set[str] = field(default_factory=set)


class Ownership:
    """The ranges owned by one entry.

    Attributes:
        home: The range under which this entry hands out keys.
        joined_at: When the lease was first held, in seconds.
        on_dropped: Called with the ranges that this entry no longer owns.
    """

    def __init__(
        self,
        lease: Lease,
        view: LeaseView,
        platform: Platform,
        timers: Timers,
        rng: random.Random,
        wall_ms: Callable[[], int],
    ):
        self.lease = lease
        self.view = view
        self.platform = platform
        self.timers = timers
        self.rng = rng
        self.wall_ms = wall_ms
        self.home = RangeId(HASHED_RANGES + rng.getrandbits(HOME_RANGE_BITS))
        self.owned: dict[RangeId, OwnedRange] = {}
        self.joined_at: float | None = None
        self.on_dropped: Callable[[set[int]], None] = lambda _ranges: None
        lease.preferred_successor = self.successor
        lease.address_of = view.address

    def held_range(self, range_id: RangeId, now: float) -> OwnedRange | None:
        """Return the range if this entry owns it and its lease is valid."""
        if not self.lease.valid(now):
            return None
        return self.owned.get(range_id)

    def ready(self) -> bool:
        """Return whether this entry owns its home range and all ranges have owners."""
        if self.home not in self.owned:
            return False
        return not any(self._is_unowned(r) for r in range(HASHED_RANGES))

    def successor(self) -> str:
        """Return the next live entry of the ring, of another zone if there is one.

        The ring orders the entries so that availability zones alternate. The successor
        is then not lost together with this entry's zone.
        """
        ring = successor_ring(self.view.living_rows(), self.lease)
        if len(ring) < 2:
            return ""
        position = ring.index(self.lease.entry)
        return ring[(position + 1) % len(ring)]

    def is_fallback_successor_of(self, entry: str) -> bool:
        """Return whether this entry takes over an entry without a live successor."""
        living = [row.entry for row in self.view.living_rows()]
        candidates = living or [self.entry_id]
        return best_owner(entry, candidates) == self.entry_id

    def suspend_range(self, range_id: RangeId, epoch: Epoch) -> None:
        """Refuse claims on a range until the platform confirms its owner.

        Has no effect if the range is owned in a different epoch.
        """
        owned = self.owned.get(range_id)
        if owned is None or owned.epoch != epoch:
            return
        if owned.state is RangeState.READY:
            owned.state = RangeState.UNCONFIRMED

    def drop(self, ranges: set[RangeId]) -> None:
        """Remove ranges that this entry no longer owns, and notify ``on_dropped``."""
        for range_id in ranges:
            self.owned.pop(range_id, None)
        if ranges:
            self.on_dropped(set(ranges))

    async def watch(self) -> None:
        """Claim unowned ranges and update the owned ones from the platform's table."""
        if self.lease.state is not LeaseState.HELD or not await self.view.refresh():
            return
        now = self.timers.now()
        if self.joined_at is None:
            self.joined_at = now
        wanted = self._ranges_to_claim(now)
        if self._is_unowned(self.home):
            wanted.append(self.home)
        if wanted:
            await self._claim_unowned(wanted)
        self._add_claimed_ranges()
        self._drop_lost()
        for owned in self.owned.values():
            if owned.state is RangeState.UNCONFIRMED:
                owned.state = RangeState.READY

    def _ranges_to_claim(self, now: float) -> list[RangeId]:
        """Return the unowned ranges for this entry to claim.

        These are the ranges that rendezvous hashing assigns to it; from two lease
        periods after joining, all ranges that are still unowned.
        """
        waited = now - self.joined_at
        if waited < self.lease.seconds / 2:
            return []
        unowned = [r for r in range(HASHED_RANGES) if self._is_unowned(r)]
        if waited > 2 * self.lease.seconds:
            return [RangeId(r) for r in unowned]
        living = [row.entry for row in self.view.living_rows()]
        return [RangeId(r) for r in unowned if best_owner(r, living) == self.entry_id]

    def _is_unowned(self, range_id: int) -> bool:
        """Return whether a range has no row."""
        # To claim a range whose row cannot be decoded would fail, and with it the
        # claims of others in the same transaction.
        undecodable = range_id in self.view.undecodable_ranges
        return self.view.owner(range_id) is None and not undecodable

    @property
    def entry_id(self) -> str:
        """Return this entry's id."""
        return self.lease.entry

    async def _claim_unowned(self, ranges: list[RangeId]) -> None:
        row = RangeRow(self.entry_id, FIRST_EPOCH)
        content = msgspec.json.encode(row)
        writes = [Write(range_key(r), content, ABSENT) for r in ranges]
        # Fails once another entry has taken over, as that would miss these ranges.
        key = lease_key(self.entry_id)
        writes.append(Write(key, None, self.lease.version, check_only=True))
        await self.platform.transact(writes)
        await self.view.refresh()

    def _add_claimed_ranges(self) -> None:
        """Add the ranges whose rows name this entry as their first owner."""
        for range_id, seen in self.view.ranges.items():
            mine = seen.row.owner == self.entry_id and range_id not in self.owned
            if mine and seen.row.epoch == FIRST_EPOCH:
                self.add(RangeId(range_id), FIRST_EPOCH, RangeState.READY)

    def add(self, range_id: RangeId, epoch: Epoch, state: RangeState) -> OwnedRange:
        """Record a range as owned from now on."""
        owned = OwnedRange(epoch, state, self.timers.now(), self.wall_ms())
        self.owned[range_id] = owned
        return owned

    def _drop_lost(self) -> None:
        seen = {range_id: self.view.owner(range_id) for range_id in self.owned}
        self.drop({r for r, s in seen.items() if s and s.row.owner != self.entry_id})


def hashed_range(submission: SubmissionId) -> RangeId:
    """Return the range of a key that a caller generated."""
    return RangeId(int.from_bytes(submission[:4], "big") % HASHED_RANGES)


def best_owner(name: int | str, entries: list[str]) -> str:
    """Return the entry that rendezvous hashing assigns a range or lease to."""
    return max(entries, key=lambda e: xxhash.xxh3_64_intdigest(f"{name}/{e}".encode()))


def successor_ring(living, lease: Lease) -> list[str]:
    """Return the entries in ring order, alternating between availability zones."""
    by_zone: dict[str, list[str]] = {}
    for row in living:
        by_zone.setdefault(row.zone, []).append(row.entry)
    own_zone = by_zone.setdefault(lease.zone, [])
    if lease.entry not in own_zone:
        own_zone.append(lease.entry)
        own_zone.sort()
    ring = []
    turn = 0
    while len(ring) < sum(len(entries) for entries in by_zone.values()):
        for zone in sorted(by_zone):
            if turn < len(by_zone[zone]):
                ring.append(by_zone[zone][turn])
        turn += 1
    return ring
