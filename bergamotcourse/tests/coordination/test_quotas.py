import pytest

from bergamotcourse.tests.coordination.policy_parts import Clock, make_quotas

TEAM = "getxo"


def run(clock, entries, seconds, demands, exchange=True):
    """Let each entry start what its quota allows; return its starts a second."""
    starts = [0] * len(entries)
    for step in range(int(seconds * 100)):
        clock.now += 0.01
        if exchange and step % 100 == 0:
            reported = [quotas.demand_to_report() for quotas in entries]
            for number, quotas in enumerate(entries):
                quotas.update_other_demand(reported[:number] + reported[number + 1 :])
        for number, (quotas, demand) in enumerate(zip(entries, demands, strict=True)):
            quotas.record_arrivals(TEAM, demand / 100)
            if demand and quotas.may_start(TEAM):
                quotas.record_start(TEAM)
                quotas.record_end(TEAM)
                starts[number] += 1
    return [count / seconds for count in starts]


def make_entries(clock, count, rate):
    return [
        make_quotas(clock, count, quota_starts_per_second=rate) for _ in range(count)
    ]


class TestRate:
    def test_one_entry_starts_at_the_quota_rate(self):
        clock = Clock()
        [rate] = run(clock, make_entries(clock, 1, 20), 20, [90])
        assert rate == pytest.approx(20, rel=0.05)

    def test_entries_together_start_at_the_quota_rate(self):
        clock = Clock()
        rates = run(clock, make_entries(clock, 3, 30), 20, [90, 90, 90])
        assert sum(rates) == pytest.approx(30, rel=0.05)

    def test_share_follows_demand(self):
        clock = Clock()
        entries = make_entries(clock, 3, 30)
        run(clock, entries, 10, [90, 0, 0])
        rates = run(clock, entries, 20, [90, 0, 0])
        assert 0.8 * 30 <= sum(rates) <= 1.05 * 30

    def test_entries_share_evenly_without_demand_reports(self):
        clock = Clock()
        rates = run(clock, make_entries(clock, 3, 30), 20, [90, 0, 0], exchange=False)
        assert rates == pytest.approx([10, 0, 0], rel=0.1)

    def test_new_demand_at_another_entry_does_not_exceed_the_rate(self):
        clock = Clock()
        entries = make_entries(clock, 2, 30)
        run(clock, entries, 10, [90, 0])
        rates = run(clock, entries, 10, [90, 90])
        assert sum(rates) <= 1.15 * 30


class TestInFlight:
    def test_in_flight_limit_is_shared_among_entries(self):
        clock = Clock()
        quotas = make_quotas(clock, 2, max_in_flight=8)
        started = 0
        while quotas.may_start(TEAM):
            quotas.record_start(TEAM)
            started += 1
        assert started == 4
        assert quotas.wait_seconds(TEAM, run_seconds=0.4) == pytest.approx(0.1)

    def test_team_without_limits_may_always_start(self):
        quotas = make_quotas(Clock())
        assert quotas.may_start("unknown")
        assert quotas.wait_seconds("unknown", 1.0) == 0
        assert quotas.seconds_until_token("unknown") == 0

    @pytest.mark.parametrize(
        "limits", [{"quota_starts_per_second": 0.0}, {"max_in_flight": 0}]
    )
    def test_zero_limit_stops_the_team(self, limits):
        assert make_quotas(Clock(), **limits).is_stopped(TEAM)
