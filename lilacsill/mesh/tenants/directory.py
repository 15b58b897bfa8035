"""The active tenants, and the tenant of each API key. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item

from .tenant import Tenant, keys_of, parse_tenant


class TenantDirectory:
    """Tenants by name and by key.

    Items of one update may arrive in any order. A key that moves to another tenant belongs to its new owner as soon as
    the new owner's item is applied; applying the old owner's item later does not remove it from the new owner.
    """

    def __init__(self) -> None:
        self._tenants: dict[str, Tenant] = {}
        self._keys: dict[str, tuple[bytes, ...]] = {}  # by tenant name
        self._owners: dict[bytes, str] = {}  # tenant name, by key

    def __len__(self) -> int:
        return len(self._tenants)

    def apply(self, item: Item) -> None:
        """Apply the item of a tenant; an item without a body removes the tenant.

        The cost depends only on the number of keys of this tenant.
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
        """Return the tenant of the key, or None if no tenant has it."""
        name = self._owners.get(key)
        return None if name is None else self._tenants[name]

    def _release_keys(self, name: str) -> None:
        for key in self._keys.pop(name, ()):
            if self._owners.get(key) == name:
                del self._owners[key]
