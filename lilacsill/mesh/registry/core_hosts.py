"""Which core machines there are."""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.address import parse_address


class CoreHosts:
    """The hosts of all core machines; each has a registry and a member of the store.

    Attributes:
        own: The host of this registry.
        all: All of them, with the own one.
    """

    def __init__(self, own: str, seeds: Iterable[str]) -> None:
        self.own = own
        self.all = {*seeds, own}

    def replace(self, addresses: list[str]) -> None:
        """Take the addresses of all core machines, as the store knows them."""
        self.all = {parse_address(address).host for address in addresses} | {self.own}
