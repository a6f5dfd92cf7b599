"""``submit``: send a job or session request under a key and print the answer.

The idempotency key makes retries safe: after a lost connection the same request is
sent to the next entry, and tasks that have already run do not run again.
"""

import sys
from dataclasses import dataclass, field
from urllib.parse import quote

import click
import trio
import uuid6
from expression import Error, Ok, Result

from bergamotcourse.commands.admin_client import problem_detail, read_token
from bergamotcourse.commands.connect import parse_address
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_error
from bergamotcourse.commands.submit_file import PreparedRequest, read_request_file
from bergamotcourse.errors import StepError
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient

LONG_POLL_SECONDS = 10
"""Duration of one long poll; each poll costs a request and an answer."""

LONG_POLL_GRACE_SECONDS = 5.0
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0
MAX_RESUBMISSIONS = 3
"""How often a job that no entry knows is submitted again."""

ACCEPTED = 202
OUTCOME_HEADER = "bergamotcourse-outcome"
REFUSED_STATUSES = (401, 403)
EXECUTED_OUTCOMES = (Outcome.DONE.value, Outcome.FAILED.value)

EXIT_CODES_BY_OUTCOME = {
    Outcome.DONE.value: ExitCode.OK,
    Outcome.FAILED.value: ExitCode.FAILED,
    Outcome.NOT_RUN.value: ExitCode.NOT_RUN,
    Outcome.UNKNOWN.value: ExitCode.UNKNOWN,
}


@dataclass(frozen=True)
class SubmitOptions:
    """Options of the command.

    Attributes:
        entries: Addresses of the entries' listeners for callers, tried in turn.
        key: The idempotency key; ``""`` for a new one.
        token_file: File with the bearer token; ``None`` for the environment.
        wait_seconds: Longest wait for the final answer.
    """

    file: str
    entries: list[str]
    key: str = ""
    token_file: str | None = None
    wait_seconds: float = 300.0


@dataclass
class Submitter:
    """Sends a request, and retries it, until there is a final answer.

    Attributes:
        timeout: Seconds to wait for the answer to one request.
        entry_index: Index of the current entry, modulo the number of entries.
        backoff_seconds: Pause before the next retry.
    """

    prepared: PreparedRequest
    key: str
    token: str
    clients: list[HttpClient]
    timeout: float
    entry_index: int = 0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    started_at: float = field(default_factory=trio.current_time)

    async def run(self) -> HttpResponse:
        """Return the final answer, or the last one received if none was final."""
        response = await self._submit()
        for _ in range(MAX_RESUBMISSIONS):
            if response.status != ACCEPTED:
                return response
            answer = await self._poll()
            if not _is_unknown_submission(answer):
                return answer
            # The entry that held the job is gone. Under the same key, a new submission
            # joins the earlier run if there is one, and otherwise runs the job.
            await self._back_off()
            response = await self._submit()
        return answer if response.status == ACCEPTED else response

    async def _submit(self) -> HttpResponse:
        headers = [("idempotency-key", self.key)]
        if self.prepared.job:
            headers.append(("prefer", "respond-async"))
        return await self._send_until_answered(
            self.prepared.request(headers), self.timeout
        )

    async def _poll(self) -> HttpResponse:
        """Poll the job until it has ended and return its answer."""
        target = f"{self.prepared.target}/{quote(self.key, safe='')}"
        while True:
            request = HttpRequest("GET", f"{target}?wait={LONG_POLL_SECONDS}")
            poll_timeout = LONG_POLL_SECONDS + LONG_POLL_GRACE_SECONDS
            response = await self._send_until_answered(request, poll_timeout)
            if response.status != ACCEPTED:
                return response
            self._show_progress()

    async def _send_until_answered(
        self, request: HttpRequest, timeout: float
    ) -> HttpResponse:
        """Send a request to the entries in turn until one answers."""
        request.headers.append(("authorization", f"Bearer {self.token}"))
        while True:
            client = self.clients[self.entry_index % len(self.clients)]
            match await client.request(request, timeout):
                case Result(tag="ok", ok=response):
                    self.backoff_seconds = INITIAL_BACKOFF_SECONDS
                    return response
                case Result(error=error):
                    click.echo(f"{error}; asking again under the same key", err=True)
            self.entry_index += 1
            await self._back_off()

    async def _back_off(self) -> None:
        await trio.sleep(self.backoff_seconds)
        self.backoff_seconds = min(2 * self.backoff_seconds, MAX_BACKOFF_SECONDS)

    def _show_progress(self) -> None:
        if sys.stderr.isatty():
            seconds = trio.current_time() - self.started_at
            click.echo(f"\r{self.key}: runs, {seconds:.0f} s", err=True, nl=False)


def submit(options: SubmitOptions) -> int:
    """Send a request and print its answer; return the exit code for its outcome."""
    token = read_token(options.token_file)
    if token.is_error():
        return echo_error(token.error, False)
    prepared = read_request_file(options.file)
    if prepared.is_error():
        click.echo(f"error: {prepared.error}; nothing was sent", err=True)
        return ExitCode.INVALID
    key = options.key or str(uuid6.uuid7())
    click.echo(f"key: {key}", err=True)
    answer = trio.run(_run, options, prepared.ok, key, token.ok)
    if answer.is_error():
        return echo_error(answer.error, False)
    if answer.ok is None:
        detail = f"no answer in {options.wait_seconds:g} s; ask again with --key {key}"
        click.echo(detail, err=True)
        return ExitCode.TIMED_OUT
    return _echo_answer(answer.ok)


async def _run(
    options: SubmitOptions, prepared: PreparedRequest, key: str, token: str
) -> Result[HttpResponse | None, StepError]:
    """Return the final answer, or ``None`` after the longest wait."""
    clients = []
    for address in options.entries:
        parsed = parse_address(address)
        if parsed.is_error():
            return Error(parsed.error)
        clients.append(HttpClient(parsed.ok.host, parsed.ok.port))
    submitter = Submitter(prepared, key, token, clients, options.wait_seconds)
    try:
        with trio.move_on_after(options.wait_seconds):
            return Ok(await submitter.run())
        return Ok(None)
    finally:
        with trio.CancelScope(shield=True):
            for client in clients:
                await client.aclose()


def _echo_answer(response: HttpResponse) -> ExitCode:
    code = exit_code_for_answer(response)
    if code is ExitCode.OK or code is ExitCode.FAILED:
        click.get_binary_stream("stdout").write(response.body + b"\n")
        return code
    click.echo(response.body.decode(errors="replace"))
    click.echo(f"error: {problem_detail(response)}", err=True)
    return code


def exit_code_for_answer(response: HttpResponse) -> ExitCode:
    """Return the exit code for an answer, by its outcome if it has one."""
    if response.status in REFUSED_STATUSES:
        return ExitCode.FORBIDDEN
    outcome = dict(response.headers).get(OUTCOME_HEADER, "")
    invalid = 400 <= response.status < 500
    if invalid and outcome not in EXECUTED_OUTCOMES:
        return ExitCode.INVALID
    return EXIT_CODES_BY_OUTCOME.get(outcome, ExitCode.UNKNOWN)


def _is_unknown_submission(response: HttpResponse) -> bool:
    """Return whether no entry currently knows the submission."""
    unknown = dict(response.headers).get(OUTCOME_HEADER, "") == Outcome.UNKNOWN.value
    return unknown and b'"tasks"' not in response.body
