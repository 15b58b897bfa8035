"""The known core machines."""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.address import parse_address


class CoreHosts:
    """The hosts of all core machines; each runs a registry and a store replica.

    Attributes:
        own: The host of this registry.
        all: All known hosts, including `own`.
    """

    def __init__(self, own: str, seeds: Iterable[str]) -> None:
        self.own = own
        self.all = {*seeds, own}

    def replace(self, addresses: list[str]) -> None:
        """Replace the hosts by those of the addresses that the store reported."""
        self.all = {parse_address(address).host for address in addresses} | {self.own}
