"""Which life of an upstream a report or a departure is of."""

from dataclasses import replace

import pytest

from bergamotcourse.coordination.jobs.known_lives import (
    KnownLives,
    ReportKind,
    ends_life,
)
from bergamotcourse.ids import Incarnation, UpstreamId
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.platform.test_store import REPORT

HERE = replace(REPORT, sequence=5, incarnation=Incarnation(20))


def judge(*lives, present=HERE, **changes):
    known = KnownLives()
    for life in lives:
        known.begin(life)
    return known.judge(present, replace(HERE, **changes))


class TestReports:
    @pytest.mark.parametrize(
        "changes, kind",
        [
            ({"sequence": 6}, ReportKind.NEWS),
            ({"sequence": 5}, ReportKind.NEWS),
            ({"sequence": 4}, ReportKind.OVERTAKEN),
            ({"sequence": 1, "incarnation": 21}, ReportKind.NEXT_LIFE),
            ({"sequence": 9, "incarnation": 19}, ReportKind.FORMER),
            ({"sequence": 9, "incarnation": 0}, ReportKind.FORMER),
            ({"id": "i-other", "incarnation": 1}, ReportKind.NEXT_LIFE),
        ],
    )
    def test_beside_a_life_that_is_here(self, changes, kind):
        assert judge(HERE.life, **changes) is kind

    @pytest.mark.parametrize(
        "incarnation, kind",
        [(20, ReportKind.FORMER), (21, ReportKind.NEXT_LIFE)],
    )
    def test_after_the_life_has_ended(self, incarnation, kind):
        assert judge(HERE.life, present=None, incarnation=incarnation) is kind

    def test_of_an_upstream_that_has_not_been_here(self):
        assert judge(present=None) is ReportKind.NEXT_LIFE

    def test_that_tell_no_incarnation_go_by_the_id(self):
        untold = replace(HERE, incarnation=Incarnation(0))
        known = KnownLives()
        known.begin(untold.life)
        assert known.judge(untold, replace(untold, sequence=6)) is ReportKind.NEWS
        assert known.judge(None, untold) is ReportKind.FORMER


class TestDepartures:
    @pytest.mark.parametrize(
        "upstream, incarnation, ends",
        [
            (HERE.id, 20, True),
            (HERE.id, 0, True),
            (HERE.id, 19, False),
            ("i-other", 20, False),
        ],
    )
    def test_end_the_life_that_they_name(self, upstream, incarnation, ends):
        gone = LifeKey(UpstreamId(upstream), Incarnation(incarnation))
        assert ends_life(HERE.life, gone) is ends
