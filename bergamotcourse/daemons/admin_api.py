"""The HTTP administration API of an entry: authentication, roles and routing."""

from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

from bergamotcourse.coordination.access import index_access
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.daemons.admin_request import AdminRequest, admin_problem
from bergamotcourse.daemons.admin_routes import ROUTES, Route
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.manifest import Manifest, Role
from bergamotcourse.transport.http import HttpRequest, HttpResponse

ROLE_RANKS = {role: rank for rank, role in enumerate(Role)}
"""Rank of each role; a role includes the permissions of all lower ranks."""


class AdminApi:
    """Handles requests of operators, and of teams about their own work.

    Attributes:
        access: Index of the teams, operators and services in the current manifest.
    """

    def __init__(self, entry: Entry):
        self.entry = entry
        self.access = index_access(entry.config.version, entry.config.manifest)
        entry.config.subscribe(self._update_access)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticate one request and dispatch it to the handler of its route."""
        parts = urlsplit(request.target)
        admin_request = self._identify(request)
        if admin_request is None:
            return self._unauthorized()
        matches = [
            (route, values)
            for route in ROUTES
            if (values := match_path(route.path, parts.path)) is not None
        ]
        if not matches:
            status = HTTPStatus.NOT_FOUND
            return admin_problem(status, f"nothing is at {parts.path}")
        for route, values in matches:
            if route.method == request.method:
                admin_request.path = values
                admin_request.query = dict(parse_qsl(parts.query))
                admin_request.body = request.body
                return await self._run(route, admin_request)
        return _method_not_allowed([route.method for route, _ in matches])

    async def _run(self, route: Route, request: AdminRequest) -> HttpResponse:
        if not is_allowed(route, request):
            detail = f"this needs an operator with role {route.role.value}"
            return admin_problem(HTTPStatus.FORBIDDEN, detail)
        return await route.handler(request)

    def _identify(self, request: HttpRequest) -> AdminRequest | None:
        authorization = request.header("authorization")
        operator = self.access.operator(authorization)
        team = self.access.team(authorization)
        if operator is None and team is None:
            return None
        return AdminRequest(self.entry, operator, team)

    def _unauthorized(self) -> HttpResponse:
        detail = "no operator and no team has this bearer token"
        if not self.access.operators:
            detail += "; the configuration names no operator who can log in yet"
        response = admin_problem(HTTPStatus.UNAUTHORIZED, detail)
        response.headers.append(("www-authenticate", "Bearer"))
        return response

    def _update_access(self, version: ConfigVersion, manifest: Manifest) -> None:
        self.access = index_access(version, manifest)


def is_allowed(route: Route, request: AdminRequest) -> bool:
    """Return whether the operator or team of a request may use a route."""
    if request.operator is None:
        return route.teams
    return ROLE_RANKS[request.operator.role] >= ROLE_RANKS[route.role]


def match_path(pattern: str, path: str) -> dict[str, str] | None:
    """Return the path parameters, or ``None`` if the path does not match."""
    wanted, given = pattern.split("/"), path.split("/")
    if len(wanted) != len(given):
        return None
    values = {}
    for part, text in zip(wanted, given, strict=True):
        if part.startswith("{"):
            values[part.strip("{}")] = unquote(text)
        elif part != text:
            return None
    return values


def _method_not_allowed(allowed: list[str]) -> HttpResponse:
    words = ", ".join(sorted(allowed))
    detail = f"allowed methods: {words}"
    response = admin_problem(HTTPStatus.METHOD_NOT_ALLOWED, detail)
    response.headers.append(("allow", words))
    return response
