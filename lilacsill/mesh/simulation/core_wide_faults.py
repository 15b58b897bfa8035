"""Faults of many machines at once: they strike whatever is lost already, but no more disks are lost than may be."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .callers import World
from .fault import Fault
from .fault_effects import HERD_BACK_US, FaultEffects
from .losses import Losses
from .network import MS

CHANGES_MISSED = 4  # by a minority that is behind

CoreWideStrike = Callable[[Fault, Random], None]


class CoreWideFaults:
    """Strikes the core.

    Attributes:
        kinds: By kind of fault, what strikes.
    """

    def __init__(self, world: World, losses: Losses, effects: FaultEffects) -> None:
        self._world, self._losses, self._effects = world, losses, effects
        self._net, self._time = world.net, world.time
        self.kinds: dict[str, CoreWideStrike] = {
            "herd": self._herd,
            "halves": self._halves,
            "power_beyond": self._power_beyond,
            "behind": self._behind,
            "ack_lost": lambda fault, rng: self._ack_lost(fault),
            "race": lambda fault, rng: self._effects.race(fault.seed),
        }

    def _herd(self, fault: Fault, rng: Random) -> None:
        """All at once; `how`: power, or wiped: as many as may be lost lose their disks, while the others go dark.

        With `oldest` these are the ones whose disks have lasted longest.
        """
        up = rng.sample(self._effects.machines_up(), len(self._effects.machines_up()))
        if "oldest" in fault.how:
            up.sort(key=self._losses.disk_age_us, reverse=True)
        loses_disks = "wiped" in fault.how
        loses_power = loses_disks or "power" in fault.how
        wiped: set[str] = set()
        for chosen in up if loses_disks else ():
            if self._losses.allow(wiped | {chosen}):
                wiped.add(chosen)
        self._effects.record_event(fault, sorted(up))
        for address in up:
            self._effects.lose_power(address, loses_power, address in wiped, rng)
        self._effects.mark_unsettled(2 * HERD_BACK_US)

    def _halves(self, fault: Fault, rng: Random) -> None:
        """Cut all machines that are up into two halves, whatever is lost; everybody else reaches both."""
        up = rng.sample(self._effects.machines_up(), len(self._effects.machines_up()))
        half, others = set(up[: len(up) // 2]), set(up[len(up) // 2 :])
        self._effects.record_event(fault, sorted(half))
        self._effects.mark_unsettled(fault.for_ms * MS)
        self._losses.lose(up)
        self._effects.after_each(up, fault.for_ms * MS, self._losses.back)
        self._effects.partition(half, others, fault.for_ms * MS, False, "refused" in fault.how)

    def _power_beyond(self, fault: Fault, rng: Random) -> None:
        """Some of the machines lose power, one at least, whatever is lost; their disks stay."""
        up = self._effects.machines_up()
        targets = rng.sample(up, rng.randint(1, len(up))) if up else []
        self._effects.record_event(fault, targets)
        self._effects.mark_unsettled(fault.for_ms * MS)
        for address in targets:
            self._losses.lose([address])
            self._effects.end_machine(address, power=True)
            self._time.after(rng.randrange(1, fault.for_ms) * MS, self._effects.restart, address)

    def _behind(self, fault: Fault, rng: Random) -> None:
        """A minority misses changes; then one of the others loses its disk, the rest go dark, and the cut heals."""
        up = rng.sample(self._effects.machines_up(), len(self._effects.machines_up()))
        minority = up[: (len(up) - 1) // 2]
        if self._losses.lost() or not minority:
            return
        others, for_us = [address for address in up if address not in minority], fault.for_ms * MS
        self._effects.record_event(fault, minority)
        self._effects.mark_unsettled(2 * for_us)
        self._losses.lose(minority)
        self._effects.partition(set(minority), set(others), for_us, False, False)
        self._effects.after_each(minority, for_us, self._losses.back)
        for _ in range(CHANGES_MISSED):
            self._time.after(rng.randrange(for_us), self._effects.meet, others[0])

        def strike() -> None:
            for address in others:
                wiped = address == others[0] and self._losses.allow_disk(address)
                if self._net.machines[address].up:
                    self._losses.lose([address])
                    self._effects.end_machine(address, power=True, wiped=wiped)
                    self._time.after(for_us if not wiped else rng.randrange(for_us), self._effects.restart, address)

        self._time.after(for_us, strike)

    def _ack_lost(self, fault: Fault) -> None:
        self._effects.record_event(fault, [])
        self._world.lost_acks = 0.7

        def over() -> None:
            self._world.lost_acks = 0.0

        self._effects.mark_unsettled(fault.for_ms * MS)
        self._time.after(fault.for_ms * MS, over)
