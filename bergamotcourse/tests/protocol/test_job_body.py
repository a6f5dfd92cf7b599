import base64
import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotcourse.protocol.job_body import (
    TaskBody,
    answer_body,
    parse_job,
    task_request,
)
from bergamotcourse.protocol.messages import Header, TaskResult
from bergamotcourse.protocol.outcome import Outcome

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["service", "tasks", "target", "body", "class", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


class TestParseJob:
    @settings(max_examples=200)
    @given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
    def test_arbitrary_bytes_yield_a_job_or_an_error(self, content):
        parsed = parse_job(content)
        assert parsed.is_ok() or parsed.error

    def test_deep_nesting_is_refused(self):
        assert parse_job(b"[" * 100_000).is_error()

    @pytest.mark.parametrize(
        ("change", "expected_name"),
        [
            ({"tasks": None}, "tasks"),
            ({"service": 1}, "service"),
            ({"extra": 1}, "extra"),
            ({"timeout_seconds": "1"}, "timeout_seconds"),
        ],
    )
    def test_error_names_the_offending_key(self, change, expected_name):
        body = {"service": "voting", "tasks": [{"target": "/"}]} | change
        assert expected_name in parse_job(json.dumps(body).encode()).error


class TestTaskRequest:
    @settings(max_examples=300)
    @given(
        st.builds(
            TaskBody,
            target=st.text(max_size=8).map(lambda t: "/" + t),
            method=st.text(max_size=5),
            headers=st.dictionaries(st.text(max_size=4), st.text(max_size=4)),
            body=st.none() | st.text(max_size=5),
            body_base64=st.none() | st.text(max_size=5),
        )
    )
    def test_accepted_requests_have_no_control_characters(self, task):
        parsed = task_request(task)
        if parsed.is_error():
            return
        request = parsed.ok
        texts = [request.method, request.target]
        texts += [part for header in request.headers for part in header]
        assert all(ord(c) >= 32 or c == "\t" for text in texts for c in text)
        assert " " not in request.method + request.target

    def test_task_with_both_kinds_of_body_is_refused(self):
        assert task_request(TaskBody("/", body="a", body_base64="YQ==")).is_error()

    def test_base64_body_is_decoded(self):
        content = bytes(range(256))
        encoded = base64.b64encode(content).decode()
        assert task_request(TaskBody("/", body_base64=encoded)).ok.body == content


class TestAnswerBody:
    @settings(max_examples=100)
    @given(st.lists(st.binary(max_size=30), min_size=1, max_size=5))
    def test_results_keep_the_order_of_tasks(self, bodies):
        results = [
            TaskResult(b"s", n, 1, 1, Outcome.DONE, 200, [Header("a", "b")], body)
            for n, body in enumerate(bodies)
        ]
        answer = msgspec.json.decode(answer_body(results))
        got = [
            base64.b64decode(one["body_base64"])
            if "body_base64" in one
            else one.get("body", "").encode()
            for one in answer["results"]
        ]
        assert got == bodies
