"""Contracts, a separate kind of configuration: tiers, costs of routes, and the tier of each caller. No I/O.

{"Header": "Caller-Key",
 "Tiers": [{"Name": "counter", "Rate": 20, "Burst": 120, "LastsS": 60, "Costs": {"tyre-reserve": 2}},
           {"Name": "tools", "Rate": 5, "Burst": 10}],
 "Callers": {"yard-7": "counter"}, "Default": "tools"}
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from cerberus import Validator

RESERVE_SHARE = 0.01  # of rate and burst, reserved for nodes that get no answer from an account owner
MAX_NODES = 256  # each has an equal share of the reserve
MAX_KEY_BYTES = 128  # maximum length of a caller's key; the rest is truncated
MAX_CREDITS = 1e9
_NAME = {"type": "string", "required": True, "minlength": 1, "maxlength": 64}
CONTRACTS_SCHEMA = {
    "Header": {"type": "string", "regex": "[A-Za-z][A-Za-z0-9-]{0,63}"},
    "Tiers": {
        "type": "list",
        "required": True,
        "minlength": 1,
        "maxlength": 64,
        "schema": {
            "type": "dict",
            "schema": {
                "Name": _NAME,
                "Rate": {"type": "number", "required": True, "min": 0.001, "max": MAX_CREDITS},
                "Burst": {"type": "number", "required": True, "min": 1, "max": MAX_CREDITS},
                "LastsS": {"type": "number", "min": 1, "max": MAX_CREDITS},
                "Costs": {
                    "type": "dict",
                    "keysrules": {"type": "string"},
                    "valuesrules": {"type": "number", "min": 0, "max": MAX_CREDITS},
                },
            },
        },
    },
    "Callers": {
        "type": "dict",
        "keysrules": {"type": "string", "minlength": 1, "maxlength": MAX_KEY_BYTES},
        "valuesrules": {"type": "string"},
    },
    "Default": {"type": "string", "required": True},
}
_validator: Validator | None = None


class Tier(msgspec.Struct, frozen=True):
    """The credit limits of a group of callers."""

    name: str
    rate: float  # credits per second
    burst: float  # credits
    costs: dict[str, float]  # credits per request, by route; 1 for routes that are not listed

    def cost(self, route: str) -> float:
        """Return the credits for one request."""
        return self.costs.get(route, 1.0)

    @property
    def account_rate(self) -> float:
        """Credits per second that the account accrues; the rest is the reserve."""
        return self.rate * (1 - RESERVE_SHARE)

    @property
    def account_burst(self) -> float:
        """The maximum credit of an account."""
        return self.burst * (1 - RESERVE_SHARE)

    @property
    def reserve_rate(self) -> float:
        """Credits per second of one node's share of the reserve."""
        return self.rate * RESERVE_SHARE / MAX_NODES

    @property
    def reserve_burst(self) -> float:
        """The maximum credit that one node can accumulate from its share of the reserve."""
        return self.burst * RESERVE_SHARE / MAX_NODES


class Contracts(msgspec.Struct, frozen=True):
    """All tiers, and the tier of each caller."""

    header: bytes  # that identifies the caller, in lower case; if empty, the service of the machine is the caller
    tiers: dict[str, Tier]
    callers: dict[str, str]  # names of tiers
    default: str  # the tier of all other callers

    def tier(self, caller: str) -> Tier:
        """Return the tier of a caller."""
        return self.tiers[self.callers.get(caller, self.default)]

    def caller(self, key: bytes, service: str) -> str:
        """Return the caller whose account is charged for a request.

        A key may be any bytes: it is truncated to `MAX_KEY_BYTES` and decoded as Latin-1.
        """
        return key[:MAX_KEY_BYTES].decode("latin-1") if key else service


def parse_contracts(body: bytes) -> Result[Contracts, str]:
    """Parse and validate contracts.

    Returns:
        The contracts, or a Failure that describes the error with its path and limit.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Failure(f"not JSON: {error}")
    if not isinstance(document, dict):
        return Failure("contracts must be an object")
    validator = _load_validator()
    if not validator.validate(document, normalize=False):
        return Failure(str(validator.errors))
    return _contracts(document)


def _load_validator() -> Validator:
    global _validator
    if _validator is None:
        from cerberus import Validator  # 7 MB of memory, needed only for validation

        _validator = Validator(CONTRACTS_SCHEMA)
    return _validator


def _contracts(document: dict[str, Any]) -> Result[Contracts, str]:
    tiers: dict[str, Tier] = {}
    for entry in document["Tiers"]:
        tier = _tier(entry)
        if tier.name in tiers:
            return Failure(f"Tiers: {tier.name} is named twice")
        for route, cost in tier.costs.items():
            if cost > tier.account_burst:
                limit = f"{tier.account_burst:.6g} is the most that can be saved"
                return Failure(f"Tiers.{tier.name}.Costs.{route}: costs {cost}, {limit}")
        tiers[tier.name] = tier
    callers = document.get("Callers", {})
    for caller, name in callers.items():
        if name not in tiers:
            return Failure(f"Callers.{caller}: no tier {name}")
    default = document["Default"]
    if default not in tiers:
        return Failure(f"Default: no tier {default}")
    return Success(Contracts(document.get("Header", "").lower().encode(), tiers, callers, default))


def _tier(entry: dict[str, Any]) -> Tier:
    burst = min(entry["Burst"], entry["Rate"] * entry["LastsS"]) if "LastsS" in entry else entry["Burst"]
    costs = {route: float(cost) for route, cost in entry.get("Costs", {}).items()}
    return Tier(entry["Name"], float(entry["Rate"]), float(burst), costs)
