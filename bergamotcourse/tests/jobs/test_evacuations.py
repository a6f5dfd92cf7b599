"""Evacuated zones: placement, refusals, and propagation to entries and agents."""

import random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.jobs.job_order import DISCOVERY_SECONDS
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.ids import ZoneName
from bergamotcourse.state.evacuations import Evacuations, ZoneChange, apply_zone_changes
from bergamotcourse.tests.jobs.chaos import Chaos
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job

NORTH, SOUTH = "zone-1", "zone-2"

PROPAGATION_SECONDS = 0.3
"""Time within which agents receive evacuations from entries in contact."""

EVACUATION_BOUND_SECONDS = 5.0
"""Time after which no run may start in an evacuated zone, under any fault."""


def zones_used(fleet, since=0):
    """Return the zones in which runs have started."""
    return {zone_of(fleet, run) for run in fleet.history[since:]}


def zone_of(fleet, run):
    """Return the zone of a run: upstreams are named after their agents."""
    return fleet.zone_of(run.upstream.removeprefix("upstream-").rpartition("-")[0])


def evacuate_at_entry(fleet, entry, version, *zones):
    """Put evacuations in force at one entry only."""
    evacuations = Evacuations(version, tuple(ZoneName(zone) for zone in zones))
    fleet.entries[entry].zones.adopt(evacuations, "store")


class TestApplyChanges:
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12),
        st.randoms(use_true_random=False),
    )
    def test_views_from_partial_and_full_reads_converge(self, made, rng):
        """One process reads every change, others a part of them and views of peers."""
        changes = [
            ZoneChange(ZoneName(zone), evacuated, number)
            for number, (zone, evacuated) in enumerate(made, start=1)
        ]
        leader = apply_zone_changes(Evacuations(), tuple(changes))
        views = [Evacuations()]
        for _ in range(4):
            cut = rng.randint(0, len(changes))
            view = apply_zone_changes(Evacuations(), tuple(changes[:cut]))
            views.append(max(view, *views, key=lambda one: one.version))
        for view in views:
            assert apply_zone_changes(view, tuple(changes)) == leader

    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abc"), st.booleans(), min_size=1),
            max_size=6,
        ),
        st.randoms(use_true_random=False),
    )
    def test_each_change_of_a_transaction_is_applied(self, transactions, rng):
        """Guards against zones of one transaction of which only the first counts."""
        changes = [
            ZoneChange(ZoneName(zone), evacuated, number)
            for number, transaction in enumerate(transactions, start=1)
            for zone, evacuated in transaction.items()
        ]
        expected = {}
        for transaction in transactions:
            expected |= transaction
        view = Evacuations()
        position = 0
        while position < len(transactions):
            page = rng.randint(position + 1, len(transactions))
            read = [one for one in changes if position < one.version <= page]
            view = apply_zone_changes(view, tuple(read))
            position = page
        assert set(view.zones) == {zone for zone, gone in expected.items() if gone}


class TestPlacement:
    def test_jobs_avoid_zone_until_evacuation_ends(self):
        async def main(fleet):
            fleet.evacuate(SOUTH)
            for number in range(4):
                answer = await fleet.submit("entry-1", job(f"a{number}", work=0.1))
                assert answer.outcome is JobOutcome.SUCCEEDED
            assert zones_used(fleet) == {NORTH}
            fleet.evacuate()
            await trio.sleep(PROPAGATION_SECONDS)
            await fleet.submit("entry-1", job("b", tasks=30, work=0.1))
            assert zones_used(fleet) == {NORTH, SOUTH}

        run_fleet(main, zones=2)

    def test_running_tasks_in_evacuated_zone_complete(self):
        async def main(fleet):
            fleet.nursery.start_soon(
                fleet.submit, "entry-1", job("a", tasks=30, work=1.0)
            )
            await trio.sleep(0.3)
            assert zones_used(fleet) == {NORTH, SOUTH}
            fleet.evacuate(SOUTH)
            await trio.sleep(3.0)
            assert len(fleet.history) == 30

        run_fleet(main, zones=2)

    def test_evacuation_of_unrelated_zone_has_no_effect(self):
        async def main(fleet):
            fleet.evacuate("zone-9")
            await fleet.submit("entry-1", job("a", tasks=30, work=0.1))
            assert zones_used(fleet) == {NORTH, SOUTH}

        run_fleet(main, zones=2)


