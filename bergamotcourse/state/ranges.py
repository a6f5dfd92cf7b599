"""Ranges of numbers and lengths of texts in documents and rows of other programs.

A value in range can be converted, summed, logged, and encoded again in a message.
"""

from typing import Annotated

from msgspec import Meta

MAX_INTEGER = 2**63 - 1
"""MessagePack has larger integers, but not everywhere where one is stored."""

MAX_AMOUNT = 10**12
"""The sum of a million amounts is less than ``MAX_INTEGER``."""

MAX_NUMBER = 1e12

COUNT_RANGE = Meta(ge=0, le=MAX_INTEGER)
NAME_LENGTH = Meta(max_length=200)

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, COUNT_RANGE]

Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
"""An amount of a resource."""

Number = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

Seconds = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]
"""A finite duration, or a time on a monotonic clock."""

Milliseconds = Annotated[int, Meta(ge=0, le=int(MAX_NUMBER) * 1000)]
"""The same in whole milliseconds."""

Name = Annotated[str, NAME_LENGTH]
