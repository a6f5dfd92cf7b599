"""What a process reads from the platform's store: configuration, zones, entries."""

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
from bergamotcourse.protocol.job_store import ConfigRead, HistoryGoneError, JobStore
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import Evacuations, apply_changes

T = TypeVar("T")

CALL_SECONDS = 1.0
"""For a call to the store that waits for nothing."""

WAIT_SECONDS = 0.8
"""A call for changes waits so long: a connection that died without a sign then costs
less than half of the time in which a configuration must be in force."""

FEW_PEERS = 4
MOST_WAIT_SECONDS = 2.0
"""With more peers than these few the calls wait longer, up to so long: a version that
any of them has learnt reaches an entry by their greetings within 1.2 s, and 35 entries
make 18 calls a second in place of 44."""

NOTHING_NEW_SECONDS = 0.05
"""Pause after an answer without a change: against a store that does not wait, an entry
spent half a core on asking."""

RETRY_SECONDS = 0.15
MOST_RETRY_SECONDS = 1.2
"""Pauses after a call that failed: doubled each time, and spread by half."""

MOST_CONFIG_RETRY_SECONDS = 0.6
"""The same for the configuration: a call that times out and the pause after it end
before the bound on configurations holds again, also at an entry without peers."""

ENTRIES_SECONDS = 5.0
"""Between two looks for entries that have come; peers tell of them sooner."""

AGENT_ENTRIES_SECONDS = 20.0
"""The same for an agent, which a new entry greets by itself: 160 agents make 8 calls a
second, in place of 32."""


def wait_seconds(peers: int) -> float:
    """Return how long a call for changes waits beside so many other entries."""
    return min(WAIT_SECONDS * max(1.0, peers / FEW_PEERS), MOST_WAIT_SECONDS)


class Backoff:
    """Pauses between calls that fail, and the log of losing and regaining the store.

    Attributes:
        most: Seconds of the longest pause, before it is spread.
        answered_at: When a call was last answered, on trio's clock.
    """

    def __init__(
        self,
        what: str,
        rng: random.Random,
        log: EventLog,
        most: float = MOST_RETRY_SECONDS,
    ):
        self.what = what
        self.rng = rng
        self.log = log
        self.most = most
        self.failures = 0
        self.answered_at = trio.current_time()

    def succeeded(self) -> None:
        """Note a call that was answered."""
        now = trio.current_time()
        if self.failures:
            self.log.write(
                "store.regained",
                call=self.what,
                failures=self.failures,
                without_ms=round((now - self.answered_at) * 1000),
            )
        self.failures = 0
        self.answered_at = now

    async def failed(self, error: StepError) -> None:
        """Note a call that failed, and pause."""
        kind = "store.still_lost" if self.failures else "store.lost"
        pause = min(RETRY_SECONDS * 2**self.failures, self.most)
        pause *= 0.5 + self.rng.random()
        self.log.write(
            kind, call=self.what, error=str(error), pause_ms=round(pause * 1000)
        )
        self.failures = min(self.failures + 1, 10)
        await trio.sleep(pause)


class ConfigFeed:
    """Follows the configuration and the evacuated zones in the store.

    Attributes:
        peers: Returns the number of other entries, which also tell of changes.
    """

    def __init__(
        self,
        store: JobStore,
        queues: QueuesInForce,
        zones: EvacuatedZones,
        rng: random.Random,
        log: EventLog,
        peers: Callable[[], int] = int,
    ):
        self.store = store
        self.queues = queues
        self.zones = zones
        self.peers = peers
        self.log = log
        self.backoff = Backoff("config", rng, log, MOST_CONFIG_RETRY_SECONDS)
        self.position: int | None = None

    async def run(self) -> None:
        """Follow them until cancelled."""
        while True:
            await self._take(await self._read())

    async def _read(self) -> Result[ConfigRead, StepError]:
        if self.position is None:
            return await self.store.read_config(CALL_SECONDS)
        wait = wait_seconds(self.peers())
        return await self.store.config_changes(self.position, wait, wait + CALL_SECONDS)

    async def _take(self, result: Result[ConfigRead, StepError]) -> None:
        match result:
            case Result(tag="ok", ok=read):
                self.backoff.succeeded()
                await self._adopt(read)
            case Result(error=error):
                if isinstance(error, HistoryGoneError):
                    self.position = None
                await self.backoff.failed(error)

    async def _adopt(self, read: ConfigRead) -> None:
        if read.position != self.position:
            self.log.write(
                "config.read",
                after=self.position,
                position=read.position,
                copies=read.copies,
            )
        self.zones.adopt(self._evacuations_after(read), "store")
        if read.content is not None:
            self.queues.adopt(read.content, "store")
        elif read.position == self.position:
            # A store that answers at once would be asked without end.
            await trio.sleep(NOTHING_NEW_SECONDS)
        if self.queues.table is None:
            # There is none yet: the feed would tell, but a peer may have one.
            await trio.sleep(RETRY_SECONDS)
            return
        self.position = read.position

    def _evacuations_after(self, read: ConfigRead) -> Evacuations:
        if read.is_whole:
            zones = sorted(change.zone for change in read.zones)
            return Evacuations(read.position, tuple(zones))
        return apply_changes(self.zones.latest, read.zones)


