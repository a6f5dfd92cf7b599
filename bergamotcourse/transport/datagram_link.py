"""A link over UDP: one socket for all peers, and no connections.

It is meant for hundreds of peers that exchange small messages several times a second
and may all restart at once. There is no connection to establish, so a restarted peer is
reached with the first message, and an unreachable one costs one datagram.
"""

import ipaddress
import random
import re
import socket
import struct
from collections import OrderedDict
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.receive_turns import ReceiveBudget

SCHEME = "udp://"

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535

FRAGMENT_BYTES = 8192
"""Bytes of a payload in one datagram. A larger payload is split into fragments and is
lost if any of them is lost. Most messages have a few hundred bytes; a configuration has
up to 256 kB."""

MAX_FRAGMENTS = 128
"""Fragments of one payload, together 1 MiB: four times the largest configuration."""

MAX_PARTIAL_PAYLOADS = 64
"""Incomplete payloads kept for reassembly; above it the oldest is dropped, as one of
its fragments was lost."""

RECEIVE_BUFFER_BYTES = 1 << 20
"""Size of the socket's receive buffer: it holds what 200 peers send while this process
waits to be scheduled."""

SEND_TIMEOUT_SECONDS = 0.1
"""Longest wait for space in the kernel's send buffer; by then the layer above
retransmits the message, as it does when a datagram is lost."""

FRAGMENT_HEADER = struct.Struct("!IHH")
"""Number of the payload, index of the fragment, number of fragments."""

PAYLOAD_NUMBERS = 1 << 32
"""Payload numbers wrap around to 0 at this value."""

SENT = Ok(None)
"""Shared result of each successful send, to save an allocation for each payload."""


@dataclass
class PartialPayload:
    """A payload of which fragments are missing."""

    count: int
    fragments: dict[int, bytes] = field(default_factory=dict)

    def join_if_complete(self) -> bytes | None:
        """Return the payload, or ``None`` while a fragment is missing."""
        if len(self.fragments) < self.count:
            return None
        return b"".join(self.fragments[index] for index in range(self.count))


class PayloadReassembler:
    """Reassembles payloads from their fragments.

    Attributes:
        partial: Incomplete payloads by sender, payload number and number of fragments,
            the oldest first.
    """

    def __init__(self):
        self.partial: OrderedDict[tuple, PartialPayload] = OrderedDict()

    def add_fragment(self, sender: tuple, datagram: bytes) -> bytes | None:
        """Add a fragment; return its payload if that is now complete.

        Malformed datagrams are dropped.
        """
        if len(datagram) < FRAGMENT_HEADER.size:
            return None
        number, index, count = FRAGMENT_HEADER.unpack_from(datagram)
        fragment = datagram[FRAGMENT_HEADER.size :]
        if count == 1:
            return fragment
        if not index < count <= MAX_FRAGMENTS:
            return None
        return self._add((sender, number, count), index, fragment)

    def _add(self, key: tuple, index: int, fragment: bytes) -> bytes | None:
        partial = self.partial.setdefault(key, PartialPayload(key[-1]))
        partial.fragments[index] = fragment
        payload = partial.join_if_complete()
        if payload is not None:
            del self.partial[key]
        elif len(self.partial) > MAX_PARTIAL_PAYLOADS:
            self.partial.popitem(last=False)
        return payload


