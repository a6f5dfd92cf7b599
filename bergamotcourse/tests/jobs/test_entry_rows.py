"""Reading of the list of entries."""

import random

import trio
import trio.testing
from expression import Error

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.store_watch import EntryRows
from bergamotcourse.errors import Step
from bergamotcourse.protocol.job_store import ListTooLongError

POLL_SECONDS = 5.0


class StoreWithLongList:
    """A store whose list of entries has too many pages.

    Attributes:
        reads: The number of reads of the list.
    """

    def __init__(self):
        self.reads = 0

    async def read_entries(self, timeout):
        self.reads += 1
        return Error(ListTooLongError(Step.STORE, "store", "too many pages"))


class TestPolling:
    def test_list_that_is_too_long_is_read_once_an_interval(self):
        """Guards against reads of many pages again and again, as after an outage."""
        store = StoreWithLongList()
        learned = []

        async def main():
            rows = EntryRows(store, random.Random(1), EventLog(lambda *_: None))
            with trio.move_on_after(60.0 - POLL_SECONDS / 2):
                await rows.poll_entries(learned.append, POLL_SECONDS)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert store.reads == 60.0 / POLL_SECONDS
        assert learned == []
