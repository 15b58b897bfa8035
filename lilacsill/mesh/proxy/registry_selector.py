"""Selects the two registries that a proxy polls, by rendezvous hashing, skipping those in backoff. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.hashing import rendezvous_select

POLLED_REGISTRIES = 2


class RegistrySelector:
    """The registries of one proxy, and which of them are in backoff."""

    def __init__(self, node: str, addresses: set[str]) -> None:
        """Start with the registries at these addresses (`host:port`), for the proxy `node`."""
        self._node = node
        self.addresses = addresses
        self._backoff_until: dict[str, int] = {}

    def back_off(self, registry: str, until: int) -> None:
        """Do not select a registry until the given time, unless all registries are in backoff."""
        self._backoff_until[registry] = until

    def end_backoffs(self, now: int) -> None:
        """Remove expired backoffs."""
        self._backoff_until = {registry: until for registry, until in self._backoff_until.items() if until > now}

    def selected(self) -> list[str]:
        """Return the registries to poll. If all are in backoff, backoffs are ignored."""
        return self._choose(self._available() or self.addresses, POLLED_REGISTRIES)

    def is_available(self, registry: str) -> bool:
        """Return whether a registry is selected for polling and not in backoff."""
        return registry in self._choose(self._available(), POLLED_REGISTRIES)

    def replacements(self, now: int) -> list[str]:
        """Return the registries to poll after one has failed; empty if all are in backoff."""
        in_backoff = {registry for registry, until in self._backoff_until.items() if until > now}
        return self._choose(self.addresses - in_backoff, POLLED_REGISTRIES)

    def first(self) -> str | None:
        """Return the registry from which to fetch the configuration; None if there are no registries."""
        return next(iter(self._choose(self._available() or self.addresses, 1)), None)

    def _available(self) -> set[str]:
        return self.addresses - self._backoff_until.keys()

    def _choose(self, registries: set[str], count: int) -> list[str]:
        return rendezvous_select(self._node, registries, count)
