"""A fleet of the job dispatcher, with stand-in upstreams, on one clock."""

import random
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_links import AgentLinks
from bergamotcourse.coordination.jobs.agent_order import AgentOrder
from bergamotcourse.coordination.jobs.entry_contacts import EntryContacts
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.job_service import OVERLOAD_RETRY_SECONDS
from bergamotcourse.coordination.jobs.peer_jobs import PeerJobs
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.ids import LinkAddress, ServiceName, ZoneName
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.task_messages import (
    AgentTurn,
    Farewell,
    JobQuery,
    JobsEnded,
)
from bergamotcourse.standins.order_upstream import (
    Behaviour,
    OrderUpstream,
    Run,
    StandInPort,
    overlaps,
)
from bergamotcourse.state.evacuations import Evacuations
from bergamotcourse.state.job_spec import (
    JobId,
    JobQueue,
    JobSpec,
    StepSpec,
    TaskName,
)
from bergamotcourse.state.resources import Resources
from bergamotcourse.transport.bottleneck import Bottleneck
from bergamotcourse.transport.memory_link import MemoryLink, MemoryNetwork
from bergamotcourse.virtual.event_loop import (
    EventLoop,
    EventLoopLink,
    EventLoopTimers,
    WorkCosts,
)
from bergamotcourse.virtual.pause import Pause, VirtualTimers

SERVICE = ServiceName("voting")
CAPACITY = Resources(32_000, 65_536, 0)
NEEDS = Resources(3_100, 64, 0)
REPORT_SECONDS = 1.5
LINK_DELAY_SECONDS = 0.001
CRASH_DELAY_SECONDS = 0.05
"""Delay between the start of a crashing task and the crash of its upstream."""

UPSTREAM_RESTART_SECONDS = 3.0
"""Delay after which an upstream that a task crashed is started again."""

ANSWER_GRACE_SECONDS = 1.0
"""Time for which a caller waits after its timeout, so that the entry reports it."""

LINK_QUEUE_SECONDS = 0.6
"""How long payloads may queue at a link of limited rate."""

QUEUE = JobQueue(
    name="check",
    host="example",
    path_prefix="/check/",
    service=SERVICE,
    priority=0,
    max_attempts=2,
    slack_factor=1.6,
    target_latency=0.06,
)


REMOTE_FACTOR = 2.0
"""Factor by which tasks take longer outside the rack that has their data."""

DATA_RACK_SEPARATOR = "@"
"""Precedes, in a payload, the rack that has the data."""


def job(
    name: str,
    tasks: int = 4,
    work: float = 0.2,
    estimate: float = 0.0,
    rack: str = "",
    label: str = "",
) -> JobSpec:
    """Return a job whose payload has the seconds of work and the rack of its data."""
    step = StepSpec(tasks, NEEDS, estimate or work, label=label, data_rack=rack)
    payload = f"{work}{DATA_RACK_SEPARATOR}{rack}" if rack else str(work)
    return JobSpec(JobId(name), payload, (step,))


def work_of(payload: str) -> tuple[Resources, float]:
    """Return the needs and the seconds of work of a payload without a rack."""
    return NEEDS, float(payload)


class PausablePort:
    """A port that holds back orders and answers while its process is frozen."""

    def __init__(self, port: StandInPort, pause: Pause):
        self.port = port
        self.pause = pause

    async def start(self, order, timeout):
        """Send a start order."""
        await self.pause.wait_until_thawed()
        reply = await self.port.start(order, timeout)
        await self.pause.wait_until_thawed()
        return reply

    async def stop(self, key, timeout):
        """Send a stop order."""
        await self.pause.wait_until_thawed()
        stopped = await self.port.stop(key, timeout)
        await self.pause.wait_until_thawed()
        return stopped

    async def hold(self, noted, until, wait, timeout):
        """Send a hold order, which renews the lease."""
        await self.pause.wait_until_thawed()
        answer = await self.port.hold(noted, until, wait, timeout)
        await self.pause.wait_until_thawed()
        return answer

    async def aclose(self):
        """Close the port."""


