"""Documents of other programs with one value that nobody expects."""

import base64

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.daemons.json_log import JsonLog
from bergamotcourse.errors import BergamotcourseError
from bergamotcourse.platform.callers import caller_deadline_seconds
from bergamotcourse.platform.documents import (
    decode_departure,
    decode_job,
    decode_queues,
    decode_report,
)
from bergamotcourse.platform.settings_file import parse_settings, read_settings
from bergamotcourse.platform.store import DecodedRows, Store, WireRow
from bergamotcourse.platform.worker_orders import decode_holding, decode_reply
from bergamotcourse.state.node_settings import Endpoint
from bergamotcourse.tests.platform.odd_values import (
    json_variants,
    msgpack_variants,
)
from bergamotcourse.tests.platform.test_documents import CONFIG, HEARTBEAT
from bergamotcourse.tests.platform.test_settings_file import ENTRY as SETTINGS
from bergamotcourse.tests.platform.test_store import REPORT
from bergamotcourse.transport.http import HttpRequest, HttpResponse

JOB = {
    "spec": "text",
    "best_effort": True,
    "steps": [
        {"count": 2, "cpu": 500, "mem_mb": 64, "gpu": 1, "estimated_ms": 900},
        {"count": 1, "after": [0], "required_label": "a", "affinity": "r1-3"},
    ],
}
HOLDING = {
    "clock_ms": 482113,
    "born": 3,
    "running": [["job.0.0.1", 2, "saved", 41, 7]],
    "ended": [[58, "job.0.0.2", 1, "done", ""]],
}
REPORTED = {**HEARTBEAT, "born": 7, "remaining_ms": 100, "state": "draining"}
VALID = base64.b64encode(msgspec.msgpack.encode(REPORT)).decode()


def make_store(lines=None):
    kept = [] if lines is None else lines
    log = EventLog(lambda kind, fields: kept.append((kind, fields)))
    return Store(Endpoint("127.0.0.1", 1), log)


def assert_usable(document):
    """Check that a document can be sent in a message and written to the log."""
    msgspec.msgpack.encode(document)
    JsonLog("entry-1", fd=-1).sink("document", {"document": document})


def assert_decoded_or_refused(decode, variants):
    """Check that each variant gives a usable document or a ``ValueError``."""
    for name, body in variants.items():
        try:
            document = decode(body)
        except ValueError:
            continue
        except Exception as error:
            pytest.fail(f"{name}: {type(error).__name__}")
        assert_usable(document)


class TestOddDocuments:
    def test_job_is_usable_or_refused(self):
        assert_decoded_or_refused(
            lambda body: decode_job("a", body), json_variants(JOB)
        )

    def test_configuration_is_usable_or_refused(self):
        assert_decoded_or_refused(decode_queues, json_variants(CONFIG))

    def test_report_is_usable_or_refused(self):
        variants = json_variants(REPORTED)
        assert_decoded_or_refused(lambda body: decode_report("i-1", body), variants)

    def test_departure_is_usable_or_refused(self):
        variants = json_variants({"born": 7})
        assert_decoded_or_refused(lambda body: decode_departure("i-1", body), variants)

    def test_list_of_runs_is_usable_or_refused(self):
        assert_decoded_or_refused(decode_holding, json_variants(HOLDING))

    def test_reply_to_an_order_is_usable(self):
        variants = json_variants({"clock_ms": 1, "reason": "room"})
        for body in variants.values():
            assert_usable(decode_reply(HttpResponse(409, body=body)))


class TestErrors:
    @pytest.mark.parametrize(
        "decode, document",
        [
            (lambda body: decode_job("a", body), JOB),
            (decode_queues, CONFIG),
            (lambda body: decode_report("i-1", body), REPORTED),
            (lambda body: decode_departure("i-1", body), {"born": 7}),
        ],
        ids=["job", "configuration", "report", "departure"],
    )
    def test_do_not_repeat_a_long_text(self, decode, document):
        """Guards against log lines and answers as long as an odd document."""
        for body in json_variants(document).values():
            try:
                decode(body)
            except ValueError as error:
                assert len(str(error)) < 500


class TestAcceptedReports:
    @pytest.mark.parametrize("number", [10**12, 10**15, 10**15 + 1, 2**63 - 1])
    @pytest.mark.parametrize("field", ["clock_ms", "sequence", "born"])
    def test_can_be_read_from_their_rows(self, field, number):
        """Guards against a report that is stored but skipped by those who read it."""
        body = msgspec.json.encode({**REPORTED, field: number})
        try:
            report = decode_report("i-1", body)
        except ValueError:
            return
        value = base64.b64encode(msgspec.msgpack.encode(report)).decode()
        rows = [WireRow("udp://10.0.0.1:7000", 1, value)]
        reports = make_store()._upstreams_from_rows(DecodedRows(1, rows))
        assert reports == {"udp://10.0.0.1:7000": report}


