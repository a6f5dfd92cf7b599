"""Requests whose clients have disconnected before the server could read them."""

import socket
import struct
import time

import pytest
import trio
import trio.testing

from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_connection import PIPELINE_BYTES
from bergamotcourse.transport.http_server import HttpServer
from bergamotcourse.transport.http_wire import RECEIVE_BYTES

ATTEMPTS = 24
"""The order in which tasks of the event loop run is random."""

LOOPBACK = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TRANSIT_SECONDS = 0.002
HANG_SECONDS = 5.0


def post(body: bytes) -> bytes:
    head = f"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


REQUEST = post(b"0123456789")
LONG_PIPELINE_BYTES = PIPELINE_BYTES + RECEIVE_BYTES
"""Fits into the kernel's receive buffer: the end of a stream that is still in transit
behind unread bytes cannot be known."""

SHAPES = {
    "one read": [REQUEST],
    "head and body": [REQUEST[:-10], REQUEST[-10:]],
    "body of several reads": [post(bytes(3 * RECEIVE_BYTES))],
    "pipelined": [REQUEST * 4],
    "pipelined beyond the buffer": [REQUEST * (LONG_PIPELINE_BYTES // len(REQUEST))],
    "a request and a part of the next": [REQUEST + REQUEST[:20]],
}


def pause_process() -> None:
    """Block the event loop until what was sent has arrived."""
    time.sleep(TRANSIT_SECONDS)


def disconnect(client: socket.socket, by_reset: bool) -> None:
    if by_reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


class WaitingHandler:
    """Handles each request until its client is found to have disconnected."""

    def __init__(self):
        self.begun = trio.Event()
        self.cancelled = trio.Event()

    async def handle(self, request):
        self.begun.set()
        try:
            await trio.sleep_forever()
        finally:
            self.cancelled.set()


class RecordingHandler:
    """Answers each request, and counts them."""

    def __init__(self):
        self.calls = 0

    async def handle(self, request):
        self.calls += 1
        return HttpResponse(200, body=b"ok")


async def serve(script) -> int:
    """Run a script with the address of a server; return the number of requests."""
    handler = RecordingHandler()
    server = HttpServer(LOOPBACK, 0, handler.handle)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await server.wait_open()
        await script((LOOPBACK, server.port))
        await trio.sleep(TRANSIT_SECONDS)
        await trio.testing.wait_all_tasks_blocked(0.001)
        nursery.cancel_scope.cancel()
    return handler.calls


class TestDisconnectedClient:
    @pytest.mark.parametrize("by_reset", [False, True], ids=["end", "reset"])
    @pytest.mark.parametrize("parts", SHAPES.values(), ids=SHAPES.keys())
    def test_its_request_is_not_handled(self, parts, by_reset):
        """Guards against running a request that the client has sent elsewhere.

        After a pause of the process the request is read before the end of the stream.
        """

        async def script(address):
            for _ in range(ATTEMPTS):
                client = socket.create_connection(address)
                for part in parts:
                    client.sendall(part)
                disconnect(client, by_reset)
                pause_process()
                await trio.testing.wait_all_tasks_blocked()

        assert trio.run(serve, script) == 0

    @pytest.mark.parametrize("by_reset", [False, True], ids=["end", "reset"])
    def test_its_next_request_on_an_open_connection_is_not_handled(self, by_reset):
        async def script(address):
            for _ in range(ATTEMPTS):
                client = socket.create_connection(address)
                client.sendall(REQUEST)
                await trio.to_thread.run_sync(client.recv, RECEIVE_BYTES)
                client.sendall(REQUEST)
                disconnect(client, by_reset)
                pause_process()
                await trio.testing.wait_all_tasks_blocked()

        assert trio.run(serve, script) == ATTEMPTS


class TestClientThatLeavesDuringItsRequest:
    @pytest.mark.parametrize("by_reset", [False, True], ids=["end", "reset"])
    @pytest.mark.parametrize("following", [0, 1, LONG_PIPELINE_BYTES])
    def test_its_request_is_cancelled(self, following, by_reset):
        """Guards against running a request on while its client sends it elsewhere.

        Reading pauses while the client's further requests fill the buffer.
        """

        async def main():
            handler = WaitingHandler()
            server = HttpServer(LOOPBACK, 0, handler.handle)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await server.wait_open()
                client = socket.create_connection((LOOPBACK, server.port))
                client.sendall(REQUEST + bytes(following))
                await handler.begun.wait()
                await trio.testing.wait_all_tasks_blocked(0.001)
                disconnect(client, by_reset)
                with trio.fail_after(HANG_SECONDS):
                    await handler.cancelled.wait()
                nursery.cancel_scope.cancel()

        trio.run(main)


class TestWaitingClient:
    @pytest.mark.parametrize("parts", SHAPES.values(), ids=SHAPES.keys())
    def test_its_request_is_handled_after_a_pause(self, parts):
        """Guards against refusing requests merely because the process was paused."""

        async def script(address):
            with socket.create_connection(address) as client:
                for part in parts[:-1]:
                    client.sendall(part)
                client.sendall(parts[-1][:PIPELINE_BYTES])
                pause_process()
                answer = await trio.to_thread.run_sync(client.recv, RECEIVE_BYTES)
            assert answer.startswith(b"HTTP/1.1 200")

        assert trio.run(serve, script) > 0
