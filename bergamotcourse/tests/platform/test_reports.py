"""Workers' reports to the agent; malformed and foreign ones must have no effect."""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.platform import reports
from bergamotcourse.platform.reports import WorkerReportHandler
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.state.resources import NO_RESOURCES
from bergamotcourse.tests.platform.test_documents import HEARTBEAT
from bergamotcourse.transport.http import HttpRequest

HEARTBEAT_PATH = "/bergamotcourse/Instances.Heartbeat/"
DEREGISTER_PATH = "/bergamotcourse/Instances.Deregister/"


class RecordingExecutor:
    """Stands in for the executor, and records the reports that it receives."""

    def __init__(self):
        self.reports = []
        self.left = []
        self.life = None

    def refusal(self):
        return None

    def capacity(self):
        return self.life.report.capacity if self.life else NO_RESOURCES

    def handle_upstream_report(self, report):
        self.reports.append(report)
        if self.life is None or self.life.report.life != report.life:
            self.life = UpstreamLife(report, None, 0.0, 0.0)
        self.life.report = report

    def handle_upstream_departure(self, life):
        self.left.append(life)


class Agent:
    """A report handler with its executor and its log."""

    def __init__(self, service="votes"):
        self.service = service
        self.executor = RecordingExecutor()
        self.lines = []
        log = EventLog(lambda kind, fields: self.lines.append((kind, fields)))
        self.changes = 0
        self.handler = WorkerReportHandler(
            self.executor, self.change, lambda: self.service, log
        )

    def change(self):
        self.changes += 1

    def report(self, body, upstream="i-1", method="POST", path=HEARTBEAT_PATH):
        request = HttpRequest(method, path + upstream, [], body)
        return trio.run(self.handler.handle, request).status


def encode_with_changes(**changes):
    return msgspec.json.encode({**HEARTBEAT, **changes})


def without(field):
    return msgspec.json.encode({k: v for k, v in HEARTBEAT.items() if k != field})


UNACCEPTABLE_REPORTS = {
    "no service": without("service"),
    "no address": without("address"),
    "no state": without("state"),
    "no capacity": without("capacity"),
    "no clock": without("clock_ms"),
    "no version": without("version"),
    "a number as version": encode_with_changes(version=1),
    "no slots": without("slots"),
    "a text as slots": encode_with_changes(slots="8"),
    "no labels": without("labels"),
    "no time for which it is cold": without("cold_remaining_ms"),
    "no sequence": without("sequence"),
    "an unknown state": encode_with_changes(state="warming"),
    "an unknown service": encode_with_changes(service="mail"),
    "an empty service": encode_with_changes(service=""),
    "no amount": encode_with_changes(capacity={"gpu": 1}),
    "a negative amount": encode_with_changes(capacity={"cpu": -1, "mem_mb": 1}),
    "labels of numbers": encode_with_changes(labels=[1, 2]),
    "a text as clock": encode_with_changes(clock_ms="soon"),
    "a text as start": encode_with_changes(born="today"),
    "a start before all time": encode_with_changes(born=-1),
    "no address but a name": encode_with_changes(address="worker:80"),
    "a port out of range": encode_with_changes(address="10.0.0.1:80800"),
    "a port in other digits": encode_with_changes(address="10.0.0.1:\u0663"),
    "a list": b"[]",
    "bytes": b"\xff\xfe\x00",
    "bytes in a text": encode_with_changes().replace(b"votes", b"vo\xfftes"),
    "nesting": b'{"x":' + b"[" * 100_000,
}


class TestIncarnations:
    def test_new_incarnation_calls_on_change(self):
        """Otherwise a restarted agent has no upstream until the next report."""
        agent = Agent()
        for born in (1780, 1780, 1781):
            agent.report(encode_with_changes(born=born))
        assert agent.changes == 2

    @pytest.mark.parametrize(
        "body, incarnation",
        [(b"", 0), (b"{}", 0), (b'{"born": 1780}', 1780), (b'{"born": "x"}', 0)],
    )
    def test_departure_names_the_incarnation_that_left(self, body, incarnation):
        """A late departure notice must not end the next incarnation.

        While notices named no incarnation, the runs of the present one were abandoned
        and placed again, and continued there until the lease expired.
        """
        agent = Agent()
        assert agent.report(body, path=DEREGISTER_PATH) == 200
        assert agent.executor.left == [LifeKey("i-1", incarnation)]
        malformed = [kind for kind, _ in agent.lines if kind == "departure.malformed"]
        assert len(malformed) == (body == b'{"born": "x"}')


