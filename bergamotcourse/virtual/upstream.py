"""An agent's client of its upstream, which calls the stand-in's handler."""

from collections.abc import Callable

import trio
from expression import Error, Ok, Result

from bergamotcourse.errors import Step
from bergamotcourse.standins.upstream import StandInUpstream
from bergamotcourse.transport.http import HttpError, HttpRequest, HttpResponse, Sent
from bergamotcourse.virtual.pause import ExternalCalls

SAME_HOST_DELAY_SECONDS = 0.0001


class VirtualUpstream:
    """The client that one agent process uses to call its upstream.

    Requests that an agent sent before it died are still served, because the upstream
    survives its agent.

    Attributes:
        external_calls: Runs the requests, which outlive the agent process.
        down: Whether it refuses connections. Running requests are cut off, and their
            outcomes are unknown.
        leaving: Whether it told its agent that it leaves; it is not announced again.
        release: The release that it announces.
        calls: Cancel scopes of the requests in progress.
        on_start: Called with each request that reaches the upstream.
    """

    def __init__(self, upstream: StandInUpstream, external_calls: ExternalCalls):
        self.upstream = upstream
        self.external_calls = external_calls
        self.down = False
        self.leaving = False
        self.release = ""
        self.calls: set[trio.CancelScope] = set()
        self.on_start: Callable[[HttpRequest], None] = lambda _request: None

    def kill(self) -> None:
        """Stop at once: cut off running requests and refuse new ones."""
        self.down = True
        for scope in self.calls:
            scope.cancel()

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, HttpError]:
        """Send one request, with a timeout in seconds."""
        await self.external_calls.pause.wait_until_thawed()
        if self.down:
            detail = "connection refused"
            return Error(self._error(Step.CONNECT, detail, Sent.NOTHING))
        scope = trio.CancelScope()
        try:
            with trio.move_on_after(timeout):
                answer = await self.external_calls.run_detached(
                    lambda: self._serve(request, scope)
                )
                if answer is not None:
                    return Ok(answer)
        finally:
            # A caller that stops waiting closes the connection, which ends the request.
            # If the whole agent ended, the request is served to its end.
            if not self.external_calls.ended:
                scope.cancel()
        return Error(self._error(Step.RECEIVE, "cut or timed out", Sent.MAYBE))

    async def aclose(self) -> None:
        """Do nothing: there are no connections."""

    async def _serve(
        self, request: HttpRequest, scope: trio.CancelScope
    ) -> HttpResponse | None:
        with scope:
            self.calls.add(scope)
            try:
                await trio.sleep(SAME_HOST_DELAY_SECONDS)
                self.on_start(request)
                return await self.upstream.handle(request)
            finally:
                self.calls.discard(scope)
        return None

    def _error(self, step: Step, detail: str, sent: Sent) -> HttpError:
        return HttpError(step, self.upstream.name, detail, sent)
