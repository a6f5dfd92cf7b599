"""The base of all messages between the system's processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""
