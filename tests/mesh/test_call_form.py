"""The quick check of a call gives the verdict of cerberus, whatever is wrong with the call."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.store import calls

from lilacsill.mesh.store.calls import MAX_REPORTED_BYTES
from lilacsill.mesh.store.call_form import schema_problem
from lilacsill.mesh.store.call_schema import CALL_SCHEMA, MAX_NUMBER
from lilacsill.mesh.store.validation import is_success

from .test_tenant_calls import first_call

NOTHING = object()  # the value is taken out
VALUES: list[Any] = [
    NOTHING,
    None,
    True,
    0,
    1,
    -1,
    7,
    1.0,
    0.5,
    -0.5,
    MAX_NUMBER,
    MAX_NUMBER + 1,
    float(MAX_NUMBER),
    1e300,
    "",
    "x",
    "r7",
    "r",
    "r7x",
    "xr7",
    "r1234567890123456",
    "/",
    "/a/",
    "/a",
    "a/",
    "/a\nb/",
    "r7\n",
    "read_only",
    "keyed_write",
    "k" * 256,
    "k" * 257,
    "k" * 1024,
    "k" * 1025,
    [],
    [""],
    ["k", 1],
    [{}],
    {},
    {"x": 1},
]
Path = tuple[Any, ...]


def paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """All places of a call, and one beside the fields of each object."""
    yield path
    if isinstance(value, dict):
        yield (*path, "Unknown")
        for key, part in value.items():
            yield from paths(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from paths(part, (*path, index))


def with_value(call: dict[str, Any], path: Path, value: object) -> Any:
    changed = copy.deepcopy(call)
    place: Any = changed
    for key in path[:-1]:
        place = place[key]
    if value is NOTHING:
        if isinstance(place, list) or path[-1] in place:
            del place[path[-1]]
    else:
        place[path[-1]] = value
    return changed


def complete_call() -> dict[str, Any]:
    """A call with all sections and fields of the schema."""
    call = first_call()
    removed = [{"Name": "a", "ConfigVersion": "r1"}]
    call["RemoveItems"] = dict.fromkeys(CALL_SCHEMA["RemoveItems"]["schema"], removed)
    return call


PATHS = [path for path in paths(complete_call()) if path]


@pytest.mark.parametrize("path", PATHS, ids=lambda path: ".".join(map(str, path)))
def test_the_verdict_is_that_of_cerberus(path: Path) -> None:
    validator = calls._load_validator()
    differing = []
    for value in VALUES:
        call = with_value(complete_call(), path, value)
        if (schema_problem(call) is None) is not validator.validate(call, normalize=False):
            differing.append(value)
    assert differing == []


def test_a_call_without_a_fault_needs_no_cerberus(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calls, "_load_validator", None)
    assert is_success(calls.parse_call(msgspec.json.encode(complete_call())))
    assert is_success(calls.parse_call(b"{}")) and not is_success(calls.parse_call(b"[]"))


def test_a_large_invalid_call_is_rejected_for_its_first_violation_alone() -> None:
    """Guards against cerberus, which lists all violations: of a call of many small values in much memory and time."""
    body = b'{"ReplaceItems":{"Listeners":[' + b"{}," * MAX_REPORTED_BYTES + b"{}]}}"
    rejection = calls.parse_call(body).failure()
    assert rejection.status == 400 and "Listeners[0]" in rejection.message


def test_a_call_that_is_nested_too_deeply_is_not_json() -> None:
    rejection = calls.parse_call(b"[" * 100_000 + b"]" * 100_000).failure()
    assert rejection.status == 400 and "nested" in rejection.message
