"""The entry of the job dispatcher: takes jobs from callers, sends tasks to agents."""

import trio

from bergamotcourse.coordination.jobs.agent_links import AgentLinks
from bergamotcourse.coordination.jobs.agent_order import AgentOrder
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.coordination.jobs.peer_jobs import PeerJobs
from bergamotcourse.coordination.jobs.peers import Peers
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.jobs.speed_placement import known_slowness
from bergamotcourse.coordination.jobs.store_watch import (
    ConfigFeed,
    EntryRows,
    UpstreamRows,
)
from bergamotcourse.daemons.caller_balancing import CallerBalancing
from bergamotcourse.daemons.job_process import Node, job_http_server, link_address
from bergamotcourse.daemons.load_samples import LoadSamples
from bergamotcourse.daemons.process import serve_http
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.task_messages import (
    AgentTurn,
    Farewell,
    JobQuery,
    JobsEnded,
)
from bergamotcourse.state.node_settings import NodeSettings

BALANCER_REACTION_SECONDS = 2.3
"""How long an entry still accepts callers after a stop begins: the balancer checks
readiness each second and stops sending after two failed checks."""

ANSWER_RESERVE_SECONDS = 0.7
"""Reserved at the end of the stop time, for sending the last answers."""


class JobEntry:
    """An entry process of the job dispatcher.

    Attributes:
        stopping: Whether a planned stop has begun.
    """

    def __init__(self, node: Node):
        self.node = node
        self.stopping = False
        self.queues = QueuesInForce(node.platform.decode_queues, node.log)
        self.zones = EvacuatedZones(node.log)
        self.links = AgentLinks(
            node.settings.name,
            node.boot,
            node.mailer,
            node.timers,
            node.log,
            AgentOrder(node.address, node.settings.zone, node.policy.keeps_to_share),
            self.zones,
        )
        self.jobs = JobDispatcher(
            node.settings.zone,
            self.links,
            node.timers,
            node.log,
            node.policy,
            node.settings.remote_factor,
            node.rng,
        )
        self.peers = Peers(
            node.address,
            node.mailer,
            node.timers,
            self.queues,
            self.zones,
            node.log,
            node.rng,
        )
        node.metrics.round_trips = lambda: {
            link.name: link.round_trip_seconds for link in self.links.links.values()
        }
        node.metrics.slowness = self._known_slowness
        self.zones.on_change = self._zones_changed
        self.peers.agents = lambda: list(self.links.links)
        self.links.entries = lambda: list(self.peers.peers)
        processor = ProcessorLag(
            node.timers,
            node.log,
            node.rng,
            sheds_load=node.policy.turns_away_when_short,
        )
        self.peer_jobs = PeerJobs(
            self.jobs, node.mailer, self.peers.may_have_jobs, node.log
        )
        self.service = JobService(
            self.queues, self.jobs, processor, node.log, self.peer_jobs
        )
        self.server = job_http_server(
            node.settings.callers, node.platform.callers(self.service)
        )
        self.balancing = CallerBalancing(
            node.settings.zone,
            self.peers,
            processor,
            self.server,
            node.timers,
            node.log,
            node.rng,
        )
        self.balancing.enabled = node.policy.balances_callers
        self.balancing.cores = node.settings.cores
        processor.backlog_seconds = node.mailer.link.backlog_seconds
        self.load_samples = LoadSamples(
            self.links,
            self.jobs,
            processor,
            self.server,
            node.mailer,
            node.timers,
            node.log,
        )
        self.rows = EntryRows(node.store, node.rng, node.log)
        node.mailer.handler = self.handle

    async def run(self, nursery: trio.Nursery) -> None:
        """Start all tasks of the entry in a nursery."""
        node = self.node
        settings = node.settings
        self.peers.learn(node.seeds(), from_settings=True)
        feed = ConfigFeed(
            node.store,
            self.queues,
            self.zones,
            node.rng,
            node.log,
            lambda: len(self.peers.peers),
        )
        nursery.start_soon(self.links.run)
        nursery.start_soon(self.jobs.run)
        nursery.start_soon(self.peers.run)
        nursery.start_soon(self.peer_jobs.run)
        nursery.start_soon(self.rows.announce, node.address)
        node.start_supervised(nursery, "config", feed.run)
        node.start_supervised(nursery, "agents", self._greet_agents)
        node.start_supervised(
            nursery, "entries", self.rows.poll_entries, self.peers.learn
        )
        nursery.start_soon(serve_http, self.server)
        if settings.readiness is not None:
            ready = job_http_server(
                settings.readiness, node.platform.readiness(self.answer_check)
            )
            nursery.start_soon(serve_http, ready)
        if settings.reports is not None:
            unused = job_http_server(settings.reports, node.platform.unused())
            nursery.start_soon(serve_http, unused)

    async def _greet_agents(self) -> None:
        """Announce this entry to the agents listed in the store."""
        upstreams = UpstreamRows(self.node.store, self.node.rng, self.node.log)
        self.peers.greet_agents(list(await upstreams.read()))

    def handle(self, sender: LinkAddress, message: Message) -> None:
        """Handle one message from an agent or a peer entry."""
        match message:
            case AgentTurn():
                self.links.handle_agent_turn(sender, message)
            case Farewell(agent=True):
                self.links.handle_farewell(sender)
            case JobsEnded() | JobQuery():
                self.peer_jobs.handle_message(sender, message)
            case _:
                self.peers.handle_message(sender, message)

    def _known_slowness(self) -> dict[str, float]:
        now = self.node.timers.now()
        known = {
            link.name: known_slowness(link, now) for link in self.links.links.values()
        }
        return {agent: value for agent, value in known.items() if value is not None}

    def _zones_changed(self) -> None:
        self.peers.announce_change()
        self.jobs.handle_evacuations()

    def answer_check(self) -> bool:
        """Return the answer to a readiness check of the balancer."""
        return self.balancing.answer_check(self.is_ready())

    def is_ready(self) -> bool:
        """Return whether this entry is ready to accept jobs, apart from a drain."""
        return (
            not self.stopping
            and self.queues.table is not None
            and bool(self.links.reachable_agents())
        )

    def settings_changed(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        seeds = [link_address(seed) for seed in settings.seeds]
        self.peers.learn(seeds, from_settings=True)
        self.balancing.cores = settings.cores

    async def stop(self) -> None:
        """Serve accepted and still arriving jobs, abandon the rest, then leave."""
        seconds = self.node.settings.stop_seconds - ANSWER_RESERVE_SECONDS
        begun = trio.current_time()
        self.stopping = self.balancing.stopping = True
        self.jobs.ends_at = self.node.timers.now() + seconds
        self.server.close_after_next_responses()
        self.node.log.write("entry.stopping", jobs=len(self.jobs.jobs))
        await trio.sleep(BALANCER_REACTION_SECONDS)
        self.server.begin_stop()
        # Waiting for known jobs is not enough: a request may still be arriving.
        with trio.move_on_after(begun + seconds - trio.current_time()):
            await self.server.wait_stopped()
        self.jobs.abandon_all_jobs("this entry is stopping")
        with trio.move_on_after(ANSWER_RESERVE_SECONDS / 2):
            await self.server.wait_stopped()
        self.peer_jobs.announce()
        self.peers.send_farewell()
        await self.rows.withdraw(self.node.address)