class TestIgnoredFields:
    @pytest.mark.parametrize("field", ["remaining_ms", "cold_remaining_ms"])
    @pytest.mark.parametrize(
        "value, why",
        [
            *((value, "out of range") for value in ("-1", "600001", "9" * 400)),
            *((value, "not a number") for value in ("null", "true", '"1"', "[1]")),
            *((value, "not a number") for value in ("{}", "1e999", "9" * 5000)),
        ],
    )
    def test_bad_value_is_logged_once_and_the_rest_is_used(self, field, value, why):
        """Guards against an agent without an upstream because of one field."""
        agent = Agent()
        body = encode_with_changes(state="draining")[:-1]
        for _ in range(3):
            assert agent.report(body + f',"{field}":{value}}}'.encode()) == 200
        fields = {"upstream": "i-1", "field": field, "why": why}
        assert agent.lines == [("report.field_ignored", fields)]
        report = agent.executor.life.report
        assert (report.remaining_seconds, report.cold_seconds) == (None, 0.0)
        assert report.draining and report.capacity.cpu

    def test_each_upstream_and_each_kind_of_fault_is_logged(self):
        agent = Agent()
        for upstream in ("i-1", "i-2"):
            for value in (-1, "soon", -2):
                body = encode_with_changes(cold_remaining_ms=value)
                assert agent.report(body, upstream) == 200
        assert len(agent.lines) == 4

    def test_remembered_faults_are_bounded(self, monkeypatch):
        monkeypatch.setattr(reports, "MAX_LOGGED_FAULTS", 3)
        agent = Agent()
        for number in range(10):
            agent.report(encode_with_changes(cold_remaining_ms=-1), f"i-{number}")
        assert len(agent.handler.logged_faults) <= 3


class TestReports:
    def test_report_of_own_worker_is_accepted(self):
        agent = Agent()
        assert agent.report(encode_with_changes()) == 200
        assert [report.id for report in agent.executor.reports] == ["i-1"]

    def test_drain_reported_to_a_stopping_agent_calls_on_change(self):
        """Guards against a next agent process that starts runs on a leaving worker.

        The drain is stored for it only if ``on_change`` is called, and a stopping agent
        gives the same reason for refusing tasks before and after the report.
        """
        agent = Agent()
        agent.executor.refusal = lambda: "the agent is stopping"
        agent.report(encode_with_changes())
        agent.report(encode_with_changes(state="draining", sequence=1000))
        assert agent.changes == 2

    def test_changed_capacity_calls_on_change(self):
        agent = Agent()
        agent.report(encode_with_changes())
        capacity = {**HEARTBEAT["capacity"], "cpu": 1}
        agent.report(encode_with_changes(capacity=capacity, sequence=1000))
        assert agent.changes == 2

    @pytest.mark.parametrize(
        "body", UNACCEPTABLE_REPORTS.values(), ids=UNACCEPTABLE_REPORTS.keys()
    )
    def test_unacceptable_report_is_refused_and_logged_once(self, body):
        agent = Agent()
        assert agent.report(body, "i-2") == 400
        assert agent.executor.reports == []
        assert [kind for kind, _ in agent.lines] == ["report.skipped"]
        assert agent.report(encode_with_changes()) == 200

    @given(
        st.dictionaries(
            st.sampled_from([*HEARTBEAT, "other"]),
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats(allow_nan=False, allow_infinity=False)
            | st.text(max_size=8)
            | st.lists(st.integers() | st.text(max_size=3), max_size=3)
            | st.dictionaries(st.sampled_from(["cpu", "mem_mb"]), st.integers()),
            max_size=4,
        )
    )
    def test_arbitrary_field_values_are_accepted_valid_or_refused(self, changes):
        agent = Agent(service="")
        status = agent.report(encode_with_changes(**changes))
        assert status in (200, 400)
        for report in agent.executor.reports:
            assert report.service and report.capacity.cpu >= 0
            assert isinstance(report.clock, float)
            host, port = report.address.rsplit(":", 1)
            assert host.count(".") == 3 and 0 < int(port) < 65536

    def test_report_of_new_service_is_accepted_after_settings_change(self):
        agent = Agent()
        agent.service = "mail"
        assert agent.report(encode_with_changes(service="mail")) == 200
        assert agent.report(encode_with_changes()) == 400

    @pytest.mark.parametrize(
        "method, path, status",
        [
            ("POST", HEARTBEAT_PATH, 400),
            ("POST", "/bergamotcourse/other/", 404),
            ("GET", HEARTBEAT_PATH, 405),
        ],
    )
    def test_malformed_request_is_refused(self, method, path, status):
        assert Agent().report(b"{", "i-1", method, path) == status
