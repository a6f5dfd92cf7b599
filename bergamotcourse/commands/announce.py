"""Telling the entries of a change by the command that had it accepted."""

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

ANY_PORT = 0

Change = Callable[[Platform], Awaitable[Result[ApplyOutcome, StepError]]]
LinkOpener = Callable[[str], Link]


def open_link(platform: str) -> Link:
    """Return a link on the IP number by which this machine reaches the platform."""
    listen = parse_address(platform).ok
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as probe:
        probe.connect((listen.host, listen.port))
        return NngLink(probe.getsockname()[0], ANY_PORT)


def announced(platform: str, change: Change, opener: LinkOpener = open_link) -> Change:
    """Return a change that tells the entries at once if it is accepted.

    Args:
        platform: Address of the platform, ``IP:PORT``.
        change: Has a configuration accepted.
        opener: Opens the link to the entries.
    """

    async def run(store: Platform) -> Result[ApplyOutcome, StepError]:
        rows = (await read_lease_rows(store)).default_value([])
        accepted = await change(store)
        match accepted:
            case Result(tag="ok", ok=Applied(accepted=news)) if news and rows:
                entries = [LinkAddress(row.address) for row in rows]
                await announce(opener(platform), store, entries, news)
        return accepted

    return run


def echo_in_force(
    accepted: Result[ApplyOutcome, StepError],
    platform: str,
    opener: Opener,
    seconds: float,
    json: bool,
) -> int:
    """Wait until an accepted version is in force everywhere; return the exit code."""
    match accepted:
        case Result(tag="ok", ok=Applied(version=version, dry_run=False)):
            pass
        case Result(tag="ok", ok=Unchanged(version=version)):
            pass
        case _:
            return ExitCode.OK

    async def wait(store: Platform) -> Result[InForceReport, StepError]:
        return await wait_in_force(store, ConfigVersion(version), seconds)

    found = call_platform(platform, opener, wait)
    if found.is_error():
        return echo_error(found.error, json)
    _echo_report(found.ok, json)
    return ExitCode.OK if found.ok.everywhere else ExitCode.TIMED_OUT


def _echo_report(report: InForceReport, json: bool) -> None:
    if json:
        echo_json(report)
        return
    line = f"version {report.version} in force at {report.current} of {report.total}"
    lagging = f", lagging: {', '.join(report.lagging)}" if report.lagging else ""
    click.echo(f"{line} entries{lagging}")
