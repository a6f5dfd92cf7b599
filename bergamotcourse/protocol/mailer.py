"""Messages over a link: batching, requests with replies, and counters.

Each peer has an outbox and a task that sends the queued messages in one envelope. A
message that is posted to an empty outbox is sent at once; messages that are posted
during a send form the next batch.
"""

import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.messages import (
    SCHEMA_VERSION,
    Answer,
    AnyMessage,
    BarReply,
    ClaimRefused,
    ConfigHave,
    ConfigPart,
    ConfigRecords,
    Envelope,
    FinishedReply,
    Granted,
    JobReply,
    Joined,
    Promise,
    StartLogReply,
    decode_or_error,
    encode,
)
from bergamotcourse.transport.link import Link

PEER_IDLE_TIMEOUT_SECONDS = 60.0
"""Seconds without a message to a peer after which its state is evicted."""

REQUEST_ID_BITS = 62
"""Request ids count up from a random number of at most this many bits, so that a reply
to an earlier process at the same address matches no request of this process."""

REPLY_TYPES = (
    StartLogReply,
    BarReply,
    Granted,
    Joined,
    ClaimRefused,
    FinishedReply,
    Answer,
    Promise,
    ConfigRecords,
    ConfigPart,
    ConfigHave,
    JobReply,
)

RequestResult = Result[AnyMessage, StepError]

_message_encoder = msgspec.msgpack.Encoder()
"""Encodes messages one by one, because the size of a batch is limited in bytes."""


@dataclass
class Counters:
    """Counts since the mailer was created.

    Attributes:
        sent: Messages that the link accepted, by type name.
        received: Messages received, by type name.
        batches_sent: Envelopes that the link accepted.
        batches_received: Envelopes received.
        bytes_sent: Bytes of the envelopes that the link accepted.
        bytes_by_peer: The same by receiver, for peers that are not idle.
        bytes_received: Bytes received, including undecodable payloads.
        dropped: Messages that were certainly not sent, for example because the outbox
            was full, the link refused them, or the peer was forgotten.
        undecodable: Payloads received that are not a valid envelope.
        late_replies: Replies received for which no request is pending.
    """

    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    batches_sent: int = 0
    batches_received: int = 0
    bytes_sent: int = 0
    bytes_by_peer: Counter[LinkAddress] = field(default_factory=Counter)
    bytes_received: int = 0
    dropped: int = 0
    undecodable: int = 0
    late_replies: int = 0


@dataclass
class Outbox:
    """The queue of messages to one peer.

    Attributes:
        waiting: Messages that are not sent yet, in order.
        changed: Where the peer's send loop waits for a message.
        scope: Cancels the peer's send loop.
        sending: True while the link is sending a batch.
        idle_since: When the last send ended, on trio's clock.
    """

    waiting: deque[AnyMessage] = field(default_factory=deque)
    changed: trio.lowlevel.ParkingLot = field(default_factory=trio.lowlevel.ParkingLot)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    sending: bool = False
    idle_since: float = 0.0

    def put(self, message: AnyMessage) -> None:
        """Queue a message and wake the peer's send loop."""
        self.waiting.append(message)
        self.changed.unpark()

    def withdraw(self, message: AnyMessage) -> bool:
        """Remove a queued message; return false if it is no longer queued."""
        for index, other in enumerate(self.waiting):
            if other is message:
                del self.waiting[index]
                return True
        return False

    def clear(self) -> list[AnyMessage]:
        """Remove and return all queued messages."""
        messages = list(self.waiting)
        self.waiting.clear()
        return messages

    async def wait(self) -> None:
        """Wait until a message is queued."""
        while not self.waiting:
            await self.changed.park()

    def idle_deadline(self, now: float) -> float:
        """Return when the peer is evicted unless a message is posted before."""
        busy = self.waiting or self.sending
        return (now if busy else self.idle_since) + PEER_IDLE_TIMEOUT_SECONDS


@dataclass
class PendingRequest:
    """A request in flight.

    Attributes:
        done: Set once there is a result.
        result: The reply or the error.
    """

    peer: LinkAddress
    message: AnyMessage
    done: trio.Event = field(default_factory=trio.Event)
    result: RequestResult | None = None

    def complete(self, result: RequestResult) -> None:
        """Set the result, unless there is one already, and wake the requester."""
        if self.result is None:
            self.result = result
            self.done.set()

    def fail(self, step: Step, detail: str) -> None:
        """Complete the request with an error."""
        self.complete(Error(StepError(step, self.peer, detail)))


