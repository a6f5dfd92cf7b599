"""The client of a worker, against a stand-in with fixed answers."""

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

UNKNOWN_LIFE = LifeKey("i-1", 0)
KNOWN_LIFE = LifeKey("i-1", 1780)
KEY = RunKey(TaskName("5c0e7a21d94b36f8.0.0.1"), 2)


class Worker:
    """Answers all requests with one status and body, and records the requests."""

    def __init__(self, status=200, body=None):
        self.status = status
        self.body = {"clock_ms": 1000} if body is None else body
        self.requests = []

    async def handle(self, request):
        self.requests.append(request)
        return HttpResponse(self.status, [], msgspec.json.encode(self.body))


def with_worker(worker, send_orders, life=UNKNOWN_LIFE):
    async def main():
        server = HttpServer("127.0.0.1", 0, worker.handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await server.wait_open()
            orders = WorkerOrders(life, f"127.0.0.1:{server.port}", 7)
            result = await send_orders(orders)
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
    def test_status_and_reason_give_verdict(self, status, reason, verdict):
        worker = Worker(status, {"clock_ms": 5000, "reason": reason})
        reply = with_worker(
            worker, lambda orders: orders.start(StartOrder(KEY, "text", 5.5), 1.0)
        )
        assert reply.verdict is verdict
        assert reply.clock == 5.0

    def test_request_names_the_worker_and_the_fencing_token(self):
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

    def test_verdict_is_unknown_without_an_answer(self):
        async def main():
            orders = WorkerOrders(UNKNOWN_LIFE, "127.0.0.1:1", 7)
            return await orders.start(StartOrder(KEY, "text", 5.5), 1.0)

        assert trio.run(main).verdict is StartVerdict.UNKNOWN


class TestHold:
    def test_returns_running_and_ended_runs(self):
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

    def test_returns_the_incarnation_that_answered(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        holding = with_worker(worker, lambda orders: orders.hold(0, None, 0.0, 1.0))
        assert holding.incarnation == 1780

    def test_call_without_lease_end_renews_nothing(self):
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
    def test_status_and_reason_give_failure(self, status, body, failure):
        worker = Worker(status, body)
        answer = with_worker(worker, lambda orders: orders.hold(0, None, 0.0, 1.0))
        assert answer is failure


class TestStop:
    @pytest.mark.parametrize("status, stopped", [(200, True), (503, False)])
    def test_returns_whether_the_worker_confirmed(self, status, stopped):
        worker = Worker(status)
        assert with_worker(worker, lambda orders: orders.stop(KEY, 1.0)) is stopped


class TestIncarnations:
    """Orders to one incarnation of a worker that may have restarted."""

    async def send_each_order(self, orders):
        start = await orders.start(StartOrder(KEY, "text", 5.5), 1.0)
        stopped = await orders.stop(KEY, 1.0)
        holding = await orders.hold(57, 486.0, 0.0, 1.0)
        return start.verdict, stopped, holding

    def test_no_order_is_sent_to_another_incarnation(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1781})
        verdict, stopped, holding = with_worker(
            worker, self.send_each_order, KNOWN_LIFE
        )
        assert verdict is StartVerdict.OTHER_BOOT
        assert not stopped
        assert holding is HoldFailure.OTHER_BOOT
        checks = [msgspec.json.decode(request.body) for request in worker.requests]
        assert all(check == {"fencing_token": 7} for check in checks)
        assert {request.target for request in worker.requests} == {
            "/bergamotcourse/hold"
        }

    def test_incarnation_is_checked_once_per_connection(self):
        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        verdict, stopped, holding = with_worker(
            worker, self.send_each_order, KNOWN_LIFE
        )
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
    def test_no_order_is_sent_if_the_check_fails(self, status, body, verdict, failure):
        worker = Worker(status, body)
        answers = with_worker(worker, self.send_each_order, KNOWN_LIFE)
        assert answers == (verdict, False, failure)
        assert all(one.target.endswith("hold") for one in worker.requests)

    def test_checked_connection_is_not_reused_after_a_restart(self):
        """The connection that was checked is closed when the process ends."""

        async def send_orders(orders):
            first = await orders.start(StartOrder(KEY, "text", 5.5), 1.0)
            await trio.aclose_forcefully(orders.client.idle[0].stream)
            worker.body = {"clock_ms": 1000, "born": 1781}
            return first, await orders.start(StartOrder(KEY, "text", 5.5), 1.0)

        worker = Worker(200, {"clock_ms": 1000, "born": 1780})
        first, second = with_worker(worker, send_orders, KNOWN_LIFE)
        assert first.verdict is StartVerdict.STARTED
        assert second.verdict in (StartVerdict.OTHER_BOOT, StartVerdict.UNKNOWN)
        starts = [one for one in worker.requests if one.target.endswith("run-start")]
        assert len(starts) == 1
