"""A link over UDP: one socket for all peers, and no connections.

Load it answers: hundreds of peers that exchange small messages several times a second,
and that all start anew at once. There is nothing to connect, so a peer that comes back
is reached with the first message, and one that is away costs a datagram.
"""

import random
import socket
import struct
from collections import OrderedDict
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.receive_turns import ReceiveTurns

SCHEME = "udp://"

PART_BYTES = 8192
"""Of a payload in one datagram; a larger payload travels in parts, and is lost with any
of them. Most messages have a few hundred bytes; a configuration has up to 256 kB."""

MOST_PARTS = 128
"""Of one payload, 1 MiB: four times the largest configuration."""

MOST_PARTIAL = 64
"""Payloads of which parts are missing; beyond it the oldest are dropped, as a part of
each was lost."""

RECEIVE_BUFFER_BYTES = 1 << 20
"""Asked of the kernel: what 200 peers send while this process waits for its turn."""

SEND_TIMEOUT = 0.1
"""Seconds that a send waits for room in the kernel's buffer; what it carries is sent
again by then, as it is when a datagram is lost."""

HEADER = struct.Struct("!IHH")
"""Number of the payload, index of the part, number of parts."""

NUMBERS = 1 << 32

SENT = Ok(None)
"""Made once, as it would be made for each payload."""


@dataclass
class Partial:
    """A payload of which parts are missing."""

    count: int
    parts: dict[int, bytes] = field(default_factory=dict)

    def whole(self) -> bytes | None:
        """Return the payload once no part is missing."""
        if len(self.parts) < self.count:
            return None
        return b"".join(self.parts[index] for index in range(self.count))


class Assembly:
    """Puts payloads together from their parts.

    Attributes:
        partial: By sender and number, the oldest first.
    """

    def __init__(self):
        self.partial: OrderedDict[tuple, Partial] = OrderedDict()

    def take(self, sender: tuple, datagram: bytes) -> bytes | None:
        """Take a datagram; return a payload if that is whole now."""
        if len(datagram) < HEADER.size:
            return None
        number, index, count = HEADER.unpack_from(datagram)
        part = datagram[HEADER.size :]
        if count == 1:
            return part
        if not index < count <= MOST_PARTS:
            return None
        return self._add((sender, number, count), index, part)

    def _add(self, key: tuple, index: int, part: bytes) -> bytes | None:
        partial = self.partial.setdefault(key, Partial(key[-1]))
        partial.parts[index] = part
        payload = partial.whole()
        if payload is not None:
            del self.partial[key]
        elif len(self.partial) > MOST_PARTIAL:
            self.partial.popitem(last=False)
        return payload


class DatagramLink:
    """A ``Link`` over UDP. Payloads may be lost, doubled, or overtake each other.

    Attributes:
        address: Where this process receives; final once the link is open.
        numbers: Number of the next payload; a new process begins at random, so that
            its parts are not taken for those of the one before.
        dropped: Payloads that the kernel had no room for, or no way to the peer.
    """

    def __init__(self, host: str, port: int, rng: random.Random | None = None):
        self.host = host
        self.port = port
        self.address = LinkAddress(f"{SCHEME}{host}:{port}")
        self.socket: socket.socket | None = None
        self.opened = trio.Event()
        self.numbers = (rng or random.Random()).randrange(NUMBERS)
        self.peers: dict[LinkAddress, tuple[str, int]] = {}
        self.assembly = Assembly()
        self.dropped = 0
        self.turns = ReceiveTurns()

    async def run(self) -> None:
        """Open the link and serve it until cancelled.

        Raises:
            BergamotcourseError: The address cannot be received on.
        """
        self._open()
        try:
            await trio.sleep_forever()
        finally:
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()

    async def wait_open(self) -> None:
        """Return once the link receives; ``address`` is then final."""
        await self.opened.wait()

    async def send(self, peer: LinkAddress, payload: bytes) -> Result[None, StepError]:
        """Hand a payload to the kernel.

        An error means that not all of the payload was sent, so it does not arrive.
        """
        try:
            for datagram in self._datagrams(payload):
                await self._send_datagram(datagram, self._where(peer))
        except (OSError, ValueError) as error:
            self.dropped += 1
            return Error(StepError(Step.SEND, peer, str(error)))
        return SENT

    async def receive(self) -> bytes:
        """Return the next payload received from any peer.

        Only one task may receive at a time.

        Raises:
            trio.ClosedResourceError: The link has ended.
        """
        if not self.opened.is_set():
            await self.opened.wait()
        await self.turns.take()
        while True:
            payload = self._receive_now()
            if payload is not None:
                return payload
            self.turns.end()
            await trio.lowlevel.wait_readable(self.socket)

    def forget(self, peer: LinkAddress) -> None:
        """Forget where a peer is; nothing is held for it."""
        self.peers.pop(peer, None)

    def _open(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            self.socket.bind((self.host, self.port))
        except OSError as error:
            self.socket.close()
            fault = StepError(Step.CONNECT, self.address, str(error))
            raise BergamotcourseError(fault) from error
        self.port = self.socket.getsockname()[1]
        self.address = LinkAddress(f"{SCHEME}{self.host}:{self.port}")
        self.opened.set()

    def _where(self, peer: LinkAddress) -> tuple[str, int]:
        where = self.peers.get(peer)
        if where is None:
            where = self.peers[peer] = ip_endpoint(peer)
        return where

    def _datagrams(self, payload: bytes) -> list[bytes]:
        count = max(1, -(-len(payload) // PART_BYTES))
        if count > MOST_PARTS:
            raise ValueError(f"{len(payload)} bytes, at most {MOST_PARTS * PART_BYTES}")
        number = self.numbers
        self.numbers = (number + 1) % NUMBERS
        return [
            HEADER.pack(number, index, count)
            + payload[index * PART_BYTES : (index + 1) * PART_BYTES]
            for index in range(count)
        ]

    async def _send_datagram(self, datagram: bytes, where: tuple[str, int]) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            self.socket.sendto(datagram, where)
        except BlockingIOError:
            with trio.move_on_after(SEND_TIMEOUT):
                await trio.lowlevel.wait_writable(self.socket)
            self.socket.sendto(datagram, where)

    def _receive_now(self) -> bytes | None:
        """Return a payload that is there, or ``None`` if there is none."""
        while True:
            try:
                datagram, sender = self.socket.recvfrom(PART_BYTES + HEADER.size)
            except BlockingIOError:
                return None
            except OSError:
                if self.socket.fileno() < 0:
                    raise trio.ClosedResourceError from None
                # A datagram sent before found nobody there; the next call goes on.
                continue
            payload = self.assembly.take(sender, datagram)
            if payload is not None:
                return payload


def ip_endpoint(peer: LinkAddress) -> tuple[str, int]:
    """Return the IP number and the port of a peer.

    Raises:
        ValueError: It is not an address of this link.
    """
    host, separator, port = peer.removeprefix(SCHEME).rpartition(":")
    if not peer.startswith(SCHEME) or not separator:
        raise ValueError(f"not an address of this link: {peer!r}")
    return host, int(port)
