import json

import pytest

from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.protocol.problem import Problem, TaskProblem, problem_response
from bergamotcourse.transport.http_problem import plain_problem

BASE = {"type": "about:blank", "title": "Conflict", "status": 409, "detail": "why"}


class TestProblemResponse:
    @pytest.mark.parametrize(
        ("members", "body"),
        [
            ({}, {}),
            ({"outcome": Outcome.NOT_RUN}, {"outcome": "not_run"}),
            (
                {"tasks": [TaskProblem(3, Outcome.UNKNOWN, "lost")]},
                {"tasks": [{"index": 3, "outcome": "unknown", "detail": "lost"}]},
            ),
        ],
    )
    def test_only_members_that_are_set_are_encoded(self, members, body):
        response = problem_response(Problem(**BASE, **members))
        assert response.status == 409
        assert response.headers == [("content-type", "application/problem+json")]
        assert json.loads(response.body) == BASE | body

    @pytest.mark.parametrize(
        ("seconds", "header"), [(0.0, "0"), (0.2, "1"), (2.0, "2"), (2.1, "3")]
    )
    def test_retry_after_header_is_rounded_up(self, seconds, header):
        response = problem_response(Problem(**BASE, retry_after=seconds))
        assert ("retry-after", header) in response.headers
        assert json.loads(response.body)["retry_after"] == seconds


class TestPlainProblem:
    def test_title_is_the_reason_phrase_of_the_status(self):
        response = plain_problem(409, "why")
        assert json.loads(response.body) == BASE
