"""The stand-in worker, called without a network on the virtual clock."""

import msgspec
import pytest
import trio
import trio.testing

from bergamotcourse.standins.order_upstream import (
    LATE_EXECUTION_SECONDS,
    OrderUpstream,
)
from bergamotcourse.tests.platform.cluster import CAPACITY, parse_work
from bergamotcourse.tests.platform.standins import HttpWorker
from bergamotcourse.transport.http import HttpRequest

CALL_TIMEOUT_SECONDS = 1.0
START = {"task": "t", "run": 1, "spec": "1", "until_ms": 60_000, "fencing_token": 1}


def run_with_worker(main):
    """Run ``main(worker)`` on the virtual clock, and return its result."""

    async def run():
        upstream = OrderUpstream("i-1", "votes", CAPACITY, parse_work, [])
        async with trio.open_nursery() as nursery:
            result = await main(HttpWorker(upstream, nursery))
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def make_request(order, body):
    headers = [("bergamotcourse-expected-instance", "i-1")]
    return HttpRequest("POST", f"/{order}", headers, msgspec.json.encode(body))


class TestUnansweredOrders:
    @pytest.mark.parametrize("crashes, runs", [(False, 1), (True, 0)])
    def test_order_is_carried_out_late_unless_the_worker_is_down(self, crashes, runs):
        async def main(worker):
            upstream = worker.upstream
            upstream.behaviour.unanswered = 1.0
            with trio.move_on_after(CALL_TIMEOUT_SECONDS) as scope:
                await worker.handle(make_request("run-start", START))
            assert scope.cancelled_caught
            assert not upstream.history
            if crashes:
                upstream.crash()
            await trio.sleep(LATE_EXECUTION_SECONDS[1])
            assert len(upstream.history) == runs

        run_with_worker(main)


class TestHold:
    def test_hold_is_refused_if_a_newer_agent_came_while_it_waited(self):
        async def main(worker):
            async def replace_agent():
                await trio.sleep(0.05)
                worker.upstream.handle_hold(0, None, token=2)

            worker.nursery.start_soon(replace_agent)
            body = {"fencing_token": 1, "wait_ms": 100}
            return await worker.handle(make_request("hold", body))

        response = run_with_worker(main)
        assert response.status == 409
        assert msgspec.json.decode(response.body)["reason"] == "fence"
