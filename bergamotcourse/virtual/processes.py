"""Entries and agents that run as virtual processes of a fleet."""

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
    ExternalCalls,
    Pause,
    VirtualPlatform,
    VirtualTimers,
)
from bergamotcourse.virtual.upstream import VirtualUpstream

POLL_SECONDS = 0.05
FINAL_DELIVERY_SECONDS = 1.0


@dataclass(frozen=True)
class ProcessEnvironment:
    """The environment of a virtual process.

    Attributes:
        view: This process's access to the platform.
        nursery: Runs calls that outlive the process.
        clock_offset: Seconds that its monotonic clock is ahead of the fleet's time.
        clock_rate: Seconds that its clock advances per second of the fleet's time.
        unix_ms: Reading of its wall clock at time 0 of the fleet, in milliseconds.
    """

    network: MemoryNetwork
    view: ClientView
    nursery: trio.Nursery
    rng: random.Random
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    unix_ms: int = 0


class VirtualProcess:
    """A virtual process, which is killed by cancelling its scope.

    Attributes:
        address: Its link address; a restarted process has the same one.
        ended: Set once the process has ended.
        nursery: Runs the process's tasks; ``None`` while it does not run.
    """

    def __init__(self, name: str, environment: ProcessEnvironment):
        self.name = name
        self.address = LinkAddress(f"tcp://{name}")
        self.network = environment.network
        self.pause = Pause()
        self.external_calls = ExternalCalls(environment.nursery, self.pause)
        self.platform = VirtualPlatform(
            environment.view, self.external_calls, environment.rng
        )
        self.timers = VirtualTimers(
            environment.rng,
            self.pause,
            environment.clock_offset,
            environment.clock_rate,
        )
        self.mailer = Mailer(
            environment.network.link(self.address), rng=environment.rng
        )
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run_until_killed(self, *mains: Callable[[], Awaitable[None]]) -> None:
        """Run the mailer, the timers and further functions until killed."""
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
        """End the process at once; messages held back by a freeze are dropped."""
        self.external_calls.ended = True
        self.scope.cancel()
        if self.pause.frozen:
            self.network.drop_held(self.address)
        self.thaw()
        self.ended.set()

    def freeze(self) -> None:
        """Freeze the process until it is thawed."""
        self.pause.freeze()
        self.network.freeze(self.address)

    def thaw(self) -> None:
        """Let a frozen process continue."""
        self.network.thaw(self.address)
        self.pause.thaw()


class VirtualAgent(VirtualProcess):
    """An agent with one upstream beside it."""

    def __init__(
        self,
        place: AgentLocation,
        limits: AgentLimits,
        upstream: StandInUpstream,
        environment: ProcessEnvironment,
    ):
        super().__init__(place.id, environment)
        self.agent = Agent(place, limits, self.mailer, self.timers, environment.rng)
        self.upstream = VirtualUpstream(upstream, self.external_calls)
        self.registration = AgentRegistration(
            agent_row(self.agent, self.address), self.platform, self.timers
        )
        renewal = limits.upstream_lease_seconds / 3
        self.timers.every(renewal, "upstream announcement", self._announce)
        self.timers.every(REGISTRATION_SECONDS, "registration", self._register)

    async def run(self) -> None:
        """Run the agent until it is killed."""
        await self.run_until_killed(self.agent.run, self._start)

    async def stop(self) -> None:
        """Stop gracefully: refuse new tasks, finish running ones, deregister."""
        agent = self.agent
        agent.begin_leaving()
        while agent.runner.task_count():
            await trio.sleep(POLL_SECONDS)
        agent.report_to_all()
        with trio.move_on_after(FINAL_DELIVERY_SECONDS):
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
        if self.registration.registered and log.lacks_epochs:
            await read_epochs(self.platform, log, self.registration.skipped_rows)


@dataclass(frozen=True)
class ServedResponse:
    """An entry's response to a caller.

    Attributes:
        decided_at: The fleet's time at which the entry had the response; it is sent
            later if the entry is frozen.
    """

    response: HttpResponse
    decided_at: float


class VirtualEntry(VirtualProcess):
    """An entry whose HTTP handler is called directly by the callers."""

    def __init__(self, options: EntryOptions, environment: ProcessEnvironment):
        super().__init__(options.name, environment)
        # Like the daemon, it reads the wall clock only once, at its start.
        unix_ms = environment.unix_ms + int(trio.current_time() * 1000)
        self.entry = Entry(
            options,
            self.mailer,
            self.platform,
            self.timers,
            environment.rng,
            wall_ms=WallClock(self.timers, unix_ms),
        )
        self.api = EntryApi(self.entry)

    async def run(self) -> None:
        """Run the entry until it is killed."""
        await self.run_until_killed(self.entry.run)

    async def serve(self, request: HttpRequest) -> ServedResponse | None:
        """Serve a caller's request; return ``None`` if the connection is lost.

        As in the HTTP server, the handler is cancelled if the caller disconnects.
        """
        if self.ended.is_set() or self.nursery is None:
            return None
        answers: list[ServedResponse] = []
        done = trio.Event()
        gone = trio.Event()

        async def handle() -> None:
            await trio.lowlevel.checkpoint()
            await self.pause.wait_until_thawed()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, gone, nursery.cancel_scope)
                response = await self.api.handle(request)
                answers.append(ServedResponse(response, trio.current_time()))
                nursery.cancel_scope.cancel()
            await self.pause.wait_until_thawed()
            done.set()

        self.nursery.start_soon(handle)
        try:
            await self._wait_any(done)
        finally:
            gone.set()
        return answers[0] if answers and done.is_set() else None

    async def stop(self) -> None:
        """Stop gracefully: finish the tasks in flight and queued, hand over, leave."""
        await self.entry.begin_stop()
        dispatcher = self.entry.dispatcher
        while dispatcher.in_flight or dispatcher.queued():
            await trio.sleep(POLL_SECONDS)
        await self.entry.leave()
        await self.mailer.drain(FINAL_DELIVERY_SECONDS)
        self.kill()

    async def _wait_any(self, done: trio.Event) -> None:
        """Return once the response is ready or the process has ended."""
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, done)
            nursery.start_soon(wait, self.ended)

    async def _watch_caller(self, gone: trio.Event, scope: trio.CancelScope) -> None:
        await gone.wait()
        await self.pause.wait_until_thawed()
        scope.cancel()
