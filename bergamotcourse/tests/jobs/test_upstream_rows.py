"""The last report of each upstream, kept in the store."""

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
    """Keeps what it is given."""

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


class TestKeep:
    def test_one_report_of_a_life_is_kept(self):
        assert kept_of(REPORT, replace(REPORT, sequence=9)) == [REPORT]

    def test_each_life_of_an_id_is_kept(self):
        """An agent that started anew found no upstream until the next report.

        The store had the life before: a report was kept only where its id was new.
        """
        again = replace(REPORT, incarnation=Incarnation(2))
        assert kept_of(REPORT, again) == [REPORT, again]

    def test_the_word_that_it_leaves_is_kept(self):
        """An agent that started anew gave work to an upstream that was leaving.

        It took the upstream up by the report kept at the beginning of its life, which
        says that it takes work, and knew better only with its next report.
        """
        leaving = replace(REPORT, draining=True)
        assert kept_of(REPORT, leaving, leaving) == [REPORT, leaving]
