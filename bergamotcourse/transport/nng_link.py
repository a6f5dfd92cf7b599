"""A link over nng: one listening Pull socket, and one Push socket for each peer.

The sockets are driven from trio by their readiness descriptors. The asynchronous
calls of pynng pass each message through a thread of nng, which costs several times
the processor time (docs/design/links.md has the figures).
"""

import select
from dataclasses import dataclass, field

import pynng
import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.receive_turns import ReceiveTurns

SCHEME = "tcp://"

SEND_TIMEOUT = 1.0
"""Seconds that a send waits for room in the buffer of its peer."""

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

SENT = Ok(None)
"""Made once, as it would be made for each payload."""


THREADS = {
    "TASK": 2,
    "EXPIRE": 1,
    "POLLER": 1,
    "RESOLVER": 1,
}
"""Threads of nng, by what they do; by itself it starts more the more cores there are,
and messages then wander between them."""


def limit_threads() -> None:
    """Bound the threads of nng; of use only before its first socket is made."""
    for name, count in THREADS.items():
        for bound in ("NUM", "MAX"):
            # There is no bound for the resolvers, only their number.
            parameter = getattr(pynng.lib, f"NNG_INIT_{bound}_{name}_THREADS", None)
            if parameter is not None:
                pynng.lib.nng_init_set_parameter(parameter, count)


limit_threads()


@dataclass
class Peer:
    """The sending side towards one peer.

    Attributes:
        lock: Keeps senders in order, and one at a time on the descriptor.
    """

    socket: pynng.Push0
    lock: trio.Lock = field(default_factory=trio.Lock)
    send_fd: int | None = None

    def try_send(self, payload: bytes) -> bool:
        """Send a payload if there is room for it."""
        try:
            self.socket.send(payload, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def wait_room(self) -> None:
        """Return when the socket may have room for a payload."""
        if self.send_fd is None:
            self.send_fd = self.socket.send_fd
        await trio.lowlevel.wait_readable(self.send_fd)

    def close(self) -> None:
        """Close the socket; a sender that waits gets an error."""
        if self.send_fd is not None:
            trio.lowlevel.notify_closing(self.send_fd)
        self.socket.close()


class NngLink:
    """A ``Link`` over nng.

    A payload that waits in the buffer of an absent peer is delivered when the peer
    comes back, however late, unless the peer is forgotten before. What nng and the
    kernel still hold when the link closes may be lost.

    Attributes:
        address: Where this process receives; final once the link is open.
        buffer: Payloads held for each peer beside those in the kernel's buffers.
        message_bytes: Larger payloads are refused by the sender, and by the
            receiver, which closes the connection they come on.
        reconnect_ms: Longest pause before a peer that is away is tried again.
    """

    def __init__(
        self,
        host: str,
        port: int,
        buffer: int = 64,
        message_bytes: int = 8 << 20,
        reconnect_ms: int = RECONNECT_MAX_MS,
    ):
        self.host = host
        self.address = LinkAddress(f"{SCHEME}{host}:{port}")
        self.buffer = buffer
        self.message_bytes = message_bytes
        self.reconnect_ms = reconnect_ms
        self.peers: dict[LinkAddress, Peer] = {}
        self.socket: pynng.Pull0 | None = None
        self.receive_fd = -1
        self.poll = select.poll()
        self.opened = trio.Event()
        self.turns = ReceiveTurns()

    async def run(self) -> None:
        """Open the link and serve it until cancelled.

        Raises:
            BergamotcourseError: The address cannot be listened on.
        """
        self._open()
        try:
            await trio.sleep_forever()
        finally:
            self._close()

    async def wait_open(self) -> None:
        """Return once the link receives; ``address`` is then final."""
        await self.opened.wait()

    async def send(self, peer: LinkAddress, payload: bytes) -> Result[None, StepError]:
        """Hand a payload to nng, waiting a bounded time while its buffer is full.

        An error, or a cancellation, means that the payload was not sent.
        """
        if len(payload) > self.message_bytes:
            detail = f"{len(payload)} bytes, at most {self.message_bytes}"
            return Error(StepError(Step.SEND, peer, detail))
        try:
            sent = await self._send(self._peer(peer), payload)
        except (pynng.NNGException, trio.ClosedResourceError, ValueError) as error:
            return Error(StepError(Step.SEND, peer, str(error) or "closed"))
        if not sent:
            detail = f"buffer full for {SEND_TIMEOUT} s"
            return Error(StepError(Step.SEND, peer, detail))
        return SENT

    async def receive(self) -> bytes:
        """Return the next payload received from any peer.

        Only one task may receive at a time.
        """
        if not self.opened.is_set():
            await self.opened.wait()
        await self.turns.take()
        while True:
            # To ask the descriptor costs a tenth of a call that finds nothing.
            if self.poll.poll(0):
                try:
                    return self._receive_now()
                except pynng.TryAgain:
                    pass
            self.turns.end()
            await trio.lowlevel.wait_readable(self.receive_fd)

    def forget(self, peer: LinkAddress) -> None:
        """Close the socket to a peer; what its buffer holds is lost."""
        side = self.peers.pop(peer, None)
        if side is not None:
            side.close()

    def _open(self) -> None:
        socket = pynng.Pull0(recv_max_size=self.message_bytes)
        try:
            listener = socket.listen(self.address)
        except pynng.NNGException as error:
            socket.close()
            fault = StepError(Step.CONNECT, self.address, str(error))
            raise BergamotcourseError(fault) from error
        self.address = LinkAddress(f"{SCHEME}{listener.local_address}")
        self.socket = socket
        self.receive_fd = socket.recv_fd
        self.poll.register(self.receive_fd, select.POLLIN)
        self.opened.set()

    def _close(self) -> None:
        for peer in list(self.peers):
            self.forget(peer)
        trio.lowlevel.notify_closing(self.receive_fd)
        self.socket.close()

    def _peer(self, peer: LinkAddress) -> Peer:
        if peer not in self.peers:
            self.peers[peer] = Peer(self._dial(peer))
        return self.peers[peer]

    def _dial(self, peer: LinkAddress) -> pynng.Push0:
        if not peer.startswith(SCHEME):
            raise ValueError(f"not an address of this link: {peer!r}")
        socket = pynng.Push0(
            send_buffer_size=self.buffer,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=self.reconnect_ms,
        )
        try:
            socket.dial(peer, block=False)
        except (pynng.NNGException, ValueError):
            socket.close()
            raise
        return socket

    async def _send(self, side: Peer, payload: bytes) -> bool:
        await trio.lowlevel.checkpoint_if_cancelled()
        # Taking the lock costs a turn of the scheduler, so only those wait for it
        # that come after a sender that waits for room.
        if not side.lock.locked() and side.try_send(payload):
            return True
        async with side.lock:
            return await self._send_once_there_is_room(side, payload)

    async def _send_once_there_is_room(self, side: Peer, payload: bytes) -> bool:
        if side.try_send(payload):
            return True
        with trio.move_on_after(SEND_TIMEOUT):
            while True:
                await side.wait_room()
                if side.try_send(payload):
                    return True
        return False

    def _receive_now(self) -> bytes:
        try:
            return self.socket.recv(block=False)
        except RuntimeError:
            # pynng cannot unpack a message of no bytes, which anyone may send.
            return b""
