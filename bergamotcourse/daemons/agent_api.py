"""The local HTTP API of an agent, where upstreams register, renew and leave."""

import ipaddress
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

import msgspec

from bergamotcourse.coordination.agent import Agent
from bergamotcourse.coordination.upstreams import Upstream
from bergamotcourse.ids import ServiceName, UpstreamId, ZoneName
from bergamotcourse.state.addresses import is_port
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.ranges import Count, Name
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_problem import plain_problem

UPSTREAMS_PREFIX = "/v1/upstreams/"
MAX_SLOTS = 10_000


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """The registration that an upstream sends.

    Attributes:
        address: ``IP:PORT`` of its HTTP listener.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
    """

    service: Name
    address: Name
    slots: Count
    connections: Count
    zone: Name = ""
    release: Name = ""


class RenewalAdvice(msgspec.Struct):
    """The response to an announcement: when to renew it, in seconds."""

    renew_within_seconds: float


_decoder = msgspec.json.Decoder(Announcement)


class AgentApi:
    """Handles the requests to an agent's local listener."""

    def __init__(self, agent: Agent):
        self.agent = agent

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        path = urlsplit(request.target).path
        match path:
            case "/healthz":
                return HttpResponse(HTTPStatus.OK, [], b"ok\n")
            case "/readyz":
                return self._readiness()
        if not path.startswith(UPSTREAMS_PREFIX):
            return plain_problem(HTTPStatus.NOT_FOUND, f"nothing is at {path}")
        upstream_id = UpstreamId(unquote(path.removeprefix(UPSTREAMS_PREFIX)))
        match request.method:
            case "PUT":
                return self._announce(upstream_id, request)
            case "DELETE":
                return self._leave(upstream_id)
            case method:
                detail = f"{method} is not allowed for upstreams; use PUT or DELETE"
                return plain_problem(HTTPStatus.METHOD_NOT_ALLOWED, detail)

    def _readiness(self) -> HttpResponse:
        if self.agent.leaving:
            return plain_problem(HTTPStatus.SERVICE_UNAVAILABLE, "leaving")
        return HttpResponse(HTTPStatus.OK, [], b"ready\n")

    def _announce(self, upstream_id: UpstreamId, request: HttpRequest) -> HttpResponse:
        try:
            announced = decode_document(_decoder, request.body)
        except ValueError as error:
            return plain_problem(HTTPStatus.BAD_REQUEST, str(error))
        fault = _announcement_fault(upstream_id, announced)
        if fault:
            return plain_problem(HTTPStatus.BAD_REQUEST, fault)
        self.agent.announce(self._upstream(upstream_id, announced))
        advice = RenewalAdvice(self.agent.limits.upstream_lease_seconds / 3)
        headers = [("content-type", "application/json")]
        return HttpResponse(HTTPStatus.OK, headers, msgspec.json.encode(advice))

    def _upstream(self, upstream_id: UpstreamId, announced: Announcement) -> Upstream:
        host, _, port = announced.address.rpartition(":")
        return Upstream(
            id=upstream_id,
            service=ServiceName(announced.service),
            zone=ZoneName(announced.zone or self.agent.location.zone),
            release=announced.release,
            slots=announced.slots,
            connections=announced.connections,
            caller=HttpClient(host.strip("[]"), int(port), announced.connections),
            renewed=self.agent.timers.now(),
        )

    def _leave(self, upstream_id: UpstreamId) -> HttpResponse:
        upstream = self.agent.upstreams.upstreams.get(upstream_id)
        if upstream is None:
            detail = f"no upstream {upstream_id} is announced"
            return plain_problem(HTTPStatus.NOT_FOUND, detail)
        self.agent.mark_upstream_leaving(upstream)
        return HttpResponse(HTTPStatus.ACCEPTED)


def _announcement_fault(upstream_id: str, announced: Announcement) -> str:
    """Return why an announcement is invalid, or ``""`` if it is valid."""
    host, _, port = announced.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"address {announced.address!r} is not IP:PORT"
    if not is_port(port):
        return f"address {announced.address!r} has no port from 1 to 65535"
    if not upstream_id or not announced.service:
        return "the upstream or its service has no name"
    if not 0 < announced.slots <= MAX_SLOTS:
        return f"slots {announced.slots} is not from 1 to {MAX_SLOTS}"
    if not 0 < announced.connections <= MAX_SLOTS:
        return f"connections {announced.connections} is not from 1 to {MAX_SLOTS}"
    return ""
