"""Assignment of reports and departures to lives of an upstream."""

from dataclasses import replace

import pytest

from bergamotcourse.coordination.jobs.known_lives import (
    KnownLives,
    ReportKind,
    is_departure_of_life,
)
from bergamotcourse.ids import Incarnation, UpstreamId
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.tests.platform.test_store import REPORT

LAST_REPORT = replace(REPORT, sequence=5, incarnation=Incarnation(20))


def classify(*lives, present=LAST_REPORT, **changes):
    known = KnownLives()
    for life in lives:
        known.record_life(life)
    return known.classify_report(present, replace(LAST_REPORT, **changes))


class TestReports:
    @pytest.mark.parametrize(
        "changes, kind",
        [
            ({"sequence": 6}, ReportKind.CURRENT),
            ({"sequence": 5}, ReportKind.CURRENT),
            ({"sequence": 4}, ReportKind.OUTDATED),
            ({"sequence": 1, "incarnation": 21}, ReportKind.NEXT_LIFE),
            ({"sequence": 9, "incarnation": 19}, ReportKind.FORMER_LIFE),
            ({"sequence": 9, "incarnation": 0}, ReportKind.FORMER_LIFE),
            ({"id": "i-other", "incarnation": 1}, ReportKind.NEXT_LIFE),
        ],
    )
    def test_are_classified_against_the_current_life(self, changes, kind):
        assert classify(LAST_REPORT.life, **changes) is kind

    @pytest.mark.parametrize(
        "incarnation, kind",
        [(20, ReportKind.FORMER_LIFE), (21, ReportKind.NEXT_LIFE)],
    )
    def test_after_the_end_of_the_life(self, incarnation, kind):
        assert classify(LAST_REPORT.life, present=None, incarnation=incarnation) is kind

    def test_of_an_unknown_upstream_begins_a_life(self):
        assert classify(present=None) is ReportKind.NEXT_LIFE

    def test_without_an_incarnation_are_matched_by_id(self):
        without_incarnation = replace(LAST_REPORT, incarnation=Incarnation(0))
        known = KnownLives()
        known.record_life(without_incarnation.life)
        assert (
            known.classify_report(
                without_incarnation, replace(without_incarnation, sequence=6)
            )
            is ReportKind.CURRENT
        )
        assert (
            known.classify_report(None, without_incarnation) is ReportKind.FORMER_LIFE
        )


class TestDepartures:
    @pytest.mark.parametrize(
        "upstream, incarnation, ends",
        [
            (LAST_REPORT.id, 20, True),
            (LAST_REPORT.id, 0, True),
            (LAST_REPORT.id, 19, False),
            ("i-other", 20, False),
        ],
    )
    def test_end_only_the_life_that_they_name(self, upstream, incarnation, ends):
        gone = LifeKey(UpstreamId(upstream), Incarnation(incarnation))
        assert is_departure_of_life(LAST_REPORT.life, gone) is ends
