"""One core machine: a member of the store and a registry, which are lost and come back together."""

from __future__ import annotations

from random import Random

from lilacsill.mesh.simulation.network import Machine
from lilacsill.mesh.simulation.store_fleet import Fleet

from .addresses import registry_address, store_address
from .virtual_registry import start_registry


class CoreHost:
    """Starts and ends both processes of a core machine."""

    def __init__(self, fleet: Fleet, ip: str, seeds: list[str], rng: Random) -> None:
        """Take over the member of the store, which runs, and start the registry."""
        self.ip, self._fleet, self._seeds, self._rng = ip, fleet, seeds, rng
        self.store = fleet.net.machines[store_address(ip)]
        self.registry = Machine(fleet.net, registry_address(ip), 1)
        fleet.net.machines[self.registry.address] = self.registry
        self._start_registry()

    @property
    def is_up(self) -> bool:
        """Whether the processes run."""
        return self.store.up

    def _start_registry(self) -> None:
        self.registry.clock_offset, self.registry.clock_rate = self.store.clock_offset, self.store.clock_rate
        self.registry.begin()
        start_registry(self.registry, self._seeds, Random(self._rng.random()))

    def start(self) -> None:
        """Start both processes with what is on the disk, unless they run."""
        if not self.is_up:
            self._fleet.start(self.store.address)
            self._start_registry()

    def kill(self, power: bool, is_wiped: bool) -> None:
        """End both processes; with `power` unsynced writes are lost, too."""
        self.store.end(power=power)
        self.registry.end(power=power)
        if is_wiped:
            self.store.disk.wiped()

    def freeze(self, for_us: int) -> None:
        """Stop both processes for a time."""
        self.store.frozen_until = self.registry.frozen_until = self._fleet.net.time.now + for_us
