"""Workers' reports: those of another writer name no worker, and disturb none."""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.platform.reports import ReportsFront
from bergamotcourse.protocol.upstream_orders import LifeKey
from bergamotcourse.state.resources import NO_RESOURCES
from bergamotcourse.tests.platform.test_documents import BEAT
from bergamotcourse.transport.http import HttpRequest

PATH = "/bergamotcourse/Instances.Heartbeat/"
LEAVE_PATH = "/bergamotcourse/Instances.Deregister/"


class Taken:
    """Stands for the executor: keeps the reports that it is given."""

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
    """A front with what it takes and logs."""

    def __init__(self, service="votes"):
        self.service = service
        self.taken = Taken()
        self.lines = []
        log = EventLog(lambda kind, fields: self.lines.append((kind, fields)))
        self.changes = 0
        self.front = ReportsFront(self.taken, self.change, lambda: self.service, log)

    def change(self):
        self.changes += 1

    def report(self, body, upstream="i-1", method="POST", path=PATH):
        request = HttpRequest(method, path + upstream, [], body)
        return trio.run(self.front.handle, request).status


def encoded(**changes):
    return msgspec.json.encode({**BEAT, **changes})


def without(field):
    return msgspec.json.encode({k: v for k, v in BEAT.items() if k != field})


FOREIGN = {
    "no service": without("service"),
    "no address": without("address"),
    "no state": without("state"),
    "no capacity": without("capacity"),
    "no clock": without("clock_ms"),
    "no sequence": without("sequence"),
    "an unknown state": encoded(state="warming"),
    "an unknown service": encoded(service="mail"),
    "an empty service": encoded(service=""),
    "no amount": encoded(capacity={"gpu": 1}),
    "a negative amount": encoded(capacity={"cpu": -1, "mem_mb": 1}),
    "labels of numbers": encoded(labels=[1, 2]),
    "a text as clock": encoded(clock_ms="soon"),
    "a text as start": encoded(born="today"),
    "a start before all time": encoded(born=-1),
    "no address but a name": encoded(address="worker:80"),
    "a port out of range": encoded(address="10.0.0.1:80800"),
    "a port in other digits": encoded(address="10.0.0.1:\u0663"),
    "a list": b"[]",
    "bytes": b"\xff\xfe\x00",
    "bytes in a text": encoded().replace(b"votes", b"vo\xfftes"),
    "nesting": b'{"x":' + b"[" * 100_000,
}


class TestLives:
    def test_each_is_told(self):
        """An agent that started anew found no upstream until the next report."""
        agent = Agent()
        for born in (1780, 1780, 1781):
            agent.report(encoded(born=born))
        assert agent.changes == 2

    @pytest.mark.parametrize(
        "body, incarnation",
        [(b"", 0), (b"{}", 0), (b'{"born": 1780}', 1780), (b'{"born": "x"}', 0)],
    )
    def test_that_of_a_departure_is_told(self, body, incarnation):
        """The late departure of a former life ended the life after it.

        Departures named no life: the runs of the one that is here were given up and
        placed again, and went on until its lease had lapsed.
        """
        agent = Agent()
        assert agent.report(body, path=LEAVE_PATH) == 200
        assert agent.taken.left == [LifeKey("i-1", incarnation)]
        malformed = [kind for kind, _ in agent.lines if kind == "departure.malformed"]
        assert len(malformed) == (body == b'{"born": "x"}')


class TestReports:
    def test_of_the_worker_here_is_taken(self):
        agent = Agent()
        assert agent.report(encoded()) == 200
        assert [report.id for report in agent.taken.reports] == ["i-1"]

    def test_a_capacity_that_changes_is_told(self):
        agent = Agent()
        agent.report(encoded())
        capacity = {**BEAT["capacity"], "cpu": 1}
        agent.report(encoded(capacity=capacity, sequence=1000))
        assert agent.changes == 2

    @pytest.mark.parametrize("body", FOREIGN.values(), ids=FOREIGN.keys())
    def test_of_another_writer_is_skipped_with_one_line(self, body):
        agent = Agent()
        assert agent.report(body, "i-2") == 400
        assert agent.taken.reports == []
        assert [kind for kind, _ in agent.lines] == ["report.skipped"]
        assert agent.report(encoded()) == 200

    @given(
        st.dictionaries(
            st.sampled_from([*BEAT, "other"]),
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
    def test_whatever_a_field_holds_is_taken_whole_or_skipped(self, changes):
        agent = Agent(service="")
        status = agent.report(encoded(**changes))
        assert status in (200, 400)
        for report in agent.taken.reports:
            assert report.service and report.capacity.cpu >= 0
            assert isinstance(report.clock, float)
            host, port = report.address.rsplit(":", 1)
            assert host.count(".") == 3 and 0 < int(port) < 65536

    def test_of_another_service_is_taken_once_the_machine_has_moved(self):
        agent = Agent()
        agent.service = "mail"
        assert agent.report(encoded(service="mail")) == 200
        assert agent.report(encoded()) == 400

    @pytest.mark.parametrize(
        "method, path, status",
        [
            ("POST", PATH, 400),
            ("POST", "/bergamotcourse/other/", 404),
            ("GET", PATH, 405),
        ],
    )
    def test_a_malformed_request_is_refused(self, method, path, status):
        assert Agent().report(b"{", "i-1", method, path) == status
