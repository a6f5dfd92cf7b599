"""Order in which an entry prefers agents, and the size of its share of them.

It serves dozens of entries and hundreds of agents that are all in use. If each entry
spread its tasks over all agents, each pair of them would stay in contact, and any two
entries would count on the same free capacity. Agents of the entry's own zone therefore
come first, and among these the ones that rank the entry highest (rendezvous hashing):
the shares of two entries have few agents in common until one of them needs more than
its share.
"""

from bisect import insort

import xxhash

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.ids import LinkAddress, ZoneName

MIN_SHARE_AGENTS = 12
"""Least number of agents in a share. With fewer, a burst or the loss of a rack would
leave the entry without free capacity until further agents have answered."""

OWN_CPU_FRACTION = 0.25
"""Part of the CPU capacity of its share that an entry plans for its own tasks. Four
entries then share an agent, so that one that briefly needs more finds capacity that the
others leave."""

MIN_SORT_INTERVAL_SECONDS = 1.0
"""Least time between two sorts when entries come and go. After a loss of all entries,
35 become known one by one, and sorting 160 agents takes 2 ms."""

PEAK_HALF_LIFE_SECONDS = 5.0
"""Time in which the recorded peak falls by half. Bursts last some seconds, and dropping
agents from the share and adding them again costs messages."""


class AgentOrder:
    """An entry's agents in order of preference.

    Attributes:
        own_address: Address of the entry.
        zone: Zone of the entry.
        limits_to_share: Whether the share is limited, rather than all agents.
        links: The agents, the preferred ones first.
        other_entries: The other entries, as of the last sort.
        sorted_at: When the agents were last sorted for a change of the entries.
        peak_cpu: Decaying peak of the CPU needs of the entry's placed tasks.
        peak_updated_at: When ``peak_cpu`` was last updated.
    """

    def __init__(
        self, own_address: LinkAddress, zone: ZoneName, limits_to_share: bool = True
    ):
        self.own_address = own_address
        self.zone = zone
        self.limits_to_share = limits_to_share
        self.links: list[AgentLink] = []
        self.other_entries: set[LinkAddress] = set()
        self.sorted_at = float("-inf")
        self.peak_cpu = 0.0
        self.peak_updated_at = 0.0

    def add(self, link: AgentLink) -> None:
        """Insert a new agent at its position."""
        insort(self.links, link, key=self._key)

    def remove(self, link: AgentLink) -> None:
        """Remove an agent."""
        self.links = [other for other in self.links if other is not link]

    def update_entries(self, entries: list[LinkAddress], now: float) -> None:
        """Sort the agents again if other entries have come or gone.

        Nothing is done within ``MIN_SORT_INTERVAL_SECONDS`` of the last sort.
        """
        other_entries = set(entries) - {self.own_address}
        if (
            other_entries == self.other_entries
            or now - self.sorted_at < MIN_SORT_INTERVAL_SECONDS
        ):
            return
        self.other_entries = other_entries
        self.sorted_at = now
        self.links.sort(key=self._key)

    def record_placed_cpu(self, placed_cpu: int, now: float) -> None:
        """Update the peak with the CPU needs of all tasks of this entry."""
        decayed_peak = self.peak_cpu * 0.5 ** (
            (now - self.peak_updated_at) / PEAK_HALF_LIFE_SECONDS
        )
        self.peak_cpu = max(placed_cpu, decayed_peak)
        self.peak_updated_at = now

    def share_size(self) -> int:
        """Return the number of agents in this entry's share, the first of ``links``."""
        if not self.limits_to_share:
            return len(self.links)
        usable_cpu = 0.0
        for number, link in enumerate(self.links, start=1):
            if link.room is not None:
                usable_cpu += link.room.capacity.cpu * OWN_CPU_FRACTION
            if usable_cpu >= self.peak_cpu and number >= MIN_SHARE_AGENTS:
                return number
        return len(self.links)

    def _key(self, link: AgentLink) -> tuple[bool, int, int]:
        own_weight = rendezvous_weight(link, self.own_address)
        higher_ranked = sum(
            rendezvous_weight(link, entry) > own_weight for entry in self.other_entries
        )
        return (link.zone != self.zone, higher_ranked, own_weight)


def rendezvous_weight(link: AgentLink, entry: LinkAddress) -> int:
    """Return the rendezvous hashing weight of an entry at an agent."""
    return xxhash.xxh3_64_intdigest(f"{link.name}/{entry}".encode())
