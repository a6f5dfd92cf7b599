import signal
import socket
import threading
import time

import pytest

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.tests.fleet import Fleet

SLOW = "/s/voting/cast?run_ms=1500"
BODY = b"x" * 200_000


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        fleet.start_platform()
        fleet.apply()
        yield fleet
    finally:
        fleet.kill_all()


def start_all(fleet, agents=1, **more):
    for number in range(1, agents + 1):
        fleet.start_agent(f"agent-{number}", **more)
        fleet.start_upstream(f"upstream-{number}", f"agent-{number}")
    fleet.start_entry("entry-1", **more)
    fleet.wait_until_ready("entry-1")
    fleet.wait(
        lambda: fleet.get("entry-1", "/s/voting/warm").status == 200, "entry-1 serves"
    )


def begin_request(fleet, path=SLOW, body=BODY):
    """Send a request from a thread; return the thread and the list for its reply."""
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(fleet.request("entry-1", "POST", path, body))
    )
    thread.start()
    fleet.wait(
        lambda: fleet.count_starts(["upstream-1"]).get(body.decode()),
        "the task started",
    )
    return thread, replies


class TestGracefulStop:
    """After SIGTERM, requests in flight are completed, then the process exits."""

    @pytest.mark.parametrize("name", ["entry-1", "agent-1"])
    def test_sigterm_completes_request_in_flight(self, fleet, name):
        start_all(fleet)
        thread, replies = begin_request(fleet)
        code = fleet.terminate(name)
        thread.join(30)
        assert replies[0].status == 200, replies[0].body[:500].decode() + fleet.logs()
        assert replies[0].body.endswith(BODY)
        assert code == 0, fleet.logs()

    def test_stopping_entry_refuses_new_connections(self, fleet):
        start_all(fleet)
        thread, replies = begin_request(fleet)
        process = fleet.processes["entry-1"]
        process.terminate()
        fleet.wait(lambda: not accepts_connections(fleet, "entry-1"), "refused")
        assert process.poll() is None
        thread.join(30)
        assert replies[0].status == 200, fleet.logs()
        assert fleet.terminate("entry-1") == 0

    @pytest.mark.parametrize("name", ["entry-1", "agent-1"])
    def test_repeated_sigterm_does_not_kill_process(self, fleet, name):
        """A SIGTERM received while the process exits must not kill it."""
        start_all(fleet)
        process = fleet.processes[name]
        while process.poll() is None:
            process.terminate()
            time.sleep(0.002)
        assert process.returncode == 0, fleet.logs()

    @pytest.mark.parametrize("name", ["entry-1", "agent-1"])
    def test_request_beyond_drain_timeout_gets_unknown_outcome(self, fleet, name):
        start_all(fleet, drain_seconds=0.3)
        path = "/s/voting/cast?run_ms=20000"
        thread, replies = begin_request(fleet, path, b"slow")
        assert fleet.terminate(name) == 0, fleet.logs()
        thread.join(30)
        assert replies[0].status == 504, fleet.logs()
        assert replies[0].json()["outcome"] == "unknown"

    @pytest.mark.parametrize("name", ["entry-1", "agent-1"])
    def test_second_sigint_ends_process_at_once(self, fleet, name):
        start_all(fleet)
        begin_request(fleet, "/s/voting/cast?run_ms=8000", b"slow")
        process = fleet.processes.pop(name)
        log = fleet.folder / f"{name}.log"
        process.send_signal(signal.SIGINT)
        fleet.wait(lambda: ":stopping" in log.read_text(), "stopping")
        process.send_signal(signal.SIGINT)
        assert process.wait(5) == ExitCode.INTERRUPTED
        assert "Traceback" not in log.read_text()


class TestStart:
    """A failure to start is reported in one line."""

    @pytest.mark.parametrize("kind", ["entry", "agent"])
    @pytest.mark.parametrize("taken", ["x", "x link"])
    def test_address_in_use_is_reported_in_one_line(self, fleet, kind, taken):
        with socket.socket() as other:
            other.bind(("127.0.0.1", fleet.port(taken)))
            other.listen()
            more = {"worker": "worker-x"} if kind == "agent" else {}
            file = fleet.write_settings(
                "x", "a", log=fleet.folder / "eliot.log", **more
            )
            result = fleet.run_command(kind, "--settings", file)
        assert result.returncode == ExitCode.CANNOT_LISTEN, result.stderr
        (line,) = result.stderr.strip().splitlines()
        assert f"127.0.0.1:{fleet.port(taken)}" in line


class TestGarbageInput:
    """Invalid bytes on any port must not affect other requests."""

    def test_garbage_on_any_port_does_not_disturb_requests(self, fleet):
        start_all(fleet)
        ports = [n for n in fleet.ports if n.startswith(("entry", "agent"))]
        thread, replies = begin_request(fleet)
        for name in ports:
            for noise in [b"\0" * 4096, b"GET / HTTP/9\r\n\r\n", b"\xff" * 100_000]:
                send_bytes(fleet.port(name), noise)
        thread.join(30)
        assert replies[0].status == 200, fleet.logs()
        assert fleet.get("entry-1", "/s/voting/after").status == 200, fleet.logs()
        for name in ["entry-1", "agent-1"]:
            assert "Traceback" not in (fleet.folder / f"{name}.log").read_text()
            assert fleet.terminate(name) == 0


class TestDuplicateAgentName:
    """The agent that registered last replaces the other without failed requests."""

    def test_requests_succeed_at_agent_registered_last(self, fleet):
        start_all(fleet)
        fleet.start_upstream("upstream-2", "agent-twin")
        worker = {"worker": "worker-twin", "heartbeat_seconds": 0.3}
        file = fleet.write_settings("agent-twin", "a", **worker)
        path = fleet.folder / "agent-twin.yaml"
        path.write_text(path.read_text().replace("name: agent-twin", "name: agent-1"))
        fleet.start_process("agent-twin", "agent", "--settings", file)
        fleet.wait_until_ready("agent-twin")
        fleet.wait(
            lambda: b"upstream-2" in fleet.get("entry-1", "/s/voting/x").body,
            "the new one serves",
        )
        began = time.monotonic()
        bodies = set()
        while time.monotonic() - began < 2:
            reply = fleet.get("entry-1", "/s/voting/x?run_ms=20")
            assert reply.status == 200, reply.body.decode() + fleet.logs()
            bodies.add(reply.body.split()[0])
        assert bodies == {b"upstream-2"}


def accepts_connections(fleet, name):
    try:
        socket.create_connection(("127.0.0.1", fleet.port(name)), 1).close()
    except OSError:
        return False
    return True


def send_bytes(port, noise):
    with socket.create_connection(("127.0.0.1", port), 1) as stream:
        stream.settimeout(0.2)
        try:
            stream.sendall(noise)
            stream.recv(1000)
        except OSError:
            pass
