"""The calls to a worker, against an HTTP server that answers as one does."""

import msgspec
import pytest
import trio

from bergamotcourse.platform.worker_orders import WorkerOrders
from bergamotcourse.protocol.upstream_orders import (
    EndKind,
    HoldFailure,
    LifeKey,
    RunKey,
    StartOrder,
    StartVerdict,
)
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_server import HttpServer

UNTOLD = LifeKey("i-1", 0)
TOLD = LifeKey("i-1", 1780)
KEY = RunKey(TaskName("5c0e7a21d94b36f8.0.0.1"), 2)


class Worker:
    """Answers with what it was told to, and keeps the requests."""

    def __init__(self, status=200, body=None):
        self.status = status
        self.body = {"clock_ms": 1000} if body is None else body
        self.requests = []

    async def handle(self, request):
        self.requests.append(request)
        return HttpResponse(self.status, [], msgspec.json.encode(self.body))


def with_worker(worker, use, life=UNTOLD):
    async def main():
        server = HttpServer("127.0.0.1", 0, worker.handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await server.wait_open()
            orders = WorkerOrders(life, f"127.0.0.1:{server.port}", 7)
            result = await use(orders)
            await orders.aclose()
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


class TestStart:
    @pytest.mark.parametrize(
        "status, reason, verdict",
        [
            (200, "", StartVerdict.STARTED),
            (409, "room", StartVerdict.NO_ROOM),
            (409, "old", StartVerdict.STALE),
            (409, "late", StartVerdict.TOO_LATE),
            (409, "fence", StartVerdict.FENCED),
            (409, "news", StartVerdict.INVALID),
            (400, "", StartVerdict.INVALID),
            (421, "", StartVerdict.OTHER_BOOT),
            (429, "", StartVerdict.UNHEALTHY),
            (503, "", StartVerdict.UNHEALTHY),
        ],
    )
    def test_verdicts(self, status, reason, verdict):
        worker = Worker(status, {"clock_ms": 5000, "reason": reason})
        reply = with_worker(
            worker, lambda orders: orders.start(StartOrder(KEY, "text", 5.5), 1.0)
        )
        assert reply.verdict is verdict
        assert reply.clock == 5.0

    def test_names_the_life_it_means(self):
        worker = Worker()
        with_worker(
            worker, lambda orders: orders.start(StartOrder(KEY, "text", 5.5), 1.0)
        )
        [request] = worker.requests
        assert request.header("bergamotcourse-expected-instance") == "i-1"
        assert msgspec.json.decode(request.body) == {
            "task": KEY.task,
            "run": 2,
            "spec": "text",
            "until_ms": 5500,
            "fencing_token": 7,
        }

    def test_no_answer_is_unknown(self):
        async def main():
            orders = WorkerOrders(UNTOLD, "127.0.0.1:1", 7)
            return await orders.start(StartOrder(KEY, "text", 5.5), 1.0)

        assert trio.run(main).verdict is StartVerdict.UNKNOWN


class TestHold:
    def test_lists_what_runs_and_what_has_ended(self):
        body = {
            "clock_ms": 482113,
            "running": [[KEY.task, 2, "", 41]],
            "ended": [[58, KEY.task, 1, "done", ""], [59, "t", 1, "lapsed", ""]],
        }
        worker = Worker(200, body)
        holding = with_worker(worker, lambda orders: orders.hold(57, 486.0, 0.1, 1.0))
        assert holding.running[0].progress == 0.41
        assert [end.kind for end in holding.ended] == [EndKind.DONE, EndKind.LAPSED]
        assert msgspec.json.decode(worker.requests[0].body) == {
            "fencing_token": 7,
            "observed": 57,
            "until_ms": 486000,
            "wait_ms": 100,
        }

    def test_tells_the_life_that_answers(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        holding = with_worker(worker, lambda orders: orders.hold(0, None, 0.0, 1.0))
        assert holding.incarnation == 1780

    def test_a_look_renews_nothing(self):
        worker = Worker()
        with_worker(worker, lambda orders: orders.hold(0, None, 0.0, 1.0))
        assert msgspec.json.decode(worker.requests[0].body) == {"fencing_token": 7}

    @pytest.mark.parametrize(
        "status, body, failure",
        [
            (421, {}, HoldFailure.OTHER_BOOT),
            (409, {"reason": "fence"}, HoldFailure.FENCED),
            (503, {}, HoldFailure.REFUSED),
            (200, {"clock_ms": 1, "running": [["x"]]}, HoldFailure.REFUSED),
            (200, {"clock_ms": 1, "ended": [[1, "t", 1, "?"]]}, HoldFailure.REFUSED),
        ],
    )
    def test_failures(self, status, body, failure):
        worker = Worker(status, body)
        answer = with_worker(worker, lambda orders: orders.hold(0, None, 0.0, 1.0))
        assert answer is failure


class TestStop:
    @pytest.mark.parametrize("status, stopped", [(200, True), (503, False)])
    def test_is_true_once_the_worker_said_so(self, status, stopped):
        worker = Worker(status)
        assert with_worker(worker, lambda orders: orders.stop(KEY, 1.0)) is stopped


class TestLives:
    """Orders that are meant for one life of a worker that may start again."""

    async def order_all(self, orders):
        start = await orders.start(StartOrder(KEY, "text", 5.5), 1.0)
        stopped = await orders.stop(KEY, 1.0)
        holding = await orders.hold(57, 486.0, 0.0, 1.0)
        return start.verdict, stopped, holding

    def test_none_reaches_another_life(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1781})
        verdict, stopped, holding = with_worker(worker, self.order_all, TOLD)
        assert verdict is StartVerdict.OTHER_BOOT
        assert not stopped
        assert holding is HoldFailure.OTHER_BOOT
        looks = [msgspec.json.decode(request.body) for request in worker.requests]
        assert all(look == {"fencing_token": 7} for look in looks)
        assert {request.target for request in worker.requests} == {
            "/bergamotcourse/hold"
        }

    def test_one_look_a_connection_tells_the_life(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        verdict, stopped, holding = with_worker(worker, self.order_all, TOLD)
        assert (verdict, stopped) == (StartVerdict.STARTED, True)
        assert holding.incarnation == 1780
        targets = [request.target.rpartition("/")[2] for request in worker.requests]
        assert targets == ["hold", "run-start", "run-stop", "hold"]

    @pytest.mark.parametrize(
        "status, body, verdict, failure",
        [
            (409, {"reason": "fence"}, StartVerdict.FENCED, HoldFailure.FENCED),
            (421, {}, StartVerdict.OTHER_BOOT, HoldFailure.OTHER_BOOT),
            (503, {}, StartVerdict.UNHEALTHY, HoldFailure.REFUSED),
            (200, {"running": 1}, StartVerdict.INVALID, HoldFailure.REFUSED),
        ],
    )
    def test_one_that_tells_none_gets_no_order(self, status, body, verdict, failure):
        worker = Worker(status, body)
        answers = with_worker(worker, self.order_all, TOLD)
        assert answers == (verdict, False, failure)
        assert all(one.target.endswith("hold") for one in worker.requests)

    def test_an_answer_on_a_connection_of_before_is_none_of_the_next_life(self):
        """The connection that was checked has gone with the process."""

        async def use(orders):
            first = await orders.start(StartOrder(KEY, "text", 5.5), 1.0)
            await trio.aclose_forcefully(orders.client.idle[0].stream)
            worker.body = {"clock_ms": 1000, "born": 1781}
            return first, await orders.start(StartOrder(KEY, "text", 5.5), 1.0)

        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        first, second = with_worker(worker, use, TOLD)
        assert first.verdict is StartVerdict.STARTED
        assert second.verdict in (StartVerdict.OTHER_BOOT, StartVerdict.UNKNOWN)
        starts = [one for one in worker.requests if one.target.endswith("run-start")]
        assert len(starts) == 1
