"""Parse an operator's call from JSON into its changes, one per item. No I/O.

cerberus is imported for the first invalid call: it reports what is invalid, and takes several megabytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from lilacsill.mesh.tenants.tenant import TENANT, encode_key

from .call_form import schema_problem
from .call_schema import CALL_SCHEMA
from .rejections import (
    ContradictoryChanges,
    InvalidTarget,
    KeyTaken,
    MatchTaken,
    NotAnObject,
    NotJson,
    Rejection,
    SchemaViolation,
)
from .route_index import LIMITS, ROUTE, SERVICE, RouteMatch

if TYPE_CHECKING:
    from cerberus import Validator

# cerberus lists each violation of a call, in much memory and time; of a larger one only the first is reported.
MAX_REPORTED_BYTES = 16 * 1024
_KIND_OF_REMOVAL = {
    "Customers": TENANT,
    "Routing": ROUTE,
    "Listeners": ROUTE,
    "ServiceList": SERVICE,
    "Groups": SERVICE,
}


class Change(msgspec.Struct, frozen=True):
    """A new version of one item."""

    kind: str
    name: str
    version: int
    body: Any  # the decoded JSON; None removes the item


Call = list[Change]

_validator: Validator | None = None


def parse_call(body: bytes) -> Result[Call, Rejection]:
    """Parse a call and check it on its own, independent of the configuration in force."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Failure(NotJson(str(error)))
    except RecursionError:
        return Failure(NotJson("nested too deeply"))
    return _check_schema(document, len(body)).bind(_extract_changes)


def match_of(route: dict[str, Any]) -> RouteMatch:
    """Return the host and path prefix that the route with this body matches."""
    return RouteMatch(route["Host"].lower(), route["Rule"]["When"]["PathPrefix"])


def _check_schema(document: Any, size: int) -> Result[dict[str, Any], Rejection]:
    if not isinstance(document, dict):
        return Failure(NotAnObject())
    problem = schema_problem(document)
    if problem is None:
        return Success(document)
    if size > MAX_REPORTED_BYTES:
        return Failure(SchemaViolation(problem.path, problem.text))
    validator = _load_validator()
    if validator.validate(document, normalize=False):
        return Success(document)
    return Failure(_first_violation(validator.errors))


def _load_validator() -> Validator:
    global _validator
    if _validator is None:
        from cerberus import TypeDefinition, Validator

        # By default cerberus accepts true and false as integers.
        types = {**Validator.types_mapping, "integer": TypeDefinition("integer", (int,), (bool,))}
        _validator = type("CallValidator", (Validator,), {"types_mapping": types})(CALL_SCHEMA)
    return _validator


def _first_violation(errors: Any) -> SchemaViolation:
    """Return the first of cerberus' nested dictionaries and lists of errors."""
    path = []
    while isinstance(errors, (dict, list)) and errors:
        if isinstance(errors, list):
            errors = errors[0]
        else:
            key = next(iter(errors))
            path.append(str(key))
            errors = errors[key]
    return SchemaViolation(".".join(path), str(errors))


def _extract_changes(document: dict[str, Any]) -> Result[Call, Rejection]:
    replaced, removed = document.get("ReplaceItems", {}), document.get("RemoveItems", {})
    routes = [
        {"Host": listener["Host"], "Rule": rule}
        for listener in replaced.get("Listeners", [])
        for rule in listener["Policy"]
    ]
    for route in routes:
        problem = _target_problem(route["Rule"]["Then"])
        if problem:
            return Failure(InvalidTarget(route["Rule"]["Name"], problem))
    limits = [replaced["Limits"]] if "Limits" in replaced else []
    # Tenants come first: a proxy that has received part of the configuration must not conclude that there are none.
    return _without_duplicates(
        [
            *(Change(TENANT, tenant["Name"], _version(tenant), tenant) for tenant in replaced.get("Customers", [])),
            *(Change(LIMITS, "", _version(limit), limit) for limit in limits),
            *(Change(ROUTE, route["Rule"]["Name"], _version(route["Rule"]), route) for route in routes),
            *(Change(SERVICE, service["Name"], _version(service), service) for service in replaced.get("Groups", [])),
            *_removals(removed),
        ]
    )


def _removals(removed: dict[str, list[dict[str, Any]]]) -> Iterator[Change]:
    for section, items in removed.items():
        for item in items:
            yield Change(_KIND_OF_REMOVAL[section], item["Name"], _version(item), None)


def _version(item: dict[str, Any]) -> int:
    """Return the number in a `ConfigVersion` such as "r12"."""
    return int(item["ConfigVersion"][1:])


def _target_problem(target: dict[str, Any]) -> str:
    """Return what is wrong with the target of a route; empty if it is valid."""
    if ("TargetService" in target) == ("TrafficSplit" in target):
        return "Then: must name either TargetService or TrafficSplit"
    if "TrafficSplit" in target and sum(part["Share"] for part in target["TrafficSplit"]) <= 0:
        return "Then.TrafficSplit: the shares sum to 0"
    return ""


def _without_duplicates(changes: Iterable[Change]) -> Result[Call, Rejection]:
    """Return one change per item, or a rejection if changes contradict each other. Identical changes are merged."""
    by_item: dict[tuple[str, str], Change] = {}
    owners = _Owners()
    for change in changes:
        rejection = owners.add(change)
        if rejection is not None:
            return Failure(rejection)
        first = by_item.setdefault((change.kind, change.name), change)
        if (first.version, first.body) != (change.version, change.body):
            return Failure(ContradictoryChanges(change.kind, change.name))
    return Success(list(by_item.values()))


class _Owners:
    """The owners of the matches and keys that a call sets. No two items may have the same one."""

    def __init__(self) -> None:
        self._routes: dict[RouteMatch, str] = {}
        self._tenants: dict[bytes, str] = {}  # by encoded key

    def add(self, change: Change) -> Rejection | None:
        """Add the match or keys that a change sets. Return a rejection if another item of the call has one of them."""
        if change.body is None:
            return None
        if change.kind == ROUTE:
            return self._add_route(change)
        if change.kind == TENANT:
            return self._add_tenant(change)
        return None

    def _add_route(self, change: Change) -> Rejection | None:
        taken_by = self._routes.setdefault(match_of(change.body), change.name)
        return None if taken_by == change.name else MatchTaken(taken_by, change.name)

    def _add_tenant(self, change: Change) -> Rejection | None:
        for key in change.body["ApiKeys"]:
            taken_by = self._tenants.setdefault(encode_key(key), change.name)
            if taken_by != change.name:
                return KeyTaken(taken_by, change.name)
        return None
