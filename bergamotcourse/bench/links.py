"""Measure transports that can carry messages between two processes of the system.

Run as ``python -m bergamotcourse.bench.links``; it takes about 20 s. Both ends run in
this process on 127.0.0.1, so a figure covers the sender, the receiver and the threads
of nng.
"""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

import click
import pynng
import trio

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Detach
from bergamotcourse.transport.nng_link import NngLink

HOST = "127.0.0.1"
ANY_PORT = f"tcp://{HOST}:0"
PAYLOAD = b"x" * 100
BURST_MESSAGES = 200
MEASURE_SECONDS = 1.8

WARM_UP_ROUNDS = 20
LENGTH_BYTES = 4
READ_BYTES = 1 << 16

Send = Callable[[bytes], Awaitable[object]]
Receive = Callable[[], Awaitable[bytes]]


@dataclass
class Channel:
    """A bidirectional message channel, with the calls of both of its ends."""

    send: Send
    receive: Receive
    send_back: Send
    receive_back: Receive


@dataclass
class Figures:
    """Results of one measurement.

    Attributes:
        messages: Messages carried.
        cpu_us: Processor time per message in microseconds, of all threads.
        wall_us: Elapsed time per message in microseconds.
    """

    messages: int
    cpu_us: float
    wall_us: float


@asynccontextmanager
async def pair1_async() -> AsyncIterator[Channel]:
    """Open a channel of polyamorous Pair1 sockets with the async calls of pynng."""
    with pynng.Pair1(polyamorous=True) as a, pynng.Pair1(polyamorous=True) as b:
        address = a.listen(ANY_PORT).local_address
        pipes = []
        a.add_post_pipe_connect_cb(pipes.append)
        b.add_post_pipe_connect_cb(pipes.append)
        b.dial(f"tcp://{address}", block=True)
        while len(pipes) < 2:
            await trio.sleep(0.001)
        to_b = next(pipe for pipe in pipes if pipe.socket is a)
        to_a = next(pipe for pipe in pipes if pipe.socket is b)
        yield Channel(to_b.asend, b.arecv, to_a.asend, a.arecv)


@asynccontextmanager
async def push_pull_async() -> AsyncIterator[Channel]:
    """Open a channel of Push and Pull sockets with the async calls of pynng."""
    with pynng.Pull0() as a, pynng.Pull0() as b, pynng.Push0() as c, pynng.Push0() as d:
        c.dial(f"tcp://{a.listen(ANY_PORT).local_address}", block=True)
        d.dial(f"tcp://{b.listen(ANY_PORT).local_address}", block=True)
        yield Channel(c.asend, a.arecv, d.asend, b.arecv)


@asynccontextmanager
async def push_pull_descriptors() -> AsyncIterator[Channel]:
    """Open a channel of ``NngLink``: Push and Pull sockets by file descriptors."""
    a, b = NngLink(HOST, 0), NngLink(HOST, 0)

    async def send(payload: bytes) -> None:
        await a.send(b.address, payload)

    async def send_back(payload: bytes) -> None:
        await b.send(a.address, payload)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(a.run)
        nursery.start_soon(b.run)
        await a.wait_open()
        await b.wait_open()
        yield Channel(send, b.receive, send_back, a.receive)
        nursery.cancel_scope.cancel()


class LengthPrefixedStream:
    """A trio stream that carries length-prefixed payloads."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.buffer = bytearray()

    async def send(self, payload: bytes) -> None:
        """Send one payload with its length."""
        await self.stream.send_all(len(payload).to_bytes(LENGTH_BYTES) + payload)

    async def receive(self) -> bytes:
        """Return the next payload."""
        length = int.from_bytes(await self._read_exactly(LENGTH_BYTES))
        return await self._read_exactly(length)

    async def _read_exactly(self, count: int) -> bytes:
        while len(self.buffer) < count:
            self.buffer += await self.stream.receive_some(READ_BYTES)
        taken = bytes(self.buffer[:count])
        del self.buffer[:count]
        return taken


@asynccontextmanager
async def trio_tcp() -> AsyncIterator[Channel]:
    """Open a channel of a trio TCP stream with length-prefixed payloads."""
    [listener] = await trio.open_tcp_listeners(0, host=HOST)
    async with listener:
        port = listener.socket.getsockname()[1]
        client = await trio.open_tcp_stream(HOST, port)
        server = await listener.accept()
        async with client, server:
            a, b = LengthPrefixedStream(client), LengthPrefixedStream(server)
            yield Channel(a.send, b.receive, b.send, a.receive)


@asynccontextmanager
async def mailer() -> AsyncIterator[Channel]:
    """Open a channel of ``Mailer`` over ``NngLink``, which batches messages."""
    mailers = [Mailer(NngLink(HOST, 0)) for _ in range(2)]
    directions = []
    async with trio.open_nursery() as nursery:
        for one, other in (mailers, reversed(mailers)):
            nursery.start_soon(one.run)
            await one.link.wait_open()
            directions += _mailer_direction(one, other)
        yield Channel(*directions)
        nursery.cancel_scope.cancel()


def _mailer_direction(sender: Mailer, receiver: Mailer) -> tuple[Send, Receive]:
    put, got = trio.open_memory_channel[bytes](BURST_MESSAGES)
    receiver.handler = lambda _, message: put.send_nowait(message.entry)

    async def send(payload: bytes) -> None:
        sender.post(LinkAddress(receiver.link.address), Detach(payload.decode()))

    return send, got.receive


async def one_at_a_time(channel: Channel) -> int:
    """Carry one message each way, in turn; return the number of messages."""
    await channel.send(PAYLOAD)
    await channel.receive()
    await channel.send_back(PAYLOAD)
    await channel.receive_back()
    return 2


async def in_bursts(channel: Channel) -> int:
    """Carry a burst one way, sending and receiving concurrently; return its size."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_burst, channel)
        for _ in range(BURST_MESSAGES):
            await channel.receive()
    return BURST_MESSAGES


async def _send_burst(channel: Channel) -> None:
    for _ in range(BURST_MESSAGES):
        await channel.send(PAYLOAD)


async def measure(
    channel: Channel, load: Callable[[Channel], Awaitable[int]]
) -> Figures:
    """Repeat a load for ``MEASURE_SECONDS`` after a warm-up."""
    for _ in range(WARM_UP_ROUNDS):
        await load(channel)
    messages = 0
    cpu, wall = time.process_time(), time.perf_counter()
    while time.perf_counter() - wall < MEASURE_SECONDS:
        messages += await load(channel)
    cpu, wall = time.process_time() - cpu, time.perf_counter() - wall
    return Figures(messages, cpu / messages * 1e6, wall / messages * 1e6)


CHANNELS: list[Callable[[], AbstractAsyncContextManager[Channel]]] = [
    pair1_async,
    push_pull_async,
    push_pull_descriptors,
    trio_tcp,
    mailer,
]
LOADS = [one_at_a_time, in_bursts]


async def measure_all() -> None:
    """Measure each channel under each load and print the figures."""
    click.echo(f"{'way':22} {'load':14} {'messages':>8} {'cpu us':>7} {'wall us':>8}")
    for open_channel in CHANNELS:
        for load in LOADS:
            async with open_channel() as channel:
                got = await measure(channel, load)
            click.echo(
                f"{open_channel.__name__:22} {load.__name__:14} {got.messages:8}"
                f" {got.cpu_us:7.1f} {got.wall_us:8.1f}"
            )


if __name__ == "__main__":
    trio.run(measure_all)
