"""Accounting of file descriptors, which the downstream and the upstream side share.

Each side has a guaranteed minimum, its floor, which the other side cannot use. Descriptors above both floors are
allocated first come, first served. A side that has no descriptor left gets one by closing an idle connection of the
other side, provided that the other side is above its floor.
"""

from __future__ import annotations

from enum import Enum

from .settings import DescriptorBudget

RECOVERY_STEP = 8  # descriptors that each poll adds to a lowered limit


class Side(Enum):
    """The side of a connection: connections to clients are downstream, to backends upstream."""

    DOWNSTREAM = "downstream"
    UPSTREAM = "upstream"

    __hash__ = object.__hash__  # for speed, as in policy.ConnectionState

    @property
    def other(self) -> Side:
        """The opposite side."""
        return Side.UPSTREAM if self is Side.DOWNSTREAM else Side.DOWNSTREAM


class DescriptorAccount:
    """Counts descriptors.

    Invariant: open connections + closing connections + descriptors set apart never exceed the limit, unless the limit
    was lowered below the number in use.
    """

    def __init__(self, budget: DescriptorBudget, reserve: int = 0) -> None:
        self._budget = budget
        self._nominal_limit = self._limit = budget.limit
        self._open = {Side.DOWNSTREAM: 0, Side.UPSTREAM: 0}
        self._closing = 0  # connections closed by the process, with descriptors not yet freed by the kernel
        self._known = 0  # downstream connections of known clients
        self.reserve = reserve
        self._unshared = budget.base + budget.set_apart + budget.refusals + budget.closing

    # Counts and capacities

    @property
    def limit(self) -> int:
        """The number of descriptors that the process may use now."""
        return self._limit

    @property
    def shared(self) -> int:
        """The number of descriptors that the two sides share; at least 2."""
        return max(2, self._limit - self._unshared)

    def floor(self, side: Side) -> int:
        """Return the number of descriptors guaranteed to a side."""
        if side is Side.UPSTREAM:
            return max(1, int(self._budget.upstream_floor_share * self.shared))
        at_least = max(1, int(self._budget.downstream_floor_share * self.shared))
        return min(max(at_least, self.reserve), self.shared - self.floor(Side.UPSTREAM))

    def open_count(self, side: Side) -> int:
        """Return how many connections a side has open."""
        return self._open[side]

    @property
    def closing(self) -> int:
        """The number of closed connections with descriptors that the kernel has not freed yet."""
        return self._closing

    def capacity(self, side: Side) -> int:
        """Return the maximum number of connections that a side may have open now."""
        other = side.other
        taken = self._open[other] + (self.unused_reserve if other is Side.DOWNSTREAM else 0)
        return self.shared - max(self.floor(other), taken)

    @property
    def unused_reserve(self) -> int:
        """The part of the reserve that is not used by known clients."""
        return max(0, min(self.reserve, self.floor(Side.DOWNSTREAM)) - self._known)

    def has_room(self, side: Side) -> bool:
        """Return whether a side may open one more connection."""
        return self._open[side] < self.capacity(side)

    def has_room_for_attempt(self, known: bool) -> bool:
        """Return whether one more connection to a backend may be opened.

        Attempts for unknown clients must leave part of the reserve free. Otherwise requests of known clients would be
        admitted but could not be forwarded.

        Args:
            known: Whether the attempt is for a known client.
        """
        reserved = 0 if known else min(self.reserve, self.floor(Side.UPSTREAM) // 2)
        return self._open[Side.UPSTREAM] < self.capacity(Side.UPSTREAM) - reserved

    def exceeds_floor(self, side: Side) -> bool:
        """Return whether a side has more connections open than its floor, so that the other may have one closed."""
        return self._open[side] > self.floor(side)

    @property
    def may_close(self) -> bool:
        """Whether one more connection may be closed in this event loop iteration to free a descriptor."""
        return self._closing < self._budget.closing

    @property
    def excess(self) -> int:
        """The number of open connections in excess of a lowered limit."""
        return max(0, sum(self._open.values()) - self.shared)

    # Opening and closing of connections

    def acquire(self, side: Side, known: bool = False) -> None:
        """Count a connection as open.

        Args:
            side: The side of the connection.
            known: Whether it is a downstream connection of a known client.
        """
        self._open[side] += 1
        self._known += known

    def start_closing(self, side: Side, known: bool = False) -> None:
        """Count an open connection as closing until the kernel has freed its descriptor."""
        self.release(side, known)
        self._closing += 1

    def finish_closing(self) -> None:
        """Record that the kernel has freed the descriptor of a closing connection."""
        assert self._closing > 0
        self._closing -= 1

    def release(self, side: Side, known: bool = False) -> None:
        """Record that an open connection is closed and its descriptor freed."""
        assert self._open[side] > 0, side
        self._open[side] -= 1
        self._known -= known
        assert self._known >= 0

    def known_changed(self, known: bool) -> None:
        """Record that the client of an open downstream connection became known or unknown."""
        self._known += 1 if known else -1
        assert 0 <= self._known <= self._open[Side.DOWNSTREAM]

    # The limit

    def set_limit(self, limit: int) -> None:
        """Set the nominal limit; a change of it also ends a temporary lowering."""
        if limit != self._nominal_limit:
            self._nominal_limit = self._limit = limit

    def lower_limit(self, needs: int = 0) -> None:
        """Lower the limit to the descriptors in use, less `needs`.

        Called when the kernel refused a descriptor although the limit was not reached, because other programs use the
        remaining ones.

        Args:
            needs: Number of descriptors to free for a part of the program that cannot evict connections itself.
        """
        in_use = sum(self._open.values()) + self._closing + self._unshared
        self._limit = max(self._unshared + 2, min(self._limit, in_use - needs))

    def raise_limit(self) -> bool:
        """Raise a lowered limit by one step; return whether it has reached the nominal limit."""
        self._limit = min(self._nominal_limit, self._limit + RECOVERY_STEP)
        return self._limit == self._nominal_limit
