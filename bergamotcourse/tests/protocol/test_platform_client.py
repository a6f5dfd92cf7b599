"""Tests of the platform client against the stand-in, over a faulty network."""

import random
from enum import Enum
from functools import partial

import msgspec
import pytest
import trio
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from bergamotcourse.errors import Step
from bergamotcourse.protocol.circuit_breaker import BreakerState
from bergamotcourse.protocol.platform import ABSENT, Committed, Conflict, Row, Write
from bergamotcourse.protocol.platform_client import (
    PlatformClient,
    PlatformClientSettings,
)
from bergamotcourse.protocol.platform_transaction import find_witness
from bergamotcourse.protocol.platform_wire import (
    TRANSACT_TARGET,
    SincePage,
    TransactCall,
)
from bergamotcourse.standins.platform import PlatformHandler, serve_platform
from bergamotcourse.standins.platform_store import CallKind, MemoryPlatform
from bergamotcourse.standins.platform_table import Table
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse, Sent

LATE_DELIVERY_SECONDS = 0.15
SETTLED_SECONDS = 60.0


class Fate(Enum):
    """What the network does to one request."""

    DELIVER = "deliver"
    UNSENT = "unsent"
    LOSE_CALL = "lose_call"
    LOSE_ANSWER = "lose_answer"
    DUPLICATE = "duplicate"
    LATE = "late"
    VERY_LATE = "very_late"
    HANG = "hang"


class FaultyHttp:
    """Delivers requests to the stand-in's handler, each under the next fate."""

    def __init__(self, platform, nursery, fates=(), before=lambda: None):
        self.handler = PlatformHandler(platform).handle
        self.nursery = nursery
        self.fates = list(fates)
        self.before = before
        self.requests = []

    async def request(self, request, timeout):
        self.requests.append(request)
        self.before()
        match self.fates.pop(0) if self.fates else Fate.DELIVER:
            case Fate.UNSENT:
                return failed(Sent.NOTHING)
            case Fate.LOSE_CALL:
                return failed(Sent.MAYBE)
            case Fate.HANG:
                await trio.sleep(timeout)
                return failed(Sent.MAYBE)
            case Fate.LATE:
                return self.deliver_late(request, LATE_DELIVERY_SECONDS)
            case Fate.VERY_LATE:
                return self.deliver_late(request, SETTLED_SECONDS / 2)
            case Fate.LOSE_ANSWER:
                await self.handler(request)
                return failed(Sent.MAYBE)
            case Fate.DUPLICATE:
                await self.handler(request)
        return Ok(await self.handler(request))

    def deliver_late(self, request, seconds):
        async def deliver():
            await trio.sleep(seconds)
            await self.handler(request)

        self.nursery.start_soon(deliver)
        return failed(Sent.MAYBE)

    def sent(self, target):
        return [request for request in self.requests if request.target == target]

    def writers(self):
        calls = self.sent(TRANSACT_TARGET)
        decode = partial(msgspec.msgpack.decode, type=TransactCall)
        return [decode(request.body).writer for request in calls]


def failed(sent):
    return Error(HttpError(Step.SEND, "peer", "connection lost", sent))


def on_network(fates=(), limits=None):
    """Run a test with a client, a faulty network and a platform on a virtual clock."""

    def decorate(test):
        async def main(self):
            platform = MemoryPlatform()
            async with trio.open_nursery() as nursery:
                http = FaultyHttp(platform, nursery, fates)
                client = PlatformClient(http, "me", "p", limits, random.Random(1))
                await test(self, client, http, platform)

        def wrapper(self):
            trio.run(main, self, clock=MockClock(autojump_threshold=0))

        return wrapper

    return decorate


def write(key="a", value=b"1", expected=ABSENT):
    return Write(key, value, expected)


