"""Tests that are known to fail, as KNOWN-RED.txt lists them."""

from pathlib import Path

import bergamotcourse

LIST = Path(bergamotcourse.__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "
MAX_ENTRIES = 3
"""Limit on the entries, so that the list does not become a backlog of failures."""


def read_known_red(path: Path = LIST) -> dict[str, str]:
    """Return the description of each listed failure by the test's name.

    Raises:
        ValueError: There are too many entries, or one has no description.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    entries = {}
    for line in lines:
        name, _, description = line.partition(SEPARATOR)
        if not description:
            raise ValueError(f"no description of {name}")
        entries[name] = description
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"more than {MAX_ENTRIES} tests are listed")
    return entries
