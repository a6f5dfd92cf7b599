"""The entry's peers: discovery of other processes, and exchange of the current state.

Processes are discovered from three sources, any of which suffices: the addresses in the
settings, the rows in the platform's store, and the lists that peers send. The
configuration and the evacuated zones are read from the store, and are received from
peers if the store refuses this process.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress, ZoneName
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.task_messages import (
    ConfigCopy,
    ConfigWanted,
    Farewell,
    Hello,
)

GREETING_INTERVAL_SECONDS = 0.4
"""Interval between rounds of greetings. Five rounds fit into the time within which a
configuration must be in force."""

PEERS_PER_ROUND = 6
"""Number of peers greeted in a round, in a random order that is kept. A version that
one of 35 entries has reaches all of them within three rounds, and each of them hears
from each other one every 2.4 s. If each greeted all others, an entry would send and
receive 170 messages a second for this."""

FULL_LIST_INTERVAL_SECONDS = 2.0
"""Interval between greetings that request the full list of known processes. One peer is
asked; while this process knows no agent or has no configuration, every greeted peer is.
A reply names every process, which is 5 kB for 200 processes."""

BOOTSTRAP_INTERVAL_SECONDS = 0.25
"""Interval between rounds while this process knows no agent or has no configuration."""

PEER_EXPIRY_SECONDS = 30.0
"""Silence after which a peer that is not from the settings is removed."""

FIRST_GREETING_SECONDS = 5.0
"""Time within which a peer greets an entry that has found it; another address may be
nobody's. It is twice the time between two greetings of 35 entries."""


@dataclass(frozen=True)
class EntryStatus:
    """What an entry tells its peers of itself.

    Attributes:
        zone: Its zone; empty if it does not say.
        short_of_cpu: Whether it sheds load for lack of processor time.
        drains: Whether it is not ready, to pass callers to other entries.
        serving_from: Time on its own clock, in milliseconds, from which on the balancer
            has sent it callers without a break; 0 if it sends none.
        serving_ms: Milliseconds since then.
    """

    zone: ZoneName = ZoneName("")
    short_of_cpu: bool = False
    drains: bool = False
    serving_from: int = 0
    serving_ms: int = 0


@dataclass
class Peer:
    """Another entry.

    Attributes:
        heard_at: Time of its last greeting, or of its discovery.
        from_settings: Whether the settings list it; such a peer never expires.
        greeted_at: Time of its last greeting.
        status: What its last greeting told.
        serving_from: The last ``EntryStatus.serving_from`` that was not 0.
        serving_since: The same on the clock of this process.
        served_seconds: Length of that time as of its last greeting.
        former_seconds: Length of the time before it in which the balancer sent callers
            to the peer; infinite if none is known.
    """

    address: LinkAddress
    heard_at: float
    from_settings: bool = False
    greeted_at: float = -math.inf
    status: EntryStatus = EntryStatus()
    serving_from: int = 0
    serving_since: float = -math.inf
    served_seconds: float = math.inf
    former_seconds: float = math.inf

    def is_newly_found(self, now: float) -> bool:
        """Return whether the peer has not greeted yet, and may soon."""
        never = self.greeted_at == -math.inf
        return never and now - self.heard_at <= FIRST_GREETING_SECONDS

    def update(self, now: float, status: EntryStatus) -> None:
        """Adopt what the peer tells of itself."""
        self.heard_at = self.greeted_at = now
        self.status = status
        if not status.serving_from:
            return
        seconds = status.serving_ms / 1000
        if status.serving_from != self.serving_from:
            self.serving_from = status.serving_from
            self.serving_since = now - seconds
            self.former_seconds = self.served_seconds
        # The greeting with the shortest delay gives the time best.
        self.serving_since = min(self.serving_since, now - seconds)
        self.served_seconds = seconds