class TestTransact:
    @on_network()
    async def test_commit_and_conflict_are_returned(self, client, http, platform):
        assert (await client.transact([write()])).ok == Committed(1)
        conflict = (await client.transact([write(value=b"2")])).ok
        assert conflict == Conflict([Row("a", 1, b"1")])
        assert platform.counters["me"] == {CallKind.TRANSACT: 2}

    @on_network([Fate.LOSE_ANSWER])
    async def test_lost_answer_is_resolved_by_reading_back(
        self, client, http, platform
    ):
        assert (await client.transact([write()])).ok == Committed(1)
        assert len(http.sent(TRANSACT_TARGET)) == 1

    @on_network([Fate.LOSE_CALL])
    async def test_lost_call_is_retried_with_same_writer(self, client, http, platform):
        assert (await client.transact([write()])).ok == Committed(1)
        first, second = http.writers()
        assert first == second
        assert len(first) == 16

    @on_network([Fate.LATE])
    async def test_delayed_copy_has_no_effect(self, client, http, platform):
        assert (await client.transact([write()])).ok == Committed(1)
        await client.transact([write(value=None, expected=1)])
        await trio.sleep(SETTLED_SECONDS)
        assert platform.table.get("a").row() == Row("a", 2, None)

    @on_network([Fate.LOSE_ANSWER])
    async def test_overwritten_witness_is_inconclusive(self, client, http, platform):
        http.before = lambda: platform.table.transact("", [write(expected=None)])
        result = await client.transact([write(expected=1)])
        assert result.error.took_effect is None
        assert len(http.sent(TRANSACT_TARGET)) == 1

    @on_network([Fate.LOSE_CALL])
    async def test_unconditional_write_is_not_retried(self, client, http, platform):
        result = await client.transact([write(expected=None)])
        assert result.error.took_effect is None
        assert len(http.sent(TRANSACT_TARGET)) == 1

    @on_network([Fate.LOSE_ANSWER])
    async def test_lost_answer_to_unconditional_write_is_read_back(
        self, client, http, platform
    ):
        assert (await client.transact([write(expected=None)])).ok == Committed(1)

    @on_network([Fate.LOSE_CALL])
    async def test_check_only_is_retried_without_read(self, client, http, platform):
        check = Write("a", None, ABSENT, check_only=True)
        assert (await client.transact([check])).ok == Committed(1)
        assert len(http.requests) == 2

    @on_network([Fate.UNSENT] * 3)
    async def test_unsent_transaction_has_no_effect(self, client, http, platform):
        result = await client.transact([write(expected=None)])
        assert result.error.took_effect is False
        assert (result.error.step, result.error.peer) == (Step.STORE, "p")
        assert len(http.requests) == 3

    @on_network([Fate.LOSE_CALL] + [Fate.DELIVER, Fate.UNSENT] * 2)
    async def test_unknown_outcome_stays_unknown_after_retries(
        self, client, http, platform
    ):
        assert (await client.transact([write()])).error.took_effect is None

    @on_network([Fate.HANG] * 20, PlatformClientSettings(timeout=2.0, attempts=9))
    async def test_total_time_is_bounded(self, client, http, platform):
        assert (await client.transact([write()])).error.took_effect is None
        assert trio.current_time() <= 2.0

    @on_network([], PlatformClientSettings(attempts=1))
    async def test_faults_of_the_standin_reach_the_client(self, client, http, platform):
        platform.view("me").cut = True
        assert (await client.transact([write()])).error.took_effect is False
        platform.view("me").cut = False
        platform.faults.lose_next_answers = 1
        assert (await client.transact([write()])).ok == Committed(1)

    @pytest.mark.parametrize(
        ("writes", "key"),
        [
            ([Write("c", None, 4, check_only=True), write("a", expected=None)], "a"),
            ([write("a", expected=None), write("b", expected=3)], "b"),
            ([write("a", None, ABSENT), write("b", b"", ABSENT)], "b"),
        ],
    )
    def test_witness_is_a_guarded_write_if_there_is_one(self, writes, key):
        assert find_witness(writes).key == key


