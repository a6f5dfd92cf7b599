"""Which agents an entry takes first, and how many it keeps in contact.

Load it answers: dozens of entries and hundreds of agents, all in use. Were each entry
to spread its tasks over all agents, each pair of them would stay in contact, and two
entries would count on the same room wherever they place. So the agents of an entry's
own zone come first, and among these the ones that rank the entry highest: the shares of
two entries have few agents in common until one of them needs more than its share.
"""

from collections.abc import Iterable

import xxhash

from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.ids import LinkAddress, ZoneName

LEAST_SHARE = 12
"""Agents that an entry uses in any case: with fewer, the loss of a rack or a burst
would leave it without room until others have answered."""

USED_SHARE = 0.25
"""Of the processor of its agents that an entry's own tasks take. Four entries share an
agent then, so that one that needs more for a moment finds room that others leave."""

PEAK_SECONDS = 5.0
"""After which the most that an entry has placed at a time counts half: bursts last some
seconds, and agents that are left and taken again cost messages."""


class AgentOrder:
    """The order of an entry's agents.

    Attributes:
        own: Address of the entry.
        zone: Of the entry.
        narrow: Whether it keeps to a share of them.
        peak: The most processor that its tasks took at a time, of late.
    """

    def __init__(self, own: LinkAddress, zone: ZoneName, narrow: bool = True):
        self.narrow = narrow
        self.own = own
        self.zone = zone
        self.peak = 0.0
        self.noted_at = 0.0

    def sort(
        self, links: Iterable[AgentLink], entries: Iterable[LinkAddress]
    ) -> list[AgentLink]:
        """Return the agents, the first to be used first.

        Args:
            links: All agents.
            entries: The other entries that are known.
        """
        others = [entry for entry in entries if entry != self.own]
        return sorted(links, key=lambda link: self._key(link, others))

    def note(self, placed: int, now: float) -> None:
        """Take the processor that all tasks of this entry take now."""
        faded = self.peak * 0.5 ** ((now - self.noted_at) / PEAK_SECONDS)
        self.peak = max(placed, faded)
        self.noted_at = now

    def share(self, links: list[AgentLink]) -> int:
        """Return how many of the sorted agents this entry uses as a rule."""
        if not self.narrow:
            return len(links)
        room = 0.0
        for number, link in enumerate(links, start=1):
            if link.room is not None:
                room += link.room.capacity.cpu * USED_SHARE
            if room >= self.peak and number >= LEAST_SHARE:
                return number
        return len(links)

    def _key(self, link: AgentLink, others: list[LinkAddress]) -> tuple[bool, int, int]:
        own = weight(link, self.own)
        above = sum(weight(link, entry) > own for entry in others)
        return (link.zone != self.zone, above, own)


def weight(link: AgentLink, entry: LinkAddress) -> int:
    """Return how much an agent prefers an entry."""
    return xxhash.xxh3_64_intdigest(f"{link.name}/{entry}".encode())
