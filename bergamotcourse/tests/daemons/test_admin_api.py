import json
from contextlib import asynccontextmanager
from dataclasses import replace
from hashlib import sha256
from pathlib import Path

import pytest
import trio

import bergamotcourse
from bergamotcourse.daemons.admin_api import AdminApi
from bergamotcourse.daemons.admin_request import error_response
from bergamotcourse.daemons.admin_routes import ROUTES
from bergamotcourse.daemons.openapi import describe_api, encode_api
from bergamotcourse.standins.platform_store import failed
from bergamotcourse.state.manifest import Operator, Role, canonical
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet, default_manifest

OPENAPI = (
    Path(bergamotcourse.__file__).parents[1] / "docs" / "reference" / "openapi.json"
)
YAML = """
release: "next"
services: [{name: voting}]
upstreams: [{name: all, services: [voting]}]
teams: [{name: getxo, credentials: ["DIGEST"], services: [voting]}]
operators: [{name: ane, credentials: ["ADMIN"], role: admin}]
"""


def digest(token):
    return sha256(token.encode()).hexdigest()


TEXT = YAML.replace("DIGEST", digest("getxo")).replace("ADMIN", digest("admin"))


def operators_manifest():
    operators = [
        Operator(name=role.value, credentials=[digest(role.value)], role=role)
        for role in Role
    ]
    return replace(default_manifest("getxo"), operators=operators)


