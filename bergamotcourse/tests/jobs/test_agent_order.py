from collections import Counter

from bergamotcourse.coordination.jobs.agent_order import (
    LEAST_SHARE,
    PEAK_SECONDS,
    SORT_SECONDS,
    USED_SHARE,
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
    order.take_entries(entries, 0.0)
    for link in links:
        order.add(link)
    return order


def order_of(entry, links):
    return make_order(links, entry).links


class TestOrder:
    def test_the_own_zone_first(self):
        links = order_of(ENTRIES[0], make_links(30))
        assert [link.zone == "north" for link in links] == [True] * 10 + [False] * 20

    def test_it_does_not_depend_on_the_order_of_what_is_known(self):
        links = make_links(30)
        assert order_of(ENTRIES[0], links) == order_of(ENTRIES[0], links[::-1])

    def test_the_first_agents_of_two_entries_differ(self):
        """Each agent ranks one entry highest, so the first shares are disjoint."""
        links = [make_link(f"a-{n}") for n in range(120)]
        taken = Counter(
            link.name for entry in ENTRIES for link in order_of(entry, links)[:6]
        )
        shared = [name for name, entries in taken.items() if entries > 1]
        assert len(shared) <= 12

    def test_an_entry_that_leaves_moves_few_agents(self):
        links = [make_link(f"a-{n}") for n in range(120)]
        before = order_of(ENTRIES[0], links)[:20]
        after = make_order(links, entries=ENTRIES[:-1]).links[:20]
        assert len({link.name for link in before} & {link.name for link in after}) >= 15

    def test_an_entry_that_comes_is_taken_into_account(self):
        links = [make_link(f"a-{n}") for n in range(120)]
        order = make_order(links, entries=ENTRIES[:-1])
        order.take_entries(ENTRIES, SORT_SECONDS)
        assert order.links == order_of(ENTRIES[0], links)

    def test_one_that_left_is_dropped(self):
        links = make_links(20)
        order = make_order(links)
        order.remove(links[3])
        assert links[3] not in order.links
        assert len(order.links) == 19


class TestShare:
    def test_all_of_a_few(self):
        assert make_order(make_links(11)).share() == 11

    def test_a_least_number_without_work(self):
        assert make_order(make_links(100)).share() == LEAST_SHARE

    def test_grows_with_what_the_entry_has_placed(self):
        order = make_order(make_links(100))
        order.note(round(20 * CAPACITY.cpu * USED_SHARE), 0.0)
        assert order.share() == 20

    def test_shrinks_slowly_after_a_peak(self):
        order = make_order(make_links(100))
        order.note(round(40 * CAPACITY.cpu * USED_SHARE), 0.0)
        order.note(0, PEAK_SECONDS)
        assert order.share() == 20

    def test_an_agent_that_has_told_nothing_has_no_room(self):
        order = make_order(make_links(100))
        order.note(round(20 * CAPACITY.cpu * USED_SHARE), 0.0)
        order.links[0].room = None
        assert order.share() == 21
