"""The HTTP API of an entry for callers: jobs, session requests and health checks."""

from http import HTTPStatus
from urllib.parse import unquote, urlsplit

from bergamotcourse.coordination.access import index_access
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.daemons.caller import Caller
from bergamotcourse.daemons.job_api import (
    JOBS_PATH,
    cancel_job,
    submit_job,
    wait_for_job,
)
from bergamotcourse.daemons.responses import PREFIX_HEADER, problem
from bergamotcourse.daemons.session_api import SESSION_PREFIX, answer_session
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.manifest import Manifest
from bergamotcourse.transport.http import HttpRequest, HttpResponse


class EntryApi:
    """Handles the requests of callers.

    Attributes:
        access: Index of the teams and services in the current manifest.
    """

    def __init__(self, entry: Entry):
        self.entry = entry
        self.access = index_access(entry.config.version, entry.config.manifest)
        entry.config.subscribe(self._update_access)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticate and handle one request."""
        path = urlsplit(request.target).path
        match path:
            case "/healthz":
                return HttpResponse(HTTPStatus.OK, [], b"ok\n")
            case "/readyz":
                return self._readiness()
        team = self.access.team(request.header("authorization"))
        if team is None:
            return problem(HTTPStatus.UNAUTHORIZED, "no team has this bearer token")
        caller = Caller(team, self.access, self.entry)
        response = await self._route(caller, path, request)
        prefix = self.entry.key_prefix()
        if prefix:
            response.headers.append((PREFIX_HEADER, prefix))
        response.close = response.close or self.entry.stopping
        return response

    async def _route(
        self, caller: Caller, path: str, request: HttpRequest
    ) -> HttpResponse:
        if path.startswith(SESSION_PREFIX):
            return await answer_session(caller, request)
        if path == JOBS_PATH and request.method == "POST":
            return await submit_job(caller, request)
        if path.startswith(JOBS_PATH + "/"):
            key = unquote(path.removeprefix(JOBS_PATH + "/"))
            match request.method:
                case "GET":
                    return await wait_for_job(caller, key, request)
                case "DELETE":
                    return await cancel_job(caller, key)
        return problem(HTTPStatus.NOT_FOUND, f"nothing is at {path}")

    def _update_access(self, version: ConfigVersion, manifest: Manifest) -> None:
        self.access = index_access(version, manifest)

    def _readiness(self) -> HttpResponse:
        if self.entry.ready():
            return HttpResponse(HTTPStatus.OK, [], b"ready\n")
        return problem(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", retry_after=1.0)
