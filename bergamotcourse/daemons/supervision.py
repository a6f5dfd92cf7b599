"""Restarts background tasks that read what other programs have written."""

from collections.abc import Awaitable, Callable

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.timers import Subscription, Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import AnyMessage

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


def log_failures(log: EventLog, mailer: Mailer, timers: Timers) -> None:
    """Log exceptions of message handlers and of subscribers, which then go on."""

    def message_failed(
        sender: LinkAddress, message: AnyMessage, error: Exception
    ) -> None:
        kind = type(message).__name__
        why = describe_error(error)
        log.write("message.failed", peer=sender, kind=kind, error=why)

    def subscriber_failed(subscription: Subscription, error: Exception) -> None:
        why = describe_error(error)
        log.write("task.failed", name=subscription.name, error=why)

    mailer.on_failed = message_failed
    timers.on_failed = subscriber_failed
