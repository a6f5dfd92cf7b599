"""Rows of the platform's table that cannot be decoded, or are odd in one value."""

import random

import msgspec
import pytest
import trio

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.epoch_reader import read_epochs
from bergamotcourse.coordination.in_force import read_in_force, read_lease_rows
from bergamotcourse.coordination.journal import Journal
from bergamotcourse.coordination.lease import LeaseState
from bergamotcourse.coordination.lease_view import LeaseView
from bergamotcourse.coordination.membership import AgentDiscovery, AgentRegistration
from bergamotcourse.coordination.neighbours import ProcessLocation
from bergamotcourse.coordination.ownership import RangeState
from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import EntryId
from bergamotcourse.protocol.platform import Row, Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.lease_rows import (
    AgentRow,
    JournalRecord,
    JournalRow,
    LeaseRow,
    RangeRow,
    agent_key,
    journal_key,
    lease_key,
    range_key,
)
from bergamotcourse.state.ledger import Ledger
from bergamotcourse.state.start_log import Admission, StartLog
from bergamotcourse.tests.configs import run
from bergamotcourse.tests.coordination.test_agent_discovery import RecordingMailer
from bergamotcourse.tests.coordination.test_takeover import run_fleet
from bergamotcourse.tests.platform.odd_values import (
    DEEP_JSON,
    DEEP_MSGPACK,
    json_variants,
    msgpack_variants,
)
from bergamotcourse.tests.state.test_start_log import Order

AGENT = AgentRow("odd", "tcp://10.0.0.1:7000", "a", "r", "w", 1, services=["voting"])
LEASE = LeaseRow("odd", "tcp://10.0.0.1:7000", "a", "one", 3, 4, demand={"getxo": 2})
RANGE = RangeRow("odd", 2, former="one")
RECORD = JournalRecord(b"s", 1, b"d", "odd", "tcp://10.0.0.1:7000", 1, None, 5)


def plain(row):
    return msgspec.to_builtins(row)


def variants_of(row):
    """Return the encoded variants of a row, by the odd value that each contains."""
    variants = {}
    for name, value in json_variants(plain(row)).items():
        variants.setdefault(name.partition(" = ")[2], []).append(value)
    port = {**plain(row), "address": "tcp://10.0.0.1:65536"}
    return {
        **variants,
        "deep as a whole": [DEEP_JSON],
        "not JSON": [b"\xff"],
        "port 65536": [msgspec.json.encode(port)],
    }


AGENT_VARIANTS = variants_of(AGENT)
LEASE_VARIANTS = variants_of(LEASE)
RANGE_VARIANTS = variants_of(RANGE)
JOURNAL_VARIANTS = {
    **msgpack_variants({"records": [plain(RECORD)]}),
    "deep as a whole": DEEP_MSGPACK,
}


async def put(platform, key, value):
    if isinstance(value, msgspec.Struct):
        value = msgspec.json.encode(value)
    await platform.transact([Write(key, value, None)])


def make_discovery(platform):
    location = ProcessLocation("entry-1", "a")
    return AgentDiscovery(
        location, lambda: [location], dict, AgentDirectory(3.0),
        platform.view("entry-1"), RecordingMailer(), Timers(random.Random(1)), 1.0, 2,
    )  # fmt: skip


def assert_encodable(row):
    msgspec.json.encode(row)
    msgspec.msgpack.encode(row)


