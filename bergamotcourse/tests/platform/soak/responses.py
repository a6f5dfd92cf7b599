"""What a caller makes of a response, or of its lack."""

import msgspec
from expression import Result

from bergamotcourse.tests.platform.soak.records import CallerOutcome
from bergamotcourse.transport.http_client import HttpError, Sent

OUTCOME_BY_STATE = {
    "succeeded": CallerOutcome.SUCCEEDED,
    "failed": CallerOutcome.FAILED,
}
OUTCOME_BY_STATUS = {
    503: CallerOutcome.REFUSED,
    504: CallerOutcome.TIMED_OUT,
    404: CallerOutcome.GONE,
    410: CallerOutcome.GONE,
}


def read_state(body: bytes) -> CallerOutcome:
    """Return the outcome that the body of a successful response tells."""
    try:
        document = msgspec.json.decode(body, type=dict[str, str])
    except msgspec.DecodeError:
        return CallerOutcome.UNREADABLE
    return OUTCOME_BY_STATE.get(document.get("state", ""), CallerOutcome.UNREADABLE)


def classify_response(answer: Result) -> tuple[CallerOutcome, int]:
    """Return the outcome that a caller saw and the HTTP status, 0 without one."""
    match answer:
        case Result(tag="ok", ok=response) if response.status == 200:
            return read_state(response.body), 200
        case Result(tag="ok", ok=response):
            return OUTCOME_BY_STATUS.get(
                response.status, CallerOutcome.UNEXPECTED_STATUS
            ), response.status
        case Result(tag="error", error=HttpError(sent=Sent.NOTHING)):
            return CallerOutcome.NOT_SENT, 0
        case Result(tag="error", error=HttpError(detail="timed out")):
            return CallerOutcome.NO_RESPONSE, 0
        case _:
            return CallerOutcome.CUT, 0
