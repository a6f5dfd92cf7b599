"""Storing of the last report of each upstream."""

import random
from dataclasses import replace

import trio
from expression import Ok

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.store_watch import UpstreamRows
from bergamotcourse.ids import Incarnation, LinkAddress
from bergamotcourse.tests.platform.test_store import REPORT

AGENT = LinkAddress("udp://10.0.0.1:1")


class Store:
    """Records the reports that are stored."""

    def __init__(self):
        self.kept = []

    async def put_upstream(self, agent, report, timeout):
        self.kept.append(report)
        return Ok(None)


def kept_of(*reports):
    async def main():
        store = Store()
        rows = UpstreamRows(store, random.Random(1), EventLog(lambda *_: None))
        for report in reports:
            await rows.store_report(AGENT, report)
        return store.kept

    return trio.run(main)


class TestStoredReports:
    def test_only_the_first_report_of_a_life_is_stored(self):
        assert kept_of(REPORT, replace(REPORT, sequence=9)) == [REPORT]

    def test_each_life_under_one_id_is_stored(self):
        """Guards against a restarted agent finding no upstream until the next report.

        If a report were stored only for a new id, the store would keep the former life.
        """
        again = replace(REPORT, incarnation=Incarnation(2))
        assert kept_of(REPORT, again) == [REPORT, again]

    def test_the_start_of_draining_is_stored(self):
        """Guards against a restarted agent starting runs on a draining upstream.

        It adopts the upstream by the stored report. If that were the first one of the
        life, the agent would not know of the draining until the next report.
        """
        leaving = replace(REPORT, draining=True)
        assert kept_of(REPORT, leaving, leaving) == [REPORT, leaving]
