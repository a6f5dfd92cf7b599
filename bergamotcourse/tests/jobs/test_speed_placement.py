from dataclasses import replace

import msgspec
import pytest
from msgspec import structs

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_run import JobRun
from bergamotcourse.coordination.jobs.placement import (
    choose_in_contact,
    choose_without_contact,
)
from bergamotcourse.coordination.jobs.speed_placement import (
    COLD_FACTOR,
    MAX_REPORT_AGE_SECONDS,
    ServiceSpeeds,
    SpeedRound,
    SpeedTable,
    slowness_class,
)
from bergamotcourse.protocol.task_messages import AgentRoom, RunOutcome, TaskEnded
from bergamotcourse.state.resources import NO_RESOURCES
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.tests.jobs.test_placement import (
    CAPACITY,
    make_link,
    make_request,
)
from bergamotcourse.virtual.job_fleet import QUEUE, SERVICE, job

NOW = 100.0


def make_links(*percents, used=0):
    """Return agents ``a0``, ``a1`` and so on with these values of slowness."""
    links = []
    for number, percent in enumerate(percents):
        link = make_link(f"a{number}", used)
        link.room = structs.replace(link.room, slowness_percent=percent)
        link.last_received_at = link.echo_received_at = NOW
        links.append(link)
    return links


def make_table(links, now=NOW, enabled=True, events=None):
    events = [] if events is None else events
    log = EventLog(lambda kind, fields: events.append((kind, fields)))
    table = SpeedTable(log, enabled)
    table.update(links, now)
    return table


def relative(links, now=NOW, enabled=True):
    table = make_table(links, now, enabled)
    return [table.relative_slowness(link, now) for link in links]


class TestSpeedTable:
    def test_slowness_is_relative_to_the_median(self):
        """Guards against taking an error common to all estimates for slowness."""
        assert relative(make_links(400, 200, 200, 200)) == [2.0, 1.0, 1.0, 1.0]

    def test_unknown_speed_counts_as_the_median(self):
        assert relative(make_links(0, 90, 90, 90, 180))[0] == 1.0

    @pytest.mark.parametrize(
        "percents", [(100, 100, 100, 149), (100, 100, 200), (100, 100, 200, 0)]
    )
    def test_agents_of_similar_speed_or_too_few_count_as_equal(self, percents):
        assert set(relative(make_links(*percents))) == {1.0}

    def test_single_outliers_among_many_agents_have_no_effect(self):
        """Guards against waiting for speed where averages differ by chance only."""
        percents = (70, 130, *[100] * 18)
        assert set(relative(make_links(*percents))) == {1.0}

    def test_switched_off_part_has_no_effect(self):
        assert set(relative(make_links(100, 100, 100, 300), enabled=False)) == {1.0}

    def test_report_of_a_silent_agent_expires(self):
        links = make_links(100, 100, 100, 100, 300)
        later = NOW + MAX_REPORT_AGE_SECONDS + 0.1
        links[0].last_received_at = links[1].last_received_at = later
        links[2].last_received_at = links[3].last_received_at = later
        assert relative(links)[4] == 3.0
        assert set(relative(links, later)) == {1.0}

    def test_services_are_compared_on_their_own(self):
        links = make_links(100, 100, 100, 100, 300, 300)
        for link in links[4:]:
            link.room = structs.replace(link.room, service="loans")
        assert set(relative(links)) == {1.0}

    def test_cold_upstream_is_slower_until_it_is_warm(self):
        links = make_links(100, 100, 100, 200)
        links[0].room = structs.replace(links[0].room, cold_ms=500)
        assert relative(links, NOW + 0.4)[0] == COLD_FACTOR
        assert relative(links, NOW + 0.6)[0] == 1.0

    def test_coming_into_and_out_of_effect_is_logged_once(self):
        events = []
        links = make_links(100, 100, 100, 200)
        table = make_table(links, events=events)
        table.update(links, NOW + 1)
        table.update(links, NOW + 2 * MAX_REPORT_AGE_SECONDS)
        assert [fields["in_effect"] for _, fields in events] == [True, False]
        assert events[0][0] == "placement.speeds"
        assert events[0][1]["slowest"] == 2.0
        assert (events[0][1]["fastest"], events[0][1]["known"]) == (1.0, 4)

    def test_message_of_an_older_process_has_an_unknown_speed(self):
        room = AgentRoom("votes", (), CAPACITY, NO_RESOURCES, NO_RESOURCES, False)
        older = msgspec.msgpack.encode(msgspec.to_builtins(room)[:-2])
        decoded = msgspec.msgpack.decode(older, type=AgentRoom)
        assert (decoded.slowness_percent, decoded.cold_ms) == (0, 0)


class TestSlownessClass:
    @pytest.mark.parametrize("slowness", [0.78, 1.0, 1.29])
    def test_speeds_near_the_median_are_equal(self, slowness):
        assert slowness_class(slowness) == 1.0

    def test_other_speeds_keep_their_order(self):
        assert slowness_class(0.5) < 1.0 < slowness_class(1.5) < slowness_class(2.2)


class TestChoice:
    """The slow agent takes twice as long as the others, which have the median speed."""

    def choose(self, links, choose_from=choose_in_contact, rack="", **request):
        speeds = SpeedRound(make_table(links), NOW)
        slowness = speeds.slowness_for("votes", rack, 2.5)
        link = choose_from(links, replace(make_request(**request), slowness=slowness))
        return link and link.name

    def agents(self, fast_used, slow_used=0):
        return make_links(100, 100, 100, used=fast_used) + self.slow(slow_used)

    def slow(self, used):
        return make_links(0, 0, 0, 200, used=used)[3:]

    def test_fast_agents_come_first(self):
        assert self.choose(self.agents(15_000)) in ("a0", "a1", "a2")

    def test_fast_agent_without_contact_comes_before_many_slow_ones(self):
        links = make_links(200, 200, 200, 200, 100, 100, 100, 100, 100)
        chosen = self.choose(links, choose_without_contact)
        assert chosen in ("a4", "a5", "a6", "a7", "a8")

    def test_slow_agent_is_used_once_the_fast_ones_are_full(self):
        """Guards against refusing jobs for which a slow upstream has room."""
        assert self.choose(self.agents(30_000)) == "a3"

    def test_slow_agent_near_the_data_comes_before_fast_ones_elsewhere(self):
        links = self.agents(0)
        room = links[3].room
        links[3].room = structs.replace(room, labels=(*room.labels, "rack-9"))
        assert self.choose(links, rack="rack-9") == "a3"


class TestEstimates:
    def test_slow_upstream_does_not_lengthen_the_estimates_of_a_queue(self):
        async def main(fleet):
            jobs = fleet.entries["entry-1"].jobs
            jobs.speeds.services[SERVICE] = ServiceSpeeds(2.0, 1.0, 1.0, 4)
            link = next(iter(jobs.links.links.values()))
            link.room = structs.replace(link.room, slowness_percent=200)
            for _ in range(200):
                [task] = JobRun(job("a", 1, 0.2), QUEUE, 0.0).tasks
                ended = TaskEnded(task.key, RunOutcome.DONE, run_seconds=0.4)
                jobs.handle_run_outcome(task, link, ended)
            assert jobs.estimates.factor(QUEUE.name) == pytest.approx(1.0)

        run_fleet(main)
