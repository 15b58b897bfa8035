"""Contracts, a kind of configuration of their own: tiers, costs of routes, and the tier of each caller. No I/O.

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

RESERVE_SHARE = 0.01  # of rate and burst, set aside for nodes that get no answer from a home node
MAX_NODES = 256  # each has an equal share of the reserve
MAX_KEY_BYTES = 128  # of a caller's key; the rest is dropped
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
    """What a group of callers may spend."""

    name: str
    rate: float  # credits a second
    burst: float  # credits
    costs: dict[str, float]  # credits for a request, by route; 1 for all others

    def cost(self, route: str) -> float:
        """Return the credits for one request."""
        return self.costs.get(route, 1.0)

    @property
    def home_rate(self) -> float:
        """Credits a second that home nodes lend; the rest is the reserve."""
        return self.rate * (1 - RESERVE_SHARE)

    @property
    def home_burst(self) -> float:
        """The most credit that an account can have."""
        return self.burst * (1 - RESERVE_SHARE)

    @property
    def floor_rate(self) -> float:
        """Credits a second of one node's share of the reserve."""
        return self.rate * RESERVE_SHARE / MAX_NODES

    @property
    def floor_burst(self) -> float:
        """The most credit that one node can save of its share."""
        return self.burst * RESERVE_SHARE / MAX_NODES


class Contracts(msgspec.Struct, frozen=True):
    """All tiers, and the tier of each caller."""

    header: bytes  # that names the caller, in lower case; empty: the service of the machine is the caller
    tiers: dict[str, Tier]
    callers: dict[str, str]  # names of tiers
    default: str  # the tier of all other callers

    def tier(self, caller: str) -> Tier:
        """Return the tier of a caller."""
        return self.tiers[self.callers.get(caller, self.default)]

    def caller(self, key: bytes, service: str) -> str:
        """Return who pays for a request.

        A key may be any bytes: it is shortened to its limit and decoded byte by byte.
        """
        return key[:MAX_KEY_BYTES].decode("latin-1") if key else service


def parse_contracts(body: bytes) -> Result[Contracts, str]:
    """Read and check contracts.

    Returns:
        A Failure says what is wrong, with its path and limit.
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
        from cerberus import Validator  # 7 MB that only a check needs

        _validator = Validator(CONTRACTS_SCHEMA)
    return _validator


def _contracts(document: dict[str, Any]) -> Result[Contracts, str]:
    tiers: dict[str, Tier] = {}
    for entry in document["Tiers"]:
        tier = _tier(entry)
        if tier.name in tiers:
            return Failure(f"Tiers: {tier.name} is named twice")
        for route, cost in tier.costs.items():
            if cost > tier.home_burst:
                limit = f"{tier.home_burst:.6g} is the most that can be saved"
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
