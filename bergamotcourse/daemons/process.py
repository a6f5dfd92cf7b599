"""Shared by all daemons: HTTP listeners, signals and the graceful stop."""

import signal
from collections.abc import Awaitable, Callable

import trio

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.transport.http_server import HttpServer

INTERRUPTS_TO_ABORT = 2
POLL_SECONDS = 0.05


async def serve_http(server: HttpServer) -> None:
    """Serve HTTP until cancelled or stopped.

    Raises:
        BergamotcourseError: Listening on the address failed.
    """
    address = f"{server.host}:{server.port}"
    try:
        await server.run()
    except OSError as error:
        detail = error.strerror or str(error)
        raise BergamotcourseError(StepError(Step.ACCEPT, address, detail)) from error


async def wait_until(condition: Callable[[], bool], timeout: float) -> bool:
    """Wait up to ``timeout`` seconds for a condition; return whether it holds."""
    with trio.move_on_after(timeout):
        while not condition():
            await trio.sleep(POLL_SECONDS)
    return condition()


async def watch_signals(
    stop: Callable[[], Awaitable[None]], scope: trio.CancelScope
) -> None:
    """Stop gracefully on SIGTERM or SIGINT; abort on a second SIGINT.

    Raises:
        KeyboardInterrupt: A second SIGINT was received.
    """
    interrupts = 0
    stopping = False
    ignore_sigterm_after_receiver()
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                interrupts += number == signal.SIGINT
                if interrupts >= INTERRUPTS_TO_ABORT:
                    raise KeyboardInterrupt
                if not stopping:
                    stopping = True
                    nursery.start_soon(_stop, stop, scope)


def ignore_sigterm_after_receiver() -> None:
    """Ignore SIGTERM once the signal receiver has closed.

    A signal receiver restores the previous handlers when it closes; the default
    handler would kill a process that has stopped gracefully and is about to exit.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def _stop(stop: Callable[[], Awaitable[None]], scope: trio.CancelScope) -> None:
    await stop()
    scope.cancel()
