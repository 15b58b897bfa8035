"""Which tenant has which key in one configuration. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.tenants.tenant import keys_of


class KeyIndex:
    """The keys of one configuration.

    Of two tenants with the same key within a batch, the one that was changed last counts.
    """

    def __init__(self) -> None:
        self._owners: dict[bytes, str] = {}

    def owner(self, key: bytes) -> str | None:
        """Return the name of the tenant with this key."""
        return self._owners.get(key)

    def replace(self, current: Item | None, item: Item) -> None:
        """Replace an item by its successor of the same name; `current` None: there was none."""
        for key in keys_of(current):
            if self._owners.get(key) == item.name:
                del self._owners[key]
        for key in keys_of(item):
            self._owners[key] = item.name
