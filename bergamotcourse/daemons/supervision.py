"""Restarts background tasks that read what other programs have written."""

from collections.abc import Awaitable, Callable

import trio

from bergamotcourse.coordination.event_log import EventLog

RESTART_PAUSE_SECONDS = 1.0

MAX_ERROR_CHARACTERS = 200
"""An error may contain what it was raised for."""


def describe_error(error: Exception) -> str:
    """Return the type and the text of an error, of bounded length."""
    return repr(error)[:MAX_ERROR_CHARACTERS]


async def run_supervised(
    name: str, log: EventLog, call: Callable[..., Awaitable[None]], *args
) -> None:
    """Run a task to its end, and start it again after each exception.

    An exception in one task would otherwise end the process, and again after each
    restart of it for as long as what the task reads stays the same.

    Args:
        name: Name of the task in the log.
        log: Receives each exception.
        call: The task.
        args: Passed to ``call``.
    """
    while True:
        try:
            return await call(*args)
        except Exception as error:
            log.write("task.failed", name=name, error=describe_error(error))
            await trio.sleep(RESTART_PAUSE_SECONDS)