class TestReads:
    @on_network([Fate.LOSE_CALL, Fate.UNSENT])
    async def test_get_is_retried(self, client, http, platform):
        assert (await client.get(["a"])).ok == [Row("a", ABSENT, None)]
        assert len(http.requests) == 3
        assert trio.current_time() <= 0.05 + 0.1

    @on_network([Fate.LOSE_CALL] * 3)
    async def test_failed_read_reports_no_effect(self, client, http, platform):
        assert (await client.get(["a"])).error.took_effect is False

    @on_network([Fate.DELIVER, Fate.LOSE_ANSWER], PlatformClientSettings(page_limit=2))
    async def test_changes_are_read_in_pages(self, client, http, platform):
        for key in ("p/a", "p/b", "q", "p/c", "p/d & e", "p/a", "r"):
            platform.table.transact("", [write(key, expected=None)])
        changes = (await client.read_since("p/", 0)).ok
        assert changes == platform.table.read_since("p/", 0)
        assert (await client.read_since("p/d &", 2)).ok.rows == [
            Row("p/d & e", 5, b"1")
        ]

    @on_network([Fate.DELIVER], PlatformClientSettings(page_limit=1))
    async def test_row_changed_between_pages_is_returned_once(
        self, client, http, platform
    ):
        table = platform.table
        table.transact("", [write("a")])
        table.transact("", [write("b")])

        def change_a():
            if len(http.requests) == 2:
                table.transact("", [write("a", b"2", expected=1)])

        http.before = change_a
        assert (await client.read_since("", 0)).ok == table.read_since("", 0)

    @on_network()
    async def test_page_without_a_later_version_is_an_error(
        self, client, http, platform
    ):
        """Guards against the same page being read again and again."""

        async def same_page(request):
            page = SincePage(1, [], more=len(http.requests) < 5)
            return HttpResponse(200, [], msgspec.msgpack.encode(page))

        http.handler = same_page
        assert (await client.read_since("", 1)).is_error()

    @on_network([Fate.LOSE_ANSWER])
    async def test_objects_survive_lost_calls_and_answers(self, client, http, platform):
        assert (await client.get_object("x/y z")).ok is None
        http.fates = [Fate.LOSE_ANSWER]
        assert (await client.put_object("x/y z", b"1")).is_ok()
        assert (await client.get_object("x/y z")).ok == b"1"
        http.fates = [Fate.LOSE_CALL]
        assert (await client.put_object("x/y z", b"2")).error.took_effect is False
        http.fates = [Fate.LOSE_CALL] * 3
        assert (await client.put_object("new", b"2")).error.took_effect is None

    @pytest.mark.parametrize(
        ("status", "took_effect", "requests"), [(502, None, 2), (413, False, 1)]
    )
    def test_undecodable_error_of_a_balancer_is_classified_by_status(
        self, status, took_effect, requests
    ):
        class Balancer:
            requests = 0

            async def request(self, request, timeout):
                self.requests += 1
                return Ok(HttpResponse(status, [], b"<html>"))

        async def main():
            client = PlatformClient(balancer, "me", settings=limits)
            assert (await client.put_object("o", b"")).error.took_effect is took_effect

        balancer, limits = Balancer(), PlatformClientSettings(attempts=2)
        trio.run(main, clock=MockClock(autojump_threshold=0))
        assert balancer.requests == requests


class TestBreaker:
    @on_network([Fate.LOSE_CALL] * 5)
    async def test_breaker_opens_and_recovers(self, client, http, platform):
        await client.get(["a"])
        await client.get(["a"])
        assert client.breaker.state is BreakerState.OPEN
        before = (trio.current_time(), len(http.requests))
        assert (await client.transact([write()])).error.took_effect is False
        assert (trio.current_time(), len(http.requests)) == before
        await trio.sleep(1.0)
        assert (await client.transact([write()])).ok == Committed(1)
        assert client.breaker.state is BreakerState.CLOSED

    @on_network([Fate.LOSE_CALL] * 5 + [Fate.HANG])
    async def test_cancelled_probe_does_not_block_calls(self, client, http, platform):
        for _ in range(2):
            await client.get(["a"])
        await trio.sleep(1.0)
        with trio.move_on_after(0.1):
            await client.get(["a"])
        assert (await client.get(["a"])).is_ok()


class NaiveStore:
    """A dictionary with the semantics of the table, which records all effects."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.verdicts = {}
        self.effects = []

    def transact(self, writer, writes):
        if writer not in self.verdicts:
            self.verdicts[writer] = self.decide(writer, writes)
        return self.verdicts[writer]

    def decide(self, writer, writes):
        stale = [Row(w.key, *self.read(w.key)) for w in writes if not self.meets(w)]
        if stale:
            return Conflict(stale)
        self.version += 1
        self.effects.append(writer)
        for w in writes:
            if not w.check_only:
                self.rows[w.key] = (self.version, w.value)
        return Committed(self.version)

    def read(self, key):
        return self.rows.get(key, (ABSENT, None))

    def meets(self, w):
        version, value = self.read(w.key)
        absent = w.expected == ABSENT and value is None
        return w.expected in (None, version) or absent


class ComparedTable(Table):
    """The stand-in's table; compares each verdict with that of the naive store."""

    def __init__(self):
        super().__init__()
        self.naive = NaiveStore()
        self.effects = []

    def transact(self, writer, writes):
        before = self.version
        verdict = super().transact(writer, writes)
        self.effects += [writer] * (self.version - before)
        assert verdict == self.naive.transact(writer, writes)
        return verdict


class Expect(Enum):
    """Which version a generated write expects the row to have."""

    ANY = "any"
    ABSENT = "absent"
    CURRENT = "current"
    STALE = "stale"


