import json
from hashlib import sha256

import pytest

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.tests.fleet import MANIFEST, TOKEN, Fleet

OPERATOR = "let-me-in"
OPERATORS = f"""
operators:
  - name: ane
    role: admin
    credentials: ["{sha256(OPERATOR.encode()).hexdigest()}"]
"""
JOB = """
service: voting
tasks:
  - {target: /count?run_ms=300, body: job-0}
  - {target: /count, body: job-1}
"""
SESSION = "{service: voting, target: /cast?run_ms=300, body: ballot}"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("operators"))
    try:
        fleet.start_platform()
        fleet.apply(MANIFEST + OPERATORS)
        for number in (1, 2):
            fleet.start_agent(f"agent-{number}", zone=f"zone-{number}")
            fleet.start_upstream(f"upstream-{number}", f"agent-{number}")
        for number in (1, 2):
            name = f"entry-{number}"
            admin = f"{{host: 127.0.0.1, port: {fleet.port(name + ' admin')}}}"
            fleet.start_entry(name, admin=admin)
        for number in (1, 2):
            fleet.wait_until_ready(f"entry-{number}")
        fleet.write_file("token", OPERATOR)
        fleet.write_file("team-token", TOKEN)
        fleet.wait(lambda: "upstream-2" in status(fleet, "--json").stdout, "known")
        yield fleet
    finally:
        fleet.kill_all()


def address(fleet, name):
    return f"127.0.0.1:{fleet.port(name)}"


def entries(fleet):
    names = ["entry-1 admin", "entry-2 admin"]
    return [word for name in names for word in ("--entry", address(fleet, name))]


def token(fleet, name="token"):
    return ["--token-file", str(fleet.folder / name)]


def status(fleet, *more):
    return fleet.run_command("status", *entries(fleet), *token(fleet), *more)


def drain(fleet, *arguments):
    return fleet.run_command(
        "drain", *arguments, "--platform", address(fleet, "platform"),
        "--who", "ane", "--reason", "test", *entries(fleet), *token(fleet),
    )  # fmt: skip


def submit(fleet, text, *more, entry="entry-1", who="team-token"):
    file = fleet.write_file("request.yaml", text)
    return fleet.run_command(
        "submit", file, "--entry", address(fleet, entry), *token(fleet, who), *more
    )


class TestStatus:
    def test_reports_all_entries_and_agents(self, fleet):
        result = status(fleet, "--json")
        assert result.returncode == ExitCode.OK, result.stderr
        reported = json.loads(result.stdout)["entries"]
        assert [one["id"][:7] for one in reported] == ["entry-1", "entry-2"]
        for one in reported:
            assert one["ready"] and one["config"]["version"] >= 1
            assert [agent["health"] for agent in one["agents"]] == ["usable"] * 2
            assert one["entries"][0]["alive"]
        owned = [number for one in reported for number in one["ranges"]["hashed"]]
        assert sorted(owned) == list(range(64))
        table = status(fleet).stdout
        assert "ENTRY" in table and "agent-2" in table and "usable" in table

    def test_missing_or_unknown_token_is_refused(self, fleet):
        asked = fleet.run_command("status", *entries(fleet), *token(fleet, "token-2"))
        assert asked.returncode == ExitCode.INVALID
        fleet.write_file("wrong", "wrong")
        asked = fleet.run_command("status", *entries(fleet), *token(fleet, "wrong"))
        assert asked.returncode == ExitCode.FORBIDDEN
        assert asked.stdout == ""

    def test_reports_an_unreachable_entry(self, fleet):
        gone = address(fleet, "nobody")
        result = status(fleet, "--entry", gone)
        assert result.returncode == ExitCode.UNREACHABLE
        assert gone in result.stderr
        assert "entry-2" in result.stdout


class TestDrain:
    def test_drained_worker_gets_no_requests_until_cancelled(self, fleet):
        result = drain(fleet, "worker", "worker-agent-1", "--wait", "--timeout", "20")
        assert result.returncode == ExitCode.OK, result.stderr
        assert "in force at 2 of 2 entries; 0 tasks run at 1 upstreams" in result.stderr
        replies = [fleet.get("entry-1", "/s/voting/x").body for _ in range(5)]
        assert {reply.split()[0] for reply in replies} == {b"upstream-2"}
        back = drain(fleet, "worker", "worker-agent-1", "--cancel", "--wait")
        assert back.returncode == ExitCode.OK, back.stderr
        again = drain(fleet, "worker", "worker-agent-1", "--cancel")
        assert again.returncode == ExitCode.NOT_FOUND
        assert "no drain worker/worker-agent-1 is in force" in again.stderr

    def test_drained_upstream_gets_no_requests(self, fleet):
        result = drain(fleet, "upstream", "upstream-2", "--wait", "--timeout", "20")
        assert result.returncode == ExitCode.OK, result.stderr
        replies = [fleet.get("entry-2", "/s/voting/x").body for _ in range(5)]
        assert {reply.split()[0] for reply in replies} == {b"upstream-1"}
        assert drain(fleet, "upstream", "upstream-2", "--cancel").returncode == 0

    def test_drain_of_an_unknown_name_warns(self, fleet):
        result = drain(fleet, "rack", "nothing", "--dry-run")
        assert result.returncode == ExitCode.OK
        assert "no upstream known now is in rack nothing" in result.stderr


class TestSubmit:
    def test_repeated_key_returns_the_result_without_rerunning(self, fleet):
        result = submit(fleet, JOB, "--key", "a-job")
        assert result.returncode == ExitCode.OK, result.stderr
        bodies = [one["body"] for one in json.loads(result.stdout)["results"]]
        assert [body.split()[-1] for body in bodies] == ["job-0", "job-1"]
        again = submit(fleet, JOB, "--key", "a-job", entry="entry-2")
        assert again.stdout == result.stdout
        assert fleet.count_starts(["upstream-1", "upstream-2"])["job-0"] == 1

    def test_unreachable_entry_is_retried_at_the_next(self, fleet):
        other = ["--entry", address(fleet, "entry-2"), "--key", "elsewhere"]
        result = submit(fleet, SESSION, *other, entry="nobody")
        assert result.returncode == ExitCode.OK, result.stderr
        assert "asking again under the same key" in result.stderr
        assert result.stdout.endswith("POST ballot\n")

    @pytest.mark.parametrize(
        ("text", "code"),
        [
            ("{service: voting, target: /x?status=500}", ExitCode.FAILED),
            ("{service: voting, target: /x?status=404}", ExitCode.OK),
            ("{service: nothing, target: /x}", ExitCode.INVALID),
            ("{service: voting, tasks: [{}]}", ExitCode.INVALID),
            ("[1]", ExitCode.INVALID),
        ],
    )
    def test_exit_code_matches_the_outcome(self, fleet, text, code):
        result = submit(fleet, text)
        assert result.returncode == code, result.stderr
        assert "Traceback" not in result.stderr

    def test_token_of_no_team_is_refused(self, fleet):
        assert submit(fleet, JOB, who="token").returncode == ExitCode.FORBIDDEN
