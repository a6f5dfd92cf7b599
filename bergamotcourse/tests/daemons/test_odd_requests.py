"""Requests and answers of other programs with one value that nobody expects."""

import msgspec
import pytest
import trio

from bergamotcourse.daemons.admin_request import AdminRequest
from bergamotcourse.daemons.agent_api import AgentApi
from bergamotcourse.protocol.circuit_breaker import CircuitBreaker
from bergamotcourse.protocol.job_body import parse_job, task_request
from bergamotcourse.protocol.platform_channel import PlatformChannel
from bergamotcourse.protocol.platform_wire import Failure, SincePage
from bergamotcourse.state.manifest import Manifest
from bergamotcourse.tests.platform.odd_values import (
    DEEP_JSON,
    DEEP_MSGPACK,
    json_variants,
    msgpack_variants,
)
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

ANNOUNCEMENT = {
    "service": "voting",
    "address": "10.0.0.1:8080",
    "slots": 4,
    "connections": 4,
    "zone": "a",
    "release": "r1",
}
JOB = {
    "service": "voting",
    "tasks": [{"target": "/x", "headers": {"a": "b"}, "body": "text"}],
    "class": "batch",
    "timeout_seconds": 3.0,
}
PAGE = {"version": 4, "rows": [{"key": "a", "version": 2, "value": b""}], "more": False}


def announce(bodies, check):
    """Send announcements to an agent and check each response."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(entries=1, agents=1))
            await fleet.start()
            agent = fleet.agents["agent-1"].agent
            for body in bodies:
                request = HttpRequest("PUT", "/v1/upstreams/odd", [], body)
                check(await AgentApi(agent).handle(request))
                msgspec.msgpack.encode(agent.upstreams.services())
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)


class TestAnnouncement:
    def test_is_accepted_or_refused(self):
        """Guards against an announcement that is answered with status 500."""
        bodies = list(json_variants(ANNOUNCEMENT).values())
        for port in ("0", "65536", "9" * 100, "\u00b2"):
            odd = {**ANNOUNCEMENT, "address": f"10.0.0.1:{port}"}
            bodies.append(msgspec.json.encode(odd))

        def check(response):
            assert response.status in (200, 400)

        announce([*bodies, DEEP_JSON], check)

    def test_long_port_is_refused(self):
        odd = {**ANNOUNCEMENT, "address": "10.0.0.1:" + "9" * 5000}

        def check(response):
            assert response.status == 400

        announce([msgspec.json.encode(odd)], check)

    def test_long_text_is_not_accepted_or_repeated_whole(self):
        bodies = json_variants(ANNOUNCEMENT)

        def check(response):
            assert len(response.body) < 2000

        long = [body for name, body in bodies.items() if name.endswith("= long text")]
        announce(long, check)


class TestAdminRequest:
    @pytest.mark.parametrize("text", ["9" * 5000, "9" * 19, "\u00b2", "-1", ""])
    def test_number_out_of_range_is_refused(self, text):
        request = AdminRequest(None, None, None, query={"first": text})
        assert request.number("first", 1).is_error()

    def test_deep_body_is_refused(self):
        request = AdminRequest(None, None, None, body=DEEP_JSON)
        assert request.decode(Manifest).is_error()


class TestJob:
    def test_is_usable_or_refused(self):
        for body in json_variants(JOB).values():
            parsed = parse_job(body)
            for task in parsed.ok.tasks if parsed.is_ok() else []:
                task_request(task)


class TestPlatformAnswer:
    def make_channel(self):
        return PlatformChannel(None, "entry-1", "platform", CircuitBreaker(5, 1.0))

    def test_is_decoded_or_an_error(self):
        """Guards against an answer of the platform that ends a process."""
        channel = self.make_channel()
        for body in [*msgpack_variants(PAGE).values(), DEEP_MSGPACK]:
            page = channel.decode(SincePage, body)
            assert page.is_ok() or page.error.took_effect is None

    def test_failure_is_decoded_or_made_from_the_status(self):
        channel = self.make_channel()
        failure = msgspec.to_builtins(Failure("down", False))
        for body in [*msgpack_variants(failure).values(), DEEP_MSGPACK]:
            assert channel._check_status(HttpResponse(503, [], body)).is_error()
