"""An operator's call, read and checked: outcomes are values. What is wrong is told by its place and bound. No I/O.

A change that was accepted before is recognised first and is not checked against today's state: its service may have
been dropped since, or its place taken. cerberus is loaded with the first call: only the head of the chain needs it, and
memory is priced.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from lilacsill.mesh.runtime.messages import Item

from .accepted_changes import ChangeKind, classify_change, with_new_version, with_recorded_version
from .draft import Base, Draft
from .route_index import LIMITS, ROUTE, SERVICE

if TYPE_CHECKING:
    from cerberus import Validator

KINDS = ["read_only", "writes"]
MOST = 2**53


@dataclass(slots=True, frozen=True)
class Change:
    """One item that a call names. `body` None: to be dropped."""

    kind: str
    name: str
    version: int
    body: Any


Call = list[Change]

INVALID, CONFLICT, TOO_LARGE, UNKNOWN_OUTCOME = 400, 409, 413, 503


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a call is not acknowledged. With `UNKNOWN_OUTCOME` that is no refusal: it may have been accepted before."""

    why: str
    status: int = INVALID


_TAG = {"type": "string", "required": True, "regex": r"r[0-9]{1,15}"}
_TEXT = {"type": "string", "required": True, "minlength": 1, "maxlength": 256}
_COUNT = {"type": "integer", "min": 0, "max": MOST}
_NUMBER = {"type": "number", "min": 0, "max": MOST}
_SPLIT = {
    "type": "list",
    "minlength": 1,
    "schema": {
        "type": "dict",
        "allow_unknown": True,
        "schema": {"TargetService": _TEXT, "Share": {**_NUMBER, "required": True}},
    },
}
RULE = {
    "Name": _TEXT,
    "ConfigVersion": _TAG,
    "RouteKind": {"type": "string", "required": True, "allowed": KINDS},
    "TargetMs": _NUMBER,
    "Rank": _COUNT,
    "When": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {"PathPrefix": {"type": "string", "required": True, "regex": r"/(.*/)?"}},
    },
    "Then": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {
            "TargetService": {**_TEXT, "required": False},
            "TrafficSplit": _SPLIT,
            "TimeoutMs": {**_NUMBER, "required": True, "min": 1},
            "MaxTries": {**_COUNT, "min": 1},
        },
    },
}
_NAMES = {
    "type": "list",
    "schema": {"type": "dict", "allow_unknown": True, "schema": {"Name": _TEXT, "ConfigVersion": _TAG}},
}
SCHEMA = {
    "ReplaceItems": {
        "type": "dict",
        "schema": {
            "Limits": {
                "type": "dict",
                "allow_unknown": True,
                "schema": {
                    "ConfigVersion": _TAG,
                    "MaxHeaderBytes": _COUNT,
                    "MaxBodyBytes": _COUNT,
                    "HeaderWaitMs": _COUNT,
                    "IdleTimeoutMs": _COUNT,
                },
            },
            "Listeners": {
                "type": "list",
                "schema": {
                    "type": "dict",
                    "schema": {
                        "Host": _TEXT,
                        "Policy": {
                            "type": "list",
                            "required": True,
                            "schema": {"type": "dict", "allow_unknown": True, "schema": RULE},
                        },
                    },
                },
            },
            "Groups": {
                "type": "list",
                "schema": {
                    "type": "dict",
                    "allow_unknown": True,
                    "schema": {
                        "Name": _TEXT,
                        "ConfigVersion": _TAG,
                        "HealthPath": {"type": "string", "regex": "/.*"},
                        "MaxConnections": {**_COUNT, "min": 1},
                    },
                },
            },
        },
    },
    "RemoveItems": {
        "type": "dict",
        "schema": {"Routing": _NAMES, "Listeners": _NAMES, "ServiceList": _NAMES, "Groups": _NAMES},
    },
}
DROPS = {"Routing": ROUTE, "Listeners": ROUTE, "ServiceList": SERVICE, "Groups": SERVICE}

_validator: Validator | None = None


def _checked(raw: Any) -> Result[dict[str, Any], str]:
    global _validator
    if _validator is None:
        from cerberus import Validator

        _validator = Validator(SCHEMA)
    if not isinstance(raw, dict):
        return Failure("a call must be an object")
    if _validator.validate(raw, normalize=False):
        return Success(raw)
    return Failure(_first(_validator.errors))


def _first(errors: Any) -> str:
    """The first of what cerberus found, with its place."""
    place = []
    while isinstance(errors, (dict, list)) and errors:
        if isinstance(errors, list):
            errors = errors[0]
        else:
            key = next(iter(errors))
            place.append(str(key))
            errors = errors[key]
    return f"{'.'.join(place)}: {errors}"


def is_success(outcome: Result[Any, Any]) -> bool:
    """Whether it is no Failure."""
    return isinstance(outcome, Success)


def number_of(tag: str) -> int:
    return int(tag[1:])


def parse_call(body: bytes) -> Result[Call, str]:
    """The form of a call. Failure: why it cannot be read in full."""
    try:
        raw = msgspec.json.decode(body)
    except msgspec.DecodeError as e:
        return Failure(f"not JSON: {e}")
    return _checked(raw).bind(_changes)


