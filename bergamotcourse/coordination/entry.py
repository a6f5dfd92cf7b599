"""An entry: its parts, their wiring and the dispatch of messages to them."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.agents import AgentDirectory, AgentView
from bergamotcourse.coordination.answer_recovery import AnswerRecovery
from bergamotcourse.coordination.claimant import Claimant
from bergamotcourse.coordination.claims import ClaimService
from bergamotcourse.coordination.config_exchange import ConfigExchange
from bergamotcourse.coordination.config_watch import CONFIG_POLL_SECONDS, ConfigWatch
from bergamotcourse.coordination.dispatcher import Dispatcher
from bergamotcourse.coordination.joining import Joiner
from bergamotcourse.coordination.journal import Journal
from bergamotcourse.coordination.lease import Lease, LeaseState
from bergamotcourse.coordination.lease_view import LeaseView
from bergamotcourse.coordination.membership import AgentDiscovery
from bergamotcourse.coordination.neighbours import ProcessLocation
from bergamotcourse.coordination.ownership import Ownership
from bergamotcourse.coordination.range_recovery import RangeRecovery
from bergamotcourse.coordination.routing import Router, RoutingPolicy
from bergamotcourse.coordination.submissions import Submissions
from bergamotcourse.coordination.takeover import Takeover
from bergamotcourse.coordination.takeover_cleanup import TakeoverCleanup
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.tracing import EntryTracer
from bergamotcourse.coordination.upstream_closer import UpstreamCloser
from bergamotcourse.ids import ConfigVersion, EntryId, LinkAddress, ZoneName
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AgentLoad,
    AgentState,
    AnyMessage,
    AskAnswer,
    AskPromise,
    Claim,
    ConfigAsk,
    ConfigOffer,
    Detach,
    Finished,
    FinishedReply,
    Promise,
    TaskResult,
)
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.answers import AnswerStore
from bergamotcourse.state.config_record import NO_VERSION
from bergamotcourse.state.keys import key_prefix
from bergamotcourse.state.ledger import Ledger
from bergamotcourse.state.manifest import Manifest

BOOT_BITS = 32
SILENT_HEARTBEATS = 3
CLAIM_RETRY_LEASES = 3
AGENT_WATCH_HEARTBEATS = 2
ATTACHMENT_LIMIT_UPDATE_SECONDS = 0.2
RESTART_GRACE_SECONDS = 0.1
"""Time for an agent's new process to refuse starts that were sent to the former one."""


@dataclass(frozen=True)
class EntryOptions:
    """Options of an entry; times in seconds.

    Attributes:
        name: Configured name; the process appends a random part.
        retention_seconds: Retention period of submissions.
        answer_bytes: Limit of the answers kept for repeated submissions, in bytes.
        key_skew_seconds: Upper bound of the difference between the wall clocks of
            callers and entries.
        log_sample: Share of the requests whose steps are logged, from 0 to 1.
        neighbours: Number of agents of a service that the entry stays attached to
            without demand.
    """

    name: str
    zone: ZoneName
    lease_seconds: float = 5.0
    token_seconds: float = 5.0
    heartbeat_seconds: float = 1.0
    retention_seconds: float = 600.0
    answer_bytes: int = 64 << 20
    key_skew_seconds: float = 10.0
    routing: RoutingPolicy | None = None
    log_sample: float = 0.0
    neighbours: int = 32


