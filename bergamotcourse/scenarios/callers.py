"""The callers of a scenario: their submissions and the answers they receive."""

import random
import uuid
from dataclasses import dataclass, field

import msgspec
import trio

from bergamotcourse.coordination.ownership import hashed_range
from bergamotcourse.daemons.entry_api import PREFIX_HEADER
from bergamotcourse.daemons.responses import OUTCOME_HEADER
from bergamotcourse.ids import TeamId, submission_id
from bergamotcourse.protocol.problem import Problem
from bergamotcourse.scenarios.commands import KeyKind, Submit
from bergamotcourse.state.lease_rows import RangeRow, range_key
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.virtual.fleet import SERVICE, START_UNIX_MS, TOKEN, VirtualFleet

TEAM = TeamId("barakaldo")
MAX_KEY_ATTEMPTS = 2_000

LOST = "lost"
"""The connection failed or was lost: the caller knows no outcome."""

REFUSED = "refused"
"""The answer carries no outcome."""

GONE = "gone"
"""The caller disconnected before an answer."""


@dataclass
class Copy:
    """One copy of a submission: one request of a caller, and its answer.

    Attributes:
        decided_at: When the entry had decided the answer, in seconds of virtual time.
        answered_at: When the caller received the answer or lost the connection.
        scope: Cancelled when the caller disconnects.
    """

    label: str
    entry: str
    submitted_at: float
    outcome: str = ""
    decided_at: float | None = None
    answered_at: float | None = None
    response: HttpResponse | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    answered: trio.Event = field(default_factory=trio.Event)

    @property
    def body(self) -> bytes:
        """Return the body of the answer."""
        return self.response.body if self.response else b""

    def header(self, name: str) -> str:
        """Return a header of the answer, or ``""`` if it is absent."""
        headers = self.response.headers if self.response else []
        return next((value for key, value in headers if key == name), "")

    def problem(self) -> Problem | None:
        """Return the problem details of the answer, or ``None``."""
        if "problem+json" not in self.header("content-type"):
            return None
        return msgspec.json.decode(self.body, type=Problem)


@dataclass
class Submission:
    """One submission and all its copies.

    Attributes:
        tasks: Names of its tasks in the records of the upstreams.
    """

    command: Submit
    key: str
    tasks: list[str]
    copies: list[Copy] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the name of the submission in the scenario."""
        return self.command.name

    @property
    def repeatable(self) -> bool:
        """Return whether its tasks may be started more than once."""
        return self.command.key is KeyKind.NONE and self.command.idempotent


class Callers:
    """All callers of one scenario."""

    def __init__(self, fleet: VirtualFleet, nursery: trio.Nursery, rng: random.Random):
        self.fleet = fleet
        self.nursery = nursery
        self.rng = rng
        self.submissions: dict[str, Submission] = {}
        self.copies: dict[str, Copy] = {}
        self.prefixes: dict[str, str] = {}

    def submit(self, command: Submit) -> None:
        """Send a new submission."""
        names = [f"{command.name}.{n}" for n in range(command.tasks)]
        key = self._make_key(command)
        submission = Submission(command, key, names or [command.name])
        self.submissions[command.name] = submission
        self._send(submission, command.via, command.name)

    def resubmit(self, name: str, via: str, label: str) -> None:
        """Send another copy of a submission under the same key."""
        submission = self.submissions[name]
        label = label or f"{name}/{len(submission.copies) + 1}"
        self._send(submission, via, label)

    def disconnect(self, label: str) -> None:
        """Disconnect the caller of a copy."""
        self.copies[label].scope.cancel()

    def cancel(self, name: str, via: str) -> None:
        """Request the cancellation of a job from an entry."""
        target = f"/v1/jobs/{self.submissions[name].key}"
        request = HttpRequest("DELETE", target)
        self.nursery.start_soon(self.fleet.call, via, request)

    def _send(self, submission: Submission, via: str, label: str) -> None:
        copy = Copy(label, via, trio.current_time())
        submission.copies.append(copy)
        self.copies[label] = copy
        self.nursery.start_soon(self._call, submission, copy)

    async def _call(self, submission: Submission, copy: Copy) -> None:
        copy.outcome = GONE
        with copy.scope:
            request = self._request(submission)
            await trio.sleep(self.fleet.shape.caller_delay)
            served = await self.fleet.entries[copy.entry].serve(request)
            await trio.sleep(self.fleet.shape.caller_delay)
            copy.outcome = LOST
            if served is not None:
                copy.response = served.response
                copy.decided_at = served.decided_at
                copy.outcome = copy.header(OUTCOME_HEADER) or REFUSED
                prefix = copy.header(PREFIX_HEADER)
                self.prefixes[copy.entry] = prefix or self.prefixes.get(copy.entry, "")
        copy.answered_at = trio.current_time()
        copy.answered.set()

    def _request(self, submission: Submission) -> HttpRequest:
        command = submission.command
        headers = [("authorization", f"Bearer {TOKEN}")]
        if submission.key:
            headers.append(("idempotency-key", submission.key))
        run = f"run_ms={command.run * 1000:g}"
        if command.tasks:
            tasks = [
                {"target": f"/count?{run}", "body": task} for task in submission.tasks
            ]
            body = msgspec.json.encode(
                {
                    "service": SERVICE,
                    "tasks": tasks,
                    "timeout_seconds": command.timeout,
                }
            )
            return HttpRequest("POST", "/v1/jobs", headers, body)
        headers.append(("idempotent", "?1" if command.idempotent else "?0"))
        headers.append(("request-timeout", f"{command.timeout:g}"))
        body = command.name.encode()
        return HttpRequest("POST", f"/s/{SERVICE}/cast?{run}", headers, body)

    def _make_key(self, command: Submit) -> str:
        match command.key:
            case KeyKind.NONE:
                return ""
            case KeyKind.OPAQUE:
                return self._opaque_key(command)
            case KeyKind.UUID7:
                return self._uuid7()
            case KeyKind.HANDED_OUT:
                owner = command.key_owner or command.via
                prefix = self.prefixes.get(owner, "")
                prefix = self.fleet.entries[owner].entry.key_prefix() or prefix
                return prefix + command.name if prefix else self._uuid7()

    def _uuid7(self) -> str:
        made_ms = START_UNIX_MS + int(trio.current_time() * 1000)
        random_bits = self.rng.getrandbits(80)
        value = (made_ms << 80) | random_bits
        value = (value & ~(0xF << 76)) | (7 << 76)
        value = (value & ~(0x3 << 62)) | (2 << 62)
        return str(uuid.UUID(int=value))

    def _opaque_key(self, command: Submit) -> str:
        """Return a key whose range ``key_owner`` owns, or any key if none is found."""
        for number in range(MAX_KEY_ATTEMPTS):
            key = f"{command.name}-{number}"
            if (
                not command.key_owner
                or self._opaque_key_owner(key) == command.key_owner
            ):
                return key
        return command.name

    def _opaque_key_owner(self, key: str) -> str:
        """Return the name of the entry that owns the range of an opaque key."""
        return owner_name(self.fleet, hashed_range(submission_id(TEAM, key)))


def owner_name(fleet: VirtualFleet, range_id: int) -> str:
    """Return the entry that owns a range according to the platform's table."""
    row = fleet.platform.table.get(range_key(range_id))
    if row.value is None:
        return ""
    owner = msgspec.json.decode(row.value, type=RangeRow).owner
    return owner.rpartition("-")[0]
