"""Samples of what an entry did in a second, and of where work waited at it."""

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.daemons.load_samples import LoadSamples
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job


class NoServer:
    open_connections = 3


def sample_entry(act):
    """Return the second of two samples of an entry, between which something happens."""

    async def main(fleet):
        entry = fleet.entries["entry-1"]
        events = []
        log = EventLog(lambda kind, fields: events.append(fields))
        processor = ProcessorLag(
            entry.timers, log, process_cpu_seconds=lambda: trio.current_time() / 4
        )
        samples = LoadSamples(
            entry.links,
            entry.jobs,
            processor,
            NoServer(),
            entry.mailer,
            entry.timers,
            log,
        )
        await samples.sample()
        await act(fleet, processor)
        await samples.sample()
        return events[-1]

    return run_fleet(main, entries=1, agents=2)


class TestLoadSamples:
    def test_counts_only_what_came_since_the_last_sample(self):
        async def run_job(fleet, processor):
            await fleet.submit("entry-1", job("one", tasks=2, work=0.5))

        sample = sample_entry(run_job)
        assert 0 < sample["received"] < 40
        assert 0 < sample["sent"] < 40
        assert 120 < sample["cpu_ms"] < 200
        assert sample["connections"] == 3

    def test_tells_messages_that_wait_unread_from_a_late_timer(self):
        """A lag that is short while messages wait long hid an overload."""

        async def fall_behind(fleet, processor):
            processor.backlog_seconds = lambda: 2.0
            await processor.measure_lag()

        sample = sample_entry(fall_behind)
        assert sample["backlog_ms"] == 2000
        assert sample["lag_ms"] == 0

    def test_tells_the_delay_of_messages_on_the_way_in(self):
        async def pause(fleet, processor):
            fleet.network.freeze(fleet.entries["entry-1"].address)
            await trio.sleep(0.3)
            fleet.network.thaw(fleet.entries["entry-1"].address)
            await trio.sleep(0.05)

        assert sample_entry(pause)["inbound_ms"] > 50
