"""The OpenAPI file comes first: the schemas of the code say the same."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import yaml
from openapi_spec_validator import validate

from lilacsill.mesh.proxy.backend_lifecycle import parse_heartbeat
from lilacsill.mesh.store.call_schema import CALL_SCHEMA

ROOT = Path(__file__).parent.parent.parent
DOCUMENT = yaml.safe_load((ROOT / "docs/api/openapi.yaml").read_text())
SAME = {"minimum": "min", "minLength": "minlength", "maxLength": "maxlength", "pattern": "regex", "enum": "allowed"}
TYPES = {
    "object": "dict",
    "array": "list",
    "string": "string",
    "integer": "integer",
    "number": "number",
    "boolean": "boolean",
}


def resolved(schema: dict[str, Any]) -> dict[str, Any]:
    while "$ref" in schema:
        schema = DOCUMENT["components"]["schemas"][schema["$ref"].rsplit("/", 1)[1]]
    return schema


def compare(api: dict[str, Any], code: dict[str, Any], place: str) -> None:
    api = resolved(api)
    assert TYPES[api["type"]] == code["type"], place
    for theirs, ours in SAME.items():
        assert api["type"] == "array" or api.get(theirs) == code.get(ours), f"{place}: {theirs}"
    if api["type"] == "array":
        assert api.get("minItems") == code.get("minlength"), place
        compare(api["items"], code["schema"], f"{place}[]")
    if api["type"] == "object":
        assert api["properties"].keys() == code["schema"].keys(), place
        needed = {k for k, v in code["schema"].items() if v.get("required")}
        assert set(api.get("required", [])) == needed, place
        for key, schema in api["properties"].items():
            compare(schema, code["schema"][key], f"{place}.{key}")


def test_the_document_is_valid() -> None:
    validate(DOCUMENT)


def test_a_call_is_checked_as_the_document_says() -> None:
    compare({"$ref": "#/components/schemas/Call"}, {"type": "dict", "schema": CALL_SCHEMA}, "Call")


def beat() -> dict[str, Any]:
    return {
        "Address": "10.0.0.1:80",
        "Details": {"TargetService": "s", "FreeSlots": 4},
        "Condition": {"ServerState": "ready", "CallCount": 1},
    }


@pytest.mark.parametrize("place", ["Details", "Condition"])
def test_a_beat_needs_what_the_document_says(place: str) -> None:
    assert parse_heartbeat("i", beat()) is not None
    for key in resolved(DOCUMENT["components"]["schemas"]["Beat"])["properties"][place]["required"]:
        lacking = beat()
        del lacking[place][key]
        assert parse_heartbeat("i", lacking) is None, key
    assert parse_heartbeat("i", []) is None and parse_heartbeat("i", {"Details": 1, "Condition": {}}) is None
