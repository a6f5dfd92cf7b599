import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.platform.documents import (
    decode_job,
    decode_queues,
    decode_report,
)
from bergamotcourse.state.resources import Resources

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "one.example",
            "path_prefix": "/a/",
            "type": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": "votes",
            "max_attempts": 2,
            "slack_factor": 1.6,
        },
        {"name": "r-2", "host": "one.example", "path_prefix": "/a/b/", "service": "x"},
    ],
    "services": [],
    "limits": {},
}
JOB = {"spec": "text", "steps": [{"count": 4, "cpu": 500, "estimated_ms": 900}]}
HEARTBEAT = {
    "service": "votes",
    "address": "10.0.0.9:8080",
    "zone": "north-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "cold_remaining_ms": 0,
    "clock_ms": 482113,
}


def encode_with_changes(document, **changes):
    return msgspec.json.encode({**document, **changes})


class TestDecodeQueues:
    def test_longest_matching_prefix_of_host_selects_queue(self):
        table = decode_queues(encode_with_changes(CONFIG))
        assert table.version == 7
        assert table.find("one.example", "/a/b/0123").name == "r-2"
        assert table.find("one.example", "/a/0123").name == "r-1"
        assert table.find("two.example", "/a/0123") is None
        assert table.find("one.example", "/c/") is None

    def test_milliseconds_are_converted_to_seconds(self):
        queue = decode_queues(encode_with_changes(CONFIG)).queues[0]
        assert queue.target_latency == 0.06
        assert queue.objective(1.0) == pytest.approx(1.66)

    def test_task_is_attempted_once_at_least(self):
        route = {**CONFIG["routes"][0], "max_attempts": -1}
        table = decode_queues(encode_with_changes(CONFIG, routes=[route]))
        assert table.find("one.example", "/a/0123").max_attempts == 1

    def test_malformed_configuration_raises_value_error(self):
        with pytest.raises(ValueError):
            decode_queues(b'{"version": "x"}')


class TestDecodeJob:
    def test_step_resources_and_estimate_are_decoded(self):
        job = decode_job("0" * 16, encode_with_changes(JOB, best_effort=True))
        assert not job.kept
        assert job.steps[0].needs == Resources(500, 0, 0)
        assert job.steps[0].estimate == 0.9

    def test_job_is_kept_unless_best_effort(self):
        assert decode_job("0" * 16, encode_with_changes(JOB)).kept

    @pytest.mark.parametrize(
        "steps",
        [
            [],
            [{"count": 0}],
            [{"count": 1, "cpu": -1}],
            [{"count": 1, "after": [0]}],
            [{"count": 20_000}],
            [{"count": "many"}],
        ],
    )
    def test_malformed_steps_raise_value_error(self, steps):
        with pytest.raises(ValueError):
            decode_job("0" * 16, encode_with_changes(JOB, steps=steps))

    @pytest.mark.parametrize(
        "field, name",
        [("gang", "gang"), ("fills", "fills"), ("long_running", "long_running")],
    )
    def test_unsupported_properties_are_listed(self, field, name):
        step = {"count": 1, field: True}
        job = decode_job("0" * 16, encode_with_changes(JOB, steps=[step]))
        assert job.unsupported == (name,)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_value_error(self, body):
        with contextlib.suppress(ValueError):
            decode_job("0" * 16, body)


class TestDecodeReport:
    def test_fields_are_converted_to_types(self):
        report = decode_report("i-1", encode_with_changes(HEARTBEAT))
        assert report.capacity == Resources(16000, 32768, 0)
        assert report.clock == 482.113
        assert report.rack == "r1-3"
        assert not report.draining

    @pytest.mark.parametrize("fields, incarnation", [({}, 0), ({"born": 1780}, 1780)])
    def test_start_time_is_incarnation(self, fields, incarnation):
        report = decode_report("i-1", encode_with_changes(HEARTBEAT, **fields))
        assert report.incarnation == incarnation

    def test_draining_state_is_decoded(self):
        assert decode_report(
            "i-1", encode_with_changes(HEARTBEAT, state="draining")
        ).draining

    @pytest.mark.parametrize(
        "state, fields, remaining, cold",
        [
            ("draining", {"remaining_ms": 1500, "cold_remaining_ms": 250}, 1.5, 0.25),
            ("draining", {"remaining_ms": 0}, 0.0, 0.0),
            ("draining", {}, None, 0.0),
            ("ready", {"remaining_ms": 1500}, None, 0.0),
            ("ready", {"remaining_ms": "soon"}, None, 0.0),
        ],
    )
    def test_times_left_are_decoded(self, state, fields, remaining, cold):
        """The time until a worker leaves counts only while it drains."""
        ignored = []
        body = encode_with_changes(HEARTBEAT, state=state, **fields)
        report = decode_report("i-1", body, ignored.append)
        assert (report.remaining_seconds, report.cold_seconds) == (remaining, cold)
        assert ignored == []

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_value_error(self, body):
        with contextlib.suppress(ValueError):
            decode_report("i-1", body)