class WallClock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    The wall clock is read once at the start, so that later jumps of it have no effect.
    """

    def __init__(self, timers: Timers, unix_ms: int | None = None):
        self.timers = timers
        self.unix_ms = int(time.time() * 1000) if unix_ms is None else unix_ms
        self.started: int | None = None

    def __call__(self) -> int:
        """Return the Unix time in milliseconds."""
        now_ms = self.timers.now_ms()
        if self.started is None:
            self.started = now_ms
        return self.unix_ms + now_ms - self.started


class Entry:
    """One entry.

    Attributes:
        id: Configured name and a random part, which is new for each process and after
            each lost lease.
        stopping: Whether the entry accepts no new work because of a planned stop.
    """

    def __init__(
        self,
        options: EntryOptions,
        mailer: Mailer,
        platform: Platform,
        timers: Timers,
        rng: random.Random,
        wall_ms: Callable[[], int] | None = None,
    ):
        self.options = options
        self.mailer = mailer
        self.platform = platform
        self.timers = timers
        self.rng = rng
        self.wall_ms = wall_ms or WallClock(timers)
        self.stopping = False
        self.range_watch_lock = trio.Lock()
        self.nursery: trio.Nursery | None = None
        self.config = ConfigWatch(platform, timers)
        silent_seconds = SILENT_HEARTBEATS * options.heartbeat_seconds
        self.directory = AgentDirectory(silent_seconds)
        self.closer = UpstreamCloser(self.directory, mailer)
        self.router = Router(self.directory, options.zone, rng, options.routing)
        keep_ms = int(options.retention_seconds * 1000)
        self.ledger = Ledger(keep_ms)
        self.answers = AnswerStore(options.answer_bytes, options.retention_seconds)
        self.view = LeaseView(platform, timers, options.lease_seconds)
        self._create_lease_parts(
            EntryId(f"{options.name}-{rng.getrandbits(BOOT_BITS):08x}")
        )
        self.dispatcher = Dispatcher(
            mailer,
            timers,
            self.directory,
            self.router,
            lambda _: False,
            lambda _: None,
            lambda: len(self.view.living_rows()),
        )
        self.claimant = Claimant(
            self.claims,
            self.ownership,
            self.view,
            mailer,
            timers,
            CLAIM_RETRY_LEASES * options.lease_seconds,
        )
        recovery = AnswerRecovery(self.directory, self._list_agents, mailer, timers)
        self.submissions = Submissions(
            self.claimant,
            self.dispatcher,
            Joiner(self.claimant, recovery, mailer, timers),
            self.answers,
            mailer,
            timers,
        )
        self.agent_discovery = AgentDiscovery(
            ProcessLocation(self.id, options.zone),
            self._entry_locations,
            self._queue_lengths,
            self.directory,
            platform,
            mailer,
            timers,
            options.heartbeat_seconds,
            options.neighbours,
        )
        self.exchange = ConfigExchange(
            self.config, mailer, timers, self._peer_versions, rng
        )
        self.tracer = EntryTracer(rng, options.log_sample)
        self.submissions.on_granted = self.tracer.log_granted
        self.dispatcher.on_sent = self.tracer.log_sent
        self.dispatcher.on_outcome = self.tracer.log_outcome
        mailer.handler = self.handle
        mailer.on_envelope = self.exchange.handle_envelope
        mailer.on_unsent = self.dispatcher.handle_unsent_messages
        self._subscribe()

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.dispatcher.run_in(nursery)
            self.submissions.nursery = nursery
            self.exchange.nursery = nursery
            nursery.start_soon(self._start)
            try:
                await trio.sleep_forever()
            finally:
                # Callers that end with the process can still cancel their tasks.
                self.dispatcher.cancels.nursery = None

    def ready(self) -> bool:
        """Return whether the entry can accept requests."""
        return (
            not self.stopping
            and self.config.ready
            and self.agent_discovery.agents_listed
            and self.ownership.ready()
        )

    def key_prefix(self) -> str:
        """Return a prefix for idempotency keys that need no claim message.

        Returns an empty string if this entry has none to offer.
        """
        now = self.timers.now()
        owned = self.ownership.held_range(self.ownership.home, now)
        if owned is None or self.stopping:
            return ""
        return key_prefix(self.ownership.home, owned.epoch, self.timers.now_ms())

    def handle(self, sender: LinkAddress, message: AnyMessage) -> None:
        """Handle one message; a message received before the start is dropped."""
        if self.nursery is None:
            return
        match message:
            case TaskResult():
                self._handle_task_result(sender, message)
            case AgentState():
                self._handle_agent_state(sender, message)
            case AgentLoad():
                self._handle_agent_load(sender, message)
            case Claim():
                self._handle_claim(sender, message)
            case Finished():
                held = self.claims.record_outcome(message)
                if message.id:
                    self.mailer.post(sender, FinishedReply(message.id, held))
            case AskAnswer():
                self.nursery.start_soon(
                    self.submissions.handle_ask_answer, sender, message
                )
            case AskPromise(id=message_id, entry=entry):
                promised_ms = self.takeover.promise(entry)
                self.mailer.post(sender, Promise(message_id, promised_ms))
            case ConfigAsk() | ConfigOffer():
                self.exchange.handle(sender, message)

    async def begin_stop(self) -> None:
        """Accept no new work; running work continues."""
        self.stopping = True

    async def leave(self) -> None:
        """Flush the journal, release the lease and detach, once all work is done."""
        self.lease.end()
        with trio.move_on_after(self.options.lease_seconds):
            await self.journal.flush()
            await self.lease.release()
        self.agent_discovery.detach_all()

    def _create_lease_parts(self, entry: EntryId) -> None:
        """Create the parts that belong to one lease."""
        options = self.options
        self.id = entry
        self.lease = Lease(
            entry,
            options.zone,
            options.lease_seconds,
            self.platform,
            self.mailer,
            self.timers,
        )
        self.ownership = Ownership(
            self.lease, self.view, self.platform, self.timers, self.rng, self.wall_ms
        )
        self.journal = Journal(entry, self.ledger, self.platform, self.timers)
        self.lease.journaled_ms = lambda: self.journal.journaled_through_ms
        self.lease.wall_ms = self.wall_ms
        self.lease.demand = lambda: self.dispatcher.quotas.demand_to_report()
        self.ownership.on_dropped = self.ledger.drop_ranges
        self.claims = ClaimService(
            self.ownership,
            self.ledger,
            self.journal,
            self.timers,
            options.token_seconds,
            options.key_skew_seconds,
            self.answers.running.__contains__,
        )
        self.range_recovery = RangeRecovery(
            self.view,
            self.ownership,
            self.ledger,
            self.journal,
            self.directory,
            self._list_agents,
            self.platform,
            self.mailer,
            self.timers,
            options.token_seconds,
            options.key_skew_seconds,
        )
        self.takeover = Takeover(
            self.lease,
            self.view,
            self.ownership,
            self.range_recovery,
            self.platform,
            self.timers,
        )
        self.takeover_cleanup = TakeoverCleanup(
            self.view,
            self.ownership,
            self.range_recovery,
            self.takeover,
            self.platform,
            self.timers,
            options.retention_seconds,
        )

    async def _list_agents(self) -> bool:
        return await self.agent_discovery.watch()

    def _handle_manifest(self, version: ConfigVersion, manifest: Manifest) -> None:
        self.closer.take_manifest(version, manifest)
        self.dispatcher.take_manifest(manifest)
        self.dispatcher.pump_all()

    def _peer_versions(self) -> dict[LinkAddress, ConfigVersion]:
        """Return the configuration versions of other entries, by address.

        Includes entries whose leases seem expired because of a long outage of the
        platform.
        """
        versions: dict[LinkAddress, ConfigVersion] = {}
        for row in self.view.unreleased_rows():
            address = LinkAddress(row.address)
            if address != self.mailer.link.address:
                known = versions.get(address, NO_VERSION)
                versions[address] = max(ConfigVersion(row.config), known)
        return versions

    def _entry_locations(self) -> list[ProcessLocation]:
        rows = [row for row in self.view.unreleased_rows() if row.entry != self.id]
        others = [ProcessLocation(row.entry, row.zone) for row in rows]
        return [ProcessLocation(self.id, self.options.zone), *others]

    def _queue_lengths(self) -> dict[str, int]:
        queues = self.dispatcher.queues
        return {service: len(queue) for service, queue in queues.items()}

    def _subscribe(self) -> None:
        self.config.subscribe(self._handle_manifest)
        beat = self.options.heartbeat_seconds
        self.timers.every(beat, "lease renewal", self._renew_lease)
        self.timers.every(beat, "range watch", self._watch_ranges)
        watch = AGENT_WATCH_HEARTBEATS * beat
        self.timers.every(watch, "agent watch", self.agent_discovery.watch)
        self.timers.every(beat, "neighbours", self._update_neighbours)
        self.timers.every(
            ATTACHMENT_LIMIT_UPDATE_SECONDS,
            "neighbour bound",
            self.agent_discovery.adjust_attachment_limit,
        )
        self.timers.every(CONFIG_POLL_SECONDS, "configuration poll", self.config.poll)

    async def _start(self) -> None:
        """Run the first of some periodic calls without waiting for their period."""
        async with trio.open_nursery() as nursery:
            once = self.timers.call_once
            nursery.start_soon(once, "configuration poll", self.config.poll)
            nursery.start_soon(once, "agent watch", self.agent_discovery.watch)
            nursery.start_soon(once, "lease renewal", self._renew_lease)
        await self.timers.call_once("range watch", self._watch_ranges)

    async def _renew_lease(self) -> None:
        if not self.stopping or self.lease.state is LeaseState.HELD:
            await self.lease.renew()
        if self.lease.state is LeaseState.LOST and not self.stopping:
            self._replace_lost_lease()

    def _replace_lost_lease(self) -> None:
        """Continue under a new identity after a lost lease; running work continues."""
        self.ledger.records.clear()
        self.journal.close()
        self._create_lease_parts(
            EntryId(f"{self.options.name}-{self.rng.getrandbits(32):08x}")
        )
        self.claimant.service = self.claims
        self.claimant.ownership = self.ownership
        self.agent_discovery.entry = self.id

    async def _watch_ranges(self) -> None:
        async with self.range_watch_lock:
            await self.ownership.watch()
            self._update_demand()
            await self.takeover.watch()
            await self.takeover_cleanup.watch()

    def _update_demand(self) -> None:
        """Update the teams' demand at other entries from their last read lease rows."""
        age = self.timers.now() - self.view.current_as_of
        if age < 2 * self.options.heartbeat_seconds:
            rows = [row for row in self.view.living_rows() if row.entry != self.id]
            self.dispatcher.quotas.update_other_demand([row.demand for row in rows])

    def _handle_claim(self, sender: LinkAddress, claim: Claim) -> None:
        if claim.write_ahead:
            self.nursery.start_soon(self._answer_claim, sender, claim)
            return
        self.mailer.post(sender, self.claims.decide_claim(sender, claim))

    async def _answer_claim(self, sender: LinkAddress, claim: Claim) -> None:
        self.mailer.post(sender, await self.claims.handle_claim(sender, claim))

    async def _update_neighbours(self) -> None:
        await self.agent_discovery.update_attachments()
        self.closer.sync_all()

    def _handle_agent_state(self, sender: LinkAddress, state: AgentState) -> None:
        if self.directory.is_superseded(state.agent, sender):
            self.mailer.post(sender, Detach(self.id))
            return
        known = self.directory.by_address.get(sender)
        former_boot = known.boot if known else 0
        view = self.directory.record_state(sender, state, self.timers.now())
        if former_boot and former_boot != state.boot:
            self.nursery.start_soon(self._handle_agent_restart, view)
        self.closer.sync_agent(view)
        self._handle_report(view)

    async def _handle_agent_restart(self, view: AgentView) -> None:
        """Settle the former process's tasks once its late starts have been refused."""
        await trio.sleep(RESTART_GRACE_SECONDS)
        self.dispatcher.handle_agent_restart(view)

    def _handle_task_result(self, sender: LinkAddress, result: TaskResult) -> None:
        load = result.load
        if load is not None:
            now = self.timers.now()
            if not self.directory.record_load(sender, load, now):
                self.agent_discovery.request_full_state(sender)
        self.dispatcher.handle_task_result(result)

    def _handle_agent_load(self, sender: LinkAddress, load: AgentLoad) -> None:
        if self.directory.record_load(sender, load, self.timers.now()):
            self._handle_report(self.directory.by_address[sender])
        else:
            self.agent_discovery.request_full_state(sender)

    def _handle_report(self, view: AgentView) -> None:
        if view.leaving and not view.awaits_results():
            # The agent waits for this message before it stops; no result is in flight.
            self.mailer.post(view.address, Detach(self.id))
        self.dispatcher.handle_agent_report(view)
