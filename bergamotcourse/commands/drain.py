"""``drain``: take something out of service by a configuration change."""

from dataclasses import dataclass, field
from functools import partial

import click
import trio
from expression import Result

from bergamotcourse.commands.admin_client import read_statuses, read_token
from bergamotcourse.commands.announce import with_announcement
from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_apply_outcome, echo_error
from bergamotcourse.commands.status import exit_code
from bergamotcourse.coordination.config_store import ApplyOutcome, LostRace
from bergamotcourse.coordination.drain_changes import add_drain, cancel_drain
from bergamotcourse.errors import StepError
from bergamotcourse.protocol.drain_progress import DrainProgress, drain_progress
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.protocol.status import EntryStatus
from bergamotcourse.state.manifest import Drain

PROGRESS_POLL_SECONDS = 0.5


@dataclass(frozen=True)
class DrainOptions:
    """Options of the command.

    Attributes:
        platform: Address of the platform, ``IP:PORT``.
        who: Author of the change, for the audit trail.
        reason: Reason for the change, for the audit trail.
        cancel: Cancel the drain instead of starting it.
        entries: Addresses of admin listeners, queried for load and progress.
        token_file: File with the bearer token; ``None`` for the environment.
        wait_seconds: Longest wait until no task runs there; 0 for no wait.
        force: Drain even if the remaining slots cannot carry the load.
        dry_run: Compare only; write nothing.
    """

    drain: Drain
    platform: str
    who: str
    reason: str
    cancel: bool = False
    entries: list[str] = field(default_factory=list)
    token_file: str | None = None
    wait_seconds: float = 0.0
    force: bool = False
    dry_run: bool = False
    json: bool = False


def drain(options: DrainOptions, opener: Opener = open_platform) -> int:
    """Start or cancel a drain; return the exit code."""
    token = ""
    if options.entries:
        read = read_token(options.token_file)
        if read.is_error():
            return echo_error(read.error, options.json)
        token = read.ok
    if not options.cancel:
        refusal = _check_load(options, token)
        if refusal is not ExitCode.OK:
            return refusal
    change = with_announcement(options.platform, partial(_apply_change, options))
    accepted = call_platform(options.platform, opener, change)
    code = echo_apply_outcome(accepted, options.json)
    should_wait = options.wait_seconds and options.entries and not options.dry_run
    if code is not ExitCode.OK or not should_wait or isinstance(accepted.ok, LostRace):
        return code
    return trio.run(_wait_until_done, options, token, accepted.ok.version)


async def _apply_change(
    options: DrainOptions, platform: Platform
) -> Result[ApplyOutcome, StepError]:
    change = cancel_drain if options.cancel else add_drain
    return await change(
        platform, options.drain, options.who, options.reason, options.dry_run
    )


def _check_load(options: DrainOptions, token: str) -> ExitCode:
    """Refuse a drain whose remaining slots cannot carry the reported load."""
    if not options.entries:
        _echo_stderr("warning: no --entry given, so the load was not checked")
        return ExitCode.OK
    replies = trio.run(read_statuses, options.entries, token)
    for reply in replies:
        if reply.result.is_error():
            _echo_stderr(f"error: {reply.result.error}")
    code = exit_code(replies)
    if code is not ExitCode.OK and not options.force:
        _echo_stderr("the load could not be checked; nothing was drained (see --force)")
        return code
    entries = [reply.result.ok for reply in replies if reply.result.is_ok()]
    return _check_remaining_capacity(options, drain_progress(options.drain, entries))


def _check_remaining_capacity(
    options: DrainOptions, progress: DrainProgress
) -> ExitCode:
    if not progress.covered:
        _echo_stderr(
            f"warning: no upstream known now is in {_drain_label(options.drain)}"
        )
    for overload in progress.overloaded:
        _echo_stderr(
            f"warning: {overload.service} has {overload.load} tasks now, and"
            f" {overload.slots} slots would remain"
        )
    if progress.overloaded and not options.force:
        _echo_stderr("nothing was drained; give --force to drain anyway")
        return ExitCode.OVERLOAD
    return ExitCode.OK


async def _wait_until_done(options: DrainOptions, token: str, version: int) -> ExitCode:
    """Show progress until the change is in force and no task runs there."""
    last = ""
    with trio.move_on_after(options.wait_seconds):
        while True:
            replies = await read_statuses(options.entries, token)
            entries = [reply.result.ok for reply in replies if reply.result.is_ok()]
            line, done = _describe_progress(options, entries, version)
            if line != last:
                _echo_stderr(line)
                last = line
            if done:
                return ExitCode.OK
            await trio.sleep(PROGRESS_POLL_SECONDS)
    _echo_stderr(
        f"not done after {options.wait_seconds:g} s; the change stays in force"
    )
    return ExitCode.TIMED_OUT


def _describe_progress(
    options: DrainOptions, entries: list[EntryStatus], version: int
) -> tuple[str, bool]:
    """Return a line of progress, and whether the change is complete."""
    informed = sum(1 for entry in entries if entry.config.version >= version)
    everywhere = informed == len(options.entries)
    line = f"version {version} in force at {informed} of {len(options.entries)} entries"
    if options.cancel:
        return line, everywhere
    progress = drain_progress(options.drain, entries)
    count = len(progress.covered)
    line += f"; {progress.running} tasks run at {count} upstreams"
    return line, everywhere and not progress.running


def _drain_label(drain: Drain) -> str:
    return f"{drain.kind.value} {drain.name}"


def _echo_stderr(line: str) -> None:
    click.echo(line, err=True)
