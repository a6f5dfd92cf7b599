"""Which agents an entry takes first, and how many it keeps in contact.

Load it answers: dozens of entries and hundreds of agents, all in use. Were each entry
to spread its tasks over all agents, each pair of them would stay in contact, and two
entries would count on the same room wherever they place. So the agents of an entry's
own zone come first, and among these the ones that rank the entry highest: the shares of
two entries have few agents in common until one of them needs more than its share.
"""

from bisect import insort

import xxhash

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.ids import LinkAddress, ZoneName

LEAST_SHARE = 12
"""Agents that an entry uses in any case: with fewer, the loss of a rack or a burst
would leave it without room until others have answered."""

USED_SHARE = 0.25
"""Of the processor of its agents that an entry's own tasks take. Four entries share an
agent then, so that one that needs more for a moment finds room that others leave."""

SORT_SECONDS = 1.0
"""Between two sorts after entries have come or gone: after a loss of all, 35 become
known one by one, and a sort of 160 agents takes 2 ms."""

PEAK_SECONDS = 5.0
"""After which the most that an entry has placed at a time counts half: bursts last some
seconds, and agents that are left and taken again cost messages."""


class AgentOrder:
    """An entry's agents, the first to be used first.

    Attributes:
        own: Address of the entry.
        zone: Of the entry.
        narrow: Whether it keeps to a share of them.
        links: The agents in their order.
        others: The other entries, as of the last sort.
        peak: The most processor that its tasks took at a time, of late.
    """

    def __init__(self, own: LinkAddress, zone: ZoneName, narrow: bool = True):
        self.own = own
        self.zone = zone
        self.narrow = narrow
        self.links: list[AgentLink] = []
        self.others: set[LinkAddress] = set()
        self.sorted_at = float("-inf")
        self.peak = 0.0
        self.noted_at = 0.0

    def add(self, link: AgentLink) -> None:
        """Take in an agent that has come; it may be used at once."""
        insort(self.links, link, key=self._key)

    def remove(self, link: AgentLink) -> None:
        """Drop an agent."""
        self.links = [other for other in self.links if other is not link]

    def take_entries(self, entries: list[LinkAddress], now: float) -> None:
        """Sort anew if other entries have come or gone."""
        others = set(entries) - {self.own}
        if others == self.others or now - self.sorted_at < SORT_SECONDS:
            return
        self.others = others
        self.sorted_at = now
        self.links.sort(key=self._key)

    def note(self, placed: int, now: float) -> None:
        """Take the processor that all tasks of this entry take now."""
        faded = self.peak * 0.5 ** ((now - self.noted_at) / PEAK_SECONDS)
        self.peak = max(placed, faded)
        self.noted_at = now

    def share(self) -> int:
        """Return how many of the agents this entry uses as a rule."""
        if not self.narrow:
            return len(self.links)
        room = 0.0
        for number, link in enumerate(self.links, start=1):
            if link.room is not None:
                room += link.room.capacity.cpu * USED_SHARE
            if room >= self.peak and number >= LEAST_SHARE:
                return number
        return len(self.links)

    def _key(self, link: AgentLink) -> tuple[bool, int, int]:
        own = weight(link, self.own)
        above = sum(weight(link, entry) > own for entry in self.others)
        return (link.zone != self.zone, above, own)


def weight(link: AgentLink, entry: LinkAddress) -> int:
    """Return how much an agent prefers an entry."""
    return xxhash.xxh3_64_intdigest(f"{link.name}/{entry}".encode())
