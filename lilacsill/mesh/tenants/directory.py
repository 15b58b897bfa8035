"""The tenants that are in force, and whose each key is. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item

from .tenant import Tenant, keys_of, parse_tenant


class TenantDirectory:
    """Tenants by name and by key.

    Items of one update may come in any order: a key that moves from one tenant to another belongs to its new owner as
    soon as the item of that one is here, and the item that takes it from the old owner leaves it there.
    """

    def __init__(self) -> None:
        self._tenants: dict[str, Tenant] = {}
        self._keys: dict[str, tuple[bytes, ...]] = {}  # by name of the tenant
        self._owners: dict[bytes, str] = {}  # name of the tenant, by key

    def __len__(self) -> int:
        return len(self._tenants)

    def apply(self, item: Item) -> None:
        """Put the item of a tenant in force; one without a body removes the tenant.

        The cost depends on the keys of this tenant alone.
        """
        self._release_keys(item.name)
        if item.body is None:
            self._tenants.pop(item.name, None)
            return
        self._tenants[item.name] = parse_tenant(item)
        keys = self._keys[item.name] = keys_of(item)
        for key in keys:
            self._owners[key] = item.name

    def find_by_key(self, key: bytes) -> Tenant | None:
        """Return the tenant that has the key; None where nobody has it."""
        name = self._owners.get(key)
        return None if name is None else self._tenants[name]

    def _release_keys(self, name: str) -> None:
        for key in self._keys.pop(name, ()):
            if self._owners.get(key) == name:
                del self._owners[key]
