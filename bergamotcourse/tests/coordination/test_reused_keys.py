"""Idempotency keys that are used again for another request."""

import json

import pytest
import trio

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import SERVICE, FleetShape, VirtualFleet

RETENTION_SECONDS = 10.0
REMEMBERED_BY_AGENTS_SECONDS = 11.0
"""An age at which the entries have forgotten a key, and the agents have not."""

FORGOTTEN_SECONDS = 14.0
"""An age at which the agents have forgotten a key too."""


async def call(fleet, entry, key, body, run_ms=10):
    request = HttpRequest("POST", f"/s/voting/cast?run_ms={run_ms}", body=body)
    request.headers = [("idempotency-key", key)]
    return await fleet.call(entry, request)


def run_fleet(script, **shape):
    """Run a script with a fleet, and return what it returns."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(**shape))
            await fleet.start()
            result = await script(fleet, nursery)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main, 1)


class TestForgottenKey:
    """The owner of a key's range forgets it before the agents that ran its request."""

    def answers(self, agents):
        """Return the answers to two requests under one key, the second much later."""

        async def script(fleet, nursery):
            first = await call(fleet, "entry-1", "again", b"first")
            await trio.sleep(REMEMBERED_BY_AGENTS_SECONDS)
            # An entry drops expired keys when it takes a new one.
            await call(fleet, "entry-1", "other", b"other")
            return first, await call(fleet, "entry-1", "again", b"second")

        shape = {"entries": 1, "agents": agents}
        return run_fleet(script, retention_seconds=RETENTION_SECONDS, **shape)

    def test_another_request_does_not_get_the_answer_of_the_first(self):
        first, second = self.answers(agents=1)
        assert first.body.endswith(b" first")
        assert second.status == 503
        assert dict(second.headers)["bergamotcourse-outcome"] == "not_run"

    def test_another_request_runs_at_another_agent(self):
        _, second = self.answers(agents=2)
        assert second.status == 200
        assert second.body.endswith(b" second")

    def test_running_request_is_not_answered_with_the_result_of_the_first(self):
        """Guards against stored results that outlive the log of their starts."""

        async def script(fleet, nursery):
            await call(fleet, "entry-1", "again", b"first")
            await trio.sleep(FORGOTTEN_SECONDS)
            for entry in fleet.entries:
                await call(fleet, entry, f"other-{entry}", b"other")
            running = (fleet, "entry-1", "again", b"second", 4000)
            nursery.start_soon(call, *running)
            await trio.sleep(0.1)
            assert fleet.starts()["second"] == 1
            fleet.entries["entry-1"].kill()
            return await call(fleet, "entry-2", *running[2:])

        shape = {"entries": 2, "agents": 1}
        answer = run_fleet(script, retention_seconds=RETENTION_SECONDS, **shape)
        assert (answer.status, answer.body) == (200, b"upstream-1 POST second")

    def test_running_request_is_no_conflict_with_the_first(self):
        """Guards against "not run" for a request that runs at another agent."""

        async def script(fleet, nursery):
            await call(fleet, "entry-1", "again", b"first")
            await trio.sleep(REMEMBERED_BY_AGENTS_SECONDS)
            for entry in fleet.entries:
                await call(fleet, entry, f"other-{entry}", b"other")
            running = (fleet, "entry-1", "again", b"second", 4000)
            nursery.start_soon(call, *running)
            await trio.sleep(0.1)
            assert fleet.starts()["second"] == 1
            fleet.entries["entry-1"].kill()
            answer = await call(fleet, "entry-2", *running[2:])
            return answer, fleet.starts()["second"]

        shape = {"entries": 2, "agents": 2}
        answer, starts = run_fleet(script, retention_seconds=RETENTION_SECONDS, **shape)
        assert (answer.status, starts) == (200, 1)
        assert answer.body.endswith(b" second")


class TestAsynchronousJob:
    @pytest.mark.parametrize(
        "pause", [0.0, 0.1, 2.0], ids=["at once", "running", "ended"]
    )
    def test_another_job_under_the_key_is_a_conflict(self, pause):
        """Guards against a location that leads to the answer of another job."""

        def submit(fleet, body):
            tasks = [{"target": "/count?run_ms=1000", "body": body}]
            request = HttpRequest("POST", "/v1/jobs")
            request.headers = [("idempotency-key", "x"), ("prefer", "respond-async")]
            request.body = json.dumps({"service": SERVICE, "tasks": tasks}).encode()
            return fleet.call("entry-1", request)

        async def script(fleet, nursery):
            statuses = []
            for body in ["first", "first", "second"]:
                statuses.append((await submit(fleet, body)).status)
                await trio.sleep(pause)
            return statuses, fleet.starts()

        statuses, starts = run_fleet(script, entries=1, agents=1)
        assert statuses == [202, 202, 422]
        assert "second" not in starts
