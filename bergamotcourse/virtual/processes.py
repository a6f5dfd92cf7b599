"""Entries and agents as virtual processes of a fleet."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.agent import Agent, AgentLimits, AgentLocation
from bergamotcourse.coordination.entry import Entry, EntryOptions, WallClock
from bergamotcourse.coordination.epoch_reader import read_epochs
from bergamotcourse.coordination.membership import AgentRegistration
from bergamotcourse.coordination.upstreams import Upstream
from bergamotcourse.daemons.agent import REGISTRATION_SECONDS, agent_row
from bergamotcourse.daemons.entry_api import EntryApi
from bergamotcourse.ids import LinkAddress, ServiceName, UpstreamId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.standins.platform_store import ClientView
from bergamotcourse.standins.upstream import StandInUpstream
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.pause import (
    Outside,
    Pause,
    VirtualPlatform,
    VirtualTimers,
)
from bergamotcourse.virtual.upstream import VirtualUpstream

POLL_SECONDS = 0.05
LAST_MESSAGES_SECONDS = 1.0


@dataclass(frozen=True)
class Surroundings:
    """What a virtual process finds around it.

    Attributes:
        view: The platform, as this process's name sees it.
        nursery: Runs what outlives the process.
        clock_offset: Seconds that its monotonic clock is ahead.
        clock_rate: Seconds of its clock in a second of the fleet's time.
        unix_ms: The wall clock at the fleet's time zero, as this process sees it.
    """

    network: MemoryNetwork
    view: ClientView
    nursery: trio.Nursery
    rng: random.Random
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    unix_ms: int = 0


class VirtualProcess:
    """One virtual process: killed by cancelling its scope.

    Attributes:
        address: Its link address; a restarted process has the same.
        ended: Set once the process is no more.
    """

    def __init__(self, name: str, around: Surroundings):
        self.name = name
        self.address = LinkAddress(f"tcp://{name}")
        self.network = around.network
        self.pause = Pause()
        self.outside = Outside(around.nursery, self.pause)
        self.platform = VirtualPlatform(around.view, self.outside, around.rng)
        self.timers = VirtualTimers(
            around.rng, self.pause, around.clock_offset, around.clock_rate
        )
        self.mailer = Mailer(around.network.link(self.address), rng=around.rng)
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run_with(self, *mains: Callable[[], Awaitable[None]]) -> None:
        """Run the mailer, the timers and more until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.mailer.run)
                await self.mailer.link.wait_open()
                nursery.start_soon(self.timers.run)
                for main in mains:
                    nursery.start_soon(main)
        self.nursery = None

    def kill(self) -> None:
        """End the process at once; what it holds while frozen never leaves."""
        self.outside.ended = True
        self.scope.cancel()
        if self.pause.frozen:
            self.network.drop_held(self.address)
        self.thaw()
        self.ended.set()

    def freeze(self) -> None:
        """Stop the process for a while."""
        self.pause.freeze()
        self.network.freeze(self.address)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.network.thaw(self.address)
        self.pause.thaw()


class VirtualAgent(VirtualProcess):
    """An agent with one upstream beside it."""

    def __init__(
        self,
        place: AgentLocation,
        limits: AgentLimits,
        upstream: StandInUpstream,
        around: Surroundings,
    ):
        super().__init__(place.id, around)
        self.agent = Agent(place, limits, self.mailer, self.timers, around.rng)
        self.upstream = VirtualUpstream(upstream, self.outside)
        self.registration = AgentRegistration(
            agent_row(self.agent, self.address), self.platform, self.timers
        )
        renewal = limits.upstream_lease_seconds / 3
        self.timers.every(renewal, "upstream announcement", self._announce)
        self.timers.every(REGISTRATION_SECONDS, "registration", self._register)

    async def run(self) -> None:
        """Run the agent until it is killed."""
        await self.run_with(self.agent.run, self._start)

    async def stop(self) -> None:
        """Stop as planned: finish what runs, take nothing new, leave."""
        agent = self.agent
        agent.begin_leaving()
        while agent.runner.task_count():
            await trio.sleep(POLL_SECONDS)
        agent.report_to_all()
        with trio.move_on_after(LAST_MESSAGES_SECONDS):
            while agent.attachments:
                await trio.sleep(POLL_SECONDS)
        with trio.move_on_after(REGISTRATION_SECONDS):
            await self.registration.leave()
        self.kill()

    async def _start(self) -> None:
        await self._announce()
        await self._register()

    async def _announce(self) -> None:
        if self.upstream.down or self.upstream.leaving or self.agent.leaving:
            return
        stand_in = self.upstream.upstream
        self.agent.announce(
            Upstream(
                id=UpstreamId(stand_in.name),
                service=ServiceName(stand_in.service),
                zone=self.agent.location.zone,
                release=self.upstream.release,
                slots=stand_in.slots,
                connections=stand_in.connections,
                caller=self.upstream,
                renewed=self.timers.now(),
            )
        )

    async def _register(self) -> None:
        self.registration.set_services(self.agent.upstreams.services())
        await self.registration.watch()
        self.agent.first = bool(self.registration.first)
        log = self.agent.start_log
        if self.registration.registered and not log.epochs_loaded:
            await read_epochs(self.platform, log)


@dataclass(frozen=True)
class Served:
    """An entry's answer to a caller.

    Attributes:
        decided_at: The fleet's time at which the entry had the answer; it leaves
            later if the entry is frozen.
    """

    response: HttpResponse
    decided_at: float


class VirtualEntry(VirtualProcess):
    """An entry that callers reach through its HTTP handler."""

    def __init__(self, options: EntryOptions, around: Surroundings):
        super().__init__(options.name, around)
        # Like the daemon, it reads the wall clock once, at its start.
        unix_ms = around.unix_ms + int(trio.current_time() * 1000)
        self.entry = Entry(
            options,
            self.mailer,
            self.platform,
            self.timers,
            around.rng,
            wall_ms=WallClock(self.timers, unix_ms),
        )
        self.api = EntryApi(self.entry)

    async def run(self) -> None:
        """Run the entry until it is killed."""
        await self.run_with(self.entry.run)

    async def serve(self, request: HttpRequest) -> Served | None:
        """Answer a caller, or return ``None`` once the connection is lost.

        A caller that goes away cancels the handler, as the HTTP server does.
        """
        if self.ended.is_set() or self.nursery is None:
            return None
        answers: list[Served] = []
        done = trio.Event()
        gone = trio.Event()

        async def handle() -> None:
            await trio.lowlevel.checkpoint()
            await self.pause.passed()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, gone, nursery.cancel_scope)
                response = await self.api.handle(request)
                answers.append(Served(response, trio.current_time()))
                nursery.cancel_scope.cancel()
            await self.pause.passed()
            done.set()

        self.nursery.start_soon(handle)
        try:
            await self._wait_any(done)
        finally:
            gone.set()
        return answers[0] if answers and done.is_set() else None

    async def stop(self) -> None:
        """Stop as planned: finish what runs, hand over, leave."""
        await self.entry.begin_stop()
        dispatcher = self.entry.dispatcher
        while dispatcher.in_flight or dispatcher.queued():
            await trio.sleep(POLL_SECONDS)
        await self.entry.leave()
        await self.mailer.drain(LAST_MESSAGES_SECONDS)
        self.kill()

    async def _wait_any(self, done: trio.Event) -> None:
        """Return once the answer is there or the process is no more."""
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, done)
            nursery.start_soon(wait, self.ended)

    async def _watch_caller(self, gone: trio.Event, scope: trio.CancelScope) -> None:
        await gone.wait()
        await self.pause.passed()
        scope.cancel()