def _changes(raw: dict[str, Any]) -> Result[Call, str]:
    call: Call = []
    sets, drops = raw.get("ReplaceItems", {}), raw.get("RemoveItems", {})
    if "Limits" in sets:
        call.append(Change(LIMITS, "", number_of(sets["Limits"]["ConfigVersion"]), sets["Limits"]))
    for listener in sets.get("Listeners", []):
        for rule in listener["Policy"]:
            wrong = _route_is_wrong(rule)
            if wrong:
                return Failure(f"route {rule['Name']}: {wrong}")
            body = {"Host": listener["Host"], "Rule": rule}
            call.append(Change(ROUTE, rule["Name"], number_of(rule["ConfigVersion"]), body))
    for service in sets.get("Groups", []):
        call.append(Change(SERVICE, service["Name"], number_of(service["ConfigVersion"]), service))
    for key, names in drops.items():
        call.extend(Change(DROPS[key], n["Name"], number_of(n["ConfigVersion"]), None) for n in names)
    named: dict[tuple[str, str], Change] = {}
    places: dict[tuple[str, str], str] = {}
    for change in call:
        if change.kind == ROUTE and change.body is not None:
            place = place_of(change.body)
            if places.setdefault(place, change.name) != change.name:
                return Failure(f"routes {places[place]} and {change.name} have the same host and prefix")
        other = named.setdefault((change.kind, change.name), change)
        if other is not change and (other.version, other.body) != (change.version, change.body):
            return Failure(f"{change.kind} {change.name}: named twice")
    return Success(list(named.values()))


def _route_is_wrong(rule: dict[str, Any]) -> str:
    then = rule["Then"]
    if ("TargetService" in then) == ("TrafficSplit" in then):
        return "Then: must name either TargetService or TrafficSplit"
    if "TrafficSplit" in then and sum(part["Share"] for part in then["TrafficSplit"]) <= 0:
        return "Then.TrafficSplit: the shares sum to 0"
    return ""


def place_of(body: dict[str, Any]) -> tuple[str, str]:
    """Where a route stands: its host and prefix."""
    return body["Host"].lower(), body["Rule"]["When"]["PathPrefix"]


def _targets(body: Any) -> list[str]:
    """The services that a route names."""
    then = body["Rule"]["Then"]
    return [then["TargetService"]] if "TargetService" in then else [p["TargetService"] for p in then["TrafficSplit"]]


def apply_call(base: Base, call: Call) -> Result[Draft, Rejection]:
    """The base with what the call changes; all of it or, as a Failure, nothing. Costs as much as the call is long."""
    draft = Draft(base)
    newer: Call = []
    overtaken: Call = []
    for change in call:
        verdict = classify_change(base.item(change.kind, change.name), change.version, change.body)
        if verdict is ChangeKind.CONFLICT:
            return Failure(Rejection(f"{_named(change)} was accepted with another content", CONFLICT))
        if verdict is ChangeKind.FORGOTTEN:
            return Failure(Rejection(f"{_named(change)} is too old to tell if it was accepted", UNKNOWN_OUTCOME))
        if verdict is ChangeKind.NEWER:
            newer.append(change)
        elif verdict is ChangeKind.SUPERSEDED:
            overtaken.append(change)
    wrong = _put(draft, newer) or _overtaken_is_wrong(base, draft, overtaken)
    if wrong:
        return Failure(Rejection(wrong))
    # Nobody else may be told that this number stands for another content, so it goes into the record.
    for change in overtaken:
        held = base.item(change.kind, change.name)
        assert held is not None
        draft.put([with_recorded_version(held, change.version, change.body, draft.seq + 1)])
    return Success(draft)


def _named(change: Change) -> str:
    return f"{change.kind} {change.name}".strip() + f" r{change.version}"


def _stands(item: Item | None) -> bool:
    return item is not None and item.body is not None


def _put(draft: Draft, newer: Call) -> str:
    """Empty, or why the state would be invalid."""
    items = []
    for seq, change in enumerate(newer, draft.seq + 1):
        body = None if change.body is None else msgspec.json.encode(change.body)
        held = draft.item(change.kind, change.name)
        items.append(with_new_version(held, change.kind, change.name, change.version, seq, body))
    for other, name in draft.put(items):
        return f"routes {other} and {name} have the same host and prefix"
    for change in newer:
        if change.kind == ROUTE and change.body is not None:
            for service in _targets(change.body):
                if not _stands(draft.item(SERVICE, service)):
                    return f"route {change.name}: service {service} is not known"
        if change.kind == SERVICE and change.body is None and draft.reference_count(change.name):
            return f"service {change.name} is named by {draft.reference_count(change.name)} routes"
    return ""


def _overtaken_is_wrong(base: Base, draft: Draft, overtaken: Call) -> str:
    """What is too old to change anything is checked, too: what is invalid is never acknowledged. The services that it
    names must have been known at some time, or come with the call."""
    for change in overtaken:
        if change.kind == ROUTE and change.body is not None:
            for service in _targets(change.body):
                if base.item(SERVICE, service) is None and not _stands(draft.item(SERVICE, service)):
                    return f"route {change.name}: service {service} is not known"
    return ""
