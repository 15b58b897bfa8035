"""The account of file descriptors: two sides with floors, each of which borrows what the other leaves.

The floor of a side is never lent. What lies above both floors goes to the side that asks first. A side that is below
its floor, or has nothing left, gets back what the other does not use: its idle connections above its own floor.
"""

from __future__ import annotations

from enum import Enum

from .settings import DescriptorBudget

RECOVERY_STEP = 8  # descriptors by which a lowered limit is raised at each poll


class Side(Enum):
    """The side of a connection: clients are downstream, backends upstream."""

    DOWNSTREAM = "downstream"
    UPSTREAM = "upstream"

    __hash__ = object.__hash__  # as in policy.ConnectionState

    @property
    def other(self) -> Side:
        """The opposite side."""
        return Side.UPSTREAM if self is Side.DOWNSTREAM else Side.DOWNSTREAM


class DescriptorAccount:
    """Counts descriptors.

    Invariant: open + closing + all that is set apart never exceeds the limit, unless the limit was lowered below
    what is in use.
    """

    def __init__(self, budget: DescriptorBudget, reserve: int = 0) -> None:
        self._budget = budget
        self._nominal_limit = self._limit = budget.limit
        self._open = {Side.DOWNSTREAM: 0, Side.UPSTREAM: 0}
        self._closing = 0  # closed by the process, not freed by the kernel yet
        self._known = 0  # downstream connections of known clients
        self.reserve = reserve
        self._unshared = budget.base + budget.set_apart + budget.refusals + budget.closing

    # Figures

    @property
    def limit(self) -> int:
        """The descriptors that the process may count on now."""
        return self._limit

    @property
    def shared(self) -> int:
        """The descriptors that both sides share; at least 2."""
        return max(2, self._limit - self._unshared)

    def floor(self, side: Side) -> int:
        """Return the descriptors of a side that the other can never take."""
        if side is Side.UPSTREAM:
            return max(1, int(self._budget.upstream_floor_share * self.shared))
        at_least = max(1, int(self._budget.downstream_floor_share * self.shared))
        return min(max(at_least, self.reserve), self.shared - self.floor(Side.UPSTREAM))

    def open_count(self, side: Side) -> int:
        """Return how many connections a side has open."""
        return self._open[side]

    @property
    def closing(self) -> int:
        """Connections that are closed and whose descriptors the kernel has not freed yet."""
        return self._closing

    def capacity(self, side: Side) -> int:
        """Return the most connections that a side may have open now."""
        other = side.other
        taken = self._open[other] + (self.unused_reserve if other is Side.DOWNSTREAM else 0)
        return self.shared - max(self.floor(other), taken)

    @property
    def unused_reserve(self) -> int:
        """The part of the reserve that no known client uses."""
        return max(0, min(self.reserve, self.floor(Side.DOWNSTREAM)) - self._known)

    def has_room(self, side: Side) -> bool:
        """Return whether a side may open one more connection."""
        return self._open[side] < self.capacity(side)

    def has_room_for_attempt(self, known: bool) -> bool:
        """Return whether one more connection to a backend may be opened.

        Attempts for strangers leave a part of the reserve: otherwise known clients would be admitted and could not be
        forwarded.

        Args:
            known: Whether the attempt is for a known client.
        """
        reserved = 0 if known else min(self.reserve, self.floor(Side.UPSTREAM) // 2)
        return self._open[Side.UPSTREAM] < self.capacity(Side.UPSTREAM) - reserved

    def can_lend(self, side: Side) -> bool:
        """Return whether a side has more than its floor open, so that the other may have an idle connection of it."""
        return self._open[side] > self.floor(side)

    @property
    def may_close(self) -> bool:
        """Whether one more connection may be closed in this iteration of the loop to free a descriptor."""
        return self._closing < self._budget.closing

    @property
    def excess(self) -> int:
        """The number of open connections above a lowered limit."""
        return max(0, sum(self._open.values()) - self.shared)

    # Entries

    def acquire(self, side: Side, known: bool = False) -> None:
        """Count a connection as open.

        Args:
            side: Its side.
            known: Whether it is downstream and of a known client.
        """
        self._open[side] += 1
        self._known += known

    def start_closing(self, side: Side, known: bool = False) -> None:
        """Count an open connection as closing: no longer open, its descriptor not yet freed by the kernel."""
        self.release(side, known)
        self._closing += 1

    def finish_closing(self) -> None:
        """Count the descriptor of a closing connection as freed."""
        assert self._closing > 0
        self._closing -= 1

    def release(self, side: Side, known: bool = False) -> None:
        """Count an open connection as closed and its descriptor as freed."""
        assert self._open[side] > 0, side
        self._open[side] -= 1
        self._known -= known
        assert self._known >= 0

    def known_changed(self, known: bool) -> None:
        """Note that the client of an open downstream connection became known, or ceased to be."""
        self._known += 1 if known else -1
        assert 0 <= self._known <= self._open[Side.DOWNSTREAM]

    # The limit

    def set_limit(self, limit: int) -> None:
        """Set the limit as the system states it now."""
        if limit != self._nominal_limit:
            self._nominal_limit = self._limit = limit

    def lower_limit(self, needs: int = 0) -> None:
        """Lower the limit, after the kernel gave no descriptor below it: another program uses them.

        From now on the account counts on the descriptors in use only.

        Args:
            needs: Descriptors to free for a part of the program that cannot evict connections itself.
        """
        in_use = sum(self._open.values()) + self._closing + self._unshared
        self._limit = max(self._unshared + 2, min(self._limit, in_use - needs))

    def raise_limit(self) -> bool:
        """Raise a lowered limit by a step; return whether it is the nominal one again."""
        self._limit = min(self._nominal_limit, self._limit + RECOVERY_STEP)
        return self._limit == self._nominal_limit
