from collections import Counter

from bergamotcourse.coordination.neighbours import (
    LOW_DEMAND_SECONDS,
    Demand,
    Neighbours,
    ProcessLocation,
)

ZONES = ["zone-a", "zone-b", "zone-c"]


def located(prefix, count):
    return [ProcessLocation(f"{prefix}-{n}", ZONES[n % 3]) for n in range(count)]


def ranking_of(entry, agents, entries):
    return Neighbours(entry, 32).rank_agents(agents, entries)


class TestRankAgents:
    def test_sets_of_entries_are_disjoint(self):
        agents, entries = located("agent", 520), located("entry", 6)
        taken = Counter()
        for entry in entries:
            taken.update(ranking_of(entry, agents, entries)[: 520 // 6 - 20])
        assert max(taken.values()) == 1
        assert len(taken) == 6 * (520 // 6 - 20)

    def test_agents_of_own_zone_rank_first(self):
        agents, entries = located("agent", 90), located("entry", 3)
        zones = {agent.name: agent.zone for agent in agents}
        order = ranking_of(entries[1], agents, entries)
        assert {zones[name] for name in order[:30]} == {"zone-b"}
        assert sorted(order) == sorted(zones)

    def test_agents_of_zone_without_entry_are_split_between_entries(self):
        agents, entries = located("agent", 90), located("entry", 2)
        orders = [ranking_of(entry, agents, entries)[:45] for entry in entries]
        assert len(set(orders[0]) & set(orders[1])) <= 8

    def test_entry_departure_changes_few_agents(self):
        agents, entries = located("agent", 520), located("entry", 9)
        before = set(ranking_of(entries[0], agents, entries)[:32])
        after = set(ranking_of(entries[0], agents, entries[:-1])[:32])
        assert len(before & after) >= 20


class TestAttachmentLimit:
    def make(self):
        return Neighbours(ProcessLocation("entry-1", "zone-a"), 32)

    def test_limit_rises_at_once_by_missing_slots(self):
        neighbours = self.make()
        neighbours.adjust_limit([Demand(free=0, used=256, queued=100)], 8.0, 0.0)
        assert neighbours.attachment_limit >= 32 + (100 + 64) // 8

    def test_limit_is_unchanged_while_slots_are_spare(self):
        neighbours = self.make()
        neighbours.adjust_limit([Demand(free=60, used=100)], 8.0, 0.0)
        assert neighbours.attachment_limit == 32

    def test_limit_falls_slowly_to_minimum(self):
        neighbours = self.make()
        neighbours.attachment_limit = 40
        idle = [Demand(free=320)]
        neighbours.adjust_limit(idle, 8.0, 0.0)
        assert neighbours.attachment_limit == 40
        for step in range(20):
            neighbours.adjust_limit(idle, 8.0, LOW_DEMAND_SECONDS + step)
        assert neighbours.attachment_limit == 32

    def test_limit_does_not_fall_while_one_service_needs_slots(self):
        neighbours = self.make()
        neighbours.attachment_limit = 64
        demands = [Demand(free=500), Demand(free=10, used=40)]
        for step in range(100):
            neighbours.adjust_limit(demands, 8.0, float(step))
        assert neighbours.attachment_limit >= 64