class EntryRows:
    """The rows by which entries are found."""

    def __init__(self, store: JobStore, rng: random.Random, log: EventLog):
        self.store = store
        self.rng = rng
        self.log = log

    async def announce(self, address: LinkAddress) -> None:
        """Make an entry known; repeated until the store has it."""
        backoff = Backoff("announce", self.rng, self.log)
        while True:
            result = await self.store.put_entry(address, CALL_SECONDS)
            if result.is_ok():
                backoff.succeeded()
                return
            await backoff.failed(result.error)

    async def withdraw(self, address: LinkAddress) -> None:
        """Remove an entry's row; a row that stays costs others a few messages."""
        result = await self.store.remove_entry(address, CALL_SECONDS)
        if result.is_error():
            self.log.write("store.row_stays", error=str(result.error))

    async def follow(self, learn, seconds: float = ENTRIES_SECONDS) -> None:
        """Tell of the entries in the store, again and again, until cancelled.

        Args:
            learn: Called with the addresses.
            seconds: Between two looks.
        """
        backoff = Backoff("entries", self.rng, self.log)
        while True:
            result = await self.store.read_entries(CALL_SECONDS)
            if result.is_ok():
                backoff.succeeded()
                learn(result.ok)
                await trio.sleep(seconds)
            else:
                await backoff.failed(result.error)


def _says_the_same(one: UpstreamReport, other: UpstreamReport) -> bool:
    """Return whether the next process of an agent needs only one of two reports."""
    return (one.life, one.draining) == (other.life, other.draining)


class UpstreamRows:
    """The last report of each upstream, kept for the next processes.

    An agent that starts anew would know its upstream only by the next report, more than
    a second later; an entry that starts anew finds all agents here at once.

    Attributes:
        kept: The report that was kept last.
    """

    def __init__(self, store: JobStore, rng: random.Random, log: EventLog):
        self.store = store
        self.rng = rng
        self.log = log
        self.kept: UpstreamReport | None = None

    async def keep(self, agent: LinkAddress, report: UpstreamReport) -> None:
        """Keep the report of a new life of an upstream, or of one that leaves now.

        Tried once: without it the next process learns the same a little later. Without
        the leaving it would give work to that upstream until then.
        """
        if self.kept is not None and _says_the_same(self.kept, report):
            return
        self.kept = report
        result = await self.store.put_upstream(agent, report, CALL_SECONDS)
        if result.is_error():
            self.log.write("store.upstream_not_kept", error=str(result.error))

    async def read_own(self, agent: LinkAddress) -> UpstreamReport | None:
        """Return the last report of an agent's upstream, if the store has one.

        Of its own only: 160 agents that start at once and read all rows read 10 MB.
        """
        return self._value(await self.store.read_upstream(agent, CALL_SECONDS), None)

    async def read(self) -> dict[LinkAddress, UpstreamReport]:
        """Return the reports by agent; nothing if the store does not answer."""
        return self._value(await self.store.read_upstreams(CALL_SECONDS), {})

    def _value(self, result: Result[T, StepError], instead: T) -> T:
        """Return what was read; without an answer tell of it, and return another."""
        if result.is_error():
            self.log.write("store.upstreams_not_read", error=str(result.error))
        return result.default_value(instead)
