"""Faults of a day, each at its time. They strike only what may be lost beside what is lost already.

One that may not begin yet waits, and begins in the moment in which it may: right at the end of `CatchUpS`. Faults of
the whole core strike at once.
"""

from __future__ import annotations

from random import Random

import msgspec

from .callers import World
from .core_wide_faults import CoreWideFaults, CoreWideStrike
from .fault import SAME, Fault
from .fault_effects import FaultEffects
from .losses import Losses
from .machine_faults import GRACE_US, MachineFaults
from .network import MS, SECOND

STRIKE_WITHIN_US = 4 * MS  # after an acknowledgement
CLOSING_TIMED_US = (5 * MS, 400 * MS)  # after a change was sent, acknowledged or not


class FaultInjector:
    """Strikes a fleet.

    Attributes:
        effects: What faults do to machines and links.
    """

    def __init__(self, world: World, losses: Losses, until: int) -> None:
        """None begins after `until`."""
        self._world, self._losses, self._until = world, losses, until
        self._time, self._fleet = world.time, world.fleet
        self._last: list[str] = []  # machines of the fault before
        self.effects = FaultEffects(world, losses)
        self._kinds = MachineFaults(world, losses, self.effects).kinds
        self._core_wide: dict[str, CoreWideStrike] = {
            **CoreWideFaults(world, losses, self.effects).kinds,
            "wipe_beyond": self._wipe_beyond,
            "roll_term_beyond": self._strike_beyond,
            "cut_beyond": self._strike_beyond,
        }

    def begin(self, fault: Fault) -> None:
        """Let a fault strike, or wait until it may."""
        if self._time.now > self._until:
            return
        rng = Random(fault.seed)
        strike = self._core_wide.get(fault.kind)
        if strike is not None:
            strike(fault, rng)
        elif fault.kind.startswith("after_ack"):
            self._world.on_ack.append(lambda acker: self._after_ack(fault, acker, rng))
        else:
            self._begin_at(fault, self._targets(fault, rng), rng)

    def _begin_at(self, fault: Fault, targets: list[str], rng: Random) -> None:
        """Strike these machines, now or when they may be lost."""
        if not targets:
            return
        if self._losses.allow(targets):
            self._strike(fault, targets, rng)
            return
        wait = self._losses.free_at() - self._time.now + 1 + rng.randrange(2) * rng.randrange(300 * MS)
        self._time.after(wait, self.begin, fault)

    def _strike(self, fault: Fault, targets: list[str], rng: Random) -> None:
        self._losses.lose(targets)
        self._last = targets
        self.effects.record_event(fault, targets)
        self.effects.mark_unsettled(fault.for_ms * MS + (GRACE_US if fault.kind.startswith(("replace", "roll")) else 0))
        self._kinds[fault.kind](fault, targets, rng)

    def _targets(self, fault: Fault, rng: Random) -> list[str]:
        up = self.effects.machines_up()
        if not up:
            return []
        if fault.position == "zone":
            zone = rng.choice(sorted({self._losses.zone_of(a) for a in up}))
            return [a for a in up if self._losses.zone_of(a) == zone]
        if fault.position == SAME:
            still_up = [a for a in self._last if a in up]
            if still_up:
                return still_up[:1]
        return [rng.choice(self._at(fault.position, up) or up)]

    def _at(self, position: str, up: list[str]) -> list[str]:
        newest = max((self._fleet.stores[a].replica.view for a in up), key=lambda view: view.number)
        members = [m.address for m in newest.members]
        chosen = {
            "head": members[:1],
            "tail": members[-1:],
            "middle": members[1:-1],
            "seed": self._fleet.seeds,
            "spare": [a for a in up if a not in members],
        }.get(position, members)
        return [a for a in chosen if a in up]

    def close(self, fault: Fault) -> None:
        """Strike everything at the end of a day: right after an acknowledgement, or soon after a change was sent."""
        self._until = self._time.now + SECOND
        rng = Random(fault.seed)
        wait_us = rng.randrange(*CLOSING_TIMED_US) if "timed" in fault.how else rng.randrange(STRIKE_WITHIN_US)
        self._time.after(wait_us, self.begin, fault)

    def _wipe_beyond(self, fault: Fault, rng: Random) -> None:
        """A machine loses its disk, whatever else is dark or cut off, if that disk may be lost."""
        targets = [address for address in self._targets(fault, rng) if self._losses.allow_disk(address)]
        if targets:
            self._strike(msgspec.structs.replace(fault, kind="wipe"), targets, rng)

    def _strike_beyond(self, fault: Fault, rng: Random) -> None:
        """A fault that loses no disk strikes its machine, whatever else is lost."""
        targets = self._targets(fault, rng)
        if targets:
            self._strike(msgspec.structs.replace(fault, kind=fault.kind.removesuffix("_beyond")), targets, rng)

    def _after_ack(self, fault: Fault, acker: str, rng: Random) -> None:
        """`how`: dark: all others lose power, too."""
        if self._time.now > self._until or not self._losses.allow([acker]):
            return
        kind = fault.kind.removeprefix("after_ack_")

        def strike() -> None:
            if acker not in self.effects.machines_up() or not self._losses.allow([acker]):
                return
            self._strike(msgspec.structs.replace(fault, kind=kind), [acker], rng)
            if "dark" in fault.how:
                for address in self.effects.machines_up():
                    self.effects.lose_power(address, True, False, rng)

        self._time.after(rng.randrange(STRIKE_WITHIN_US), strike)
