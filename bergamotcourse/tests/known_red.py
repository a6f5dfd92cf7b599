"""Tests that are known to fail, as KNOWN-RED.txt lists them."""

from pathlib import Path

import bergamotcourse

LIST = Path(bergamotcourse.__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "
MOST = 3
"""Entries; with more the list would become a place to put things off to."""


def read_known_red(path: Path = LIST) -> dict[str, str]:
    """Return what is told of each listed test, by the test's name.

    Raises:
        ValueError: There are too many, or one tells nothing.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    entries = {}
    for line in lines:
        name, _, story = line.partition(SEPARATOR)
        if not story:
            raise ValueError(f"nothing is told of {name}")
        entries[name] = story
    if len(entries) > MOST:
        raise ValueError(f"more than {MOST} tests are listed")
    return entries
