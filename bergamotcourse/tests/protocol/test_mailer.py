import random
from contextlib import asynccontextmanager

import trio
from expression import Error
from trio.testing import MockClock, wait_all_tasks_blocked

from bergamotcourse.errors import Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import PEER_IDLE_TIMEOUT_SECONDS, Mailer
from bergamotcourse.protocol.messages import (
    AskPromise,
    Cancel,
    CancelledTasks,
    Detach,
    Promise,
)
from bergamotcourse.transport.memory_link import MemoryLink, MemoryNetwork

A = LinkAddress("tcp://10.0.0.1:7000")
B = LinkAddress("tcp://10.0.0.2:7000")
TIMEOUT = 1.0


class RefusingLink(MemoryLink):
    """Refuses each message after a wait, like a link whose buffer stays full."""

    async def send(self, peer, payload):
        await trio.sleep(TIMEOUT)
        return Error(StepError(Step.SEND, peer, "buffer full"))


class Pair:
    """Two mailers; B records the messages that it receives and answers requests."""

    def __init__(self, refuse=False, **options):
        self.network = MemoryNetwork(random.Random(1))
        link = RefusingLink(self.network, A) if refuse else self.network.link(A)
        self.a = Mailer(link, rng=random.Random(1), **options)
        self.b = Mailer(self.network.link(B), rng=random.Random(2))
        self.b.handler = self.handle
        self.received = []
        self.answers = 1

    def handle(self, sender, message):
        self.received.append((sender, message))
        if isinstance(message, AskPromise):
            for _ in range(self.answers):
                self.b.post(sender, Promise(message.id, 7))

    @asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.a.run)
            nursery.start_soon(self.b.run)
            await wait_all_tasks_blocked()
            yield
            nursery.cancel_scope.cancel()


def run(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def ask(request_id):
    return AskPromise(request_id, "entry", 1)


def detach(number):
    return Detach(str(number))


class TestPost:
    def test_queued_messages_are_batched_in_order(self):
        async def scenario():
            pair = Pair(batch=100)
            async with pair.running():
                assert all(pair.a.post(B, detach(number)) for number in range(250))
                assert await pair.a.drain(TIMEOUT)
                await trio.sleep(TIMEOUT)
            assert pair.received == [(A, detach(number)) for number in range(250)]
            sent, received = pair.a.counters, pair.b.counters
            assert sent.batches_sent == received.batches_received == 3
            assert sent.sent == received.received == {"Detach": 250}
            assert sent.bytes_sent == received.bytes_received > 0

        run(scenario)

    def test_batch_exceeds_byte_limit_only_for_a_single_message(self):
        async def scenario():
            pair = Pair(batch_bytes=1000)
            sizes = [10, 600, 600, 5000, 10]
            async with pair.running():
                for size in sizes:
                    pair.a.post(B, Detach("x" * size))
                await trio.sleep(TIMEOUT)
            assert [len(message.entry) for _, message in pair.received] == sizes
            assert pair.a.counters.batches_sent == 4

        run(scenario)

    def test_messages_posted_before_run_are_sent(self):
        async def scenario():
            pair = Pair()
            assert pair.a.post(B, detach(1))
            async with pair.running():
                await trio.sleep(TIMEOUT)
            assert pair.received == [(A, detach(1))]
            assert not pair.a.post(B, detach(2))

        run(scenario)

    def test_full_outbox_refuses_messages(self):
        async def scenario():
            pair = Pair(outbox=2)
            assert [pair.a.post(B, detach(1)) for _ in range(3)] == [True, True, False]
            assert pair.a.counters.dropped == 1

        run(scenario)

    def test_refused_and_unencodable_messages_are_reported_unsent(self):
        async def scenario():
            pair, unsent = Pair(refuse=True), []
            pair.a.on_unsent = lambda peer, messages: unsent.append((peer, messages))
            unencodable = Cancel([CancelledTasks(b"", 1 << 70, [])])
            async with pair.running():
                pair.a.post(B, unencodable)
                pair.a.post(B, detach(1))
                assert not await pair.a.drain(TIMEOUT / 2)
                assert await pair.a.drain(TIMEOUT)
            assert unsent == [(B, [unencodable]), (B, [detach(1)])]
            assert (pair.a.counters.dropped, pair.a.counters.sent) == (2, {})

        run(scenario)

    def test_idle_peer_is_evicted(self):
        async def scenario():
            pair = Pair()
            async with pair.running():
                for number in range(2):
                    pair.a.post(B, detach(number))
                    await trio.sleep(PEER_IDLE_TIMEOUT_SECONDS - TIMEOUT)
                    assert list(pair.a.outboxes) == [B]
                    await trio.sleep(2 * TIMEOUT)
                    assert pair.a.outboxes == {}
            assert len(pair.received) == 2

        run(scenario)


class TestRequest:
    def test_each_request_gets_its_own_reply(self):
        async def scenario():
            pair, results = Pair(), []

            async def request():
                results.append(await pair.a.request(B, ask, TIMEOUT))

            async with pair.running(), trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(request)
            asked = {message.id for _, message in pair.received}
            assert {result.ok.request_id for result in results} == asked
            assert (len(asked), pair.a.pending) == (10, {})

        run(scenario)

    def test_late_reply_is_dropped_after_timeout(self):
        async def scenario():
            pair = Pair()
            async with pair.running():
                pair.network.freeze(A)
                result = await pair.a.request(B, ask, TIMEOUT)
                pair.network.thaw(A)
                await trio.sleep(TIMEOUT)
            assert (result.error.step, result.error.peer) == (Step.RECEIVE, B)
            assert (pair.a.counters.late_replies, pair.a.pending) == (1, {})

        run(scenario)

    def test_duplicate_reply_is_dropped(self):
        async def scenario():
            pair = Pair()
            pair.answers = 2
            async with pair.running():
                assert (await pair.a.request(B, ask, TIMEOUT)).is_ok()
                await trio.sleep(TIMEOUT)
            assert pair.a.counters.late_replies == 1

        run(scenario)

    def test_request_stays_pending_when_idle_peer_is_evicted(self):
        async def scenario():
            pair = Pair()
            async with pair.running():
                pair.network.freeze(A)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.sleep, PEER_IDLE_TIMEOUT_SECONDS + TIMEOUT)
                    result = await pair.a.request(B, ask, 2 * PEER_IDLE_TIMEOUT_SECONDS)
            assert result.error.step is Step.RECEIVE

        run(scenario)

    def test_request_that_was_certainly_not_sent_fails_with_send_step(self):
        async def scenario():
            full, refused, stopped = Pair(outbox=0), Pair(refuse=True), Pair()
            async with refused.running():
                results = [
                    await full.a.request(B, ask, TIMEOUT),
                    await refused.a.request(B, ask, 2 * TIMEOUT),
                    await stopped.a.request(B, ask, TIMEOUT),
                ]
            assert {result.error.step for result in results} == {Step.SEND}
            assert not stopped.a.outboxes[B].waiting

        run(scenario)


