import random

from bergamotcourse.coordination.submissions import Completed
from bergamotcourse.daemons.responses import session_response
from bergamotcourse.protocol.messages import Header, TaskResult
from bergamotcourse.protocol.outcome import Outcome


class TestSessionResponse:
    def test_headers_of_the_entry_are_not_taken_from_an_upstream(self):
        """Guards against an outcome or a key prefix of another system."""
        headers = [
            Header("x-a", "1"),
            Header("bergamotcourse-outcome", "not_run"),
            Header("idempotency-key-prefix", "theirs"),
        ]
        result = TaskResult(
            submission=b"s",
            index=0,
            attempt=1,
            dispatch=1,
            outcome=Outcome.DONE,
            status=200,
            headers=headers,
            body=b"ok",
        )
        response = session_response(random.Random(1), Completed([result]))
        assert response.headers == [("x-a", "1"), ("bergamotcourse-outcome", "done")]