KEYS = st.sampled_from("abc")
PLANNED_WRITES = st.tuples(KEYS, st.sampled_from(Expect), st.booleans(), st.booleans())
PLANS = st.lists(
    st.lists(PLANNED_WRITES, min_size=1, max_size=3, unique_by=lambda plan: plan[0]),
    min_size=1,
    max_size=8,
)
FATES = st.lists(st.sampled_from(Fate), max_size=30)
FOREIGN_WRITES = st.lists(st.none() | st.tuples(KEYS, st.booleans()), max_size=30)


class Differential:
    """Random transactions of one client, with writes of others between its calls."""

    def __init__(self, plans, fates, foreign):
        self.plans = plans
        self.fates = fates
        self.foreign = list(foreign)
        self.table = ComparedTable()
        self.reports = []

    async def run(self):
        platform = MemoryPlatform()
        platform.table = self.table
        async with trio.open_nursery() as nursery:
            http = FaultyHttp(platform, nursery, self.fates, self.interfere)
            limits = PlatformClientSettings(breaker_failures=1000)
            client = PlatformClient(http, "me", "p", limits, random.Random(2))
            for number, plan in enumerate(self.plans):
                before = len(http.writers())
                result = await client.transact(self.writes(number, plan))
                (writer,) = set(http.writers()[before:])
                self.reports.append((writer, result))

    def writes(self, number, plan):
        return [
            Write(
                key,
                None if deletes else b"%d" % number,
                self.expected(key, expect),
                check_only,
            )
            for key, expect, deletes, check_only in plan
        ]

    def expected(self, key, expect):
        current = self.table.get(key).version
        versions = {Expect.ABSENT: ABSENT, Expect.CURRENT: current}
        return versions.get(
            expect, max(1, current - 1) if expect is Expect.STALE else None
        )

    def interfere(self):
        if self.foreign and (planned := self.foreign.pop(0)):
            key, deletes = planned
            value = None if deletes else b"foreign"
            writer = f"foreign-{len(self.foreign)}"
            self.table.transact(writer, [Write(key, value, None)])

    def check(self):
        for writer, result in self.reports:
            effects = self.table.effects.count(writer)
            if result.is_error():
                assert effects <= (1 if result.error.took_effect is None else 0)
            elif isinstance(result.ok, Committed):
                assert effects == 1
                assert self.table.effects[result.ok.version - 1] == writer
            else:
                assert effects == 0
        rows = {row.key: (row.version, row.value) for row in self.table.rows.values()}
        assert rows == self.table.naive.rows
        assert self.table.effects == self.table.naive.effects


class TestDifferential:
    @settings(max_examples=300)
    @given(PLANS, FATES, FOREIGN_WRITES)
    def test_reported_outcomes_match_the_naive_store(self, plans, fates, foreign):
        run = Differential(plans, fates, foreign)
        trio.run(run.run, clock=MockClock(autojump_threshold=0))
        run.check()


class TestOverHttp:
    def test_client_works_with_the_standin_over_loopback(self):
        async def main():
            async with trio.open_nursery() as nursery:
                port = await nursery.start(serve_platform, "127.0.0.1", 0)
                limits = PlatformClientSettings(timeout=120.0, attempt_timeout=60.0)
                client = PlatformClient.connect("127.0.0.1", port, "me", limits)
                await self.exercise_client(client, client.channel.http)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def exercise_client(self, client, http):
        assert (await client.transact([write()])).ok == Committed(1)
        await self.set_faults(http, b'{"lose_next_answers": 1}')
        second = await client.transact([write(value=b"2", expected=1)])
        assert second.ok == Committed(2)
        assert (await client.read_since("", 0)).ok.rows == [Row("a", 2, b"2")]
        assert (await client.put_object("o", b"x" * 100_000)).is_ok()
        assert (await client.get_object("o")).ok == b"x" * 100_000
        await self.set_faults(http, b'{"cut": ["me"]}')
        assert (await client.get(["a"])).error.took_effect is False
        counters = await http.request(HttpRequest("GET", "/standin/counters"), 30.0)
        assert msgspec.json.decode(counters.ok.body)["calls"]["me"]["transact"] == 2

    async def set_faults(self, http, body):
        request = HttpRequest("POST", "/standin/faults", body=body)
        assert (await http.request(request, 30.0)).ok.status == 200
        bad = HttpRequest("POST", "/standin/faults", body=b'{"nonsense": 1}')
        assert (await http.request(bad, 30.0)).ok.status == 400