class TestAgentRow:
    @pytest.mark.parametrize("odd", AGENT_VARIANTS)
    def test_hides_no_other(self, odd):
        """Guards against an entry that ends as it reads the list of agents."""

        async def main():
            platform = MemoryPlatform()
            for agent in ("a", "z"):
                row = msgspec.structs.replace(AGENT, agent=agent)
                await put(platform, agent_key(agent), row)
            for value in AGENT_VARIANTS[odd]:
                await put(platform, agent_key("odd"), value)
                discovery = make_discovery(platform)
                assert await discovery.watch()
                assert {"a", "z"} <= set(discovery.directory.views)
                for _, message in discovery.mailer.posted:
                    msgspec.msgpack.encode(message)

        run(main)

    @pytest.mark.parametrize("port", ["0", "65536", "-1", "", "9" * 5000, "\u00b2"])
    def test_port_out_of_range_is_refused(self, port):
        async def main():
            platform = MemoryPlatform()
            row = msgspec.structs.replace(AGENT, address=f"tcp://10.0.0.1:{port}")
            await put(platform, agent_key("odd"), row)
            discovery = make_discovery(platform)
            await discovery.watch()
            assert discovery.directory.views == {}

        run(main)

    def test_unreadable_agent_counts_as_unreported(self):
        """Guards against a recovery that misses what an agent started."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, agent_key("odd"), DEEP_JSON)
            discovery = make_discovery(platform)
            await discovery.watch()
            await trio.sleep(100)
            directory = discovery.directory
            assert directory.unavailable_since(trio.current_time()) == {"odd"}
            await put(platform, agent_key("odd"), AGENT)
            await discovery.watch()
            assert directory.unavailable_since(0.0) == set()

        run(main)

    def test_known_agent_is_kept(self):
        async def main():
            platform = MemoryPlatform()
            await put(platform, agent_key("odd"), AGENT)
            discovery = make_discovery(platform)
            await discovery.watch()
            await put(platform, agent_key("odd"), DEEP_JSON)
            await discovery.watch()
            assert discovery.directory.views["odd"].address == AGENT.address

        run(main)


class TestAgentRegistration:
    @pytest.mark.parametrize("registered", [False, True])
    def test_overwrites_its_own_unreadable_row(self, registered):
        """Guards against an agent that ends as it registers."""

        async def main():
            platform = MemoryPlatform()
            registration = AgentRegistration(AGENT, platform, Timers())
            if registered:
                await registration.watch()
                registration.written_at = -1e9
            await put(platform, agent_key("odd"), DEEP_JSON)
            await registration.watch()
            stored = (await platform.get([agent_key("odd")])).ok[0].value
            assert msgspec.json.decode(stored, type=AgentRow) == AGENT
            assert registration.registered
            assert not registration.replaced
            # What an earlier process started is not known.
            assert registration.first is registered

        run(main)


class TestLeaseView:
    @pytest.mark.parametrize("odd", LEASE_VARIANTS)
    def test_lease_row_hides_no_other(self, odd):
        """Guards against an entry that ends as it reads the leases."""

        async def main():
            platform = MemoryPlatform()
            for entry in ("a", "z"):
                row = msgspec.structs.replace(LEASE, entry=entry)
                await put(platform, lease_key(entry), row)
            for value in LEASE_VARIANTS[odd]:
                await put(platform, lease_key("odd"), value)
                view = LeaseView(platform, Timers(), 5.0)
                assert await view.refresh()
                assert {"a", "z"} <= set(view.leases)
                for seen in view.leases.values():
                    assert_encodable(seen.row)

        run(main)

    @pytest.mark.parametrize("odd", RANGE_VARIANTS)
    def test_range_row_hides_no_other(self, odd):
        """Guards against an entry that ends as it reads the ranges."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, range_key(1), RANGE)
            await put(platform, range_key(3), RANGE)
            for value in RANGE_VARIANTS[odd]:
                await put(platform, range_key(2), value)
                view = LeaseView(platform, Timers(), 5.0)
                assert await view.refresh()
                assert {1, 3} <= set(view.ranges)
                for seen in view.ranges.values():
                    assert_encodable(seen.row)

        run(main)

    @pytest.mark.parametrize("key", ["x", "", "-1", "9" * 5000, "\u00b2", "1_0"])
    def test_key_that_names_no_range_hides_no_other(self, key):
        async def main():
            platform = MemoryPlatform()
            await put(platform, f"range/{key}", RANGE)
            await put(platform, range_key(3), RANGE)
            view = LeaseView(platform, Timers(), 5.0)
            assert await view.refresh()
            assert set(view.ranges) == {3}

        run(main)

    def test_epoch_of_unreadable_range_is_forgotten(self):
        """Guards against a takeover that uses an epoch a second time."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, range_key(3), RANGE)
            view = LeaseView(platform, Timers(), 5.0)
            await view.refresh()
            await put(platform, range_key(3), DEEP_JSON)
            await view.refresh()
            assert view.owner(3) is None
            assert view.undecodable_ranges == {3}
            await put(platform, range_key(3), RANGE)
            await view.refresh()
            assert view.owner(3).row == RANGE
            assert view.undecodable_ranges == set()

        run(main)

    def test_unreadable_range_does_not_prevent_claims_of_others(self):
        """Guards against a fleet that never becomes ready."""

        async def test(fleet, one, other):
            await put(fleet.platform, range_key(3), DEEP_JSON)
            await trio.sleep(2)
            name = next(iter(fleet.entries))
            fleet.entries[name].kill()
            fleet.start_entry(name)
            with trio.fail_after(60):
                await fleet.wait_ready(name)
            entry = fleet.entries[name].entry
            assert entry.ownership.home in entry.ownership.owned

        run_fleet(test)

    def test_row_is_logged_once_for_each_version_and_not_whole(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            "bergamotcourse.coordination.skipped_rows.log_message",
            lambda kind, **fields: lines.append(fields),
        )
        skipped = SkippedRows()
        for version in (1, 1, 2):
            row = Row("k" * 100_000, version, b"")
            skipped.log(row, ValueError("x" * 100_000))
        assert [line["version"] for line in lines] == [1, 2]
        assert all(len(str(line)) < 1000 for line in lines)


class TestOwnLease:
    def test_unreadable_row_ends_the_lease_and_not_the_process(self):
        """Guards against an entry that ends as it renews, and at each start."""

        async def test(fleet, one, other):
            lease, name = other.lease, other.id
            await put(fleet.platform, lease_key(name), DEEP_JSON)
            await trio.sleep(1)
            assert lease.state is LeaseState.LOST
            assert not lease.valid(other.timers.now())
            assert other.id != name
            # The entry takes over its own former lease.
            assert fleet.platform.table.get(lease_key(name)).value != DEEP_JSON
            await trio.sleep(10)
            owners = {seen.row.owner for seen in one.view.ranges.values()}
            assert owners <= {one.id, other.id}

        run_fleet(test)

    def test_release_keeps_an_unreadable_row(self):
        async def test(fleet, one, other):
            other.stopping = True
            await put(fleet.platform, lease_key(other.id), DEEP_JSON)
            await other.lease.release()
            row = fleet.platform.table.get(lease_key(other.id))
            assert row.value == DEEP_JSON

        run_fleet(test)


class TestLeaseOfAnother:
    def test_ranges_of_a_dead_entry_are_taken_over(self):
        async def test(fleet, one, other):
            next(p for p in fleet.entries.values() if p.entry is other).kill()
            await put(fleet.platform, lease_key(other.id), DEEP_JSON)
            await trio.sleep(20)
            assert {seen.row.owner for seen in one.view.ranges.values()} == {one.id}

        run_fleet(test)

    def test_journal_is_kept_while_a_range_is_unreadable(self):
        """Guards against a lost journal of the entry that the range's row named."""

        async def test(fleet, one, other):
            next(p for p in fleet.entries.values() if p.entry is other).kill()
            await put(fleet.platform, range_key(3), DEEP_JSON)
            await trio.sleep(20)
            key = lease_key(other.id)
            assert fleet.platform.table.get(key).value is not None
            await put(fleet.platform, range_key(3), RangeRow(one.id, 7))
            await trio.sleep(20)
            assert fleet.platform.table.get(key).value is None

        run_fleet(test)

    def test_former_successor_makes_no_promise(self):
        """Guards against a promise of an entry that is not the successor any more."""

        async def test(fleet, one, other):
            assert one.takeover.promise(other.id) > 0
            version = one.view.lease_version
            await put(fleet.platform, lease_key(other.id), DEEP_JSON)
            await one.view.refresh()
            assert one.view.lease_version > version
            assert one.takeover.promise(other.id) == 0

        run_fleet(test)

    def test_repeated_odd_writes_do_not_keep_an_entry_alive(self):
        async def main():
            platform = MemoryPlatform()
            await put(platform, lease_key("odd"), LEASE)
            view = LeaseView(platform, Timers(), 1.0)
            await view.refresh()
            for _ in range(8):
                await trio.sleep(0.4)
                await put(platform, lease_key("odd"), DEEP_JSON)
                await view.refresh()
            assert not view.is_alive("odd")

        run(main)


