"""Injects the events of a load into the fleet of a replay."""

from collections.abc import Callable

import trio

from bergamotcourse.bench.replay.load_file import (
    AllLost,
    AnyEvent,
    EntryLost,
    EntryPaused,
    Failing,
    Leaving,
    Slow,
    Stalled,
    Unanswered,
    UpstreamLost,
)
from bergamotcourse.standins.order_upstream import Behaviour
from bergamotcourse.virtual.job_fleet import JobFleet


class FaultInjector:
    """Injects the events of a load into a fleet."""

    def __init__(self, fleet: JobFleet):
        self.fleet = fleet
        self.agents = list(fleet.agents)
        self.entries = list(fleet.entries)

    async def run(self, event: AnyEvent) -> None:
        """Wait until an event begins, and run it to its end."""
        await trio.sleep(event.at)
        match event:
            case Slow(factor=factor):
                await self._change_behaviour(event, lambda: Behaviour(slowness=factor))
            case Stalled():
                await self._change_behaviour(event, lambda: Behaviour(hangs=True))
            case Failing():
                await self._change_behaviour(event, lambda: Behaviour(fails=True))
            case Unanswered(share=share):
                await self._change_behaviour(event, lambda: Behaviour(unanswered=share))
            case UpstreamLost():
                await self._replace_upstreams(event)
            case Leaving(notice=notice, announces=announces):
                for name in self.agents[: event.upstreams]:
                    self.fleet.drain_upstream(name, notice if announces else None)
                await trio.sleep(notice)
                await self._replace_upstreams(event)
            case EntryLost(entries=count, seconds=seconds):
                await self._restart(self.entries[:count], [], seconds)
            case EntryPaused(entries=count, seconds=seconds):
                await self._pause(self.entries[:count], seconds)
            case AllLost(seconds=seconds):
                await self._restart(self.entries, self.agents, seconds)

    async def _change_behaviour(
        self, event, behaviour: Callable[[], Behaviour]
    ) -> None:
        upstreams = [self.fleet.upstreams[n] for n in self.agents[: event.upstreams]]
        previous = [upstream.behaviour for upstream in upstreams]
        for upstream in upstreams:
            upstream.behaviour = behaviour()
        await trio.sleep(event.seconds)
        for upstream, behaviour_before in zip(upstreams, previous, strict=True):
            upstream.behaviour = behaviour_before

    async def _replace_upstreams(self, event) -> None:
        names = self.agents[: event.upstreams]
        for name in names:
            self.fleet.upstreams[name].crash()
        await trio.sleep(event.seconds)
        for name in names:
            self.fleet.start_upstream(name)

    async def _pause(self, entries: list[str], seconds: float) -> None:
        paused = [self.fleet.entries[name] for name in entries]
        for entry in paused:
            entry.freeze()
        await trio.sleep(seconds)
        for entry in paused:
            entry.thaw()

    async def _restart(
        self, entries: list[str], agents: list[str], seconds: float
    ) -> None:
        for name in entries:
            self.fleet.entries[name].kill()
        for name in agents:
            self.fleet.agents[name].kill()
        await trio.sleep(seconds)
        for name in entries:
            self.fleet.start_entry(name)
        for name in agents:
            self.fleet.start_agent(name)
