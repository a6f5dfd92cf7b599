"""Access to the platform's store: configuration, zones, entries and upstreams."""

import random
from collections.abc import Callable
from typing import TypeVar

import trio
from expression import Result

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.errors import StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.job_store import (
    ConfigRead,
    HistoryGoneError,
    JobStore,
    ListTooLongError,
)
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import Evacuations, apply_zone_changes

T = TypeVar("T")

STORE_CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to the store, apart from the time for which a call waits there."""

LONG_POLL_SECONDS = 0.8
"""Duration of a long poll for changes in a small deployment. A connection that is lost
silently then delays a configuration by less than half of the time within which it must
be in force."""

SMALL_DEPLOYMENT_PEERS = 4
MAX_LONG_POLL_SECONDS = 2.0
"""With more than ``SMALL_DEPLOYMENT_PEERS`` peers, long polls last longer, up to this
bound. A version that any peer has received reaches an entry through greetings within
1.2 s, and 35 entries make 18 calls a second instead of 44."""

UNCHANGED_PAUSE_SECONDS = 0.05
"""Pause after a reply without changes. Without it, an entry spent half a core polling
a store that replies immediately."""

INITIAL_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.2
"""Bound on the pause after a failed call. Pauses start at ``INITIAL_BACKOFF_SECONDS``,
double with each failure, and get a random jitter of up to one half."""

MAX_CONFIG_BACKOFF_SECONDS = 0.6
"""Bound on the pause for the configuration. A call that times out and the pause after
it end before the time limit on configurations applies again, even at an entry without
peers."""

ENTRY_POLL_SECONDS = 5.0
"""Interval at which an entry reads the list of entries; peers report new ones first."""

AGENT_ENTRY_POLL_SECONDS = 20.0
"""Interval at which an agent reads the list of entries. A new entry greets agents by
itself, and 160 agents make 8 calls a second instead of 32."""


def long_poll_seconds(peer_count: int) -> float:
    """Return the seconds of a long poll for changes, given the number of peers."""
    return min(
        LONG_POLL_SECONDS * max(1.0, peer_count / SMALL_DEPLOYMENT_PEERS),
        MAX_LONG_POLL_SECONDS,
    )


class Backoff:
    """Backs off after failed calls, and logs the loss and recovery of the store.

    Attributes:
        call_name: Name of the call in the log.
        max_pause_seconds: Longest pause in seconds, before the jitter.
        failures: Number of consecutive failed calls, at most 10.
        answered_at: Time of the last successful call, on trio's clock.
    """

    def __init__(
        self,
        call_name: str,
        rng: random.Random,
        log: EventLog,
        max_pause_seconds: float = MAX_BACKOFF_SECONDS,
    ):
        self.call_name = call_name
        self.rng = rng
        self.log = log
        self.max_pause_seconds = max_pause_seconds
        self.failures = 0
        self.answered_at = trio.current_time()

    def succeeded(self) -> None:
        """Record a successful call, and reset the pause."""
        now = trio.current_time()
        if self.failures:
            self.log.write(
                "store.regained",
                call=self.call_name,
                failures=self.failures,
                without_ms=round((now - self.answered_at) * 1000),
            )
        self.failures = 0
        self.answered_at = now

    async def pause_after_failure(self, error: StepError) -> None:
        """Record a call that failed, and sleep for the backoff."""
        kind = "store.still_lost" if self.failures else "store.lost"
        pause = min(INITIAL_BACKOFF_SECONDS * 2**self.failures, self.max_pause_seconds)
        pause *= 0.5 + self.rng.random()
        self.log.write(
            kind, call=self.call_name, error=str(error), pause_ms=round(pause * 1000)
        )
        self.failures = min(self.failures + 1, 10)
        await trio.sleep(pause)


class ConfigFeed:
    """Keeps the configuration and the evacuated zones up to date from the store.

    Attributes:
        peer_count: Returns the number of other entries, which also report changes.
        position: Position up to which changes are known; ``None`` to read everything.
        evacuations: The evacuated zones at that position. Sets that peers have sent are
            not used: changes are applied to what was read from the store itself.
    """

    def __init__(
        self,
        store: JobStore,
        queues: QueuesInForce,
        zones: EvacuatedZones,
        rng: random.Random,
        log: EventLog,
        peer_count: Callable[[], int] = int,
    ):
        self.store = store
        self.queues = queues
        self.zones = zones
        self.peer_count = peer_count
        self.log = log
        self.backoff = Backoff("config", rng, log, MAX_CONFIG_BACKOFF_SECONDS)
        self.position: int | None = None
        self.evacuations = Evacuations()

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        while True:
            await self._handle_result(await self._read())

    async def _read(self) -> Result[ConfigRead, StepError]:
        if self.position is None:
            return await self.store.read_config(STORE_CALL_TIMEOUT_SECONDS)
        wait = long_poll_seconds(self.peer_count())
        return await self.store.wait_for_config_changes(
            self.position, wait, wait + STORE_CALL_TIMEOUT_SECONDS
        )

    async def _handle_result(self, result: Result[ConfigRead, StepError]) -> None:
        match result:
            case Result(tag="ok", ok=read):
                self.backoff.succeeded()
                await self._adopt(read)
            case Result(error=error):
                if isinstance(error, HistoryGoneError):
                    self.position = None
                await self.backoff.pause_after_failure(error)

    async def _adopt(self, read: ConfigRead) -> None:
        if read.position != self.position:
            self.log.write(
                "config.read",
                after=self.position,
                position=read.position,
                copies=read.copies,
            )
        self.evacuations = self._evacuations_after(read)
        self.zones.adopt(self.evacuations, "store")
        if read.content is not None:
            self.queues.adopt(read.content, "store")
        elif read.position == self.position:
            # Bounds the rate of calls to a store that replies immediately.
            await trio.sleep(UNCHANGED_PAUSE_SECONDS)
        if self.queues.table is None:
            # There is no configuration yet. A long poll would report the first one, but
            # a peer may have one before.
            await trio.sleep(INITIAL_BACKOFF_SECONDS)
            return
        self.position = read.position

    def _evacuations_after(self, read: ConfigRead) -> Evacuations:
        if read.is_snapshot:
            zones = sorted(change.zone for change in read.zones)
            return Evacuations(read.position, tuple(zones), is_complete=True)
        return apply_zone_changes(self.evacuations, read.zones)


class EntryRows:
    """The rows in the store through which entries are discovered."""

    def __init__(self, store: JobStore, rng: random.Random, log: EventLog):
        self.store = store
        self.rng = rng
        self.log = log

    async def announce(self, address: LinkAddress) -> None:
        """Write the row of an entry, and retry until the store accepts it."""
        backoff = Backoff("announce", self.rng, self.log)
        while True:
            result = await self.store.put_entry(address, STORE_CALL_TIMEOUT_SECONDS)
            if result.is_ok():
                backoff.succeeded()
                return
            await backoff.pause_after_failure(result.error)

    async def withdraw(self, address: LinkAddress) -> None:
        """Remove the row of an entry.

        A failure is only logged: a stale row costs other processes a few messages.
        """
        result = await self.store.remove_entry(address, STORE_CALL_TIMEOUT_SECONDS)
        if result.is_error():
            self.log.write("store.row_stays", error=str(result.error))

    async def poll_entries(self, learn, seconds: float = ENTRY_POLL_SECONDS) -> None:
        """Read the entries from the store periodically until cancelled.

        A list that is too long is not read again sooner: each time takes many calls.

        Args:
            learn: Called with the addresses after each read.
            seconds: Interval between reads.
        """
        backoff = Backoff("entries", self.rng, self.log)
        while True:
            result = await self.store.read_entries(STORE_CALL_TIMEOUT_SECONDS)
            if result.is_ok():
                backoff.succeeded()
                learn(result.ok)
                await trio.sleep(seconds)
            elif isinstance(result.error, ListTooLongError):
                await trio.sleep(seconds)
            else:
                await backoff.pause_after_failure(result.error)


def _equivalent_for_restart(one: UpstreamReport, other: UpstreamReport) -> bool:
    """Return whether two reports are equivalent for the next process of an agent."""
    return (one.life, one.draining) == (other.life, other.draining)


class UpstreamRows:
    """The last report of each upstream, stored for processes that start later.

    Without them, a restarted agent would know its upstream only from the next report,
    more than a second later. A restarted entry finds all agents here at once.

    Attributes:
        last_stored: The report that was last passed to the store.
    """

    def __init__(self, store: JobStore, rng: random.Random, log: EventLog):
        self.store = store
        self.rng = rng
        self.log = log
        self.last_stored: UpstreamReport | None = None

    async def store_report(self, agent: LinkAddress, report: UpstreamReport) -> None:
        """Store a report of a new incarnation or a changed draining state.

        The call is not retried: without the report, the next process of the agent only
        learns of the upstream a little later. Without the report that it is draining,
        that process would give work to the upstream until then.
        """
        if self.last_stored is not None and _equivalent_for_restart(
            self.last_stored, report
        ):
            return
        self.last_stored = report
        result = await self.store.put_upstream(
            agent, report, STORE_CALL_TIMEOUT_SECONDS
        )
        if result.is_error():
            self.log.write("store.upstream_not_kept", error=str(result.error))

    async def read_own(self, agent: LinkAddress) -> UpstreamReport | None:
        """Return the last report of an agent's upstream, or ``None``.

        Only the agent's own row is read: if 160 agents started at the same time and
        each read all rows, they would read 10 MB.
        """
        return self._value_or_default(
            await self.store.read_upstream(agent, STORE_CALL_TIMEOUT_SECONDS), None
        )

    async def read(self) -> dict[LinkAddress, UpstreamReport]:
        """Return the reports by agent; empty if the store cannot be read."""
        return self._value_or_default(
            await self.store.read_upstreams(STORE_CALL_TIMEOUT_SECONDS), {}
        )

    def _value_or_default(self, result: Result[T, StepError], instead: T) -> T:
        """Return the value that was read; log an error and return ``instead``."""
        if result.is_error():
            self.log.write("store.upstreams_not_read", error=str(result.error))
        return result.default_value(instead)