class TestInForce:
    @pytest.mark.parametrize("odd", LEASE_VARIANTS)
    def test_row_hides_no_other(self, odd):
        async def main():
            platform = MemoryPlatform()
            row = msgspec.structs.replace(LEASE, entry="a", config=3)
            await put(platform, lease_key("a"), row)
            for value in LEASE_VARIANTS[odd]:
                await put(platform, lease_key("odd"), value)
                rows = (await read_lease_rows(platform)).ok
                assert "a" in [row.entry for row in rows]

        run(main)

    def test_entry_with_unreadable_row_counts_as_lagging(self):
        """Guards against a version that is reported as in force too early."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, lease_key("odd"), DEEP_JSON)
            report = (await read_in_force(platform, 3)).ok
            assert report.lagging == ["odd"]

        run(main)


def make_start_log():
    return StartLog(boot=9, token_ms=5000, retention_ms=60_000)


def admit(log, range_id, epoch):
    submission = f"{range_id}-{epoch}".encode()
    start = Order(submission, range=range_id, epoch=epoch, token=log.issue_token(0))
    return log.admit(start, "tcp://entry", 0)


class TestEpochs:
    @pytest.mark.parametrize("odd", RANGE_VARIANTS)
    def test_row_hides_no_other(self, odd):
        """Guards against an agent that ends as it starts."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, range_key(3), RANGE)
            for value in RANGE_VARIANTS[odd]:
                await put(platform, range_key(2), value)
                log = make_start_log()
                await read_epochs(platform, log, SkippedRows())
                assert admit(log, 3, RANGE.epoch - 1) is Admission.OLD_EPOCH
                assert admit(log, 3, RANGE.epoch) is Admission.ADMITTED

        run(main)

    def test_key_that_names_no_range_hides_no_other(self):
        async def main():
            platform = MemoryPlatform()
            await put(platform, "range/odd", RANGE)
            await put(platform, range_key(3), RANGE)
            log = make_start_log()
            await read_epochs(platform, log, SkippedRows())
            assert log.epochs == {3: RANGE.epoch}
            assert not log.lacks_epochs

        run(main)

    def test_range_with_unreadable_epoch_stays_closed(self):
        """Guards against a second start under an epoch that was refused before."""

        async def main():
            platform = MemoryPlatform()
            await put(platform, range_key(2), DEEP_JSON)
            log = make_start_log()
            await read_epochs(platform, log, SkippedRows())
            # A late order of an earlier owner does not tell the newest epoch.
            log.fence(2, 1)
            assert admit(log, 2, 1) is Admission.EPOCHS_UNKNOWN
            assert log.lacks_epochs
            await put(platform, range_key(2), RANGE)
            await read_epochs(platform, log, SkippedRows())
            assert not log.lacks_epochs
            assert admit(log, 2, 1) is Admission.OLD_EPOCH
            assert admit(log, 2, RANGE.epoch) is Admission.ADMITTED

        run(main)

    def test_agent_reads_the_epochs_again(self):
        async def test(fleet, one, other):
            await put(fleet.platform, range_key(3), DEEP_JSON)
            fleet.agents["agent-1"].kill()
            log = fleet.start_agent("agent-1").agent.start_log
            await trio.sleep(3)
            assert log.unknown_ranges == {3}
            await put(fleet.platform, range_key(3), RangeRow(one.id, 4))
            await trio.sleep(5)
            assert not log.lacks_epochs
            assert log.epochs[3] == 4

        run_fleet(test)


