"""The replay of jobs under load."""

from bergamotcourse.bench.job_load import replay, report


class TestReplay:
    def test_the_same_seed_gives_the_same_figures(self):
        first, again = (replay(0.5, 1.0, seed=1) for _ in range(2))
        assert report(first) == report(again)
        assert sum(tally.count for tally in first.tallies.values()) > 10

    def test_more_than_there_is_room_for_is_refused(self):
        run = replay(2.0, 1.0, seed=1, agents=2)
        assert any(tally.refusals for tally in run.tallies.values())