class Process:
    """A process: its mailer, its timers, and a cancel scope that kills it."""

    def __init__(self, fleet: "JobFleet", name: str):
        self.fleet = fleet
        self.name = name
        self.address = LinkAddress(f"tcp://{name}")
        self.pause = Pause()
        self.rng = fleet.make_rng()
        self.timers = self.make_timers()
        self.mailer = Mailer(self.make_link(), rng=self.rng)
        self.scope = trio.CancelScope()
        self.log = EventLog(self._note)

    def make_timers(self) -> VirtualTimers:
        """Return the timers of the process."""
        return VirtualTimers(self.rng, self.pause)

    def make_link(self) -> MemoryLink:
        """Return the link of the process."""
        return self.fleet.network.link(self.address)

    def _note(self, kind: str, fields: dict) -> None:
        self.fleet.events.append((trio.current_time(), self.name, kind, fields))

    async def serve(self, *mains) -> None:
        """Run the mailer and some functions until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.mailer.run)
                nursery.start_soon(self.timers.run)
                for main in mains:
                    nursery.start_soon(main)

    def kill(self) -> None:
        """End the process at once; messages held back by a freeze are dropped."""
        self.scope.cancel()
        if self.pause.frozen:
            self.fleet.network.drop_held(self.address)
            self.thaw()

    def freeze(self) -> None:
        """Hold back everything that the process sends and receives."""
        self.pause.freeze()
        self.fleet.network.freeze(self.address)

    def thaw(self) -> None:
        """Let the process continue."""
        self.fleet.network.thaw(self.address)
        self.pause.thaw()


class AgentProcess(Process):
    """An agent process."""

    def __init__(self, fleet: "JobFleet", name: str):
        super().__init__(fleet, name)
        self.boot = fleet.next_boot()
        self.executor = Executor(self._connect, self.timers, self.log, fleet.policy)
        self.contacts = EntryContacts(
            name,
            fleet.zone_of(name),
            self.boot,
            self.executor,
            self.mailer,
            self.timers,
            self.log,
            fleet.policy,
        )
        self.executor.on_upstream_change = self.contacts.notify_all_entries

    async def run(self) -> None:
        """Run until killed."""
        self.contacts.add_entries(
            [entry.address for entry in self.fleet.entries.values()]
        )
        await self.serve(self._run_parts)

    async def _run_parts(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.executor.run)
            nursery.start_soon(self.contacts.run)
            nursery.start_soon(self._receive_reports)

    async def _receive_reports(self) -> None:
        while True:
            await self.pause.wait_until_thawed()
            self.receive_report()
            await trio.sleep(self.fleet.report_seconds)

    def receive_report(self) -> None:
        """Handle a report of the upstream, unless it is down or cut off."""
        upstream = self.fleet.upstreams[self.name]
        if upstream.down or self.name in self.fleet.cut_upstreams:
            return
        before = self.executor.refusal(), self.executor.capacity()
        self.executor.handle_upstream_report(upstream.report())
        if before != (self.executor.refusal(), self.executor.capacity()):
            self.contacts.notify_all_entries()

    def _connect(self, report) -> PausablePort:
        port = StandInPort(
            lambda: self.fleet.lives[report.id], self.boot, self.fleet.nursery
        )
        port.life = report.life
        port.connected = lambda: self.name not in self.fleet.cut_upstreams
        return PausablePort(port, self.pause)


class EventLoopDispatcher(JobDispatcher):
    """A dispatcher whose placement rounds take processor time.

    Attributes:
        loop: The event loop; ``None`` if they take no time.
    """

    def __init__(self, loop: EventLoop | None, *args):
        super().__init__(*args)
        self.loop = loop
        if loop is not None:
            self.placement_round.now = loop.now

    def place_waiting_jobs(self) -> None:
        """Place waiting jobs."""
        if self.loop is not None and self.waiting:
            self.loop.spend(self.loop.costs.place)
        super().place_waiting_jobs()


class EntryProcess(Process):
    """An entry process.

    Attributes:
        loop: Its event loop; ``None`` if its work takes no time.
        processor: Its lack of processor time.
    """

    def __init__(self, fleet: "JobFleet", name: str):
        self.loop = fleet.entry_costs and EventLoop(fleet.entry_costs)
        super().__init__(fleet, name)
        if self.loop is not None:
            self.processor = ProcessorLag(
                self.timers,
                self.log,
                self.rng,
                lambda: self.loop.used_seconds,
                fleet.policy.turns_away_when_short,
            )
            self.processor.backlog_seconds = self.mailer.link.backlog_seconds
        self.zones = EvacuatedZones(self.log)
        self.links = AgentLinks(
            name,
            fleet.next_boot(),
            self.mailer,
            self.timers,
            self.log,
            AgentOrder(self.address, ZoneName("zone-1"), fleet.policy.keeps_to_share),
            self.zones,
        )
        self.links.entries = lambda: [one.address for one in fleet.entries.values()]
        self.jobs = EventLoopDispatcher(
            self.loop,
            "zone-1",
            self.links,
            self.timers,
            self.log,
            fleet.policy,
            REMOTE_FACTOR,
            random.Random(self.links.boot),
        )
        self.peer_jobs = PeerJobs(self.jobs, self.mailer, self._peers, self.log)
        self.mailer.handler = self._handle
        self.zones.on_change = self.jobs.handle_evacuations

    def _peers(self) -> list[LinkAddress]:
        return [
            entry.address
            for entry in self.fleet.entries.values()
            if entry.address != self.address
        ]

    def make_timers(self) -> VirtualTimers:
        """Return the timers of the process."""
        if self.loop is None:
            return super().make_timers()
        return EventLoopTimers(self.rng, self.pause, self.loop)

    def make_link(self) -> MemoryLink:
        """Return the link of the process."""
        if self.loop is None:
            return super().make_link()
        return EventLoopLink(self.fleet.network, self.address, self.loop)

    async def run(self) -> None:
        """Run until killed."""
        mains = [self.links.run, self.peer_jobs.run]
        if self.loop is not None:
            # Without an event loop no placement round takes time, and none is delayed.
            mains += [self.loop.run, self.jobs.run]
        await self.serve(*mains)

    async def submit(
        self, spec: JobSpec, queue: JobQueue, seconds: float
    ) -> tuple[JobOutcome, float]:
        """Run a job; return its outcome and when a refused caller may retry."""
        if self.loop is not None:
            await self.loop.next_pass()
            if self.processor.should_reject_job():
                self.loop.spend(self.loop.costs.reject)
                return JobOutcome.REFUSED, OVERLOAD_RETRY_SECONDS
            self.loop.spend(self.loop.costs.submit)
        run = await self.jobs.submit(spec, queue, seconds)
        return run.outcome, run.retry_after

    def _handle(self, sender, message) -> None:
        match message:
            case AgentTurn():
                self.links.handle_agent_turn(sender, message)
            case Farewell(agent=True):
                self.links.handle_farewell(sender)
            case JobsEnded() | JobQuery():
                self.peer_jobs.handle_message(sender, message)


@dataclass
class CallerAnswer:
    """The outcome that a caller received, and when; ``None`` if it received none.

    Attributes:
        retry_after: Seconds after which the caller of a refused job may retry.
    """

    outcome: JobOutcome | None
    at: float
    retry_after: float = 0.0


class JobFleet:
    """A fleet of the job dispatcher with one upstream beside each agent.

    Attributes:
        policy: The job policy of all processes.
        history: All runs at all upstreams.
        events: The log of all processes: time, process, kind, fields.
        cut_upstreams: Names of the agents that are cut off from their upstreams.
        report_seconds: Interval between the reports of an upstream.
        work_of: Returns the needs and the seconds of work of a task, by its payload.
        lives: By upstream id, the life that is at its address now.
        upstreams: By agent, the current life of its upstream.
        reports_incarnations: Whether upstreams report their incarnation.
        racks: Number of racks; upstreams are assigned to them in turn.
        zones: Number of zones; agents are assigned to them in turn.
        evacuations: The evacuations in force; each entry adopts them at its start.
        crashing: Tasks that crash each upstream that starts them.
        process_counts: Number of entries and of agents at the start.
        slowness: By agent, the slowness of each new life of its upstream; 1 if it has
            none.
        entry_costs: What the work of an entry costs; ``None`` if it takes no time.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        entries: int = 2,
        agents: int = 4,
        seed: int = 0,
        policy: JobPolicy | None = None,
        racks: int = 1,
        zones: int = 1,
    ):
        self.policy = policy or JobPolicy()
        self.zones = zones
        self.evacuations = Evacuations()
        self.racks = racks
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.make_rng(), LINK_DELAY_SECONDS)
        self.history: list[Run] = []
        self.events: list[tuple] = []
        self.cut_upstreams: set[str] = set()
        self.report_seconds = REPORT_SECONDS
        self.work_of = work_of
        self.boots = 0
        self.reports_incarnations = True
        self.crashing: set[TaskName] = set()
        self.lives: dict[str, OrderUpstream] = {}
        self.upstreams: dict[str, OrderUpstream] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.agents: dict[str, AgentProcess] = {}
        self.process_counts = (entries, agents)
        self.slowness: dict[str, float] = {}
        self.entry_costs: WorkCosts | None = None

    def limit_links(self, bytes_per_second: float) -> None:
        """Limit the rate of all entries' links in each direction."""
        entries, _ = self.process_counts
        for number in range(1, entries + 1):
            self.network.bottlenecks[LinkAddress(f"tcp://entry-{number}")] = (
                Bottleneck(bytes_per_second, LINK_QUEUE_SECONDS),
                Bottleneck(bytes_per_second, LINK_QUEUE_SECONDS),
            )

    async def start(self) -> None:
        """Start all processes and wait until each entry can use every agent."""
        entries, agents = self.process_counts
        for number in range(1, entries + 1):
            self.start_entry(f"entry-{number}")
        for number in range(1, agents + 1):
            self.start_upstream(f"agent-{number}")
            self.start_agent(f"agent-{number}")
        while not all(self._knows_all_agents(entry) for entry in self.entries.values()):
            await trio.sleep(0.02)

    def start_entry(self, name: str) -> EntryProcess:
        """Start an entry, or restart it."""
        entry = EntryProcess(self, name)
        entry.zones.adopt(self.evacuations, "store")
        self.entries[name] = entry
        self.nursery.start_soon(entry.run)
        return entry

    def start_agent(self, name: str) -> AgentProcess:
        """Start an agent, or restart it."""
        agent = AgentProcess(self, name)
        self.agents[name] = agent
        self.nursery.start_soon(agent.run)
        return agent

    def start_upstream(self, agent: str, clock_rate: float = 1.0) -> OrderUpstream:
        """Start the upstream of an agent, with a new id if it replaces another."""
        name = f"upstream-{agent}-{len(self.lives)}"
        return self._start_life(agent, name, clock_rate)

    def restart_upstream(self, agent: str) -> OrderUpstream:
        """Restart the upstream of an agent under the same id."""
        former = self.upstreams[agent]
        began = trio.current_time()
        return self._start_life(
            agent, former.id, former.clock_rate, former.incarnation + 1, began
        )

    def replace_at_address(self, agent: str) -> OrderUpstream:
        """Start another upstream that receives the calls to the former one."""
        former = self.upstreams[agent]
        upstream = self.start_upstream(agent)
        self.lives[former.id] = upstream
        return upstream

    def _start_life(
        self,
        agent: str,
        name: str,
        clock_rate: float,
        incarnation: int = 1,
        clock_began: float = 0.0,
    ) -> OrderUpstream:
        rack = self.rack_of(agent)

        def work_of(payload: str) -> tuple[Resources, float]:
            own, _, near = payload.partition(DATA_RACK_SEPARATOR)
            needs, seconds = self.work_of(own)
            away = near not in ("", rack)
            return needs, seconds * (REMOTE_FACTOR if away else 1.0)

        upstream = OrderUpstream(
            name,
            SERVICE,
            CAPACITY,
            work_of,
            self.history,
            clock_rate,
            self.make_rng(),
            ("a", rack),
            incarnation if self.reports_incarnations else 0,
            clock_began,
        )
        upstream.behaviour = Behaviour(slowness=self.slowness.get(agent, 1.0))
        upstream.on_start = lambda run: self._run_started(agent, run)
        self.lives[name] = self.upstreams[agent] = upstream
        self.nursery.start_soon(upstream.run)
        return upstream

    def drain_upstream(self, agent: str, remaining_seconds: float | None) -> None:
        """Drain the upstream of an agent.

        Args:
            agent: The agent.
            remaining_seconds: Time left, which the upstream reports at once; ``None``
                if it reports only that it drains, with its next report.
        """
        upstream = self.upstreams[agent]
        upstream.draining = True
        if remaining_seconds is not None:
            upstream.leaves_at = trio.current_time() + remaining_seconds
            self.agents[agent].receive_report()

    def evacuate(self, *zones: str) -> None:
        """Evacuate these zones and end the evacuation of all others."""
        version = self.evacuations.version + 1
        self.evacuations = Evacuations(version, tuple(map(ZoneName, sorted(zones))))
        for entry in self.entries.values():
            entry.zones.adopt(self.evacuations, "store")

    def zone_of(self, agent: str) -> str:
        """Return the zone of an agent; zones are assigned in turn."""
        number = int(agent.rpartition("-")[2])
        return f"zone-{(number - 1) % self.zones + 1}"

    def _run_started(self, agent: str, run: Run) -> None:
        if run.key.task in self.crashing:
            self.nursery.start_soon(self._crash, agent, self.upstreams[agent])

    async def _crash(self, agent: str, upstream: OrderUpstream) -> None:
        """Crash an upstream and replace it after ``UPSTREAM_RESTART_SECONDS``."""
        await trio.sleep(CRASH_DELAY_SECONDS)
        if upstream.down:
            return
        upstream.crash()
        await trio.sleep(UPSTREAM_RESTART_SECONDS)
        if self.upstreams[agent] is upstream:
            self.start_upstream(agent)

    def rack_of(self, agent: str) -> str:
        """Return the rack of an agent; racks are assigned in turn."""
        number = int(agent.rpartition("-")[2]) if self.racks > 1 else 1
        return f"rack-{(number - 1) % self.racks + 1}"

    async def submit(
        self, entry: str, spec: JobSpec, queue: JobQueue = QUEUE, seconds: float = 5.0
    ) -> CallerAnswer:
        """Submit a job as a caller and return the answer; the timeout is in seconds."""
        process = self.entries[entry]
        if process.scope.cancel_called:
            return CallerAnswer(None, trio.current_time())
        answers = []
        done = trio.Event()

        async def handle() -> None:
            try:
                await process.pause.wait_until_thawed()
                answers.append(await process.submit(spec, queue, seconds))
            finally:
                done.set()

        process.nursery.start_soon(handle)
        with trio.move_on_after(seconds + ANSWER_GRACE_SECONDS):
            await done.wait()
        outcome, retry_after = answers[0] if answers else (None, 0.0)
        return CallerAnswer(outcome, trio.current_time(), retry_after)

    def make_rng(self) -> random.Random:
        """Return a random number generator seeded from the fleet's."""
        return random.Random(self.rng.getrandbits(64))

    def next_boot(self) -> int:
        """Return a number that increases with each started process."""
        self.boots += 1
        return self.boots

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return the pairs of runs of one task that ran at the same time."""
        return overlaps(self.history)

    def logged(self, kind: str) -> list[dict]:
        """Return the fields of all logged events of a kind."""
        return [fields for _, _, logged, fields in self.events if logged == kind]

    def _knows_all_agents(self, entry: EntryProcess) -> bool:
        ready = [
            link for link in entry.links.reachable_agents() if link.room.capacity.cpu
        ]
        return len(ready) == len(self.agents)
