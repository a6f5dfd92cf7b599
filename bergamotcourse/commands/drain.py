"""``drain``: take something out of service as a change of the configuration."""

from dataclasses import dataclass, field
from functools import partial

import click
import trio
from expression import Result

from bergamotcourse.commands.admin_client import read_statuses, read_token
from bergamotcourse.commands.announce import announced
from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_accepted, echo_error
from bergamotcourse.commands.status import exit_code
from bergamotcourse.coordination.config_store import ApplyOutcome, LostRace
from bergamotcourse.coordination.drain_changes import add_drain, cancel_drain
from bergamotcourse.errors import StepError
from bergamotcourse.protocol.drain_progress import DrainProgress, drain_progress
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.protocol.status import EntryStatus
from bergamotcourse.state.manifest import Drain

POLL_SECONDS = 0.5


@dataclass(frozen=True)
class DrainOrder:
    """What the command is told.

    Attributes:
        platform: Address of the platform, ``IP:PORT``.
        who: Who makes the change, for the audit trail.
        reason: Why, for the audit trail.
        cancel: Cancel the drain instead.
        entries: Addresses of admin listeners, whose status tells load and progress.
        token_file: Where the bearer token is; ``None`` for the environment.
        wait_seconds: Wait for so long until nothing runs there; 0 for no wait.
        force: Drain also where what remains cannot carry the load.
        dry_run: Change nothing.
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


def drain(order: DrainOrder, opener: Opener = open_platform) -> int:
    """Drain or cancel a drain; return the exit code."""
    token = ""
    if order.entries:
        read = read_token(order.token_file)
        if read.is_error():
            return echo_error(read.error, order.json)
        token = read.ok
    if not order.cancel:
        refusal = _check_load(order, token)
        if refusal is not ExitCode.OK:
            return refusal
    change = announced(order.platform, partial(_change, order))
    accepted = call_platform(order.platform, opener, change)
    code = echo_accepted(accepted, order.json)
    waits = order.wait_seconds and order.entries and not order.dry_run
    if code is not ExitCode.OK or not waits or isinstance(accepted.ok, LostRace):
        return code
    return trio.run(_wait, order, token, accepted.ok.version)


async def _change(
    order: DrainOrder, platform: Platform
) -> Result[ApplyOutcome, StepError]:
    change = cancel_drain if order.cancel else add_drain
    return await change(platform, order.drain, order.who, order.reason, order.dry_run)


def _check_load(order: DrainOrder, token: str) -> ExitCode:
    """Refuse a drain that leaves too little, as far as the entries can tell."""
    if not order.entries:
        _say("warning: no --entry given, so the load was not checked")
        return ExitCode.OK
    replies = trio.run(read_statuses, order.entries, token)
    for reply in replies:
        if reply.result.is_error():
            _say(f"error: {reply.result.error}")
    code = exit_code(replies)
    if code is not ExitCode.OK and not order.force:
        _say("the load could not be checked; nothing was drained (see --force)")
        return code
    entries = [reply.result.ok for reply in replies if reply.result.is_ok()]
    return _judge(order, drain_progress(order.drain, entries))


def _judge(order: DrainOrder, progress: DrainProgress) -> ExitCode:
    if not progress.covered:
        _say(f"warning: no upstream known now is in {_name(order.drain)}")
    for one in progress.overloaded:
        _say(
            f"warning: {one.service} has {one.load} tasks now, and {one.slots} slots"
            " would remain"
        )
    if progress.overloaded and not order.force:
        _say("nothing was drained; give --force to drain anyway")
        return ExitCode.OVERLOAD
    return ExitCode.OK


async def _wait(order: DrainOrder, token: str, version: int) -> ExitCode:
    """Show the progress until the change is in force and nothing runs there."""
    last = ""
    with trio.move_on_after(order.wait_seconds):
        while True:
            replies = await read_statuses(order.entries, token)
            entries = [reply.result.ok for reply in replies if reply.result.is_ok()]
            line, done = _describe(order, entries, version)
            if line != last:
                _say(line)
                last = line
            if done:
                return ExitCode.OK
            await trio.sleep(POLL_SECONDS)
    _say(f"not done after {order.wait_seconds:g} s; the change stays in force")
    return ExitCode.TIMED_OUT


def _describe(
    order: DrainOrder, entries: list[EntryStatus], version: int
) -> tuple[str, bool]:
    """Return the progress in words, and whether the change is done."""
    informed = sum(1 for entry in entries if entry.config.version >= version)
    everywhere = informed == len(order.entries)
    line = f"version {version} in force at {informed} of {len(order.entries)} entries"
    if order.cancel:
        return line, everywhere
    progress = drain_progress(order.drain, entries)
    count = len(progress.covered)
    line += f"; {progress.running} tasks run at {count} upstreams"
    return line, everywhere and not progress.running


def _name(drain: Drain) -> str:
    return f"{drain.kind.value} {drain.name}"


def _say(line: str) -> None:
    click.echo(line, err=True)
