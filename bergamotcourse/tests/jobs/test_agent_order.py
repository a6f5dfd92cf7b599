from collections import Counter

from bergamotcourse.coordination.jobs.agent_order import (
    MIN_SHARE_AGENTS,
    MIN_SORT_INTERVAL_SECONDS,
    OWN_CPU_FRACTION,
    PEAK_HALF_LIFE_SECONDS,
    AgentOrder,
)
from bergamotcourse.ids import LinkAddress, ZoneName
from bergamotcourse.tests.jobs.test_placement import CAPACITY, make_link

ZONES = ("north", "south", "west")
ENTRIES = [LinkAddress(f"udp://10.0.0.{number}:7000") for number in range(1, 13)]


def make_links(count):
    return [make_link(f"a-{n}", zone=ZONES[n % len(ZONES)]) for n in range(count)]


def make_order(links, entry=ENTRIES[0], entries=ENTRIES, zone="north"):
    order = AgentOrder(entry, ZoneName(zone))
    order.update_entries(entries, 0.0)
    for link in links:
        order.add(link)
    return order


def order_of(entry, links):
    return make_order(links, entry).links


class TestPreference:
    def test_agents_of_own_zone_come_first(self):
        links = order_of(ENTRIES[0], make_links(30))
        assert [link.zone == "north" for link in links] == [True] * 10 + [False] * 20

    def test_order_is_independent_of_insertion_order(self):
        links = make_links(30)
        assert order_of(ENTRIES[0], links) == order_of(ENTRIES[0], links[::-1])

    def test_first_agents_of_entries_rarely_overlap(self):
        """Each agent ranks one entry highest, so few are preferred by two entries."""
        links = [make_link(f"a-{n}") for n in range(120)]
        taken = Counter(
            link.name for entry in ENTRIES for link in order_of(entry, links)[:6]
        )
        shared = [name for name, entries in taken.items() if entries > 1]
        assert len(shared) <= 12

    def test_departure_of_an_entry_changes_few_preferred_agents(self):
        links = [make_link(f"a-{n}") for n in range(120)]
        before = order_of(ENTRIES[0], links)[:20]
        after = make_order(links, entries=ENTRIES[:-1]).links[:20]
        assert len({link.name for link in before} & {link.name for link in after}) >= 15

    def test_new_entry_changes_the_order(self):
        links = [make_link(f"a-{n}") for n in range(120)]
        order = make_order(links, entries=ENTRIES[:-1])
        order.update_entries(ENTRIES, MIN_SORT_INTERVAL_SECONDS)
        assert order.links == order_of(ENTRIES[0], links)

    def test_removed_agent_is_no_longer_listed(self):
        links = make_links(20)
        order = make_order(links)
        order.remove(links[3])
        assert links[3] not in order.links
        assert len(order.links) == 19


class TestShareSize:
    def test_few_agents_are_all_in_the_share(self):
        assert make_order(make_links(11)).share_size() == 11

    def test_share_of_an_idle_entry_has_minimum_size(self):
        assert make_order(make_links(100)).share_size() == MIN_SHARE_AGENTS

    def test_share_grows_with_placed_cpu(self):
        order = make_order(make_links(100))
        order.record_placed_cpu(round(20 * CAPACITY.cpu * OWN_CPU_FRACTION), 0.0)
        assert order.share_size() == 20

    def test_share_halves_after_peak_half_life(self):
        order = make_order(make_links(100))
        order.record_placed_cpu(round(40 * CAPACITY.cpu * OWN_CPU_FRACTION), 0.0)
        order.record_placed_cpu(0, PEAK_HALF_LIFE_SECONDS)
        assert order.share_size() == 20

    def test_agent_without_reported_load_adds_no_capacity(self):
        order = make_order(make_links(100))
        order.record_placed_cpu(round(20 * CAPACITY.cpu * OWN_CPU_FRACTION), 0.0)
        order.links[0].room = None
        assert order.share_size() == 21