class TestJournalRow:
    def test_row_hides_no_other(self):
        """Guards against an entry that ends as it takes over ranges."""

        async def main():
            platform = MemoryPlatform()
            journal = Journal(EntryId("one"), Ledger(60_000), platform, Timers())
            good = msgspec.msgpack.encode(JournalRow([RECORD]))
            await put(platform, journal_key("odd", 0), good)
            for value in JOURNAL_VARIANTS.values():
                await put(platform, journal_key("odd", 1), value)
                read = (await journal.read("odd")).ok
                assert read.records[0] == RECORD
                for record in read.records:
                    assert_encodable(record)
            await put(platform, journal_key("odd", 1), DEEP_MSGPACK)
            assert not (await journal.read("odd")).ok.complete

        run(main)

    def test_recovery_relies_on_start_logs_if_a_journal_has_gaps(self):
        """Guards against a second start of a claim whose record was overwritten."""

        async def test(fleet, one, other):
            name = other.id
            agent = fleet.agents["agent-1"]
            agent.kill()
            fleet.start_agent("agent-1")
            await trio.sleep(20)
            next(p for p in fleet.entries.values() if p.entry is other).kill()
            key = journal_key(name, 999)
            await put(fleet.platform, key, DEEP_MSGPACK)
            await trio.sleep(20)
            owned = [o for o in one.ownership.owned.values() if o.former is not None]
            assert owned
            # Its new process does not know what the former one started.
            assert all(o.state is RangeState.READY for o in owned)
            assert all(o.unreported_agents == {"agent-1"} for o in owned)

        run_fleet(test)
