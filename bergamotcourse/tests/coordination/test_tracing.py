import json

import eliot
import pytest
import trio

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.trace import trace
from bergamotcourse.coordination.agent_tracing import AgentTracer
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
PARENT = f"00-{TRACE}-00f067aa0ba902b7-01"


@pytest.fixture
def lines():
    found = []
    eliot.add_destinations(found.append)
    try:
        yield found
    finally:
        eliot.remove_destination(found.append)


def run_requests(requests, share):
    """Send requests to a fleet; return the headers that the upstream received."""
    got = []

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(entries=1, agents=1))
            await fleet.start()
            fleet.entries["entry-1"].entry.tracer.sample_share = share
            AgentTracer(fleet.agents["agent-1"].agent)
            upstream = fleet.upstreams["agent-1"]
            handle = upstream.handle

            async def record(request):
                got.append(dict(request.headers))
                return await handle(request)

            upstream.handle = record
            for request in requests:
                await fleet.call("entry-1", request)
            assert not fleet.entries["entry-1"].entry.tracer.actions
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)
    return got


def steps(lines, trace_id):
    return [
        line.get("message_type") or f"{line['action_type']} {line['action_status']}"
        for line in sorted(
            (line for line in lines if line["task_uuid"] == trace_id),
            key=lambda line: line["task_level"],
        )
    ]


def request(target="/s/voting/cast", **headers):
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return HttpRequest("POST", target, fields, b"ballot")


class TestTracing:
    def test_trace_id_of_caller_spans_entry_agent_and_upstream(self, lines):
        (got,) = run_requests([request(traceparent=PARENT, idempotency_key="k")], 1.0)
        assert got["traceparent"] == PARENT
        assert steps(lines, TRACE) == [
            "entry:request started",
            "entry:claimed",
            "entry:sent",
            "entry:result",
            "entry:request succeeded",
            "agent:task started",
            "agent:task succeeded",
        ]

    @pytest.mark.parametrize("given", ["", "nonsense", f"00-{'0' * 32}-{'1' * 16}-01"])
    def test_request_without_valid_trace_id_gets_new_one(self, lines, given):
        (got,) = run_requests([request(traceparent=given)], 1.0)
        made = got["traceparent"].split("-")[1]
        assert made not in ("", "0" * 32)
        assert steps(lines, made)[0] == "entry:request started"

    def test_unsampled_request_is_not_logged(self, lines):
        (got,) = run_requests([request(traceparent=PARENT)], 0.0)
        assert got["traceparent"] == PARENT
        assert steps(lines, TRACE) == []

    def test_failure_of_unsampled_request_is_logged(self, lines):
        run_requests([request("/s/voting/cast?status=500")], 0.0)
        names = [line.get("message_type") for line in lines]
        assert names.count("entry:result") == names.count("agent:result") == 1


class TestTraceCommand:
    def test_lines_of_several_logs_are_merged_in_order(self, lines, tmp_path, capsys):
        run_requests([request(traceparent=PARENT), request()], 1.0)
        files = []
        for name in ("entry", "agent"):
            mine = [x for x in lines if str(x.get("action_type", "")).startswith(name)]
            mine += [x for x in lines if str(x.get("message_type")).startswith(name)]
            path = tmp_path / name
            path.write_text("no json\n{}\n" + "".join(map(json_line, mine)))
            files.append(str(path))
        assert trace(TRACE[:10], files) == ExitCode.OK
        out = capsys.readouterr().out.splitlines()
        assert len(out) == 6
        assert "entry:request started" in out[0]
        assert "agent:task started" in out[2]
        submission = next(x["submission"] for x in lines if x["task_uuid"] == TRACE)
        assert trace(submission, files, json=True) == ExitCode.OK
        assert len(json.loads(capsys.readouterr().out)["lines"]) == 6
        assert trace("abcdef" * 3, files) == ExitCode.NOT_FOUND
        assert trace("ab", files) == ExitCode.INVALID
        assert trace(TRACE, ["/nowhere"]) == ExitCode.INVALID


def json_line(line):
    return json.dumps(line) + "\n"
