"""A fleet of entries and agents with a virtual network, platform and callers."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

import trio

from bergamotcourse.coordination.agent import AgentLimits, AgentLocation
from bergamotcourse.coordination.config_store import apply
from bergamotcourse.coordination.entry import EntryOptions
from bergamotcourse.coordination.routing import RoutingPolicy
from bergamotcourse.ids import AgentId, RackName, ServiceName, WorkerName, ZoneName
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.standins.upstream import StandInUpstream
from bergamotcourse.state.manifest import Manifest, Service, Team, UpstreamRule
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.processes import (
    ProcessEnvironment,
    VirtualAgent,
    VirtualEntry,
)

SERVICE = ServiceName("voting")
TOKEN = "open-sesame"
START_UNIX_MS = 1_800_000_000_000


@dataclass(frozen=True)
class FleetShape:
    """The size of a fleet, its delays and its limits; times are in seconds.

    Attributes:
        slots: Number of slots of each upstream.
        connections: Number of connections of each upstream.
        workers_in_rack: Number of consecutive agents that share a rack.
        link_delay: One-way delay between processes.
        caller_delay: One-way delay between a caller and an entry.
        clock_spread: Upper bound of the differences between the processes'
            monotonic clocks.
        clock_drift: Upper bound of the deviation of the clocks' rates from 1.
        neighbours: Number of agents that an entry stays connected to.
    """

    entries: int = 3
    agents: int = 11
    zones: int = 3
    slots: int = 8
    connections: int = 64
    workers_in_rack: int = 3
    link_delay: float = 0.001
    caller_delay: float = 0.001
    lease_seconds: float = 5.0
    token_seconds: float = 5.0
    heartbeat_seconds: float = 1.0
    retention_seconds: float = 600.0
    key_skew_seconds: float = 10.0
    clock_spread: float = 0.0
    clock_drift: float = 0.0
    routing: RoutingPolicy | None = None
    neighbours: int = 32


def default_manifest(*teams: str) -> Manifest:
    """Return a manifest with one service, and with teams whose tokens are their names.

    The team ``barakaldo``, whose token is ``TOKEN``, is always present.
    """
    digests = {name: sha256(name.encode()).hexdigest() for name in teams}
    digests["barakaldo"] = sha256(TOKEN.encode()).hexdigest()
    return Manifest(
        release="virtual",
        services=[Service(name=SERVICE, timeout_seconds=30.0)],
        upstreams=[UpstreamRule(name="all", services=[SERVICE])],
        teams=[
            Team(name=name, credentials=[digest], services=[SERVICE])
            for name, digest in digests.items()
        ],
    )


class VirtualFleet:
    """A fleet of virtual processes with one upstream beside each agent.

    Attributes:
        nursery: Runs the virtual processes.
        wall_clock_errors: By process, the seconds that its host's wall clock is ahead.
        on_start: Called with an agent's name and each request at its upstream.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int = 0,
        shape: FleetShape | None = None,
    ):
        self.nursery = nursery
        self.shape = shape or FleetShape()
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self._rng(), self.shape.link_delay)
        self.platform = MemoryPlatform(rng=self._rng())
        self.entries: dict[str, VirtualEntry] = {}
        self.agents: dict[str, VirtualAgent] = {}
        self.upstreams: dict[str, StandInUpstream] = {}
        self.wall_clock_errors: dict[str, float] = {}
        self.on_start: Callable[[str, HttpRequest], None] = lambda _name, _request: None

    async def start(self, manifest: Manifest | None = None) -> None:
        """Apply a manifest, start all processes and wait until entries are ready."""
        await apply(self.platform, manifest or default_manifest(), 0, "fleet", "start")
        for number in range(1, self.shape.agents + 1):
            self.start_agent(f"agent-{number}")
        for number in range(1, self.shape.entries + 1):
            self.start_entry(f"entry-{number}")
        for name in self.entries:
            await self.wait_ready(name)

    def start_agent(self, name: str) -> VirtualAgent:
        """Start an agent and its upstream, or restart them after a kill."""
        number = int(name.rpartition("-")[2])
        place = AgentLocation(
            AgentId(name),
            ZoneName(f"zone-{(number - 1) % self.shape.zones + 1}"),
            RackName(f"rack-{(number - 1) // self.shape.workers_in_rack + 1}"),
            WorkerName(f"worker-{number}"),
        )
        limits = AgentLimits(
            token_seconds=self.shape.token_seconds,
            start_log_seconds=self.shape.retention_seconds,
            heartbeat_seconds=self.shape.heartbeat_seconds,
        )
        upstream = self.upstreams.setdefault(
            name,
            StandInUpstream(
                f"upstream-{number}", SERVICE, self.shape.slots, self.shape.connections
            ),
        )
        agent = VirtualAgent(place, limits, upstream, self._make_environment(name))
        agent.upstream.on_start = lambda request: self.on_start(name, request)
        self.agents[name] = agent
        self.nursery.start_soon(agent.run)
        return agent

    def start_entry(self, name: str) -> VirtualEntry:
        """Start an entry, or restart it after a kill."""
        number = int(name.rpartition("-")[2])
        options = EntryOptions(
            name=name,
            zone=ZoneName(f"zone-{(number - 1) % self.shape.zones + 1}"),
            lease_seconds=self.shape.lease_seconds,
            token_seconds=self.shape.token_seconds,
            heartbeat_seconds=self.shape.heartbeat_seconds,
            retention_seconds=self.shape.retention_seconds,
            key_skew_seconds=self.shape.key_skew_seconds,
            routing=self.shape.routing,
            neighbours=self.shape.neighbours,
        )
        entry = VirtualEntry(options, self._make_environment(name))
        self.entries[name] = entry
        self.nursery.start_soon(entry.run)
        return entry

    async def wait_ready(self, name: str) -> None:
        """Return once an entry is ready and attached to its agents.

        It waits for all agents, or for as many as an entry stays connected to.
        """
        entry = self.entries[name].entry
        while not entry.ready() or not self._knows_agents(name):
            await trio.sleep(0.05)

    async def call(self, entry: str, request: HttpRequest) -> HttpResponse | None:
        """Send a request as a caller; return the response, or ``None`` if lost."""
        if not request.header("authorization"):
            request.headers.append(("authorization", f"Bearer {TOKEN}"))
        await trio.sleep(self.shape.caller_delay)
        served = await self.entries[entry].serve(request)
        await trio.sleep(self.shape.caller_delay)
        return served and served.response

    def starts(self) -> dict[str, int]:
        """Return the number of starts of each task at all upstreams."""
        total: dict[str, int] = {}
        for upstream in self.upstreams.values():
            for task, count in upstream.starts.items():
                total[task] = total.get(task, 0) + count
        return total

    def _knows_agents(self, name: str) -> bool:
        views = list(self.entries[name].entry.directory)
        known = [view for view in views if view.attached]
        return len(known) >= min(len(self.agents), self.shape.neighbours)

    def _make_environment(self, name: str) -> ProcessEnvironment:
        rng = self._rng()
        spread, drift = self.shape.clock_spread, self.shape.clock_drift
        return ProcessEnvironment(
            network=self.network,
            view=self.platform.view(name),
            nursery=self.nursery,
            rng=rng,
            clock_offset=rng.uniform(0, spread) if spread else 0.0,
            clock_rate=1 + rng.uniform(-drift, drift) if drift else 1.0,
            unix_ms=START_UNIX_MS + int(self.wall_clock_errors.get(name, 0.0) * 1000),
        )

    def _rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))
