"""The OpenAPI 3.1 document of /v1, made from the types that the handlers decode."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

import msgspec

from ..resources import NAME_PATTERN, CredentialSpec, Kind, Limits, PoolSpec, Role, State, TenantSpec
from .calls import DEFAULT_PAGE_ITEMS, MAX_BODY_BYTES, MAX_PAGE_ITEMS
from .handlers import NewCredential
from .observation import MAX_WAIT_S

PROBLEM = {
    "type": "object",
    "required": ["type", "title", "status", "detail", "request_id"],
    "properties": {
        "type": {"type": "string"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "detail": {"type": "string"},
        "request_id": {"type": "string"},
    },
}
STATUS_DESCRIPTIONS = {
    400: "What came is no JSON, or a header is malformed",
    401: "No credential, or one that is not known",
    403: "The credential's role may not do this",
    404: "Not there, or not for this caller to see",
    409: "It breaks a rule, or is there already",
    412: "Not at the revision that If-Match names",
    413: f"The body is larger than {MAX_BODY_BYTES} bytes",
    415: "Not a JSON body",
    422: "A key is wrong; detail names it",
    429: "Too many failed logins from this address",
    503: "Nothing was changed: the store cannot write",
}


def _schemas() -> dict[str, Any]:
    _, found = msgspec.json.schema_components(
        (PoolSpec, TenantSpec, CredentialSpec, Limits, NewCredential), ref_template="#/components/schemas/{name}"
    )
    named = {"type": "string", "pattern": NAME_PATTERN, "maxLength": 48}
    number = {"type": "integer", "minimum": 0}
    found = dict(found)
    for name in ("PoolSpec", "TenantSpec"):
        spec = found[name]
        short = name.removesuffix("Spec")
        found[f"New{short}"] = {
            **spec,
            "title": f"New{short}",
            "properties": {"name": named, **spec["properties"]},
            "required": ["name", *spec.get("required", [])],
        }
        found[short] = {
            **spec,
            "title": short,
            "additionalProperties": True,
            "properties": {"name": named, "revision": number, "in_force": {"type": "boolean"}, **spec["properties"]},
        }
    credential = found.pop("CredentialSpec")
    shown = {k: v for k, v in credential["properties"].items() if k != "digest"}
    found["Credential"] = {
        "type": "object",
        "title": "Credential",
        "properties": {
            "id": {"type": "string"},
            "revision": number,
            "in_force": {"type": "boolean"},
            "secret": {"type": ["string", "null"], "description": "shown once"},
            **shown,
        },
    }
    found["Problem"] = PROBLEM
    return found


def _query(name: str, schema: dict[str, Any], about: str) -> dict[str, Any]:
    return {"name": name, "in": "query", "required": False, "schema": schema, "description": about}


def _ref(name: str) -> dict[str, Any]:
    return {"$ref": f"#/components/schemas/{name}"}


def _answers(good: dict[int, dict[str, Any] | None], *bad: int) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for status, schema in good.items():
        found[str(status)] = {"description": "Done" if schema is None else "As asked"}
        if schema is not None:
            found[str(status)]["content"] = {"application/json": {"schema": schema}}
    for status in sorted({400, 401, 403, 422, 429, *bad}):
        found[str(status)] = {
            "description": STATUS_DESCRIPTIONS[status],
            "content": {"application/problem+json": {"schema": _ref("Problem")}},
        }
    return found


def _page(of: dict[str, Any]) -> dict[str, Any]:
    return {
        "type": "object",
        "required": ["items"],
        "properties": {"items": {"type": "array", "items": of}, "next": {"type": "string"}},
    }


def _body(name: str | dict[str, Any], merge: bool = False) -> dict[str, Any]:
    kind = "application/merge-patch+json" if merge else "application/json"
    return {"required": True, "content": {kind: {"schema": _ref(name) if isinstance(name, str) else name}}}


_KEY_HEADER = {
    "name": "Idempotency-Key",
    "in": "header",
    "required": False,
    "schema": {"type": "string", "pattern": r"^[\x21-\x7e]{1,128}$"},
    "description": "A repeat with the same key gets the first answer, for a day",
}
_MATCH_HEADER = {
    "name": "If-Match",
    "in": "header",
    "required": False,
    "schema": {"type": "string", "pattern": r'^"[0-9]{1,18}"$'},
    "description": "The ETag that the change rests on; another revision is 412",
}
_NAME_PARAMETER = {
    "name": "name",
    "in": "path",
    "required": True,
    "schema": {"type": "string", "pattern": NAME_PATTERN, "maxLength": 48},
}
_DRY_RUN = _query("dry_run", {"type": "boolean"}, "Check and answer, and change nothing")
_LIMIT = _query(
    "limit",
    {"type": "integer", "minimum": 1, "maximum": MAX_PAGE_ITEMS, "default": DEFAULT_PAGE_ITEMS},
    "Of a page",
)
_CURSOR = _query("cursor", {"type": "string"}, "`next` of the page before")


def _kind_paths(kind: Kind, plural: str) -> dict[str, Any]:
    title = kind.value.capitalize()
    filters = (
        []
        if kind is Kind.POOL
        else [
            _query("state", {"enum": [s.value for s in State]}, "Only those in this state"),
            _query("pool", {"type": "string"}, "Only those in this pool"),
        ]
    )
    all_ = {
        "get": {
            "operationId": f"list_{plural}",
            "summary": f"{plural} by name",
            "parameters": [_LIMIT, _CURSOR, *filters],
            "responses": _answers({200: _page(_ref(title))}),
        },
        "post": {
            "operationId": f"create_{kind.value}",
            "summary": f"A new {kind.value}",
            "parameters": [_DRY_RUN, _KEY_HEADER],
            "requestBody": _body(f"New{title}"),
            "responses": _answers({200: _ref(title), 201: _ref(title)}, 409, 413, 415, 503),
        },
    }
    gone: dict[int, dict[str, Any] | None] = {202: _ref(title)} if kind is Kind.TENANT else {204: None}
    one = {
        "parameters": [_NAME_PARAMETER],
        "get": {
            "operationId": f"show_{kind.value}",
            "summary": f"One {kind.value}",
            "responses": _answers({200: _ref(title)}, 404),
        },
        "patch": {
            "operationId": f"change_{kind.value}",
            "summary": "A merge patch (RFC 7396)",
            "parameters": [_DRY_RUN, _MATCH_HEADER],
            "requestBody": _body({"type": "object"}, merge=True),
            "responses": _answers({200: _ref(title)}, 404, 409, 412, 413, 415, 503),
        },
        "delete": {
            "operationId": f"remove_{kind.value}",
            "summary": f"Remove this {kind.value}",
            "parameters": [_DRY_RUN, _MATCH_HEADER],
            "responses": _answers(gone, 404, 409, 412, 503),
        },
    }
    return {f"/v1/{plural}": all_, f"/v1/{plural}/{{name}}": one}


def _usage_paths() -> dict[str, Any]:
    paths: dict[str, Any] = {}
    paths["/v1/tenants/{name}/usage"] = {
        "parameters": [_NAME_PARAMETER],
        "get": {
            "operationId": "usage",
            "summary": "The account of use of the last hour, by minute",
            "responses": _answers({200: {"type": "object"}}, 404),
        },
    }
    return paths


def _credential_paths() -> dict[str, Any]:
    paths: dict[str, Any] = {}
    paths["/v1/credentials"] = {
        "get": {
            "operationId": "list_credentials",
            "summary": "Credentials by id",
            "parameters": [
                _LIMIT,
                _CURSOR,
                _query("tenant", {"type": "string"}, "Only this tenant's"),
                _query("role", {"enum": [r.value for r in Role]}, "Only those of this role"),
            ],
            "responses": _answers({200: _page(_ref("Credential"))}),
        },
        "post": {
            "operationId": "issue_credential",
            "summary": "A new credential; its secret is shown once",
            "parameters": [_DRY_RUN, _KEY_HEADER],
            "requestBody": _body("NewCredential"),
            "responses": _answers({200: _ref("Credential"), 201: _ref("Credential")}, 409, 413, 415, 503),
        },
    }
    paths["/v1/credentials/{name}"] = {
        "parameters": [_NAME_PARAMETER],
        "get": {
            "operationId": "show_credential",
            "summary": "One credential",
            "responses": _answers({200: _ref("Credential")}, 404),
        },
        "delete": {
            "operationId": "revoke_credential",
            "summary": "It opens nothing any more",
            "parameters": [_MATCH_HEADER],
            "responses": _answers({204: None}, 404, 409, 412, 503),
        },
    }
    return paths


def _observation_paths() -> dict[str, Any]:
    paths: dict[str, Any] = {}
    paths["/v1/events"] = {
        "get": {
            "operationId": "events",
            "summary": "The log of every change, oldest first",
            "parameters": [
                _query("after", {"type": "integer", "minimum": 0}, "Behind this revision"),
                _LIMIT,
                _query("wait_s", {"type": "integer", "minimum": 0, "maximum": MAX_WAIT_S}, "Wait for something new"),
                _query("kind", {"enum": [k.value for k in Kind]}, "Only of this kind"),
                _query("name", {"type": "string"}, "Only of this name"),
            ],
            "responses": _answers({200: {"type": "object", "required": ["items", "after"]}}),
        }
    }
    paths["/v1/status"] = {
        "get": {
            "operationId": "status",
            "summary": "Workers, the busiest pools and tenants",
            "responses": _answers({200: {"type": "object"}}),
        }
    }
    return paths


@lru_cache(maxsize=1)
def document() -> dict[str, Any]:
    """Make the complete document."""
    paths = {
        **_kind_paths(Kind.POOL, "pools"),
        **_kind_paths(Kind.TENANT, "tenants"),
        **_usage_paths(),
        **_credential_paths(),
        **_observation_paths(),
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "lilacsill administration", "version": "1"},
        "paths": paths,
        "security": [{"bearer": []}],
        "components": {"schemas": _schemas(), "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}}},
    }
