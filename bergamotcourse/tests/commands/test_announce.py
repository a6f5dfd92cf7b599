import random
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from bergamotcourse.commands.announce import echo_in_force, open_link, with_announcement
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.coordination.config_exchange import ConfigExchange
from bergamotcourse.coordination.config_watch import ConfigWatch
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.lease_rows import LeaseRow, lease_key
from bergamotcourse.tests.configs import accept, accept_releases, make_manifest
from bergamotcourse.transport.nng_link import NngLink

PLATFORM = "127.0.0.1:9000"
APPLY_TIMEOUT_SECONDS = 10


async def put_row(platform, address, config=1):
    row = LeaseRow("one", address, "a", "", 1, config=config)
    write = Write(lease_key("one"), msgspec.json.encode(row), None)
    await platform.transact([write])


class TestAnnounced:
    def test_accepted_version_reaches_entry_over_its_link(self):
        platform = MemoryPlatform()
        rng = random.Random(1)
        timers = Timers(rng)
        mailer = Mailer(NngLink("127.0.0.1", 0), rng=rng)
        watch = ConfigWatch(platform.view("entry"), timers)
        exchange = ConfigExchange(watch, mailer, timers, dict, rng)
        mailer.handler = exchange.handle

        async def main():
            await accept_releases(platform, 1)
            await watch.poll()
            async with trio.open_nursery() as nursery:
                exchange.nursery = nursery
                nursery.start_soon(mailer.run)
                await mailer.link.wait_open()
                await put_row(platform, mailer.link.address)
                change = with_announcement(
                    PLATFORM, lambda store: accept(store, make_manifest("r2"), 1)
                )
                with trio.fail_after(APPLY_TIMEOUT_SECONDS):
                    accepted = await change(platform)
                assert accepted.ok.version == 2
                assert watch.manifest.release == "r2"
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_no_link_is_opened_without_known_entries(self):
        platform = MemoryPlatform()

        def refuse(address):
            raise AssertionError(address)

        change = with_announcement(
            PLATFORM, lambda store: accept(store, make_manifest("r1")), refuse
        )
        assert trio.run(change, platform).ok.version == 1

    def test_link_listens_on_the_address_that_routes_to_the_platform(self):
        assert open_link(PLATFORM).host == "127.0.0.1"


class TestEchoInForce:
    @pytest.mark.parametrize(
        ("config", "code", "words"),
        [
            (1, ExitCode.OK, "version 1 in force at 1 of 1 entries"),
            (0, ExitCode.TIMED_OUT, "at 0 of 1 entries, lagging: one"),
        ],
    )
    def test_reports_entries_in_force_and_lagging(self, capsys, config, code, words):
        platform = MemoryPlatform()

        @asynccontextmanager
        async def opener(_address):
            yield platform

        async def prepare():
            await put_row(platform, LinkAddress("tcp://one"), config)
            return await accept(platform, make_manifest("r1"))

        accepted = trio.run(prepare)
        assert echo_in_force(accepted, PLATFORM, opener, 0.01, json=False) == code
        assert words in capsys.readouterr().out
