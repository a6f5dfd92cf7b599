"""An entry's lease on its ranges, stored in the platform's table.

The lease is valid as long as its row is renewed. The row names one successor, the only
entry that may take over. While the platform is unavailable the lease is extended as
long as the successor promises not to take over; without a promise it expires. Each side
measures time on its own monotonic clock; the rates of two clocks differ by a bounded
ratio.
"""

import logging
from collections.abc import Callable
from enum import Enum

import msgspec
from expression import Result

from bergamotcourse.coordination.lease_view import MAX_CLOCK_DRIFT_RATIO
from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import EntryId, LinkAddress, ZoneName
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import AskPromise, Promise
from bergamotcourse.protocol.platform import (
    ABSENT,
    Committed,
    Conflict,
    Platform,
    Row,
    Write,
)
from bergamotcourse.state.lease_rows import LeaseRow, decode_lease_row, lease_key

logger = logging.getLogger(__name__)

MAX_AUTONOMY_SECONDS = 3600.0
"""Promises extend a lease for at most this long after the last platform contact."""

PROMISE_TIMEOUT_SECONDS = 0.5

CONFIRMED_LEASE_PERIODS = 2.0
"""Lease periods after the last platform contact for which a valid lease counts as
confirmed. Later the entry may have been taken over as an orphan without knowing it; in
that case no agent would admit its starts."""


class LeaseState(Enum):
    """State of a lease.

    Attributes:
        JOINING: The row has not been written yet.
        HELD: The row has been written; ``Lease.valid`` returns whether it is in force.
        LOST: Another entry has taken over, or may have.
    """

    JOINING = "joining"
    HELD = "held"
    LOST = "lost"


