"""What faults do to machines and links, and how it ends."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .callers import World
from .fault import Fault
from .history import Unsettled
from .losses import Losses
from .network import MS, SECOND, Way

HERD_BACK_US = 500 * MS


class FaultEffects:
    """Acts on a fleet.

    Attributes:
        meet: Sends a change to a machine first.
        race: Sends changes that rival each other; called with a seed.
        joined: Called with the address of a machine that is new.
        story: What struck whom and when, a line each.
    """

    def __init__(self, world: World, losses: Losses) -> None:
        self._world, self._losses = world, losses
        self._net, self._time, self._fleet = world.net, world.time, world.fleet
        self._partitions: list[tuple[set[Way], bool]] = []  # those that last, and whether they refuse
        self.meet: Callable[[str], None] = lambda address: None
        self.race: Callable[[int], None] = lambda seed: None
        self.joined: Callable[[str], None] = lambda address: None
        self.story: list[str] = []

    def machines_up(self) -> list[str]:
        """Return the machines of the store on which a process runs."""
        return [a for a in self._fleet.up() if a in self._fleet.stores]

    def after_each(self, targets: list[str], after_us: int, call: Callable[[str], None]) -> None:
        """Call something for each machine later."""
        for address in targets:
            self._time.after(after_us, call, address)

    def end_machine(self, address: str, power: bool, wiped: bool = False) -> None:
        """End the process, with its power and with its disk where that is said."""
        machine = self._net.machines.get(address)
        if machine is None:
            return
        machine.end(power)
        machine.frozen_until = 0
        if wiped:
            machine.disk.wiped()
            self._losses.disk_lost(address)
        if not power:
            self._net.reset({address}, set(self._net.machines) - {address})

    def restart(self, address: str, meet: bool = False) -> None:
        """Start the process, and send it a change first if it should `meet` one."""
        if address not in self._net.machines:
            return
        self._fleet.start(address)
        self._losses.back(address)
        if meet:
            self.meet(address)

    def partition(self, senders: set[str], receivers: set[str], for_us: int, one_way: bool, refused: bool) -> None:
        """Cut the links between two sides for a time. What another cut still holds then stays cut."""
        made = self._net.partition(senders, receivers, one_way=one_way)
        if refused:
            self._net.refusing |= made
        self._partitions.append((made, refused))

        def heal() -> None:
            self._partitions.remove((made, refused))
            self._net.heal(made.difference(*(ways for ways, _ in self._partitions)))
            self._net.refusing -= made.difference(*(ways for ways, refused in self._partitions if refused))

        self._time.after(for_us, heal)

    def limit_reach(self, machines: set[str]) -> None:
        """Let operators reach only these machines; none: all."""
        self._world.reach = machines

    def record_event(self, fault: Fault, targets: list[str]) -> None:
        """Write down for a reader what strikes whom."""
        what = f"{fault.kind} {fault.how}".strip()
        self.story.append(f"{self._time.now / SECOND:.3f} {what} {' '.join(targets)} for {fault.for_ms} ms")

    def mark_unsettled(self, for_us: int) -> None:
        """Tell the judge that so much time is in trouble."""
        self._world.history.add(Unsettled(self._time.now, self._time.now + for_us))

    def lose_power(self, address: str, power: bool, wiped: bool, rng: Random) -> None:
        """End the process and start it again half a second later, or a little more."""
        self._losses.lose([address])
        self.end_machine(address, power, wiped)
        self._time.after(HERD_BACK_US + rng.randrange(HERD_BACK_US), self.restart, address)
