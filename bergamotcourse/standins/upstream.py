"""A stand-in for an upstream that serves requests and announces itself at its agent.

The query of a request determines how it is served: ``run_ms`` is the run time and
``status`` the status of the response. The stand-in counts the starts of each task,
which is identified by the header ``x-task`` or, without it, by the body.
"""

from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio
from expression import Result

from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_server import HttpServer

ANNOUNCE_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0


@dataclass
class UpstreamFaults:
    """Faults of the stand-in.

    Attributes:
        slow_factor: Factor by which each run time is multiplied.
        fail: Whether each request is answered with status 500 at once.
    """

    slow_factor: float = 1.0
    fail: bool = False


@dataclass
class StandInUpstream:
    """One upstream of one service.

    Attributes:
        default_run_seconds: The run time of requests without ``run_ms``.
        starts: Number of starts by task.
        finished: Number of completions by task.
        running: Number of requests in progress.
        most_running: The highest number of requests in progress so far.
    """

    name: str
    service: str
    slots: int = 8
    connections: int = 64
    default_run_seconds: float = 0.0
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    starts: Counter[str] = field(default_factory=Counter)
    finished: Counter[str] = field(default_factory=Counter)
    running: int = 0
    most_running: int = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request and record its start."""
        parts = urlsplit(request.target)
        if parts.path == "/standin/record":
            return self._record()
        query = parse_qs(parts.query)
        task = request.header("x-task") or request.body.decode(errors="replace")
        self.starts[task] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self._serve(request, query, task)
        finally:
            self.running -= 1

    async def _serve(
        self, request: HttpRequest, query: dict[str, list[str]], task: str
    ) -> HttpResponse:
        if self.faults.fail:
            return HttpResponse(500, [], b"this upstream fails everything")
        run_ms = query.get("run_ms")
        seconds = float(run_ms[0]) / 1000 if run_ms else self.default_run_seconds
        await trio.sleep(seconds * self.faults.slow_factor)
        self.finished[task] += 1
        status = int(query.get("status", ["200"])[0])
        body = f"{self.name} {request.method} {task}".encode()
        return HttpResponse(status, [("content-type", "text/plain")], body)

    def _record(self) -> HttpResponse:
        content = {"starts": dict(self.starts), "finished": dict(self.finished)}
        headers = [("content-type", "application/json")]
        return HttpResponse(200, headers, msgspec.json.encode(content))


async def serve_upstream(
    upstream: StandInUpstream, host: str, port: int, agent_host: str, agent_port: int
) -> None:
    """Serve an upstream and announce it at its agent periodically until cancelled."""
    server = HttpServer(host, port, upstream.handle)
    client = HttpClient(agent_host, agent_port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await server.wait_open()
        announcement = {
            "service": upstream.service,
            "address": f"{host}:{server.port}",
            "slots": upstream.slots,
            "connections": upstream.connections,
        }
        request = HttpRequest(
            "PUT",
            f"/v1/upstreams/{upstream.name}",
            body=msgspec.json.encode(announcement),
        )
        while True:
            await announce(client, request)
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)


async def announce(client: HttpClient, request: HttpRequest) -> bool:
    """Announce the upstream once; return whether the agent accepted it."""
    match await client.request(request, ANNOUNCE_TIMEOUT_SECONDS):
        case Result(tag="ok", ok=response):
            return response.status == 200
        case _:
            return False
