"""Texts that denote network addresses."""

import re
import socket

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port."""
    return bool(PORT_PATTERN.fullmatch(text)) and 0 < int(text) <= MAX_PORT


def is_ip(text: str) -> bool:
    """Return whether a text is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def is_address(text: str) -> bool:
    """Return whether a text has the form ``IP:PORT`` with an IPv4 address."""
    host, _, port = text.rpartition(":")
    return is_port(port) and is_ip(host)