class Mailer:
    """Sends and receives messages over a link.

    Attributes:
        outbox: Maximum number of messages queued for each peer.
        batch: Maximum number of messages in one envelope.
        batch_bytes: Maximum size of the messages in one envelope; a larger message is
            sent in an envelope of its own.
        config_version: The version of the configuration in force, which is sent with
            each envelope.
        handler: Called for each received message that is not a reply, in order. It
            must not block.
        on_failed: Called with a message whose handler raised an exception, and with the
            exception, which then ends nothing else; ``None`` lets it end ``run``.
        on_envelope: Called for each received envelope, before its messages.
        on_unsent: Called with messages that ``post`` accepted and that were certainly
            not sent.
        counters: Counts of messages, envelopes and bytes.
        outboxes: The outbox of each peer that is not idle.
        pending: The requests in flight, by request id.
        batch_finished: Where ``drain`` waits for the end of a send.
    """

    def __init__(
        self,
        link: Link,
        outbox: int = 4096,
        batch: int = 256,
        batch_bytes: int = 1 << 20,
        rng: random.Random | None = None,
    ):
        self.link = link
        self.outbox = outbox
        self.batch = batch
        self.batch_bytes = batch_bytes
        self.config_version = ConfigVersion(0)
        self.handler: Callable[[LinkAddress, AnyMessage], None] = _discard_message
        self.on_failed: Callable[[LinkAddress, AnyMessage, Exception], None] | None = (
            None
        )
        self.on_envelope: Callable[[Envelope], None] | None = None
        self.on_unsent: Callable[[LinkAddress, list[AnyMessage]], None] | None = None
        self.counters = Counters()
        self.outboxes: dict[LinkAddress, Outbox] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.nursery: trio.Nursery | None = None
        self.closed = False
        self.batch_finished = trio.lowlevel.ParkingLot()
        first_id = (rng or random.Random()).getrandbits(REQUEST_ID_BITS)
        self.request_ids = itertools.count(first_id)

    async def run(self) -> None:
        """Run the link, the receive loop and the send loops until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.link.run)
                await self.link.wait_open()
                self.nursery = nursery
                nursery.start_soon(self._drop_idle_peers)
                for peer, outbox in self.outboxes.items():
                    nursery.start_soon(self._run_send_loop, peer, outbox)
                await self._run_receive_loop()
        finally:
            self.closed = True

    def post(self, peer: LinkAddress, message: AnyMessage) -> bool:
        """Queue a message.

        Returns:
            False if the message will certainly not be sent. True does not promise
            delivery: only a reply proves that a message arrived.
        """
        if self.closed:
            self.counters.dropped += 1
            return False
        outbox = self._get_or_create_outbox(peer)
        if len(outbox.waiting) >= self.outbox:
            self.counters.dropped += 1
            return False
        outbox.put(message)
        return True

    async def request(
        self,
        peer: LinkAddress,
        build_message: Callable[[int], AnyMessage],
        timeout: float,
    ) -> RequestResult:
        """Send a message and return the reply to it.

        Args:
            peer: The address of the receiver.
            build_message: Returns the message with the given request id.
            timeout: Seconds to wait for the reply.

        Returns:
            The reply; or an error of step ``SEND`` if the message was certainly not
            sent, or of step ``RECEIVE`` if it may have been sent.
        """
        request_id = next(self.request_ids)
        request = PendingRequest(peer, build_message(request_id))
        if not self.post(peer, request.message):
            return Error(StepError(Step.SEND, peer, "outbox full or closed"))
        self.pending[request_id] = request
        try:
            with trio.move_on_after(timeout):
                await request.done.wait()
        finally:
            del self.pending[request_id]
        self._time_out(request, timeout)
        return request.result

    async def drain(self, timeout: float) -> bool:
        """Wait until the link has taken all posted messages.

        The link may still buffer them: only a reply proves that a message arrived.

        Args:
            timeout: In seconds.

        Returns:
            False if messages are still unsent after the timeout.
        """
        with trio.move_on_after(timeout):
            while self._has_unsent():
                await self.batch_finished.park()
        return not self._has_unsent()

    def forget(self, peer: LinkAddress) -> None:
        """Drop all state of a peer and fail the pending requests to it."""
        outbox = self.outboxes.pop(peer, None)
        self.counters.bytes_by_peer.pop(peer, None)
        self.link.forget(peer)
        if outbox is not None:
            outbox.scope.cancel()
            self._report_unsent(peer, outbox.clear(), "peer forgotten")
        for request in list(self.pending.values()):
            if request.peer == peer:
                request.fail(Step.RECEIVE, "peer forgotten")
        self.batch_finished.unpark_all()

    def _get_or_create_outbox(self, peer: LinkAddress) -> Outbox:
        outbox = self.outboxes.get(peer)
        if outbox is None:
            outbox = Outbox(idle_since=trio.current_time())
            self.outboxes[peer] = outbox
            if self.nursery is not None:
                self.nursery.start_soon(self._run_send_loop, peer, outbox)
        return outbox

    def _has_unsent(self) -> bool:
        return any(box.waiting or box.sending for box in self.outboxes.values())

    def _time_out(self, request: PendingRequest, timeout: float) -> None:
        if request.result is not None:
            return
        outbox = self.outboxes.get(request.peer)
        if outbox is not None and outbox.withdraw(request.message):
            self.counters.dropped += 1
            request.fail(Step.SEND, f"still in the outbox after {timeout} s")
        else:
            request.fail(Step.RECEIVE, f"no reply in {timeout} s")

    async def _run_send_loop(self, peer: LinkAddress, outbox: Outbox) -> None:
        with outbox.scope:
            while True:
                await outbox.wait()
                outbox.sending = True
                await self._send_batch(peer, outbox)
                outbox.sending = False
                outbox.idle_since = trio.current_time()
                self.batch_finished.unpark_all()

    async def _drop_idle_peers(self) -> None:
        """Evict the state of idle peers; one timer serves all of them."""
        while True:
            now = trio.current_time()
            times = [outbox.idle_deadline(now) for outbox in self.outboxes.values()]
            await trio.sleep_until(min(times, default=now + PEER_IDLE_TIMEOUT_SECONDS))
            self._drop_idle(trio.current_time())

    def _drop_idle(self, now: float) -> None:
        """Evict idle peers; the requests to them stay pending."""
        for peer, outbox in list(self.outboxes.items()):
            if outbox.idle_deadline(now) <= now:
                del self.outboxes[peer]
                self.counters.bytes_by_peer.pop(peer, None)
                outbox.scope.cancel()
                self.link.forget(peer)

    async def _send_batch(self, peer: LinkAddress, outbox: Outbox) -> None:
        messages, parts = self._pop_batch(peer, outbox)
        if not messages:
            return
        envelope = Envelope(
            SCHEMA_VERSION, self.link.address, self.config_version, parts
        )
        payload = encode(envelope)
        result = await self.link.send(peer, payload)
        match result:
            case Result(tag="ok"):
                self._count_sent(peer, messages, payload)
            case Result(error=error):
                self._report_unsent(peer, messages, error.detail)

    def _pop_batch(
        self, peer: LinkAddress, outbox: Outbox
    ) -> tuple[list[AnyMessage], list[msgspec.Raw]]:
        """Remove and return the next batch: its messages, and each of them encoded.

        Messages that cannot be encoded are reported as unsent.
        """
        messages: list[AnyMessage] = []
        parts: list[msgspec.Raw] = []
        size = 0
        while outbox.waiting and len(messages) < self.batch:
            message = outbox.waiting[0]
            try:
                part = _message_encoder.encode(message)
            except (ValueError, OverflowError) as error:
                outbox.waiting.popleft()
                self._report_unsent(peer, [message], str(error))
                continue
            size += len(part)
            if messages and size > self.batch_bytes:
                break
            outbox.waiting.popleft()
            messages.append(message)
            parts.append(msgspec.Raw(part))
        return messages, parts

    def _count_sent(
        self, peer: LinkAddress, messages: list[AnyMessage], payload: bytes
    ) -> None:
        counters = self.counters
        counters.batches_sent += 1
        counters.bytes_sent += len(payload)
        counters.bytes_by_peer[peer] += len(payload)
        for message in messages:
            counters.sent[type(message).__name__] += 1

    def _report_unsent(
        self, peer: LinkAddress, messages: list[AnyMessage], detail: str
    ) -> None:
        if not messages:
            return
        self.counters.dropped += len(messages)
        unsent = {id(message) for message in messages}
        for request in list(self.pending.values()):
            if id(request.message) in unsent:
                request.fail(Step.SEND, detail)
        if self.on_unsent is not None:
            self.on_unsent(peer, messages)

    async def _run_receive_loop(self) -> None:
        while True:
            payload = await self.link.receive()
            self.counters.bytes_received += len(payload)
            match decode_or_error(payload):
                case Envelope() as envelope:
                    self._handle_envelope(envelope)
                case StepError():
                    self.counters.undecodable += 1

    def _handle_envelope(self, envelope: Envelope) -> None:
        self.counters.batches_received += 1
        if self.on_envelope is not None:
            self.on_envelope(envelope)
        sender = LinkAddress(envelope.sender)
        for message in envelope.messages:
            self.counters.received[type(message).__name__] += 1
            if isinstance(message, REPLY_TYPES):
                self._complete_request(message)
            else:
                self._handle_message(sender, message)

    def _handle_message(self, sender: LinkAddress, message: AnyMessage) -> None:
        try:
            self.handler(sender, message)
        except Exception as error:
            if self.on_failed is None:
                raise
            self.on_failed(sender, message, error)

    def _complete_request(self, reply: AnyMessage) -> None:
        request = self.pending.get(reply.request_id)
        if request is None or request.result is not None:
            self.counters.late_replies += 1
            return
        request.complete(Ok(reply))


def _discard_message(sender: LinkAddress, message: AnyMessage) -> None:
    """Drop a message; the handler until one is set."""
