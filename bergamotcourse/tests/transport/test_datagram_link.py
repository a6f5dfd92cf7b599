import random
import socket
from contextlib import asynccontextmanager

import pytest
import trio

from bergamotcourse.errors import BergamotcourseError, Step
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport import datagram_link
from bergamotcourse.transport.datagram_link import (
    HEADER,
    MOST_PARTIAL,
    MOST_PARTS,
    PART_BYTES,
    Assembly,
    DatagramLink,
)

HOST = "127.0.0.1"
LIMIT = 10
SENDER = (HOST, 1)


@asynccontextmanager
async def opened(port=0):
    """Open a link on a free port."""
    link = DatagramLink(HOST, port, random.Random(1))
    with trio.fail_after(LIMIT):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await link.wait_open()
            yield link
            nursery.cancel_scope.cancel()


def part(number, index, count, data=b"x"):
    return HEADER.pack(number, index, count) + data


class TestDelivery:
    def test_payloads_arrive_whole(self):
        async def scenario():
            async with opened() as a, opened() as b:
                sizes = [0, 1, PART_BYTES, PART_BYTES + 1, 100_000, *range(200)]
                for size in sizes:
                    payload = random.Random(size).randbytes(size)
                    assert (await a.send(b.address, payload)).is_ok()
                    assert await b.receive() == payload

        trio.run(scenario)

    def test_a_peer_that_comes_back_is_reached_at_once(self):
        async def scenario():
            async with opened() as a:
                async with opened() as b:
                    port = b.port
                assert (await a.send(b.address, b"lost")).is_ok()
                async with opened(port) as b:
                    await a.send(b.address, b"refused")
                    await a.send(b.address, b"there")
                    assert await b.receive() in (b"refused", b"there")

        trio.run(scenario)

    def test_one_that_is_away_does_not_end_receiving(self):
        async def scenario():
            async with opened() as a, opened() as b:
                holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                holder.bind((HOST, 0))
                absent = LinkAddress(f"udp://{HOST}:{holder.getsockname()[1]}")
                holder.close()
                for _ in range(3):
                    await a.send(absent, b"x")
                await b.send(a.address, b"there")
                assert await a.receive() == b"there"

        trio.run(scenario)


class TestRefusals:
    @pytest.mark.parametrize("peer", ["tcp://127.0.0.1:1", "udp://1", "udp://1:x", ""])
    def test_an_address_that_is_none(self, peer):
        async def scenario():
            async with opened() as a:
                result = await a.send(LinkAddress(peer), b"x")
                assert result.error.step is Step.SEND
                assert a.dropped == 1

        trio.run(scenario)

    def test_a_payload_that_is_too_large(self):
        async def scenario():
            async with opened() as a, opened() as b:
                payload = bytes(MOST_PARTS * PART_BYTES + 1)
                assert (await a.send(b.address, payload)).is_error()

        trio.run(scenario)

    def test_an_address_that_is_taken(self):
        async def scenario():
            async with opened() as a:
                await DatagramLink(HOST, a.port).run()

        with pytest.raises(ExceptionGroup) as caught:
            trio.run(scenario)
        assert caught.group_contains(BergamotcourseError)


class TestClosed:
    def test_who_receives_after_the_end_is_told(self):
        async def scenario():
            async with opened() as a:
                pass
            with pytest.raises(trio.ClosedResourceError), trio.fail_after(LIMIT):
                await a.receive()

        trio.run(scenario)


class TestAssembly:
    def test_parts_in_any_order_and_doubled(self):
        assembly = Assembly()
        assert assembly.take(SENDER, part(1, 1, 3, b"b")) is None
        assert assembly.take(SENDER, part(1, 1, 3, b"b")) is None
        assert assembly.take(SENDER, part(1, 2, 3, b"c")) is None
        assert assembly.take(SENDER, part(1, 0, 3, b"a")) == b"abc"
        assert not assembly.partial

    def test_parts_of_two_senders_are_kept_apart(self):
        assembly = Assembly()
        assembly.take(SENDER, part(1, 0, 2))
        assert assembly.take((HOST, 2), part(1, 1, 2)) is None

    @pytest.mark.parametrize(
        "datagram",
        [
            b"",
            b"short",
            part(1, 2, 2),
            part(1, 0, 0),
            part(1, 0, MOST_PARTS + 1),
            part(1, 9, 3),
        ],
    )
    def test_what_is_no_part_is_dropped(self, datagram):
        assembly = Assembly()
        assert assembly.take(SENDER, datagram) is None
        assert not assembly.partial

    def test_what_never_becomes_whole_is_bounded(self):
        assembly = Assembly()
        for number in range(3 * MOST_PARTIAL):
            assembly.take(SENDER, part(number, 0, 2))
        assert len(assembly.partial) == MOST_PARTIAL
        newest = 3 * MOST_PARTIAL - 1
        assert assembly.take(SENDER, part(newest, 1, 2)) == b"xx"


class TestNumbers:
    def test_they_start_anew_after_the_last(self):
        link = DatagramLink(HOST, 1)
        link.numbers = datagram_link.NUMBERS - 1
        link._datagrams(b"x")
        assert link.numbers == 0
