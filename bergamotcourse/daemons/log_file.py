"""Where eliot's log lines go."""

import sys

import eliot


def open_log(path: str) -> None:
    """Send eliot's log lines to a file, or to standard error for ``-``."""
    target = sys.stderr if path == "-" else open(path, "a", buffering=1)  # noqa: SIM115
    eliot.to_file(target)
