"""The HTTP interface of the platform's stand-in, and the control of its faults."""

import msgspec
import trio
from expression import Result

from bergamotcourse.protocol.platform import PlatformError
from bergamotcourse.protocol.platform_wire import (
    CLIENT_HEADER,
    CONTENT_TYPE,
    GET_TARGET,
    OBJECTS_TARGET,
    SINCE_TARGET,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_UNAVAILABLE,
    TRANSACT_TARGET,
    Failure,
    GetAnswer,
    GetCall,
    SinceQuery,
    TransactAnswer,
    TransactCall,
    object_name,
)
from bergamotcourse.standins.platform_store import (
    ClientView,
    MemoryPlatform,
    ObjectExistsError,
)
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_server import HttpServer, ServerLimits

FAULTS_TARGET = "/standin/faults"
COUNTERS_TARGET = "/standin/counters"
JSON_TYPE = ("content-type", "application/json")

BODY_BYTES = 16 << 20
"""Upper bound for the size of a transaction or an object."""


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """A change of the faults; fields that are left out keep their values.

    Attributes:
        cut: All clients that are cut off from now on; the others are reconnected.
    """

    delay: float | msgspec.UnsetType = msgspec.UNSET
    down: bool | msgspec.UnsetType = msgspec.UNSET
    fail_after: float | msgspec.UnsetType = msgspec.UNSET
    lose_answers: bool | msgspec.UnsetType = msgspec.UNSET
    lose_next_answers: int | msgspec.UnsetType = msgspec.UNSET
    drop_calls: float | msgspec.UnsetType = msgspec.UNSET
    cut: list[str] | msgspec.UnsetType = msgspec.UNSET

    def apply(self, platform: MemoryPlatform) -> None:
        """Apply the change to a platform."""
        changes = {
            name: value
            for name, value in msgspec.structs.asdict(self).items()
            if value is not msgspec.UNSET
        }
        cut = changes.pop("cut", None)
        for name, value in changes.items():
            setattr(platform.faults, name, value)
        if cut is not None:
            platform.cut_off(cut)


class CountersAnswer(msgspec.Struct):
    """The number of calls by client and kind, and the table's version."""

    calls: dict[str, dict[str, int]]
    version: int


class PlatformHandler:
    """Answers the HTTP requests of the platform's clients and of the tests."""

    def __init__(self, platform: MemoryPlatform):
        self.platform = platform

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; a malformed request has no effect and is refused."""
        try:
            return await self._route(request)
        except (msgspec.DecodeError, ValueError) as error:
            return refusal(STATUS_BAD_REQUEST, str(error))

    async def _route(self, request: HttpRequest) -> HttpResponse:
        view = self.platform.view(request.header(CLIENT_HEADER))
        path = request.target.partition("?")[0]
        route = f"{request.method} {path}"
        if path.startswith(OBJECTS_TARGET):
            route = f"{request.method} {OBJECTS_TARGET}"
        if serve := CLIENT_ROUTES.get(route):
            return await serve(view, request)
        if serve := ADMIN_ROUTES.get(route):
            return serve(self.platform, request)
        return refusal(STATUS_NOT_FOUND, f"no route {route}")


async def transact(view: ClientView, request: HttpRequest) -> HttpResponse:
    """Serve a transaction."""
    call = msgspec.msgpack.decode(request.body, type=TransactCall)
    verdict = await view.transact_as(call.writer, call.writes)
    return answer(verdict.map(TransactAnswer.of))


async def get(view: ClientView, request: HttpRequest) -> HttpResponse:
    """Serve the rows of some keys."""
    call = msgspec.msgpack.decode(request.body, type=GetCall)
    rows = await view.get_stored(call.keys)
    return answer(rows.map(GetAnswer))


async def read_since(view: ClientView, request: HttpRequest) -> HttpResponse:
    """Serve one page of changes."""
    query = SinceQuery.parse(request.target)
    return answer(await view.read_page(query.prefix, query.version, query.limit))


async def put_object(view: ClientView, request: HttpRequest) -> HttpResponse:
    """Store an object."""
    name = object_name(request.target)
    return answer(await view.put_object(name, request.body))


async def get_object(view: ClientView, request: HttpRequest) -> HttpResponse:
    """Serve an object."""
    name = object_name(request.target)
    got = await view.get_object(name)
    if got.is_error():
        return answer(got)
    if got.ok is None:
        return refusal(STATUS_NOT_FOUND, f"no object {name}")
    return HttpResponse(STATUS_OK, [CONTENT_TYPE], got.ok)


def set_faults(platform: MemoryPlatform, request: HttpRequest) -> HttpResponse:
    """Apply a ``FaultOrder`` in JSON."""
    msgspec.json.decode(request.body, type=FaultOrder).apply(platform)
    return HttpResponse(STATUS_OK)


def read_counters(platform: MemoryPlatform, request: HttpRequest) -> HttpResponse:
    """Return a ``CountersAnswer`` in JSON."""
    calls = {
        client: {kind.value: count for kind, count in counter.items()}
        for client, counter in platform.counters.items()
    }
    body = msgspec.json.encode(CountersAnswer(calls, platform.table.version))
    return HttpResponse(STATUS_OK, [JSON_TYPE], body)


CLIENT_ROUTES = {
    f"POST {TRANSACT_TARGET}": transact,
    f"POST {GET_TARGET}": get,
    f"GET {SINCE_TARGET}": read_since,
    f"PUT {OBJECTS_TARGET}": put_object,
    f"GET {OBJECTS_TARGET}": get_object,
}

ADMIN_ROUTES = {
    f"POST {FAULTS_TARGET}": set_faults,
    f"GET {COUNTERS_TARGET}": read_counters,
}


def answer(result: Result[object, PlatformError]) -> HttpResponse:
    """Return the response for the result of a call."""
    if result.is_ok():
        body = msgspec.msgpack.encode(result.ok)
        return HttpResponse(STATUS_OK, [CONTENT_TYPE], body)
    error = result.error
    return failure(_status(error), Failure(error.detail, error.took_effect))


def refusal(status: int, detail: str) -> HttpResponse:
    """Return the response to a request that did not take effect."""
    return failure(status, Failure(detail, took_effect=False))


def failure(status: int, body: Failure) -> HttpResponse:
    """Return a response with an error status."""
    return HttpResponse(status, [CONTENT_TYPE], msgspec.msgpack.encode(body))


def _status(error: PlatformError) -> int:
    is_refusal = isinstance(error, ObjectExistsError)
    return STATUS_CONFLICT if is_refusal else STATUS_UNAVAILABLE


async def serve_platform(
    host: str,
    port: int,
    platform: MemoryPlatform | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a platform until cancelled.

    Args:
        host: The IP number to listen on.
        port: The port; 0 lets the system choose.
        platform: The platform to serve; by default an empty one without faults.
        task_status: Receives the port once it is open.

    Raises:
        ExceptionGroup: With an ``OSError`` if the port can't be opened.
    """
    handler = PlatformHandler(platform or MemoryPlatform())
    limits = ServerLimits(body_bytes=BODY_BYTES)
    server = HttpServer(host, port, handler.handle, limits)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await server.wait_open()
        task_status.started(server.port)