class TestRefusals:
    def test_job_is_refused_immediately_when_all_zones_are_evacuated(self):
        async def main(fleet):
            await trio.sleep(DISCOVERY_SECONDS)
            fleet.evacuate(NORTH, SOUTH)
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("a"))
            assert answer.outcome is JobOutcome.REFUSED
            assert answer.at == begun
            assert fleet.history == []

        run_fleet(main, zones=2)

    def test_waiting_job_is_refused_when_all_zones_become_evacuated(self):
        async def main(fleet):
            await trio.sleep(DISCOVERY_SECONDS)
            full = job("full", tasks=40, work=2.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", full)
            await trio.sleep(0.2)
            outcomes = []

            async def wait():
                answer = await fleet.submit("entry-1", job("a", work=1.0))
                outcomes.append((answer.outcome, answer.at))

            fleet.nursery.start_soon(wait)
            await trio.sleep(0.1)
            assert outcomes == []
            fleet.evacuate(NORTH, SOUTH)
            now = trio.current_time()
            await trio.sleep(0.05)
            assert outcomes == [(JobOutcome.REFUSED, now)]

        run_fleet(main, zones=2)


class TestEarlierRelease:
    """During a rollout, entries of an earlier release may have missed a zone."""

    def test_complete_set_corrects_an_incomplete_one_of_the_same_version(self):
        """Guards against a wrong set that stays in force as its version is right."""

        async def main(fleet):
            evacuate_at_entry(fleet, "entry-2", 1, SOUTH)
            await trio.sleep(PROPAGATION_SECONDS)
            complete = Evacuations(1, (ZoneName(NORTH), ZoneName(SOUTH)), True)
            fleet.entries["entry-1"].zones.adopt(complete, "store")
            await trio.sleep(PROPAGATION_SECONDS)
            answer = await fleet.submit("entry-2", job("a", tasks=4, work=0.1))
            assert answer.outcome is JobOutcome.REFUSED
            assert zones_used(fleet) == set()

        run_fleet(main, zones=2)


class TestPropagation:
    def test_agent_rejects_placements_of_entry_with_stale_zones(self):
        """The entry may have lost the store and all other entries."""

        async def main(fleet):
            evacuate_at_entry(fleet, "entry-1", 1, SOUTH)
            await trio.sleep(PROPAGATION_SECONDS)
            answer = await fleet.submit("entry-2", job("a", tasks=20, work=0.1))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert zones_used(fleet) == {NORTH}

        run_fleet(main, zones=2)

    def test_agent_uses_newest_evacuations_of_all_entries(self):
        async def main(fleet):
            evacuate_at_entry(fleet, "entry-1", 2)
            evacuate_at_entry(fleet, "entry-2", 1, SOUTH)
            await trio.sleep(PROPAGATION_SECONDS)
            await fleet.submit("entry-1", job("a", tasks=30, work=0.1))
            assert zones_used(fleet) == {NORTH, SOUTH}

        run_fleet(main, zones=2)

    @pytest.mark.parametrize("name", ["entry-1", "agent-2"])
    def test_process_restarted_during_evacuation_honours_it(self, name):
        async def main(fleet):
            fleet.evacuate(SOUTH)
            await trio.sleep(PROPAGATION_SECONDS)
            if name.startswith("entry"):
                fleet.entries[name].kill()
                fleet.start_entry(name)
            else:
                fleet.agents[name].kill()
                fleet.start_agent(name)
            await trio.sleep(2.0)
            answer = await fleet.submit("entry-1", job("a", tasks=16, work=0.1))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert zones_used(fleet) == {NORTH}

        run_fleet(main, zones=2)


class TestChaos:
    """Zones are evacuated and restored while processes and links fail."""

    @pytest.mark.parametrize("seed", range(6))
    def test_no_start_in_evacuated_zone_and_no_overlap_under_faults(self, seed):
        async def main(fleet):
            evacuated = []

            async def evacuate_in_turn():
                rng = random.Random(seed)
                for _ in range(2):
                    await trio.sleep(rng.uniform(0.1, 0.5))
                    zone = rng.choice((NORTH, SOUTH))
                    fleet.evacuate(zone)
                    began = trio.current_time()
                    await trio.sleep(rng.uniform(1.0, 9.0))
                    fleet.evacuate()
                    evacuated.append((zone, began, trio.current_time()))

            chaos = Chaos(fleet, seed)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(evacuate_in_turn)
                for _ in range(3):
                    await chaos.run()
            assert fleet.overlaps() == []
            assert chaos.refused_and_ran() == set()
            late = [
                (run.key.task, run.started_at, zone, began)
                for zone, began, ended in evacuated
                for run in fleet.history
                if zone_of(fleet, run) == zone
                and began + EVACUATION_BOUND_SECONDS < run.started_at < ended
            ]
            assert late == []

        run_fleet(main, seed=seed, zones=2)
