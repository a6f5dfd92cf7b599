import socket
import subprocess
import sys
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from bergamotcourse.errors import BergamotcourseError, Step
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport import nng_link
from bergamotcourse.transport.nng_link import NNG_THREADS, NngLink

HOST = "127.0.0.1"
LIMIT = 10
SP_PUSH_HEADER = b"\0SP\0\0\x50\0\0"
GARBAGE = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"\0",
    bytes(range(256)) * 64,
    SP_PUSH_HEADER + b"\xff" * 8 + b"payload of an impossible length",
    SP_PUSH_HEADER + b"\0" * 7 + b"\x09" + b"cut",
]


@asynccontextmanager
async def opened(**options):
    """Open a link on a free port."""
    link = NngLink(HOST, options.pop("port", 0), **options)
    with trio.fail_after(LIMIT):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await link.wait_open()
            yield link
            nursery.cancel_scope.cancel()


def run(scenario):
    trio.run(scenario)


def bind_without_listening():
    """Return a bound socket and its address, on which nothing else can listen."""
    holder = socket.socket()
    holder.bind((HOST, 0))
    return holder, LinkAddress(f"tcp://{HOST}:{holder.getsockname()[1]}")


class TestDelivery:
    def test_payloads_arrive_intact_and_in_order(self):
        async def scenario():
            async with opened() as a, opened() as b:
                sizes = [0, 1, 100, 1 << 20, 3, *range(200)]
                for size in sizes:
                    assert (await a.send(b.address, b"x" * size)).is_ok()
                    assert len(await b.receive()) == size

        run(scenario)

    def test_burst_above_buffer_waits_for_receiver(self):
        count = 2000

        async def send_all(link, peer):
            for number in range(count):
                payload = number.to_bytes(4) * 1000
                assert (await link.send(peer, payload)).is_ok()

        async def scenario():
            async with (
                opened(buffer=4) as a,
                opened() as b,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(send_all, a, b.address)
                for number in range(count):
                    assert (await b.receive())[:4] == number.to_bytes(4)

        run(scenario)

    def test_concurrent_senders_to_one_peer_lose_nothing(self):
        async def send(link, peer, number):
            assert (await link.send(peer, bytes([number]))).is_ok()

        async def scenario():
            async with opened(buffer=1) as a, opened() as b:
                async with trio.open_nursery() as nursery:
                    for number in range(100):
                        nursery.start_soon(send, a, b.address, number)
                    got = {await b.receive() for _ in range(100)}
                assert len(got) == 100

        run(scenario)

    def test_forgotten_peer_is_dialled_again(self):
        async def scenario():
            async with opened() as a, opened() as b:
                for payload in (b"1", b"2"):
                    await a.send(b.address, payload)
                    assert await b.receive() == payload
                    a.forget(b.address)
                assert a.peers == {}

        run(scenario)


class TestUnreachablePeer:
    def test_send_to_full_buffer_fails_after_timeout(self, monkeypatch):
        monkeypatch.setattr(nng_link, "SEND_TIMEOUT_SECONDS", 0.05)

        async def scenario():
            holder, peer = bind_without_listening()
            with holder:
                async with opened(buffer=2) as link:
                    results = [await link.send(peer, b"x") for _ in range(3)]
            assert [result.is_ok() for result in results] == [True, True, False]
            assert (results[2].error.step, results[2].error.peer) == (Step.SEND, peer)

        run(scenario)

    def test_forget_fails_waiting_send(self):
        results = []

        async def send_twice(link, peer):
            for _ in range(2):
                results.append(await link.send(peer, b"x"))

        async def scenario():
            holder, peer = bind_without_listening()
            with holder:
                async with opened(buffer=1) as link, trio.open_nursery() as nursery:
                    nursery.start_soon(send_twice, link, peer)
                    while not results:
                        await trio.sleep(0.001)
                    await trio.testing.wait_all_tasks_blocked()
                    link.forget(peer)
            assert [result.is_ok() for result in results] == [True, False]

        run(scenario)

    def test_restarted_peer_receives_again(self):
        async def scenario():
            async with opened() as a:
                async with opened() as b:
                    await a.send(b.address, b"1")
                    assert await b.receive() == b"1"
                port = int(b.address.rpartition(":")[2])
                async with opened(port=port) as b:
                    got = None
                    while got != b"2":
                        await a.send(b.address, b"2")
                        with trio.move_on_after(0.1):
                            got = await b.receive()

        run(scenario)


class TestBadInput:
    @pytest.mark.parametrize("peer", ["", "ipc:///tmp/x", "tcp://x", "tcp://\0:1"])
    def test_invalid_address_is_refused(self, peer):
        async def scenario():
            async with opened() as link:
                result = await link.send(LinkAddress(peer), b"x")
                assert (result.error.step, result.error.peer) == (Step.SEND, peer)
                assert link.peers == {}

        run(scenario)

    def test_payload_above_limit_is_refused(self):
        async def scenario():
            async with opened(message_bytes=100) as a, opened(message_bytes=100) as b:
                assert (await a.send(b.address, b"x" * 101)).is_error()
                assert (await a.send(b.address, b"x" * 100)).is_ok()
                assert len(await b.receive()) == 100

        run(scenario)

    def test_garbage_bytes_do_not_disturb_other_peers(self):
        async def scenario():
            async with opened() as a, opened() as b:
                port = int(b.address.rpartition(":")[2])
                streams = []
                for garbage in GARBAGE:
                    stream = await trio.open_tcp_stream(HOST, port)
                    await stream.send_all(garbage)
                    streams.append(stream)
                await a.send(b.address, b"1")
                assert await b.receive() == b"1"
                for stream in streams:
                    await stream.aclose()
                await a.send(b.address, b"2")
                assert await b.receive() == b"2"

        run(scenario)

    def test_address_in_use_is_an_error_of_connect(self):
        async def scenario():
            async with opened() as link:
                port = int(link.address.rpartition(":")[2])
                with pytest.raises(BergamotcourseError) as caught:
                    await NngLink(HOST, port).run()
            assert caught.value.error.step is Step.CONNECT

        run(scenario)


class TestThreads:
    def test_thread_count_does_not_grow_with_cores(self):
        program = """
import os, trio
from bergamotcourse.transport.nng_link import NngLink
async def main():
    async with trio.open_nursery() as nursery:
        link = NngLink("127.0.0.1", 0)
        nursery.start_soon(link.run)
        await link.wait_open()
        print(len(os.listdir("/proc/self/task")))
        nursery.cancel_scope.cancel()
trio.run(main)
"""
        command = [sys.executable, "-c", program]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        others = 2  # Python's main thread and nng's reaper.
        assert int(result.stdout) <= sum(NNG_THREADS.values()) + others, result.stderr
