"""The OpenAPI document of the administration API, generated from its routes."""

import re
from http import HTTPStatus
from typing import Any

import msgspec

from bergamotcourse import __version__
from bergamotcourse.daemons.admin_request import AdminProblem
from bergamotcourse.daemons.admin_routes import ROUTES, QueryParameter, Route
from bergamotcourse.transport.http_problem import PROBLEM_CONTENT_TYPE

OPENAPI_VERSION = "3.1.0"
JSON_CONTENT_TYPE = "application/json"
REF_TEMPLATE = "#/components/schemas/{name}"
QUERY_TYPES = {str: "string", int: "integer", bool: "boolean"}
SECURITY_SCHEME = "bearer"

Document = dict[str, Any]


def describe_api() -> Document:
    """Return the OpenAPI document as built-in types."""
    types = [kind for route in ROUTES for kind in (route.body, route.answer) if kind]
    schemas, components = msgspec.json.schema_components(
        [*types, AdminProblem], ref_template=REF_TEMPLATE
    )
    by_type = dict(zip(map(str, [*types, AdminProblem]), schemas, strict=True))
    paths: dict[str, Document] = {}
    for route in ROUTES:
        operations = paths.setdefault(route.path, {})
        operations[route.method.lower()] = _operation(route, by_type)
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "bergamotcourse administration", "version": __version__},
        "security": [{SECURITY_SCHEME: []}],
        "paths": paths,
        "components": {
            "schemas": dict(sorted(components.items())),
            "securitySchemes": {SECURITY_SCHEME: {"type": "http", "scheme": "bearer"}},
        },
    }


def encode_api() -> str:
    """Return the OpenAPI document as the text of ``docs/reference/openapi.json``."""
    content = msgspec.json.encode(describe_api())
    return msgspec.json.format(content, indent=1).decode() + "\n"


def _operation(route: Route, by_type: Document) -> Document:
    who = f"operators with role {route.role.value} and above"
    operation = {
        "operationId": _operation_id(route),
        "summary": route.summary,
        "description": f"For {who}" + ("; a team for itself." if route.teams else "."),
        "parameters": _parameters(route),
        "responses": {
            str(int(HTTPStatus.OK)): _content(
                "Done.", JSON_CONTENT_TYPE, by_type[str(route.answer)]
            ),
            "default": _content(
                "Problem details (RFC 9457).",
                PROBLEM_CONTENT_TYPE,
                by_type[str(AdminProblem)],
            ),
        },
    }
    if route.body is not None:
        body = {"schema": by_type[str(route.body)]}
        operation["requestBody"] = {
            "required": True,
            "content": {JSON_CONTENT_TYPE: body},
        }
    return operation


def _operation_id(route: Route) -> str:
    return route.handler.__name__


def _content(description: str, content_type: str, schema: Document) -> Document:
    return {
        "description": description,
        "content": {content_type: {"schema": schema}},
    }


def _parameters(route: Route) -> list[Document]:
    in_path = [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
        for name in re.findall(r"{(\w+)}", route.path)
    ]
    return in_path + [_query_parameter(one) for one in route.query]


def _query_parameter(parameter: QueryParameter) -> Document:
    return {
        "name": parameter.name,
        "in": "query",
        "required": parameter.required,
        "description": parameter.help,
        "schema": {"type": QUERY_TYPES[parameter.kind]},
    }
