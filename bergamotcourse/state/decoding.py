"""Decoding of documents and rows that other programs write."""

from typing import Any

import msgspec

MAX_ERROR_CHARACTERS = 200
"""Errors may contain texts of the document, and are logged."""

Decoder = msgspec.json.Decoder | msgspec.msgpack.Decoder


def decode_document(decoder: Decoder, body: bytes) -> Any:
    """Return the document in a body.

    Raises:
        ValueError: It is malformed, a value is out of range, or it is nested too deeply
            to be decoded.
    """
    try:
        return decoder.decode(body)
    except RecursionError as error:
        raise ValueError("it is nested too deep") from error
    except ValueError as error:
        raise ValueError(str(error)[:MAX_ERROR_CHARACTERS]) from error
