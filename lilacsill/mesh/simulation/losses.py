"""Which machines count as lost, and what more may be lost at once: `Survive` and `CatchUpS` of the operators' pages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection


class Losses:
    """A machine counts while it is down, frozen, slowed or cut off, and `catch_up_us` after it is back."""

    def __init__(self, now: Callable[[], int], machines: int, zones: int, catch_up_us: int) -> None:
        """So many machines, or so many zones whole, may be lost at once."""
        self._now, self._machines, self._zones, self._catch_up_us = now, machines, zones, catch_up_us
        self._faults: Counter[str] = Counter()  # how many a machine is in now
        self._until: dict[str, int] = {}
        self._empty_since: dict[str, int] = {}  # by machine: when it last had an empty disk
        self._zone: dict[str, int] = {}

    def position(self, address: str, zone: int) -> None:
        """Say in which zone a machine is."""
        self._zone[address] = zone

    def zone_of(self, address: str) -> int:
        """Return the zone of a machine."""
        return self._zone.get(address, 0)

    def lose(self, addresses: Collection[str]) -> None:
        """Another trouble strikes them."""
        self._faults.update(addresses)

    def back(self, address: str) -> None:
        """One of its troubles is over."""
        self._faults[address] -= 1
        self._until[address] = self._now() + self._catch_up_us

    def replaced(self, address: str, by: str) -> None:
        """It goes for good, and counts until its successor has caught up, if it is gone by then."""
        del self._faults[address]
        self._until[address] = self._until[by] = self._now() + self._catch_up_us
        self.disk_lost(by)

    def gone(self, address: str) -> None:
        """It is removed, whatever other troubles it was in; its successor was there before."""
        del self._faults[address]
        self._until[address] = self._now() + self._catch_up_us

    def disk_lost(self, address: str) -> None:
        """Record that the machine has an empty disk now."""
        self._empty_since[address] = self._now()

    def disk_age_us(self, address: str) -> int:
        """Return for how long the machine has had its disk."""
        return self._now() - self._empty_since.get(address, 0)

    def allow_disk(self, address: str) -> bool:
        """Return whether this disk may be lost, however many machines are dark or cut off beside it."""
        empty = self.lost() & self._empty_since.keys()
        return len(empty | {address}) <= self._machines

    def lost(self) -> set[str]:
        """Return the machines that count as lost now."""
        now = self._now()
        return {a for a, n in self._faults.items() if n > 0} | {a for a, until in self._until.items() if until > now}

    def allow(self, addresses: Collection[str]) -> bool:
        """Whether these may be lost beside those that are."""
        together = self.lost() | set(addresses)
        if self._zones:
            return len({self.zone_of(a) for a in together}) <= self._zones
        return len(together) <= self._machines

    def free_at(self) -> int:
        """When the next one stops counting, as far as is known; at least a moment from now."""
        now = self._now()
        return min((until for until in self._until.values() if until > now), default=now + self._catch_up_us // 4)