class Peers:
    """The other entries that an entry knows.

    Attributes:
        agents: Returns the addresses of the known agents.
        status: Returns what this entry tells its peers of itself.
        order: The peers in the order in which they are greeted next.
        own_address: Address of this entry.
        last_asked_at: Time of the last request for the full list of processes.
    """

    def __init__(
        self,
        own_address: LinkAddress,
        mailer: Mailer,
        timers: Timers,
        queues: QueuesInForce,
        zones: EvacuatedZones,
        log: EventLog,
        rng: random.Random | None = None,
    ):
        self.rng = rng or random.Random()
        self.own_address = own_address
        self.mailer = mailer
        self.timers = timers
        self.queues = queues
        self.zones = zones
        self.log = log
        self.peers: dict[LinkAddress, Peer] = {}
        self.order: list[LinkAddress] = []
        self.agents: Callable[[], list[LinkAddress]] = list
        self.status: Callable[[], EntryStatus] = EntryStatus
        self.last_asked_at = -1e9
        queues.on_change = self.announce_change

    async def run(self) -> None:
        """Send rounds of greetings until cancelled."""
        while True:
            self._tick()
            bootstrapped = self._is_bootstrapped()
            await trio.sleep(
                GREETING_INTERVAL_SECONDS
                if bootstrapped
                else BOOTSTRAP_INTERVAL_SECONDS
            )

    def learn(self, addresses: list[LinkAddress], from_settings: bool = False) -> None:
        """Add entries that are not known yet.

        Args:
            addresses: Addresses of entries.
            from_settings: Whether they come from the settings.
        """
        for address in addresses:
            if address == self.own_address:
                continue
            if address not in self.peers:
                self.log.write("peer.learned", peer=address)
                self.peers[address] = Peer(address, self.timers.now(), from_settings)
            self.peers[address].from_settings |= from_settings

    def may_have_jobs(self) -> list[LinkAddress]:
        """Return the peers that may have jobs, as they don't seem to be gone."""
        now = self.timers.now()
        return [
            address
            for address, peer in self.peers.items()
            if now - peer.greeted_at <= PEER_EXPIRY_SECONDS or peer.is_newly_found(now)
        ]

    def handle_message(self, sender: LinkAddress, message: Message) -> None:
        """Process a message from another process."""
        match message:
            case Hello():
                self._handle_greeting(sender, message)
            case ConfigWanted(version=version):
                if version < self.queues.version:
                    copy = ConfigCopy(self.queues.version, self.queues.content)
                    self.mailer.post(sender, copy)
            case ConfigCopy(content=content):
                self.queues.adopt(content, f"peer {sender}")
            case Farewell(agent=False):
                self.peers.pop(sender, None)

    def announce_change(self) -> None:
        """Greet some peers at once after a change of the configuration or the zones."""
        self._greet()

    def announce_status(self, peers: list[LinkAddress]) -> None:
        """Tell peers at once what has changed at this entry."""
        for peer in peers:
            self.mailer.post(peer, self._greeting(wants_reply=False))

    def greet_agents(self, addresses: list[LinkAddress]) -> None:
        """Greet the agents among the addresses that this entry does not know yet."""
        known = set(self.agents())
        for address in addresses:
            if address not in known:
                self.mailer.post(address, self._greeting(wants_reply=False))

    def send_farewell(self) -> None:
        """Notify all known entries and agents that this process exits."""
        for address in [*self.peers, *self.agents()]:
            self.mailer.post(address, Farewell(agent=False))

    def _handle_greeting(self, sender: LinkAddress, greeting: Hello) -> None:
        self.learn([LinkAddress(entry) for entry in greeting.entries])
        self.greet_agents([LinkAddress(agent) for agent in greeting.agents])
        if not greeting.agent:
            self.learn([sender])
            peer = self.peers.get(sender)
            if peer is not None:
                status = EntryStatus(
                    ZoneName(greeting.zone),
                    greeting.short_of_cpu,
                    greeting.drains,
                    greeting.serving_from,
                    greeting.serving_ms,
                )
                peer.update(self.timers.now(), status)
        self.zones.adopt(greeting.evacuations, f"peer {sender}")
        if greeting.config > self.queues.version:
            self.log.write("config.wanted", version=greeting.config, peer=sender)
            self.mailer.post(sender, ConfigWanted(self.queues.version))
        if greeting.wants_reply:
            self.mailer.post(sender, self._greeting(wants_reply=False, whole=True))

    def _tick(self) -> None:
        now = self.timers.now()
        for peer in list(self.peers.values()):
            if now - peer.heard_at > PEER_EXPIRY_SECONDS and not peer.from_settings:
                self.log.write("peer.forgotten", peer=peer.address)
                del self.peers[peer.address]
        self._greet(self._count_to_ask(now))

    def _count_to_ask(self, now: float) -> int:
        """Return how many peers to ask for the full list in this round."""
        bootstrapped = self._is_bootstrapped()
        if bootstrapped and now - self.last_asked_at < FULL_LIST_INTERVAL_SECONDS:
            return 0
        self.last_asked_at = now
        return 1 if bootstrapped else PEERS_PER_ROUND

    def _is_bootstrapped(self) -> bool:
        """Return whether this process knows an agent and has a configuration."""
        return bool(self.agents()) and bool(self.queues.version)

    def _greet(self, asked: int = 0) -> None:
        """Greet the peers of a round, and ask ``asked`` of them for the full list."""
        for index, peer in enumerate(self._next_peers()):
            self.mailer.post(peer, self._greeting(wants_reply=index < asked))

    def _next_peers(self) -> list[LinkAddress]:
        """Return the peers of a round, and move them to the end of the order."""
        order = [peer for peer in self.order if peer in self.peers]
        for peer in self.peers:
            if peer not in order:
                order.insert(self.rng.randint(0, len(order)), peer)
        self.order = order[PEERS_PER_ROUND:] + order[:PEERS_PER_ROUND]
        return order[:PEERS_PER_ROUND]

    def _greeting(self, wants_reply: bool, whole: bool = False) -> Hello:
        entries = list(self.peers) if whole else []
        agents = self.agents() if whole else []
        status = self.status()
        return Hello(
            agent=False,
            entries=entries,
            agents=agents,
            config=self.queues.version,
            wants_reply=wants_reply,
            evacuations=self.zones.latest,
            zone=status.zone,
            short_of_cpu=status.short_of_cpu,
            drains=status.drains,
            serving_from=status.serving_from,
            serving_ms=status.serving_ms,
        )
