"""Idempotency keys that are used again for another request."""

import trio

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

RETENTION_SECONDS = 10.0
REMEMBERED_BY_AGENTS_SECONDS = 11.0
"""An age at which the entries have forgotten a key, and the agents have not."""


class TestForgottenKey:
    """The owner of a key's range forgets it before the agents that ran its request."""

    def answers(self, agents):
        """Return the answers to two requests under one key, the second much later."""

        async def main():
            async with trio.open_nursery() as nursery:
                shape = FleetShape(
                    entries=1, agents=agents, retention_seconds=RETENTION_SECONDS
                )
                fleet = VirtualFleet(nursery, 1, shape)
                await fleet.start()

                async def call(key, body):
                    headers = [("idempotency-key", key)]
                    request = HttpRequest("POST", "/s/voting/cast?run_ms=10", headers)
                    request.body = body
                    return await fleet.call("entry-1", request)

                first = await call("again", b"first")
                await trio.sleep(REMEMBERED_BY_AGENTS_SECONDS)
                # An entry drops expired keys when it takes a new one.
                await call("other", b"other")
                second = await call("again", b"second")
                nursery.cancel_scope.cancel()
            return first, second

        return run_virtual(main, 1)

    def test_another_request_does_not_get_the_answer_of_the_first(self):
        first, second = self.answers(agents=1)
        assert first.body.endswith(b" first")
        assert second.status == 503
        assert dict(second.headers)["bergamotcourse-outcome"] == "not_run"

    def test_another_request_runs_at_another_agent(self):
        _, second = self.answers(agents=2)
        assert second.status == 200
        assert second.body.endswith(b" second")
