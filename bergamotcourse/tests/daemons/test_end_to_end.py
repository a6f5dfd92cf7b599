import json

import pytest

from bergamotcourse.tests.fleet import Fleet

AGENTS = ["agent-1", "agent-2", "agent-3"]
UPSTREAMS = ["upstream-1", "upstream-2", "upstream-3"]
ENTRIES = ["entry-1", "entry-2"]


@pytest.fixture(scope="class")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start_platform()
        fleet.apply()
        for agent, upstream in zip(AGENTS, UPSTREAMS, strict=True):
            fleet.start_agent(agent)
            fleet.start_upstream(upstream, agent)
        for entry in ENTRIES:
            fleet.start_entry(entry)
        for name in [*AGENTS, *ENTRIES]:
            fleet.wait_until_ready(name)
        for entry in ENTRIES:
            fleet.wait(
                lambda entry=entry: fleet.get(entry, "/s/voting/warm").status == 200,
                f"{entry} serves",
            )
        yield fleet
    finally:
        fleet.kill_all()


def job(name, tasks):
    body = {
        "service": "voting",
        "tasks": [
            {"target": "/count?run_ms=20", "body": f"{name}-{n}"} for n in range(tasks)
        ],
    }
    return json.dumps(body).encode()


class TestEndToEnd:
    """Platform, entries, agents and upstreams as separate processes on loopback."""

    @pytest.mark.parametrize("entry", ENTRIES)
    def test_session_request_returns_upstream_response(self, fleet, entry):
        reply = fleet.request(entry, "POST", "/s/voting/cast", f"one-{entry}".encode())
        assert reply.status == 200, fleet.logs()
        assert reply.body.endswith(f"POST one-{entry}".encode())
        assert reply.headers["bergamotcourse-outcome"] == "done"

    def test_head_request_returns_length_of_the_resource(self, fleet):
        """Guards against a resource that seems to be empty."""
        reply = fleet.request(ENTRIES[0], "HEAD", "/s/voting/cast")
        assert (reply.status, reply.body) == (200, b"")
        assert reply.headers["content-length"] == str(len("upstream-1 HEAD "))

    @pytest.mark.parametrize("entry", ENTRIES)
    def test_job_returns_all_results_in_order(self, fleet, entry):
        reply = fleet.request(
            entry,
            "POST",
            "/v1/jobs",
            job(entry, 30),
            idempotency_key=f"job-of-{entry}",
        )
        assert reply.status == 200, reply.body + fleet.logs().encode()
        bodies = [result["body"] for result in reply.json()["results"]]
        assert [body.split()[-1] for body in bodies] == [
            f"{entry}-{n}" for n in range(30)
        ]

    def test_resubmission_through_other_entry_starts_no_task(self, fleet):
        replies = [
            fleet.request(
                entry, "POST", "/v1/jobs", job("again", 5), idempotency_key="again"
            )
            for entry in ENTRIES
        ]
        assert [reply.status for reply in replies] == [200, 200], fleet.logs()
        assert replies[0].json() == replies[1].json()
        starts = fleet.count_starts(UPSTREAMS)
        assert [starts[f"again-{n}"] for n in range(5)] == [1] * 5

    def test_reused_key_with_other_body_returns_422(self, fleet):
        first = fleet.request(
            ENTRIES[0], "POST", "/v1/jobs", job("first", 1), idempotency_key="two"
        )
        second = fleet.request(
            ENTRIES[1], "POST", "/v1/jobs", job("second", 1), idempotency_key="two"
        )
        assert (first.status, second.status) == (200, 422)
        assert "second-0" not in fleet.count_starts(UPSTREAMS)

    def test_unknown_team_and_service_are_rejected(self, fleet):
        unknown = fleet.request(
            ENTRIES[0], "GET", "/s/voting/x", authorization="Bearer no"
        )
        assert unknown.status == 401
        reply = fleet.get(ENTRIES[0], "/s/nothing/x")
        assert (reply.status, reply.json()["outcome"]) == (404, "not_run")