class Lease:
    """The lease of one entry; times are in seconds on this process's clock.

    Attributes:
        seconds: Duration of the lease.
        version: Version of the row as last known.
        platform_valid_until: End of the validity granted by the last renewal.
        promise_valid_until: End of the validity granted by the successor's promise.
        last_platform_contact: When the last successful request to the platform began.
        ended: The lease was ended by a planned stop.
        possible_successors: The successor in force, and successors named in writes
            whose outcome is unknown.
        preferred_successor: Returns the entry to name as successor.
        address_of: Returns the link address of an entry, if known.
        journaled_ms: Returns the time up to which all claims are journaled.
        wall_ms: Returns the wall-clock time in milliseconds.
        demand: Returns the demand to publish in the row.
        skipped_rows: Versions of the row that could not be decoded.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneName,
        seconds: float,
        platform: Platform,
        mailer: Mailer,
        timers: Timers,
    ):
        self.entry = entry
        self.zone = zone
        self.seconds = seconds
        self.platform = platform
        self.mailer = mailer
        self.timers = timers
        self.state = LeaseState.JOINING
        self.ended = False
        self.version = ABSENT
        self.renewals = 0
        self.successor = ""
        self.possible_successors: set[str] = set()
        self.platform_valid_until = 0.0
        self.promise_valid_until = 0.0
        self.last_platform_contact = 0.0
        self.preferred_successor: Callable[[], str] = lambda: ""
        self.address_of: Callable[[str], LinkAddress | None] = lambda _entry: None
        self.journaled_ms: Callable[[], int] = lambda: 0
        self.wall_ms: Callable[[], int] = lambda: 0
        self.demand: Callable[[], dict[str, int]] = dict
        self.skipped_rows = SkippedRows()

    @property
    def holder_lease_seconds(self) -> float:
        """Return the seconds for which the holder relies on one renewal."""
        return self.seconds * (1 - MAX_CLOCK_DRIFT_RATIO)

    def valid(self, now: float) -> bool:
        """Return whether the lease is in force."""
        return now < self.valid_until()

    def is_confirmed(self, now: float) -> bool:
        """Return whether a recent platform contact rules out a takeover.

        A lease that is extended by promises stays valid but is not confirmed any more
        after ``CONFIRMED_LEASE_PERIODS``.
        """
        recent = (
            now - self.last_platform_contact <= CONFIRMED_LEASE_PERIODS * self.seconds
        )
        return recent and self.valid(now)

    def valid_until(self) -> float:
        """Return when the lease expires, in seconds on this process's clock."""
        if self.state is not LeaseState.HELD or self.ended:
            return 0.0
        promised = min(
            self.promise_valid_until, self.last_platform_contact + MAX_AUTONOMY_SECONDS
        )
        return max(self.platform_valid_until, promised)

    async def renew(self) -> None:
        """Renew through the platform or, if that fails, the successor's promise."""
        if self.state is LeaseState.LOST or self.ended:
            return
        started_at = self.timers.now()
        successor = self.preferred_successor()
        result = await self.platform.transact([self._write(successor)])
        match result:
            case Result(tag="ok", ok=Committed(version=version)):
                self._record_renewal(started_at, version, successor)
            case Result(tag="ok", ok=Conflict(rows=rows)):
                self._handle_conflict(started_at, rows[0])
            case Result(error=error):
                if error.took_effect is not False:
                    self.possible_successors.add(successor)
                await self._request_promises()

    def end(self) -> None:
        """End the lease on a planned stop; nothing is granted or promised any more."""
        self.ended = True

    async def release(self) -> None:
        """Mark the lease as released, so that the successor need not wait for expiry.

        If another entry has already taken over, its fencing mark is kept.
        """
        self.end()
        result = await self.platform.transact([self._write(self.successor, True)])
        match result:
            case Result(tag="ok", ok=Conflict(rows=[row])) if _is_unfenced(row):
                # An earlier renewal took effect although its answer was lost.
                self.version = row.version
                await self.platform.transact([self._write(self.successor, True)])
            case _:
                pass

    def _write(self, successor: str, released: bool = False) -> Write:
        row = LeaseRow(
            entry=self.entry,
            address=self.mailer.link.address,
            zone=self.zone,
            successor=successor,
            renewals=self.renewals + 1,
            clock_ms=self.timers.now_ms(),
            released=released,
            journaled_ms=self.journaled_ms(),
            unix_ms=self.wall_ms(),
            config=self.mailer.config_version,
            demand=self.demand(),
        )
        content = msgspec.json.encode(row)
        return Write(lease_key(self.entry), content, self.version)

    def _record_renewal(self, started_at: float, version: int, successor: str) -> None:
        self.state = LeaseState.HELD
        self.version = version
        self.renewals += 1
        self.successor = successor
        self.possible_successors = {successor}
        self.platform_valid_until = started_at + self.holder_lease_seconds
        self.last_platform_contact = started_at

    def _handle_conflict(self, started_at: float, row: Row) -> None:
        """Distinguish an own write whose answer was lost from another entry's write."""
        try:
            found = _decode_row(row)
        except ValueError as error:
            # The overwritten row may have named an entry that took over.
            self.state = LeaseState.LOST
            self.skipped_rows.log(row, error)
            return
        if found is None or found.fenced_by:
            self.state = LeaseState.LOST
            logger.warning("lease of %s was taken over", self.entry)
            return
        # The time of the earlier write is unknown, so it does not extend the validity.
        self.state = LeaseState.HELD
        self.version = row.version
        self.renewals = max(self.renewals, found.renewals)
        self.successor = found.successor
        self.possible_successors = {found.successor}
        self.last_platform_contact = started_at

    async def _request_promises(self) -> None:
        if self.state is not LeaseState.HELD:
            return
        until = None
        for successor in self.possible_successors or {self.successor}:
            promised = await self._request_promise(successor)
            until = promised if until is None else min(until, promised)
        if until:
            self.promise_valid_until = max(self.promise_valid_until, until)

    async def _request_promise(self, successor: str) -> float:
        address = self.address_of(successor)
        if address is None:
            return 0.0
        requested_at = self.timers.now()
        reply = await self.mailer.request(
            address,
            lambda message_id: AskPromise(message_id, self.entry, self.version),
            PROMISE_TIMEOUT_SECONDS,
        )
        match reply:
            case Result(tag="ok", ok=Promise(promised_ms=promised_ms)) if promised_ms:
                return requested_at + promised_ms / 1000 * (1 - MAX_CLOCK_DRIFT_RATIO)
            case _:
                return 0.0


def _is_unfenced(row: Row) -> bool:
    """Return whether a lease row was last written by its own entry."""
    try:
        found = _decode_row(row)
    except ValueError:
        return False
    return found is not None and not found.fenced_by


def _decode_row(row: Row) -> LeaseRow | None:
    """Return the lease in a row, or ``None`` if there is no row.

    Raises:
        ValueError: It cannot be decoded.
    """
    return None if row.value is None else decode_lease_row(row.key, row.value)
