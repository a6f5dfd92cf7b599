"""``diff``: compare a manifest with the accepted one, or with another file."""

from dataclasses import dataclass

import click
from expression import Error, Result

from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.manifest_file import read_manifest_file
from bergamotcourse.commands.output import (
    echo_changes,
    echo_error,
    echo_invalid,
    echo_json,
)
from bergamotcourse.coordination.config_reports import DiffReport
from bergamotcourse.coordination.config_rows import read_head_row, read_manifest
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.manifest import Manifest
from bergamotcourse.state.manifest_diff import diff_manifests


@dataclass(frozen=True)
class AcceptedConfig:
    """The accepted configuration and its version."""

    version: ConfigVersion
    manifest: Manifest


def diff(
    file: str, platform: str, json: bool = False, opener: Opener = open_platform
) -> int:
    """Compare a manifest with the accepted one; return the exit code.

    Args:
        file: The manifest, or ``-`` for stdin.
        platform: Address of the platform, ``IP:PORT``.
        json: Write JSON instead of text.
        opener: Opens the connection to the platform.
    """
    loaded = read_manifest_file(file)
    if loaded.is_error():
        return echo_invalid(loaded.error, json)
    base = call_platform(platform, opener, _read_accepted)
    if base.is_error():
        return echo_error(base.error, json)
    changes = diff_manifests(base.ok.manifest, loaded.ok.manifest)
    if not json:
        click.echo(f"compared with accepted version {base.ok.version}:")
    return _echo_diff(DiffReport(base.ok.version, changes), json)


def diff_files(old: str, new: str, json: bool = False) -> int:
    """Compare two manifest files; return the exit code."""
    before, after = read_manifest_file(old), read_manifest_file(new)
    for loaded in (before, after):
        if loaded.is_error():
            return echo_invalid(loaded.error, json)
    changes = diff_manifests(before.ok.manifest, after.ok.manifest)
    return _echo_diff(DiffReport(0, changes), json)


async def _read_accepted(platform: Platform) -> Result[AcceptedConfig, StepError]:
    current = await read_head_row(platform)
    if current.is_error():
        return Error(current.error)
    head = current.ok[1]
    content = await read_manifest(platform, head)
    return content.map(lambda manifest: AcceptedConfig(head.version, manifest))


def _echo_diff(report: DiffReport, json: bool) -> ExitCode:
    if json:
        echo_json(report)
    elif report.changes.sorted_by_path():
        echo_changes(report.changes)
    else:
        click.echo("no difference")
    return ExitCode.DIFFERENT if report.changes.sorted_by_path() else ExitCode.OK