class AdminClient:
    """Calls the administration API of an entry in a virtual fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.entry = fleet.entries["entry-1"].entry
        self.api = AdminApi(self.entry)

    async def call(self, method, target, token="admin", body=None):
        headers = [("authorization", f"Bearer {token}")] if token else []
        content = b"" if body is None else json.dumps(body).encode()
        response = await self.api.handle(HttpRequest(method, target, headers, content))
        return response.status, json.loads(response.body)


def run_with_client(check, shape=None):
    async def main():
        async with open_client(shape or FleetShape(entries=1, agents=3)) as client:
            await check(client)

    run_virtual(main, 1)


@asynccontextmanager
async def open_client(shape):
    async with trio.open_nursery() as nursery:
        fleet = VirtualFleet(nursery, 1, shape)
        await fleet.start(operators_manifest())
        yield AdminClient(fleet)
        nursery.cancel_scope.cancel()


class TestRoles:
    @pytest.mark.parametrize(
        ("token", "status"), [("", 401), ("no one", 401), ("viewer", 200)]
    )
    def test_only_known_tokens_may_read(self, token, status):
        async def check(client):
            assert (await client.call("GET", "/v1/status", token))[0] == status

        run_with_client(check)

    @pytest.mark.parametrize("route", ROUTES, ids=lambda r: f"{r.method} {r.path}")
    def test_each_route_enforces_its_role(self, route):
        ranks = list(Role)

        async def check(client):
            path = route.path.format(kind="worker", name="x", team="getxo")
            for role in Role:
                status, _ = await client.call(route.method, path, role.value, {})
                allowed = ranks.index(role) >= ranks.index(route.role)
                assert (status != 403) == allowed, (role, status)
            status, _ = await client.call(route.method, path, "getxo")
            assert (status != 403) == route.teams

        run_with_client(check)

    def test_team_cannot_read_usage_of_other_team(self):
        async def check(client):
            status, usage = await client.call("GET", "/v1/teams/getxo/usage", "getxo")
            assert (status, usage["team"], usage["in_flight"]) == (200, "getxo", 0)
            path = "/v1/teams/barakaldo/usage"
            assert (await client.call("GET", path, "getxo"))[0] == 403

        run_with_client(check)

    def test_removed_operator_loses_access_at_once(self):
        async def check(client):
            body = {"manifest": TEXT, "reviewed_version": 1, "reason": "why"}
            assert (await client.call("POST", "/v1/manifest/apply", "admin", body))[
                0
            ] == 200
            assert (await client.call("GET", "/v1/status", "viewer"))[0] == 401

        run_with_client(check)


class TestManifest:
    def test_manifest_in_force_masks_credentials(self):
        async def check(client):
            status, answer = await client.call("GET", "/v1/manifest", "viewer")
            assert (status, answer["version"]) == (200, 1)
            text = json.dumps(answer["manifest"])
            assert digest("admin") not in text
            assert f"{digest('admin')[:8]}..." in text

        run_with_client(check)

    def test_validate_reports_issues(self):
        async def check(client):
            path = "/v1/manifest/validate"
            status, _ = await client.call("POST", path, "viewer", {"manifest": TEXT})
            assert status == 200
            body = {"manifest": "teems: []\n"}
            status, problem = await client.call("POST", path, "viewer", body)
            assert status == 422
            assert "did you mean 'teams'" in json.dumps(problem["issues"])

        run_with_client(check)

    def test_change_is_compared_applied_audited_and_rolled_back(self):
        async def check(client):
            path = "/v1/manifest/diff"
            status, found = await client.call(
                "POST", path, "viewer", {"manifest": TEXT}
            )
            assert status == 200
            assert digest("getxo") not in json.dumps(found)
            body = {
                "manifest": TEXT,
                "reviewed_version": found["version"],
                "reason": "why",
            }
            path = "/v1/manifest/apply"
            dry = {**body, "dry_run": True}
            status, answer = await client.call("POST", path, "admin", dry)
            assert (status, answer["result"]) == (200, "dry_run")
            status, answer = await client.call("POST", path, "admin", body)
            assert (status, answer["result"], answer["version"]) == (200, "applied", 2)
            assert client.entry.config.version == 2
            assert (await client.call("POST", path, "admin", body))[1][
                "result"
            ] == "unchanged"
            other = {**body, "manifest": TEXT.replace("next", "other")}
            status, problem = await client.call("POST", path, "admin", other)
            assert (status, problem["content"]["who"]) == (409, "admin")
            status, trail = await client.call("GET", "/v1/audit?first=2&who=admin")
            assert (status, [one["version"] for one in trail]) == (200, [2])
            assert digest("getxo") not in json.dumps(trail)
            back = {"version": 1, "reason": "back"}
            status, answer = await client.call(
                "POST", "/v1/manifest/rollback", body=back
            )
            assert status == 200 and client.entry.config.manifest == canonical(
                operators_manifest()
            )
            status, report = await client.call("GET", "/v1/audit/verify", "viewer")
            assert (status, report["whole"], report["version"]) == (200, True, 3)

        run_with_client(check)

    def test_unavailable_platform_returns_503(self):
        async def check(client):
            client.fleet.platform.faults.down = True
            body = {"manifest": TEXT, "reviewed_version": 1, "reason": "why"}
            status, problem = await client.call("POST", "/v1/manifest/apply", body=body)
            assert (status, problem["step"]) == (503, "store")

        run_with_client(check)

    def test_lost_store_answer_reports_possible_acceptance(self):
        response = error_response(failed("answer lost", None))
        assert response.status == 504
        assert b"may have been accepted" in response.body

    @pytest.mark.parametrize(
        "body", [{}, {"manifest": 3}, {"manifest": TEXT, "reviewed_version": 1, "x": 1}]
    )
    def test_malformed_body_returns_400(self, body):
        async def check(client):
            assert (await client.call("POST", "/v1/manifest/apply", body=body))[
                0
            ] == 400

        run_with_client(check)


class TestDrains:
    def test_cancelled_drain_restores_manifest(self):
        async def check(client):
            before = client.entry.config.manifest
            path = "/v1/drains/worker/worker-1"
            assert (await client.call("GET", path))[0] == 404
            status, answer = await client.call("PUT", f"{path}?reason=disk", "operator")
            assert (status, answer["version"]) == (200, 2)
            status, progress = await client.call("GET", path, "viewer")
            assert progress["covered"] == ["agent-1/upstream-1"]
            _, told = await client.call("GET", "/v1/status", "viewer")
            health = {agent["id"]: agent["health"] for agent in told["agents"]}
            assert health == {
                "agent-1": "leaving",
                "agent-2": "usable",
                "agent-3": "usable",
            }
            request = HttpRequest("GET", "/s/voting/x")
            for _ in range(20):
                assert (await client.fleet.call("entry-1", request)).status == 200
            assert not client.fleet.upstreams["agent-1"].starts
            status, _ = await client.call("DELETE", f"{path}?reason=mended", "operator")
            assert status == 200
            assert client.entry.config.manifest == before
            assert (await client.call("DELETE", f"{path}?reason=again"))[0] == 404

        run_with_client(check)

    def test_drain_beyond_remaining_capacity_needs_force(self):
        async def check(client):
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    request = HttpRequest(
                        "POST", "/s/voting/x?run_ms=2000", body=b"%d" % number
                    )
                    nursery.start_soon(client.fleet.call, "entry-1", request)
                await trio.sleep(1)
                path = "/v1/drains/zone/zone-1?reason=power"
                status, problem = await client.call("PUT", path)
                assert status == 409
                (left,) = problem["content"]["remainders"]
                assert (left["slots"], left["load"]) == (16, 20)
                assert (await client.call("PUT", path + "&force=true"))[0] == 200

        run_with_client(check)

    @pytest.mark.parametrize("path", ["moon/x", "worker/a%2Fb", "worker/"])
    def test_invalid_drain_name_returns_400(self, path):
        async def check(client):
            assert (await client.call("PUT", f"/v1/drains/{path}?reason=x"))[0] == 400

        run_with_client(check)


class TestOpenApiDocument:
    def test_openapi_page_is_up_to_date(self):
        assert OPENAPI.read_text() == encode_api()

    def test_every_route_is_documented_and_reachable(self):
        described = {
            (method.upper(), path)
            for path, operations in describe_api()["paths"].items()
            for method in operations
        }
        assert described == {(route.method, route.path) for route in ROUTES}

        async def check(client):
            for method, path in sorted(described):
                target = path.format(kind="worker", name="x", team="getxo")
                status, _ = await client.call(method, target, body={})
                assert status not in (405, 500), (method, path)
                nothing = "nothing is at"
                assert nothing not in json.dumps(await client.call(method, target))

        run_with_client(check)

    def test_unknown_path_returns_404_and_wrong_method_405(self):
        async def check(client):
            assert (await client.call("GET", "/v1/moon"))[0] == 404
            assert (await client.call("POST", "/v1/status"))[0] == 405

        run_with_client(check)
