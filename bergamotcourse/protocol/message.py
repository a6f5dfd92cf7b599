"""The base class of all messages between processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: an array tagged with the name of its class."""
