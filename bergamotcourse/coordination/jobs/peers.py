"""The entry's peers: how processes find each other, and pass on what is in force.

Discovery rests on three sources, any of which is enough: the addresses in the settings,
the rows in the platform's store, and what peers tell. The configuration and the
evacuated zones are read from the store, and from peers where the store turns this
process away.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.evacuated_zones import EvacuatedZones
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.message import Message
from bergamotcourse.protocol.task_messages import (
    ConfigCopy,
    ConfigWanted,
    Farewell,
    Hello,
)

GREET_SECONDS = 0.4
"""Between rounds of greetings: five fit into the time in which a configuration must be
in force."""

GREETED_AT_ONCE = 6
"""Peers greeted in a round, drawn anew each time. A version that one entry has is known
to all of 35 after three rounds; were each to greet all, an entry would send and receive
170 messages a second for it."""

ASK_SECONDS = 2.0
"""Between greetings that ask for everyone known: of one peer, or of all drawn while
this process knows no agent or has no configuration. An answer names every process,
5 kB where there are 200."""

FIRST_ASKS_SECONDS = 0.25
"""Between greetings while this process knows no agent or has no configuration."""

FORGET_SECONDS = 30.0
"""A peer from elsewhere than the settings is forgotten after this silence."""


@dataclass
class Peer:
    """Another entry; ``heard_at`` is when it last sent something."""

    address: LinkAddress
    heard_at: float
    from_settings: bool = False


class Peers:
    """The other entries that an entry knows.

    Attributes:
        agents: Returns the addresses of the agents known.
        on_farewell: Called with the address of an agent that stops.
        own: Address of this entry.
    """

    def __init__(
        self,
        own: LinkAddress,
        mailer: Mailer,
        timers: Timers,
        queues: QueuesInForce,
        zones: EvacuatedZones,
        log: EventLog,
        rng: random.Random | None = None,
    ):
        self.rng = rng or random.Random()
        self.own = own
        self.mailer = mailer
        self.timers = timers
        self.queues = queues
        self.zones = zones
        self.log = log
        self.peers: dict[LinkAddress, Peer] = {}
        self.agents: Callable[[], list[LinkAddress]] = list
        self.asked_at = -1e9
        queues.on_change = self.tell_change

    async def run(self) -> None:
        """Greet peers until cancelled."""
        while True:
            self._tick()
            settled = self._is_settled()
            await trio.sleep(GREET_SECONDS if settled else FIRST_ASKS_SECONDS)

    def learn(self, addresses: list[LinkAddress], from_settings: bool = False) -> None:
        """Add entries that are not known."""
        for address in addresses:
            if address == self.own:
                continue
            if address not in self.peers:
                self.log.write("peer.learned", peer=address)
                self.peers[address] = Peer(address, self.timers.now(), from_settings)
            self.peers[address].from_settings |= from_settings

    def take(self, sender: LinkAddress, message: Message) -> None:
        """Act on a message of another process."""
        match message:
            case Hello():
                self._take_greeting(sender, message)
            case ConfigWanted(version=version):
                if version < self.queues.version:
                    copy = ConfigCopy(self.queues.version, self.queues.content)
                    self.mailer.post(sender, copy)
            case ConfigCopy(content=content):
                self.queues.adopt(content, f"peer {sender}")
            case Farewell(agent=False):
                self.peers.pop(sender, None)

    def tell_change(self) -> None:
        """Greet some peers at once, as what is in force has changed."""
        self._greet()

    def greet_agents(self, addresses: list[LinkAddress]) -> None:
        """Make this entry known to agents that it has not greeted."""
        known = set(self.agents())
        for address in addresses:
            if address not in known:
                self.mailer.post(address, self._greeting(asks=False))

    def say_farewell(self) -> None:
        """Tell the other entries that this process ends."""
        for address in [*self.peers, *self.agents()]:
            self.mailer.post(address, Farewell(agent=False))

    def _take_greeting(self, sender: LinkAddress, greeting: Hello) -> None:
        self.learn([LinkAddress(entry) for entry in greeting.entries])
        self.greet_agents([LinkAddress(agent) for agent in greeting.agents])
        if not greeting.agent:
            self.learn([sender])
            peer = self.peers.get(sender)
            if peer is not None:
                peer.heard_at = self.timers.now()
        self.zones.adopt(greeting.evacuations, f"peer {sender}")
        if greeting.config > self.queues.version:
            self.log.write("config.wanted", version=greeting.config, peer=sender)
            self.mailer.post(sender, ConfigWanted(self.queues.version))
        if greeting.asks:
            self.mailer.post(sender, self._greeting(asks=False, whole=True))

    def _tick(self) -> None:
        now = self.timers.now()
        for peer in list(self.peers.values()):
            if now - peer.heard_at > FORGET_SECONDS and not peer.from_settings:
                self.log.write("peer.forgotten", peer=peer.address)
                del self.peers[peer.address]
        self._greet(self._number_asked(now))

    def _number_asked(self, now: float) -> int:
        """Return how many of this round are asked for everyone known."""
        settled = self._is_settled()
        if settled and now - self.asked_at < ASK_SECONDS:
            return 0
        self.asked_at = now
        return 1 if settled else GREETED_AT_ONCE

    def _is_settled(self) -> bool:
        """Return whether this process knows agents and a configuration."""
        return bool(self.agents()) and bool(self.queues.version)

    def _greet(self, asked: int = 0) -> None:
        """Greet the peers of a round, and ask so many of them for everyone known."""
        peers = list(self.peers)
        drawn = self.rng.sample(peers, min(GREETED_AT_ONCE, len(peers)))
        for index, peer in enumerate(drawn):
            self.mailer.post(peer, self._greeting(asks=index < asked))

    def _greeting(self, asks: bool, whole: bool = False) -> Hello:
        entries = list(self.peers) if whole else []
        agents = self.agents() if whole else []
        return Hello(
            agent=False,
            entries=entries,
            agents=agents,
            config=self.queues.version,
            asks=asks,
            evacuations=self.zones.latest,
        )
