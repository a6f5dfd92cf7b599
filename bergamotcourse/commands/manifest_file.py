"""Reads the manifest file named on the command line."""

from pathlib import Path

from expression import Result

from bergamotcourse.commands.output import read_stdin
from bergamotcourse.state.issues import Issue
from bergamotcourse.state.manifest_checks import ParsedManifest, parse_manifest
from bergamotcourse.state.yaml_text import read_text

STDIN = "-"


def read_manifest_file(path: str) -> Result[ParsedManifest, list[Issue]]:
    """Read and parse a manifest file, or stdin for ``-``."""
    if path == STDIN:
        return parse_manifest(read_stdin(), "stdin")
    return read_text(path).bind(lambda text: parse_manifest(text, Path(path).name))
