from collections import Counter

import pytest

from bergamotcourse.coordination.fair_queue import JOB_PICK_INTERVAL, FairQueue


def make_queue(*pushes):
    queue = FairQueue()
    for team, weight, count, job in pushes:
        for number in range(count):
            queue.push(team, weight, (team, number), job, (number,))
    return queue


def pop_teams(queue, count, cost=1.0):
    return Counter(queue.pop(cost)[0] for _ in range(count))


class TestKinds:
    def test_single_requests_go_before_earlier_jobs(self):
        queue = make_queue(("a", 1, 1600, True), ("b", 1, 3, False))
        assert [queue.pop()[0] for _ in range(3)] == ["b"] * 3

    def test_jobs_are_not_starved_by_single_requests(self):
        queue = make_queue(("a", 1, 100, True), ("b", 1, 100, False))
        assert pop_teams(queue, 5 * JOB_PICK_INTERVAL)["a"] == 5

    def test_kind_without_eligible_teams_is_skipped(self):
        queue = make_queue(("a", 1, 2, True), ("b", 1, 2, False))
        assert queue.pop(1.0, lambda team: team == "a") == ("a", 0)
        assert queue.pop(1.0, lambda team: False) is None
        assert len(queue) == 3


class TestTeams:
    @pytest.mark.parametrize("job", [False, True])
    def test_teams_share_by_weight(self, job):
        queue = make_queue(("a", 1, 500, job), ("b", 4, 500, job))
        got = pop_teams(queue, 100)
        assert got["b"] == pytest.approx(80, abs=2)

    def test_idle_team_does_not_accumulate_credit(self):
        queue = make_queue(("a", 1, 200, False))
        assert pop_teams(queue, 100)["a"] == 100
        for number in range(100):
            queue.push("b", 1, ("b", number), False, ())
        assert pop_teams(queue, 20)["b"] == pytest.approx(10, abs=1)

    def test_run_time_beyond_the_estimate_is_charged_to_the_team(self):
        queue = make_queue(("a", 1, 100, False), ("b", 1, 100, False))
        queue.singles.charge("a", 30.0)
        assert pop_teams(queue, 30) == {"b": 30}

    def test_most_urgent_task_of_a_team_goes_first(self):
        queue = FairQueue()
        for urgency in (3.0, 1.0, 2.0):
            queue.push("a", 1, urgency, False, (urgency,))
        assert [queue.pop() for _ in range(3)] == [1.0, 2.0, 3.0]


class TestRemove:
    def test_removed_tasks_are_neither_counted_nor_popped(self):
        queue = FairQueue()
        queued = [queue.push("a", 1, n, n % 2 == 0, ()) for n in range(4)]
        queue.remove(queued[0])
        queue.remove(queued[0])
        queue.remove(queued[1])
        assert len(queue) == 2
        assert {queue.pop(), queue.pop()} == {2, 3}
        assert queue.pop() is None
