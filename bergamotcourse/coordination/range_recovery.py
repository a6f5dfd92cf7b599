"""Recovery of what the former owner of ranges had granted.

The former owner's journal is read, and every agent is ordered to refuse the old epochs
and to report what it started. A range is ready once every agent has reported, or once
no old start can be admitted any more. While an agent has not reported, or its start log
does not reach back far enough, unknown keys that the former owner may have granted are
refused until the agent reports or the keys exceed the retention period.

The rows of the ranges stay marked as doubtful until everything recovered is journaled
by this entry: an entry that takes over in the meantime also reads the former owners'
journals.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import trio
from expression import Result

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.journal import Journal
from bergamotcourse.coordination.lease_view import (
    MAX_CLOCK_DRIFT_RATIO,
    LeaseView,
    ObservedLease,
)
from bergamotcourse.coordination.ownership import Ownership, RangeState
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import Attempt, EntryId, Epoch, LinkAddress, RangeId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Fence, StartLogReply, StartRecord
from bergamotcourse.protocol.platform import Platform, Write
from bergamotcourse.state.lease_rows import (
    JournalRecord,
    RangeRow,
    range_key,
)
from bergamotcourse.state.ledger import Ledger, LedgerRecord

FENCE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class TakenOverRanges:
    """Ranges that were taken over together.

    Attributes:
        former: The entry that owned the ranges.
        dead_leases: Leases as last read, by entry: the entries that the former owner
            had taken over and not yet journaled, then the former owner itself.
        ranges: Epoch of each range under this entry.
        grants_seconds: Time for which the former owner's grants may still be used.
        strict_seconds: Time for which the former owner may still grant claims.
    """

    former: str
    dead_leases: dict[str, ObservedLease]
    ranges: dict[RangeId, Epoch]
    grants_seconds: float
    strict_seconds: float


@dataclass
class RecoveryProgress:
    """Progress of the recovery of ranges; times are in seconds.

    Attributes:
        unjournaled_since: All claims made before this time are in a journal.
        agents: Addresses of all agents that may have started work of the ranges;
            ``None`` until they were read from the platform.
        departed: Agents that have left or cannot be reached, and may have started work
            of the ranges.
        reported_agents: Agents that reported all their starts of the ranges.
        journal_read: Whether all journals have been read.
        last_record_at: When the last record was recovered.
        ready_at: When the ranges became ready; ``None`` before that.
    """

    taken_over: TakenOverRanges
    started_at: float
    unjournaled_since: float
    agents: dict[str, LinkAddress] | None = None
    departed: set[str] = field(default_factory=set)
    reported_agents: set[str] = field(default_factory=set)
    journal_read: bool = False
    last_record_at: float = 0.0
    ready_at: float | None = None

    def unreported_agents(self) -> set[str]:
        """Return the agents that have not reported all their starts."""
        return (set(self.agents or {}) | self.departed) - self.reported_agents


class RangeRecovery:
    """Recovers the ranges that this entry takes over.

    Attributes:
        list_agents: Updates the directory from the platform and returns whether the
            platform answered.
        token_seconds: Lifetime of the agents' tokens.
        skew_seconds: Bound on the difference between the wall clocks of two entries.
        recoveries: Recoveries in progress.
    """

    def __init__(
        self,
        view: LeaseView,
        ownership: Ownership,
        ledger: Ledger,
        journal: Journal,
        directory: AgentDirectory,
        list_agents: Callable[[], Awaitable[bool]],
        platform: Platform,
        mailer: Mailer,
        timers: Timers,
        token_seconds: float,
        skew_seconds: float,
    ):
        self.view = view
        self.ownership = ownership
        self.ledger = ledger
        self.journal = journal
        self.directory = directory
        self.list_agents = list_agents
        self.platform = platform
        self.mailer = mailer
        self.timers = timers
        self.token_seconds = token_seconds
        self.skew_seconds = skew_seconds
        self.recoveries: list[RecoveryProgress] = []

    def begin(self, taken_over: TakenOverRanges) -> None:
        """Start recovering ranges; claims on them are refused until they are ready."""
        for range_id, epoch in taken_over.ranges.items():
            owned = self.ownership.add(range_id, epoch, RangeState.RECOVERING)
            owned.former = taken_over.dead_leases.get(taken_over.former)
            owned.granting_since_wall_ms = self._former_wall_limit_ms(owned.former)
        now = self.timers.now()
        since = self._unjournaled_since(taken_over)
        self.recoveries.append(RecoveryProgress(taken_over, now, since))

    async def watch(self) -> None:
        """Advance all recoveries."""
        for recovery in list(self.recoveries):
            await self._advance(recovery)

    def needs_rows_of(self, entry: str) -> bool:
        """Return whether a recovery in progress still needs an entry's rows."""
        return any(entry in one.taken_over.dead_leases for one in self.recoveries)

    @property
    def keep_seconds(self) -> float:
        """Return the retention period of submissions, in seconds."""
        return self.ledger.retention_ms / 1000

    async def _advance(self, recovery: RecoveryProgress) -> None:
        if recovery.agents is None:
            await self._read_agents(recovery)
        if not recovery.journal_read:
            recovery.journal_read = await self._read_journals(recovery)
        await self._fence_agents(recovery)
        if recovery.agents is None or not recovery.journal_read:
            return
        self._open_ranges(recovery)
        if self._is_complete(recovery) and await self._clear_doubtful_marks(recovery):
            self.recoveries.remove(recovery)

    def _unjournaled_since(self, taken_over: TakenOverRanges) -> float:
        """Return the earliest time of a claim that is in no journal.

        Claims older than the retention period are not considered.
        """
        times = [
            s.earliest_time_of(s.row.journaled_ms)
            for s in taken_over.dead_leases.values()
        ]
        oldest = self.timers.now() - self.keep_seconds
        return max(min(times, default=-math.inf), oldest)

    async def _read_agents(self, recovery: RecoveryProgress) -> None:
        """List all agents that the former owner's claimants may have used.

        The claimants discovered them through the platform, so a read after the takeover
        includes them all.
        """
        if not await self.list_agents():
            return
        recovery.agents = {view.id: view.address for view in self.directory}
        recovery.departed = self.directory.unavailable_since(recovery.unjournaled_since)

    async def _read_journals(self, recovery: RecoveryProgress) -> bool:
        for entry, seen in recovery.taken_over.dead_leases.items():
            records = await self.journal.read(entry)
            if records.is_error():
                return False
            if not records.ok.complete:
                self._distrust_journals(recovery)
            for record in records.ok.records:
                self._restore(recovery, seen, record)
        return True

    def _distrust_journals(self, recovery: RecoveryProgress) -> None:
        """Rely on the agents' start logs only, because a journal has gaps."""
        oldest = recovery.started_at - self.keep_seconds
        if recovery.unjournaled_since > oldest:
            recovery.unjournaled_since = oldest
            recovery.departed |= self.directory.unavailable_since(oldest)
            # Their start logs may not reach back far enough.
            recovery.reported_agents.clear()

    def _restore(
        self, recovery: RecoveryProgress, seen: ObservedLease, record: JournalRecord
    ) -> None:
        if record.range not in recovery.taken_over.ranges:
            return
        known = self.ledger.get(record.submission)
        if known is not None and known.attempt > record.attempt:
            return
        now_ms = self.timers.now_ms()
        oldest_ms = now_ms - 2 * self.ledger.retention_ms
        claimed_ms = seen.earliest_time_of(record.claimed_ms) * 1000
        restored = LedgerRecord(
            range=RangeId(record.range),
            digest=record.digest,
            entry=EntryId(record.entry),
            address=LinkAddress(record.address),
            attempt=Attempt(record.attempt),
            at_ms=now_ms,
            claimed_ms=int(max(claimed_ms, oldest_ms)),
            outcome=record.outcome,
            restored=True,
        )
        self._store_record(recovery, record.submission, restored)

    def _store_record(
        self, recovery: RecoveryProgress, submission: bytes, record: LedgerRecord
    ) -> None:
        self.ledger.put(submission, record)
        self.journal.enqueue(submission)
        recovery.last_record_at = self.timers.now()

    async def _fence_agents(self, recovery: RecoveryProgress) -> None:
        """Order unreported agents to refuse older epochs and send their start logs."""
        pairs = [(int(r), int(e)) for r, e in recovery.taken_over.ranges.items()]

        async def fence(address: LinkAddress) -> None:
            reply = await self.mailer.request(
                address,
                lambda message_id: Fence(message_id, pairs),
                FENCE_TIMEOUT_SECONDS,
            )
            match reply:
                case Result(tag="ok", ok=StartLogReply() as log):
                    self._apply_start_log(recovery, log)
                case _:
                    pass

        async with trio.open_nursery() as nursery:
            for agent, address in (recovery.agents or {}).items():
                if agent not in recovery.reported_agents:
                    nursery.start_soon(fence, address)

    def _apply_start_log(self, recovery: RecoveryProgress, log: StartLogReply) -> None:
        for record in log.records:
            known = self.ledger.get(record.submission)
            if known is None or known.attempt < record.attempt:
                self._store_record(
                    recovery, record.submission, self._record_from_start_log(record)
                )
        log_since = self.timers.now() - log.uptime_ms / 1000 / (
            1 + MAX_CLOCK_DRIFT_RATIO
        )
        if log.first or log_since < recovery.unjournaled_since:
            recovery.reported_agents.add(log.agent)

    def _record_from_start_log(self, record: StartRecord) -> LedgerRecord:
        age_ms = int(record.age_ms * (1 + MAX_CLOCK_DRIFT_RATIO))
        return LedgerRecord(
            range=RangeId(record.range),
            digest=record.digest,
            entry=EntryId(""),
            address=LinkAddress(record.claimant),
            attempt=Attempt(record.attempt),
            at_ms=self.timers.now_ms(),
            # The claim precedes the start by at most a submission's maximum lifetime.
            claimed_ms=self.timers.now_ms() - age_ms - self.ledger.retention_ms // 2,
        )

    def _open_ranges(self, recovery: RecoveryProgress) -> None:
        """Mark the ranges as ready once no old start can be admitted."""
        unreported = recovery.unreported_agents()
        if recovery.ready_at is None:
            if unreported and not self._old_starts_expired(recovery):
                return
            recovery.ready_at = self.timers.now()
        for range_id, epoch in recovery.taken_over.ranges.items():
            owned = self.ownership.owned.get(range_id)
            if owned is None or owned.epoch != epoch:
                continue
            owned.unreported_agents = unreported
            if owned.state is RangeState.RECOVERING:
                owned.state = RangeState.READY
                owned.granting_since = self.timers.now()
                if recovery.taken_over.strict_seconds:
                    owned.granting_since_wall_ms = self._former_wall_limit_ms(
                        owned.former
                    )

    def _old_starts_expired(self, recovery: RecoveryProgress) -> bool:
        taken_over = recovery.taken_over
        seconds = taken_over.grants_seconds + self.token_seconds
        seconds = max(seconds * (1 + MAX_CLOCK_DRIFT_RATIO), taken_over.strict_seconds)
        return self.timers.now() - recovery.started_at >= seconds

    def _former_wall_limit_ms(self, former: ObservedLease | None) -> int:
        """Return the wall-clock time, or the former owner's if that is ahead, in ms.

        The former owner accepted no key whose time was ahead of its own clock by more
        than the skew, so all keys that it accepted are older than this time plus the
        skew.
        """
        own_wall_ms = self.ownership.wall_ms()
        if former is None or not former.row.unix_ms:
            return own_wall_ms
        since_ms = (self.timers.now() - former.renewed_after) * 1000
        if math.isinf(since_ms):
            # The renewal time is unknown, but the clocks differ by at most the skew.
            return own_wall_ms + int(self.skew_seconds * 1000)
        return max(
            own_wall_ms,
            former.row.unix_ms + int(since_ms * (1 + MAX_CLOCK_DRIFT_RATIO)),
        )

    def _is_complete(self, recovery: RecoveryProgress) -> bool:
        """Return whether everything recoverable is recovered and journaled."""
        if recovery.ready_at is None:
            return False
        retention_over = self.timers.now() - recovery.ready_at > self.keep_seconds
        recovered = not recovery.unreported_agents() or retention_over
        return (
            recovered
            and self.journal.journaled_through_ms > recovery.last_record_at * 1000
        )

    async def _clear_doubtful_marks(self, recovery: RecoveryProgress) -> bool:
        """Clear the ranges' doubtful marks; return whether there were none."""
        writes = []
        for range_id, epoch in recovery.taken_over.ranges.items():
            seen = self.view.owner(range_id)
            if seen is None or seen.row.owner != self.ownership.entry_id:
                continue
            if seen.row.epoch == epoch and seen.row.doubtful:
                row = RangeRow(seen.row.owner, epoch)
                content = msgspec.json.encode(row)
                writes.append(Write(range_key(range_id), content, seen.version))
        if not writes:
            return True
        await self.platform.transact(writes)
        await self.view.refresh()
        return False