class DatagramLink:
    """A ``Link`` over UDP; payloads may be lost, duplicated or reordered.

    Attributes:
        address: Address on which this process receives; final once the link is open.
        next_number: Number of the next payload. It starts at random, so that the
            fragments of a restarted process are not mixed with those of its
            predecessor.
        dropped: Payloads that could not be sent, because the kernel's buffer was full,
            the peer was unreachable, or the address or the size was invalid.
    """

    def __init__(self, host: str, port: int, rng: random.Random | None = None):
        self.host = host
        self.port = port
        self.address = LinkAddress(f"{SCHEME}{host}:{port}")
        self.socket: socket.socket | None = None
        self.opened = trio.Event()
        self.next_number = (rng or random.Random()).randrange(PAYLOAD_NUMBERS)
        self.peers: dict[LinkAddress, tuple[str, int]] = {}
        self.reassembler = PayloadReassembler()
        self.dropped = 0
        self.receive_budget = ReceiveBudget()

    async def run(self) -> None:
        """Open the link and serve it until cancelled.

        Raises:
            BergamotcourseError: The address cannot be bound.
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
        """Send a payload as one or more datagrams.

        An error means that not all fragments were sent, so the payload does not arrive.
        """
        try:
            for datagram in self._datagrams(payload):
                await self._send_datagram(datagram, self._resolve(peer))
        except (OSError, ValueError) as error:
            self.dropped += 1
            return Error(StepError(Step.SEND, peer, str(error)))
        return SENT

    async def receive(self) -> bytes:
        """Return the next payload received from any peer.

        Only one task may receive at a time.

        Raises:
            trio.ClosedResourceError: The link is closed.
        """
        if not self.opened.is_set():
            await self.opened.wait()
        await self.receive_budget.spend()
        while True:
            payload = self._try_receive()
            if payload is not None:
                return payload
            self.receive_budget.reset()
            await trio.lowlevel.wait_readable(self.socket)

    def backlog_seconds(self) -> float:
        """Return for how long there have been payloads to receive without a break."""
        return self.receive_budget.backlog_seconds(trio.current_time())

    def forget(self, peer: LinkAddress) -> None:
        """Drop the parsed address of a peer; no other resource is held for it."""
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

    def _resolve(self, peer: LinkAddress) -> tuple[str, int]:
        endpoint = self.peers.get(peer)
        if endpoint is None:
            endpoint = self.peers[peer] = parse_endpoint(peer)
        return endpoint

    def _datagrams(self, payload: bytes) -> list[bytes]:
        count = max(1, -(-len(payload) // FRAGMENT_BYTES))
        if count > MAX_FRAGMENTS:
            raise ValueError(
                f"{len(payload)} bytes, at most {MAX_FRAGMENTS * FRAGMENT_BYTES}"
            )
        number = self.next_number
        self.next_number = (number + 1) % PAYLOAD_NUMBERS
        return [
            FRAGMENT_HEADER.pack(number, index, count)
            + payload[index * FRAGMENT_BYTES : (index + 1) * FRAGMENT_BYTES]
            for index in range(count)
        ]

    async def _send_datagram(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            self.socket.sendto(datagram, endpoint)
        except BlockingIOError:
            with trio.move_on_after(SEND_TIMEOUT_SECONDS):
                await trio.lowlevel.wait_writable(self.socket)
            self.socket.sendto(datagram, endpoint)

    def _try_receive(self) -> bytes | None:
        """Return a payload without waiting, or ``None`` if none is complete."""
        while True:
            try:
                datagram, sender = self.socket.recvfrom(
                    FRAGMENT_BYTES + FRAGMENT_HEADER.size
                )
            except BlockingIOError:
                return None
            except OSError:
                if self.socket.fileno() < 0:
                    raise trio.ClosedResourceError from None
                # An earlier datagram was sent to a closed port, which the kernel
                # reports here. The next call continues to receive.
                continue
            payload = self.reassembler.add_fragment(sender, datagram)
            if payload is not None:
                return payload


def parse_endpoint(peer: LinkAddress) -> tuple[str, int]:
    """Return the IP address and the port of a peer.

    Raises:
        ValueError: The address is not of the form ``udp://IP:PORT``. A host name isn't
            accepted, as the socket would look it up and block.
    """
    host, _, port = peer.removeprefix(SCHEME).rpartition(":")
    if not peer.startswith(SCHEME) or not PORT_PATTERN.fullmatch(port):
        raise ValueError(f"not an address of this link: {peer!r}")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port is out of range: {peer!r}")
    return str(ipaddress.IPv4Address(host)), int(port)