class TestOddRows:
    @pytest.mark.parametrize("name", msgpack_variants(msgspec.to_builtins(REPORT)))
    def test_report_of_an_upstream_hides_no_other(self, name):
        """Guards against a process that ends as it reads the list of upstreams."""
        value = msgpack_variants(msgspec.to_builtins(REPORT))[name]
        rows = [
            WireRow("udp://10.0.0.1:7000", 1, VALID),
            WireRow("udp://10.0.0.2:7000", 2, base64.b64encode(value).decode()),
            WireRow("udp://10.0.0.3:7000", 3, VALID),
        ]
        reports = make_store()._upstreams_from_rows(DecodedRows(3, rows))
        assert {"udp://10.0.0.1:7000", "udp://10.0.0.3:7000"} <= set(reports)
        for report in reports.values():
            assert_usable(report)

    @pytest.mark.parametrize(
        "key",
        ["", "x" * 200, "udp://10.0.0.9:0", "udp://10.0.0.9:65536", "udp://a:1", "\0"],
    )
    def test_key_that_is_no_address_hides_no_other(self, key):
        rows = [WireRow(key, 1, VALID), WireRow("udp://10.0.0.3:7000", 2, VALID)]
        store = make_store()
        read = DecodedRows(2, rows)
        assert list(store._upstreams_from_rows(read)) == ["udp://10.0.0.3:7000"]
        assert store._entries_from_rows(read) == ["udp://10.0.0.3:7000"]

    def test_failure_that_no_decoder_foresees_costs_one_row(self, monkeypatch):
        """Guards against an error of another type in the list of upstreams."""

        def fail(report):
            if report.zone == "odd":
                raise RuntimeError("unforeseen")
            return report

        monkeypatch.setattr("bergamotcourse.platform.store.check_report", fail)
        odd = msgspec.msgpack.encode({**msgspec.to_builtins(REPORT), "zone": "odd"})
        rows = [
            WireRow("udp://10.0.0.1:7000", 1, base64.b64encode(odd).decode()),
            WireRow("udp://10.0.0.3:7000", 2, VALID),
        ]
        reports = make_store()._upstreams_from_rows(DecodedRows(2, rows))
        assert list(reports) == ["udp://10.0.0.3:7000"]

    def test_long_text_of_a_row_is_not_logged_whole(self):
        lines = []
        report = {**msgspec.to_builtins(REPORT), "address": "x" * 150}
        value = base64.b64encode(msgspec.msgpack.encode(report)).decode()
        row = WireRow("k" * 100_000, 1, value)
        store = make_store(lines)
        store._upstreams_from_rows(DecodedRows(1, [row]))
        assert [kind for kind, _ in lines] == ["store.row_skipped"]
        assert all(len(str(fields)) < 1000 for _, fields in lines)
        assert len(str(store.logged_skipped_rows)) < 1000

    @given(st.binary(max_size=60))
    def test_arbitrary_value_is_skipped_or_usable(self, value):
        rows = [WireRow("udp://10.0.0.1:7000", 1, base64.b64encode(value).decode())]
        for report in make_store()._upstreams_from_rows(DecodedRows(1, rows)).values():
            assert_usable(report)


class TestOddSettings:
    @pytest.mark.parametrize(
        "key, value",
        [
            ("internal_ports", "0"),
            ("internal_ports", "65536"),
            ("internal_ports", "\u00b2"),
            ("internal_ports", "9" * 5000),
            ("ip", "host.example"),
            ("bounds.grace_s", "nan"),
            ("bounds.grace_s", "inf"),
            ("bounds.grace_s", "-1"),
            ("bounds.remote_factor", "nan"),
            ("limits.cpu_share", "1e400"),
            ("limits.cpu_cores", "-inf"),
        ],
    )
    def test_value_out_of_range_is_a_fault(self, key, value):
        with pytest.raises(ValueError, match=key):
            parse_settings(f"{SETTINGS}\n{key}={value}\n")

    def test_file_that_is_not_text_is_a_fault(self, tmp_path):
        """Guards against a process that ends as it reads changed settings."""
        path = tmp_path / "node.conf"
        path.write_bytes(SETTINGS.encode() + b"\nzone=\xff\xfe\n")
        with pytest.raises(BergamotcourseError):
            read_settings(str(path))


class TestOddDeadline:
    @pytest.mark.parametrize("text", ["9" * 400, "-5", "1_000", "\u0661", "1e3", ""])
    def test_gives_the_default(self, text):
        headers = [("bergamotcourse-deadline-ms", text)]
        request = HttpRequest("POST", "/a/1", headers)
        assert caller_deadline_seconds(request) == 5.0
