"""Announcement of an accepted change to the entries by the command."""

import socket
from collections.abc import Awaitable, Callable

import click
from expression import Result

from bergamotcourse.commands.connect import Opener, call_platform, parse_address
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_error, echo_json
from bergamotcourse.coordination.config_announce import announce
from bergamotcourse.coordination.config_store import Applied, ApplyOutcome, Unchanged
from bergamotcourse.coordination.in_force import (
    InForceReport,
    read_lease_rows,
    wait_in_force,
)
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.transport.link import Link
from bergamotcourse.transport.nng_link import NngLink

EPHEMERAL_PORT = 0

ConfigChange = Callable[[Platform], Awaitable[Result[ApplyOutcome, StepError]]]
LinkOpener = Callable[[str], Link]


def open_link(platform: str) -> Link:
    """Open a link on the local IP number that routes to the platform."""
    platform_address = parse_address(platform).ok
    family = socket.AF_INET6 if ":" in platform_address.host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as probe:
        probe.connect((platform_address.host, platform_address.port))
        return NngLink(probe.getsockname()[0], EPHEMERAL_PORT)


def with_announcement(
    platform: str, change: ConfigChange, opener: LinkOpener = open_link
) -> ConfigChange:
    """Wrap a change so that the entries are notified as soon as it is accepted.

    Args:
        platform: Address of the platform, ``IP:PORT``.
        change: Submits a configuration to the platform.
        opener: Opens the link to the entries.
    """

    async def run(store: Platform) -> Result[ApplyOutcome, StepError]:
        rows = (await read_lease_rows(store)).default_value([])
        accepted = await change(store)
        match accepted:
            case Result(tag="ok", ok=Applied(accepted=accepted_version)) if (
                accepted_version and rows
            ):
                entries = [LinkAddress(row.address) for row in rows]
                await announce(opener(platform), store, entries, accepted_version)
        return accepted

    return run


def echo_in_force(
    accepted: Result[ApplyOutcome, StepError],
    platform: str,
    opener: Opener,
    seconds: float,
    json: bool,
) -> int:
    """Wait for all entries to have a version in force; return the exit code."""
    match accepted:
        case Result(tag="ok", ok=Applied(version=version, dry_run=False)):
            pass
        case Result(tag="ok", ok=Unchanged(version=version)):
            pass
        case _:
            return ExitCode.OK

    async def wait(store: Platform) -> Result[InForceReport, StepError]:
        return await wait_in_force(store, ConfigVersion(version), seconds)

    reported = call_platform(platform, opener, wait)
    if reported.is_error():
        return echo_error(reported.error, json)
    _echo_in_force_report(reported.ok, json)
    return ExitCode.OK if reported.ok.everywhere else ExitCode.TIMED_OUT


def _echo_in_force_report(report: InForceReport, json: bool) -> None:
    if json:
        echo_json(report)
        return
    line = f"version {report.version} in force at {report.current} of {report.total}"
    lagging = f", lagging: {', '.join(report.lagging)}" if report.lagging else ""
    click.echo(f"{line} entries{lagging}")
