import json

import trio

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import TOKEN, FleetShape, VirtualFleet

AUTHORIZATION = ("authorization", f"Bearer {TOKEN}")


def run_fleet(use):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(entries=2, agents=2))
            await fleet.start()
            result = await use(fleet)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main, 1)


class TestWaitForJob:
    def test_wait_immediately_after_the_202_returns_the_results(self):
        async def use(fleet):
            api = fleet.entries["entry-1"].api
            key = fleet.entries["entry-1"].entry.key_prefix() + "a"
            tasks = [{"target": "/?run_ms=100", "body": f"t{n}"} for n in range(3)]
            body = json.dumps({"service": "voting", "tasks": tasks}).encode()
            headers = [
                AUTHORIZATION,
                ("idempotency-key", key),
                ("prefer", "respond-async"),
            ]
            taken = await api.handle(HttpRequest("POST", "/v1/jobs", headers, body))
            target = f"/v1/jobs/{key}?wait=10"
            return taken, await api.handle(HttpRequest("GET", target, [AUTHORIZATION]))

        taken, answer = run_fleet(use)
        assert taken.status == 202
        assert (answer.status, len(json.loads(answer.body).get("results", []))) == (
            200,
            3,
        )
