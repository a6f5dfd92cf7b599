"""Checks whether a key without a record may have been started, by the key's age.

The record of a key that is older than the retention period may have been dropped. A key
that is older than a takeover may have been granted by the former owner, if an agent
that could report it is lost.
"""

import math

from bergamotcourse.coordination.lease_view import ObservedLease
from bergamotcourse.coordination.ownership import OwnedRange, Ownership
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.messages import Claim

FORMER_OWNER = "the former owner may have started it"


class KeyChecker:
    """Decides whether a key that has no record is safe to grant.

    Attributes:
        keep_ms: Retention period of submissions, in milliseconds.
        skew_ms: Bound on the difference between a caller's and an entry's wall clocks,
            in milliseconds.
    """

    def __init__(
        self, ownership: Ownership, timers: Timers, keep_ms: int, skew_ms: int
    ):
        self.ownership = ownership
        self.timers = timers
        self.keep_ms = keep_ms
        self.skew_ms = skew_ms

    def rejection_reason(self, claim: Claim, owned: OwnedRange) -> str:
        """Return why a key may have been started, or an empty string."""
        if claim.key_epoch:
            return self._check_handed_out(claim, owned)
        if claim.made_ms:
            return self._check_timed(claim, owned)
        return FORMER_OWNER if self.may_miss_grants(owned) else ""

    def may_miss_grants(self, owned: OwnedRange) -> bool:
        """Return whether a grant of the former owner may be missing in the ledger."""
        if not owned.unreported_agents:
            return False
        return (self.timers.now() - owned.granting_since) * 1000 <= self.keep_ms

    def _check_handed_out(self, claim: Claim, owned: OwnedRange) -> str:
        if claim.key_epoch == owned.epoch:
            age_ms = self.timers.now_ms() - claim.made_ms
        elif claim.key_epoch == owned.epoch - 1 and owned.former is not None:
            if self.may_miss_grants(owned):
                return FORMER_OWNER
            age_ms = self._former_age_ms(claim.made_ms, owned.former)
        else:
            return "the key's prefix is of an earlier owner of the range"
        if age_ms > self.keep_ms / 2:
            return "the key's prefix is too old; use the prefix from the last answer"
        if age_ms < -self.skew_ms:
            return "the key's prefix is from the future"
        return ""

    def _former_age_ms(self, made_ms: int, former: ObservedLease) -> float:
        """Return an upper bound of the age of a former owner's prefix, in ms."""
        if made_ms > former.row.clock_ms:
            since = former.renewed_after
        else:
            since = former.earliest_time_of(made_ms)
        return math.inf if math.isinf(since) else (self.timers.now() - since) * 1000

    def _check_timed(self, claim: Claim, owned: OwnedRange) -> str:
        age_ms = self.ownership.wall_ms() - claim.made_ms
        if age_ms < -self.skew_ms:
            return "the key's time is in the future"
        if age_ms > self.keep_ms - self.skew_ms:
            return "the key is older than the retention period of submissions"
        made_before = claim.made_ms <= owned.granting_since_wall_ms + self.skew_ms
        if made_before and self.may_miss_grants(owned):
            return FORMER_OWNER
        return ""
