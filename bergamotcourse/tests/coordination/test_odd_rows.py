"""Rows of the platform's table that cannot be decoded, or are odd in one value."""

import random

import msgspec
import pytest
import trio

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.membership import AgentDiscovery, AgentRegistration
from bergamotcourse.coordination.neighbours import ProcessLocation
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.lease_rows import (
    AgentRow,
    JournalRecord,
    LeaseRow,
    RangeRow,
    agent_key,
)
from bergamotcourse.tests.configs import run
from bergamotcourse.tests.coordination.test_agent_discovery import RecordingMailer
from bergamotcourse.tests.platform.odd_values import (
    DEEP_JSON,
    DEEP_MSGPACK,
    json_variants,
    msgpack_variants,
)

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
