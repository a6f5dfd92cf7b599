import random
import socket
from contextlib import asynccontextmanager

import pytest
import trio

from bergamotcourse.errors import BergamotcourseError, Step
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport import datagram_link
from bergamotcourse.transport.datagram_link import (
    FRAGMENT_BYTES,
    FRAGMENT_HEADER,
    MAX_FRAGMENTS,
    MAX_PARTIAL_PAYLOADS,
    DatagramLink,
    PayloadReassembler,
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


def fragment(number, index, count, data=b"x"):
    return FRAGMENT_HEADER.pack(number, index, count) + data


class TestDelivery:
    def test_payloads_of_any_size_arrive_intact(self):
        async def scenario():
            async with opened() as a, opened() as b:
                sizes = [0, 1, FRAGMENT_BYTES, FRAGMENT_BYTES + 1, 100_000, *range(200)]
                for size in sizes:
                    payload = random.Random(size).randbytes(size)
                    assert (await a.send(b.address, payload)).is_ok()
                    assert await b.receive() == payload

        trio.run(scenario)

    def test_restarted_peer_is_reached_without_reconnecting(self):
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

    def test_unreachable_peer_does_not_break_receiving(self):
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
    def test_invalid_address_is_an_error_of_send(self, peer):
        async def scenario():
            async with opened() as a:
                result = await a.send(LinkAddress(peer), b"x")
                assert result.error.step is Step.SEND
                assert a.dropped == 1

        trio.run(scenario)

    def test_payload_above_maximum_is_refused(self):
        async def scenario():
            async with opened() as a, opened() as b:
                payload = bytes(MAX_FRAGMENTS * FRAGMENT_BYTES + 1)
                assert (await a.send(b.address, payload)).is_error()

        trio.run(scenario)

    def test_address_in_use_is_an_error_of_run(self):
        async def scenario():
            async with opened() as a:
                await DatagramLink(HOST, a.port).run()

        with pytest.raises(ExceptionGroup) as caught:
            trio.run(scenario)
        assert caught.group_contains(BergamotcourseError)


class TestClosed:
    def test_receive_on_closed_link_raises(self):
        async def scenario():
            async with opened() as a:
                pass
            with pytest.raises(trio.ClosedResourceError), trio.fail_after(LIMIT):
                await a.receive()

        trio.run(scenario)


class TestReassembly:
    def test_reordered_and_duplicated_fragments_are_joined(self):
        reassembler = PayloadReassembler()
        assert reassembler.add_fragment(SENDER, fragment(1, 1, 3, b"b")) is None
        assert reassembler.add_fragment(SENDER, fragment(1, 1, 3, b"b")) is None
        assert reassembler.add_fragment(SENDER, fragment(1, 2, 3, b"c")) is None
        assert reassembler.add_fragment(SENDER, fragment(1, 0, 3, b"a")) == b"abc"
        assert not reassembler.partial

    def test_fragments_of_two_senders_are_not_mixed(self):
        reassembler = PayloadReassembler()
        reassembler.add_fragment(SENDER, fragment(1, 0, 2))
        assert reassembler.add_fragment((HOST, 2), fragment(1, 1, 2)) is None

    @pytest.mark.parametrize(
        "datagram",
        [
            b"",
            b"short",
            fragment(1, 2, 2),
            fragment(1, 0, 0),
            fragment(1, 0, MAX_FRAGMENTS + 1),
            fragment(1, 9, 3),
        ],
    )
    def test_malformed_fragment_is_dropped(self, datagram):
        reassembler = PayloadReassembler()
        assert reassembler.add_fragment(SENDER, datagram) is None
        assert not reassembler.partial

    def test_incomplete_payloads_are_bounded(self):
        reassembler = PayloadReassembler()
        for number in range(3 * MAX_PARTIAL_PAYLOADS):
            reassembler.add_fragment(SENDER, fragment(number, 0, 2))
        assert len(reassembler.partial) == MAX_PARTIAL_PAYLOADS
        newest = 3 * MAX_PARTIAL_PAYLOADS - 1
        assert reassembler.add_fragment(SENDER, fragment(newest, 1, 2)) == b"xx"


class TestPayloadNumbers:
    def test_numbers_wrap_around(self):
        link = DatagramLink(HOST, 1)
        link.next_number = datagram_link.PAYLOAD_NUMBERS - 1
        link._datagrams(b"x")
        assert link.next_number == 0


class TestBacklog:
    """Payloads that wait to be received, which other tasks must not hold up."""

    def test_backlog_lasts_until_nothing_is_left_to_receive(self):
        async def scenario():
            async with opened() as a, opened() as b:
                await a.send(b.address, b"x")
                await a.send(b.address, b"x")
                await b.receive()
                began_at = b.receive_budget.backlog_since
                await b.receive()
                assert b.receive_budget.backlog_since == began_at
                with trio.move_on_after(0.01):
                    await b.receive()
                assert b.backlog_seconds() == 0

        trio.run(scenario)


class TestInvalidAddresses:
    @pytest.mark.parametrize(
        "address",
        [
            "udp://127.0.0.1:65536",
            "udp://127.0.0.1:0",
            "udp://127.0.0.1:99999999999999999999",
            "udp://127.0.0.1:\u0661",
            "udp://host.example:7000",
            "udp://:7000",
            "udp://[::1]:7000",
            "tcp://127.0.0.1:7000",
            "",
        ],
    )
    def test_send_to_one_is_an_error(self, address):
        """Guards against an address from a message that ends the process."""

        async def scenario():
            async with opened() as link:
                result = await link.send(LinkAddress(address), b"x")
                assert result.error.step is Step.SEND
                assert link.dropped == 1

        trio.run(scenario)
