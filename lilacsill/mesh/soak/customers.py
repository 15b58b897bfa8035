"""The tenants of a soak, their keys and rates, as the operator changes them. No I/O."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec

RATES_PER_S = (60, 40, 25, 12, 8, 5)  # one tenant for each; their bursts are as large
HOT_RATES_PER_S = (25, 12, 8, 5)  # of the tenants that may turn hot; clients in this process can overwhelm them
KEYS_PER_TENANT = 2
KEY_BITS = 64
MIN_RATE_PER_S = 2  # of a limit that was lowered
LOWERED_SHARE = 0.4


class Tenant(msgspec.Struct, frozen=True):
    """One version of a tenant."""

    name: str
    keys: tuple[str, ...]
    rank: int
    rate_per_s: int
    burst: int

    def item(self, version: int) -> dict[str, Any]:
        """Return the tenant as an item of the configuration."""
        return {
            "Name": self.name,
            "ApiKeys": list(self.keys),
            "Rank": self.rank,
            "RatePerS": self.rate_per_s,
            "BurstSize": self.burst,
            "ConfigVersion": f"r{version}",
        }


class ClientKey(msgspec.Struct, frozen=True):
    """A key that a client uses, and the tenant that has it; empty where the client uses none."""

    tenant: str = ""
    credential: str = ""


NO_KEY = ClientKey()


def _new_key(rng: Random) -> str:
    return f"key-{rng.getrandbits(KEY_BITS):016x}"


class Customers:
    """The newest version of each tenant that the operator has sent, and how versions follow each other."""

    def __init__(self, rng: Random) -> None:
        """Draw the tenants of the first configuration."""
        self._rng = rng
        tenants = [
            Tenant(f"tenant-{number}", tuple(_new_key(rng) for _ in range(KEYS_PER_TENANT)), number % 2, rate, rate)
            for number, rate in enumerate(RATES_PER_S, 1)
        ]
        self._tenants = {tenant.name: tenant for tenant in tenants}

    @property
    def tenants(self) -> list[Tenant]:
        """The newest version of each tenant."""
        return list(self._tenants.values())

    def draw_key(self) -> ClientKey:
        """Return a key of a tenant; large tenants have more clients. One without keys has none."""
        candidates = [tenant for tenant in self.tenants if tenant.keys]
        if not candidates:
            return NO_KEY
        tenant = self._rng.choices(candidates, [tenant.rate_per_s for tenant in candidates])[0]
        return ClientKey(tenant.name, self._rng.choice(tenant.keys))

    def key_of(self, name: str) -> ClientKey:
        """Return a key that a tenant has now; NO_KEY if it has none."""
        keys = self._tenants[name].keys
        return ClientKey(name, self._rng.choice(keys)) if keys else NO_KEY

    def unknown_key(self) -> ClientKey:
        """Return a key that no configuration ever has."""
        return ClientKey("", _new_key(self._rng))

    def hot_tenant(self, number: int) -> Tenant:
        """Return the tenant that a fault with this number makes hot."""
        candidates = [tenant for tenant in self.tenants if tenant.rate_per_s <= max(HOT_RATES_PER_S) and tenant.keys]
        return candidates[number % len(candidates)] if candidates else self.tenants[0]

    def revoke(self, number: int) -> Tenant:
        """Take a key from a tenant, and return its new version."""
        tenant = self._choose(number)
        return self._replace(tenant, keys=tenant.keys[1:])

    def add_key(self, number: int) -> Tenant:
        """Give a tenant one more key, and return its new version."""
        tenant = self._choose(number)
        return self._replace(tenant, keys=(*tenant.keys, _new_key(self._rng)))

    def lower_limit(self, number: int) -> Tenant:
        """Lower rate and burst of a tenant, and return its new version."""
        tenant = self._choose(number)
        rate_per_s = max(MIN_RATE_PER_S, int(tenant.rate_per_s * LOWERED_SHARE))
        return self._replace(tenant, rate_per_s=rate_per_s, burst=rate_per_s)

    def raise_limit(self, number: int) -> Tenant:
        """Give a tenant the rate of the largest tenant, and return its new version."""
        return self._replace(self._choose(number), rate_per_s=max(RATES_PER_S), burst=max(RATES_PER_S))

    def _choose(self, number: int) -> Tenant:
        return self.tenants[number % len(self._tenants)]

    def _replace(self, tenant: Tenant, **fields: Any) -> Tenant:
        replaced = msgspec.structs.replace(tenant, **fields)
        self._tenants[tenant.name] = replaced
        return replaced
