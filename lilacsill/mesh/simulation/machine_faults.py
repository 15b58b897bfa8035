"""Faults of one machine, or of all machines of a zone, each with its end."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .callers import World
from .fault import Fault
from .fault_effects import FaultEffects
from .history import Partition
from .losses import Losses
from .network import MS, SECOND

LEAVE_CHECK_US = 100 * MS
GRACE_US = 6 * SECOND
EMPTY_AFTER_US = 1 * SECOND  # an empty machine takes the place of one that is gone

MachineStrike = Callable[[Fault, list[str], Random], None]


class MachineFaults:
    """Strikes machines.

    Attributes:
        kinds: By kind of fault, what strikes the machines that are given.
    """

    def __init__(self, world: World, losses: Losses, effects: FaultEffects) -> None:
        self._world, self._losses, self._effects = world, losses, effects
        self._net, self._time, self._fleet = world.net, world.time, world.fleet
        self._replacements = 0
        self.kinds: dict[str, MachineStrike] = {
            "kill": self._kill,
            "power": self._kill,
            "wipe": self._kill,
            "freeze": self._freeze,
            "cut": self._partition,
            "stall": self._stall,
            "slow_disk": self._slow_disk,
            "slow": self._slow,
            "roll_term": self._roll_term,
            "replace": self._replace,
            "replace_planned": self._replace_planned,
        }

    def _kill(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._effects.end_machine(address, fault.kind != "kill", fault.kind == "wipe")
        self._effects.after_each(targets, fault.for_ms * MS, lambda a: self._effects.restart(a, "meet" in fault.how))

    def _freeze(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._net.machines[address].frozen_until = self._time.now + fault.for_ms * MS
        self._effects.after_each(targets, fault.for_ms * MS, self._losses.back)
        if "meet" in fault.how:
            self._effects.after_each(targets, fault.for_ms * MS, self._effects.meet)

    def _stall(self, fault: Fault, targets: list[str], rng: Random) -> None:
        """A disk that is full refuses what it is given until it is not: the same from outside."""
        for address in targets:
            self._net.machines[address].disk.stall(fault.for_ms * MS)
        self._effects.after_each(targets, fault.for_ms * MS, self._losses.back)

    def _slow_disk(self, fault: Fault, targets: list[str], rng: Random) -> None:
        times = rng.choice((8, 25, 60))
        for address in targets:
            self._net.machines[address].disk.slow_down(times)

        def quick(address: str) -> None:
            if address in self._net.machines:
                self._net.machines[address].disk.speed_up(times)
                self._losses.back(address)

        self._effects.after_each(targets, fault.for_ms * MS, quick)

    def _slow(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._net.slow[address] = rng.choice((50, 200, 600)) * MS

        def quick(address: str) -> None:
            self._net.slow.pop(address, None)
            self._losses.back(address)

        self._effects.after_each(targets, fault.for_ms * MS, quick)

    def _partition(self, fault: Fault, targets: list[str], rng: Random) -> None:
        """`how`: one_way in or out, refused, reset, turns, meet, race."""
        isolated, for_us = set(targets), fault.for_ms * MS
        others = set(self._fleet.stores) - isolated
        sides = (others, isolated) if "in" in fault.how else (isolated, others)
        one_way = "one_way" in fault.how
        if "reset" in fault.how:
            self._net.reset(isolated, others)
        if not one_way:
            self._world.history.add(Partition(self._time.now, self._time.now + for_us, frozenset(isolated)))
        if "meet" in fault.how:
            self._effects.after_each(targets, rng.randrange(for_us), self._effects.meet)
        if "race" in fault.how:
            self._time.after(rng.randrange(for_us), self._effects.race, fault.seed)
        if "turns" in fault.how:
            self._effects.limit_reach(isolated)
            self._time.after(for_us // 2, self._effects.limit_reach, others)
            self._time.after(for_us, self._effects.limit_reach, set())
        self._effects.partition(*sides, for_us, one_way, "refused" in fault.how)
        self._effects.after_each(targets, for_us, self._losses.back)

    def _roll_term(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._terminate(address, lambda a: self._time.after(fault.for_ms * MS, self._effects.restart, a))

    def _terminate(self, address: str, ended: Callable[[str], None]) -> None:
        """As a SIGTERM does. One that another trouble ends meanwhile has ended, too."""
        machine = self._net.machines[address]
        run_number = machine.run_number
        self._fleet.terminate(address, GRACE_US, lambda: None)

        def check() -> None:
            if machine.run_number == run_number:
                return self._time.after(LEAVE_CHECK_US, check)
            ended(address)
            return None

        check()

    def _replace(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._remove(address)
            self._time.after(EMPTY_AFTER_US, self._new, address)

    def _replace_planned(self, fault: Fault, targets: list[str], rng: Random) -> None:
        for address in targets:
            self._new(address)
            self._losses.lose([address])  # until it is gone
            self._time.after(fault.for_ms * MS, self._leave_for_good, address)

    def _leave_for_good(self, address: str) -> None:
        def gone(address: str) -> None:
            self._remove(address)
            self._losses.gone(address)

        if address not in self._fleet.stores or not self._net.machines[address].up:
            return gone(address)
        self._terminate(address, gone)
        return None

    def _remove(self, address: str) -> None:
        self._losses.disk_lost(address)  # it goes with its machine
        if address in self._fleet.stores:
            self._fleet.remove(address)

    def _new(self, earlier: str) -> None:
        """An empty machine in its zone, at another address."""
        self._replacements += 1
        address = f"10.0.1.{self._replacements}:1"
        self._fleet.add(address)
        self._losses.position(address, self._losses.zone_of(earlier))
        self._losses.replaced(earlier, address)
        self._effects.joined(address)
