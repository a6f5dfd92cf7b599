"""The platform over HTTP, with timeouts, retries and a circuit breaker.

Reads, and writes of objects, whose content never changes, are idempotent and are
retried. A transaction is not idempotent; ``platform_transaction`` describes what
happens after an unknown outcome.
"""

import random
import secrets
from dataclasses import dataclass, replace
from functools import partial

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step
from bergamotcourse.protocol.attempts import Attempts, RetryLimits
from bergamotcourse.protocol.circuit_breaker import CircuitBreaker
from bergamotcourse.protocol.platform import (
    Changes,
    Committed,
    Conflict,
    PlatformError,
    Row,
    Write,
)
from bergamotcourse.protocol.platform_channel import (
    CallError,
    PlatformChannel,
    Requester,
)
from bergamotcourse.protocol.platform_transaction import Transaction
from bergamotcourse.protocol.platform_wire import (
    GET_TARGET,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    GetAnswer,
    GetCall,
    SincePage,
    SinceQuery,
    StoredRow,
    TransactCall,
    object_target,
)
from bergamotcourse.transport.http_client import HttpClient

WRITER_ID_BYTES = 8


@dataclass(frozen=True)
class PlatformClientSettings(RetryLimits):
    """Limits of the client; times in seconds.

    Attributes:
        breaker_failures: Consecutive failures that open the circuit breaker.
        breaker_pause: Time from the opening of the breaker until a probe.
        page_limit: Number of rows requested in one page of changes.
    """

    breaker_failures: int = 5
    breaker_pause: float = 1.0
    page_limit: int = 1000


class PlatformClient:
    """Implements ``Platform`` over HTTP.

    A transaction carries a writer id, which the platform stores with each written
    row. After a lost answer the client reads a row back and sees which transaction
    wrote it last. ``transact`` reports ``took_effect`` as ``False`` only if no copy of
    the transaction can have reached the platform, or every copy was refused without
    effect.

    Each call takes at most ``settings.timeout``, except for ``read_since``, where the
    timeout holds for each page.

    Attributes:
        breaker: Circuit breaker shared by all calls.
    """

    def __init__(
        self,
        http: Requester,
        client: str,
        peer: str = "platform",
        settings: PlatformClientSettings | None = None,
        rng: random.Random | None = None,
    ):
        """Initialise the client.

        Args:
            http: Sends the requests.
            client: The name of this process, which is sent with each call.
            peer: The platform's name in errors.
            settings: The limits.
            rng: Source of the jitter of the backoff.
        """
        self.settings = settings or PlatformClientSettings()
        self.rng = rng or random.Random()
        self.breaker = CircuitBreaker(
            self.settings.breaker_failures, self.settings.breaker_pause
        )
        self.channel = PlatformChannel(http, client, peer, self.breaker)

    @classmethod
    def connect(
        cls,
        host: str,
        port: int,
        client: str,
        settings: PlatformClientSettings | None = None,
        rng: random.Random | None = None,
    ) -> "PlatformClient":
        """Return a client of the platform at an IP address and port."""
        http = HttpClient(host, port)
        return cls(http, client, http.peer, settings, rng)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.channel.http.aclose()

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflict, PlatformError]:
        """Apply all writes atomically, or none if any expected version differs."""
        call = TransactCall(secrets.token_hex(WRITER_ID_BYTES), writes)
        attempts = self._attempts()
        return await Transaction(self.channel, self._get_stored, call, attempts).run()

    async def get(self, keys: list[str]) -> Result[list[Row], PlatformError]:
        """Return one row for each key, in order; missing rows are ``ABSENT``."""
        stored = await self._get_stored(keys)
        return stored.map(lambda rows: [row.row() for row in rows])

    async def read_since(
        self, prefix: str, version: int
    ) -> Result[Changes, PlatformError]:
        """Return the rows under a prefix that changed after a version.

        A row that changes while pages are read is returned once, in its last state.
        """
        rows: dict[str, Row] = {}
        while True:
            read = await self._read_page(prefix, version)
            if read.is_error():
                return Error(read.error.to_platform_error(False))
            page = read.ok
            if page.more and page.version <= version:
                return self._stuck_error()
            version = page.version
            for row in page.rows:
                rows.pop(row.key, None)
                rows[row.key] = row
            if not page.more:
                return Ok(Changes(version, list(rows.values())))

    def _stuck_error(self) -> Result[Changes, PlatformError]:
        """Return the error of a page from which reading cannot go on."""
        why = "a page of changes has no later version"
        return Error(PlatformError(Step.DECODE, self.channel.peer, why, False))

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store an object; fails if the name already has different content."""
        attempts = self._attempts()
        put = await self._call_with_retries(
            "PUT", object_target(name), content, attempts
        )
        if put.is_ok():
            return Ok(None)
        refused = put.error.status == STATUS_CONFLICT
        return Error(
            put.error.to_platform_error(False if refused else put.error.took_effect)
        )

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object, or ``None`` if it does not exist."""
        attempts = self._attempts()
        got = await self._call_with_retries("GET", object_target(name), b"", attempts)
        if got.is_error() and got.error.status == STATUS_NOT_FOUND:
            return Ok(None)
        return got.map_error(lambda error: error.to_platform_error(False))

    async def _get_stored(
        self, keys: list[str], deadline: float | None = None
    ) -> Result[list[StoredRow], PlatformError]:
        body = msgspec.msgpack.encode(GetCall(keys))
        attempts = self._attempts(deadline)
        answer = await self._call_with_retries("POST", GET_TARGET, body, attempts)
        decoded = answer.bind(partial(self.channel.decode, GetAnswer))
        return decoded.map(lambda got: got.rows).map_error(
            lambda error: error.to_platform_error(False)
        )

    async def _read_page(
        self, prefix: str, version: int
    ) -> Result[SincePage, CallError]:
        query = SinceQuery(prefix, version, self.settings.page_limit)
        answer = await self._call_with_retries(
            "GET", query.target(), b"", self._attempts()
        )
        return answer.bind(partial(self.channel.decode, SincePage))

    async def _call_with_retries(
        self, method: str, target: str, body: bytes, attempts: Attempts
    ) -> Result[bytes, CallError]:
        """Send an idempotent call until it succeeds or its attempts are exhausted."""
        outcome_unknown = False
        while True:
            answer = await self.channel.call(
                method, target, body, attempts.attempt_timeout()
            )
            if answer.is_ok():
                return answer
            error = answer.error
            outcome_unknown = outcome_unknown or error.took_effect is None
            if not error.retryable or not await attempts.wait_for_retry():
                return Error(
                    replace(error, took_effect=None if outcome_unknown else False)
                )

    def _attempts(self, deadline: float | None = None) -> Attempts:
        return Attempts(self.settings, self.rng, deadline)
