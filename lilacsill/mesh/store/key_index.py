"""An index of the tenants of one configuration by key. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.tenants.tenant import keys_of


class KeyIndex:
    """The owner of each key of one configuration.

    If two tenants have the same key within a batch, the tenant that was changed last owns it.
    """

    def __init__(self) -> None:
        self._owners: dict[bytes, str] = {}

    def owner(self, key: bytes) -> str | None:
        """Return the name of the tenant with this key; None if there is none."""
        return self._owners.get(key)

    def replace(self, current: Item | None, item: Item) -> None:
        """Replace an item by its new version; `current` is None if the item is new."""
        for key in keys_of(current):
            if self._owners.get(key) == item.name:
                del self._owners[key]
        for key in keys_of(item):
            self._owners[key] = item.name