class TestForget:
    def test_forgetting_a_peer_reports_queued_messages_and_fails_requests(self):
        async def scenario():
            pair, unsent, results = Pair(), [], []
            pair.a.on_unsent = lambda peer, messages: unsent.extend(messages)

            async def request():
                results.append(await pair.a.request(B, ask, 100 * TIMEOUT))

            async with pair.running():
                pair.network.freeze(A)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(request)
                    await trio.sleep(TIMEOUT)
                    pair.a.post(B, detach(1))
                    pair.a.forget(B)
                    pair.a.post(B, detach(2))
                pair.network.thaw(A)
                await trio.sleep(TIMEOUT)
            assert unsent == [detach(1)]
            assert results[0].error.step is Step.RECEIVE
            assert pair.received[-1] == (A, detach(2))
            assert detach(1) not in [message for _, message in pair.received]

        run(scenario)


class TestReceive:
    def test_undecodable_payloads_are_counted_and_skipped(self):
        async def scenario():
            pair, versions = Pair(), []
            pair.a.config_version = 12
            pair.b.on_envelope = lambda envelope: versions.append(envelope.config)
            async with pair.running():
                for payload in (b"", b"\xff\x00", b"\x91" * 10):
                    await pair.a.link.send(B, payload)
                pair.a.post(B, detach(1))
                await trio.sleep(TIMEOUT)
            assert (pair.b.counters.undecodable, versions) == (3, [12])
            assert pair.received == [(A, detach(1))]

        run(scenario)


class TestFailingHandler:
    def test_exception_costs_one_message(self):
        """Guards against a message that ends each process which receives it."""
        failed = []

        async def scenario():
            pair = Pair()

            def handle(sender, message):
                if message.entry == "odd":
                    raise OverflowError("too large")
                pair.received.append(message.entry)

            pair.b.handler = handle
            pair.b.on_failed = lambda *fields: failed.append(fields)
            async with pair.running():
                for entry in ("first", "odd", "last"):
                    pair.a.post(B, Detach(entry))
                await wait_all_tasks_blocked()
                await trio.sleep(TIMEOUT)
            assert pair.received == ["first", "last"]

        trio.run(scenario, clock=MockClock(autojump_threshold=0))
        [(sender, message, error)] = failed
        assert (sender, message.entry) == (A, "odd")
        assert isinstance(error, OverflowError)
