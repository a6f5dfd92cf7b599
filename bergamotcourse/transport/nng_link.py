"""A link over nng: one listening Pull socket, and one Push socket for each peer.

The sockets are driven from trio through their readiness file descriptors. The
asynchronous calls of pynng pass each message through a thread of nng, which costs
several times the CPU time (docs/design/links.md has the figures).
"""

import select
from dataclasses import dataclass, field

import pynng
import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.receive_turns import ReceiveBudget

SCHEME = "tcp://"

SEND_TIMEOUT_SECONDS = 1.0
"""Longest wait for space in the send buffer of a peer."""

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

SENT = Ok(None)
"""Shared result of each successful send, to save an allocation for each payload."""


NNG_THREADS = {
    "TASK": 2,
    "EXPIRE": 1,
    "POLLER": 1,
    "RESOLVER": 1,
}
"""Threads of nng by their role. By default nng starts more threads on more cores, and
messages then move between cores."""


def limit_threads() -> None:
    """Limit the threads of nng; has no effect after its first socket was created."""
    for name, count in NNG_THREADS.items():
        for bound in ("NUM", "MAX"):
            # nng has no maximum for resolver threads, only their number.
            parameter = getattr(pynng.lib, f"NNG_INIT_{bound}_{name}_THREADS", None)
            if parameter is not None:
                pynng.lib.nng_init_set_parameter(parameter, count)


limit_threads()


@dataclass
class PeerSocket:
    """The Push socket that sends to one peer.

    Attributes:
        lock: Serves waiting senders in order, and lets only one at a time wait on the
            descriptor.
        send_fd: Descriptor that is readable while the socket can send; looked up by the
            first sender that has to wait.
    """

    socket: pynng.Push0
    lock: trio.Lock = field(default_factory=trio.Lock)
    send_fd: int | None = None

    def try_send(self, payload: bytes) -> bool:
        """Send a payload if the buffer has space; return whether it was sent."""
        try:
            self.socket.send(payload, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def wait_writable(self) -> None:
        """Return when the buffer may have space for a payload."""
        if self.send_fd is None:
            self.send_fd = self.socket.send_fd
        await trio.lowlevel.wait_readable(self.send_fd)

    def close(self) -> None:
        """Close the socket; a waiting sender gets ``trio.ClosedResourceError``."""
        if self.send_fd is not None:
            trio.lowlevel.notify_closing(self.send_fd)
        self.socket.close()


class NngLink:
    """A ``Link`` over nng.

    A payload buffered for an unreachable peer is delivered when the peer returns,
    however late, unless ``forget`` is called for the peer before. Payloads that nng and
    the kernel still buffer when the link closes may be lost.

    Attributes:
        address: Address on which this process receives; final once the link is open.
        buffer: Payloads buffered for each peer, besides those in the kernel's buffers.
        message_bytes: Largest payload. A larger one is refused by the sender, and by
            the receiver, which closes the connection it came on.
        reconnect_ms: Upper limit of the backoff between attempts to reconnect.
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
        self.peers: dict[LinkAddress, PeerSocket] = {}
        self.socket: pynng.Pull0 | None = None
        self.receive_fd = -1
        self.poll = select.poll()
        self.opened = trio.Event()
        self.receive_budget = ReceiveBudget()

    async def run(self) -> None:
        """Open the link and serve it until cancelled.

        Raises:
            BergamotcourseError: The link cannot listen on the address.
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
        """Pass a payload to nng; wait up to a timeout while its buffer is full.

        After an error or a cancellation the payload was not sent.
        """
        if len(payload) > self.message_bytes:
            detail = f"{len(payload)} bytes, at most {self.message_bytes}"
            return Error(StepError(Step.SEND, peer, detail))
        try:
            sent = await self._send(self._get_or_dial(peer), payload)
        except (pynng.NNGException, trio.ClosedResourceError, ValueError) as error:
            return Error(StepError(Step.SEND, peer, str(error) or "closed"))
        if not sent:
            detail = f"buffer full for {SEND_TIMEOUT_SECONDS} s"
            return Error(StepError(Step.SEND, peer, detail))
        return SENT

    async def receive(self) -> bytes:
        """Return the next payload received from any peer.

        Only one task may receive at a time.
        """
        if not self.opened.is_set():
            await self.opened.wait()
        await self.receive_budget.spend()
        while True:
            # Polling the descriptor costs a tenth of a receive call without a message.
            if self.poll.poll(0):
                try:
                    return self._try_receive()
                except pynng.TryAgain:
                    pass
            self.receive_budget.reset()
            await trio.lowlevel.wait_readable(self.receive_fd)

    def backlog_seconds(self) -> float:
        """Return for how long there have been payloads to receive without a break."""
        return self.receive_budget.backlog_seconds(trio.current_time())

    def forget(self, peer: LinkAddress) -> None:
        """Close the socket to a peer; the payloads in its buffer are lost."""
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

    def _get_or_dial(self, peer: LinkAddress) -> PeerSocket:
        if peer not in self.peers:
            self.peers[peer] = PeerSocket(self._dial(peer))
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

    async def _send(self, side: PeerSocket, payload: bytes) -> bool:
        await trio.lowlevel.checkpoint_if_cancelled()
        # Acquiring the lock yields to the scheduler, so it is done only when another
        # sender waits or the buffer is full.
        if not side.lock.locked() and side.try_send(payload):
            return True
        async with side.lock:
            return await self._send_when_writable(side, payload)

    async def _send_when_writable(self, side: PeerSocket, payload: bytes) -> bool:
        if side.try_send(payload):
            return True
        with trio.move_on_after(SEND_TIMEOUT_SECONDS):
            while True:
                await side.wait_writable()
                if side.try_send(payload):
                    return True
        return False

    def _try_receive(self) -> bytes:
        try:
            return self.socket.recv(block=False)
        except RuntimeError:
            # pynng cannot decode an empty message, which any client may send.
            return b""
