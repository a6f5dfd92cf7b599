"""Responses with a JSON body."""

from http import HTTPStatus
from typing import Any

import msgspec

from bergamotcourse.transport.http import HttpResponse

JSON_TYPE = ("content-type", "application/json")


def json_answer(value: Any, status: HTTPStatus | int = HTTPStatus.OK) -> HttpResponse:
    """Return a response with a value as its JSON body."""
    return HttpResponse(int(status), [JSON_TYPE], msgspec.json.encode(value))
