"""Downstream connections by the group that pays for them: the second dimension of admission, next to addresses.

A group (a tenant, known by its credentials) may hold any number of connections while there is room. Where there is
none, the group that exceeds its share of the descriptors most gives way first, whatever the addresses of its
connections. Shares are computed over the groups that hold something plus one more of their mean weight, which may be
about to connect. So groups may use what others leave unused, and one that holds everything keeps no newcomer out.
No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from .connections import ConnectionRecord

NO_GROUP = 0  # of a connection that has shown no credentials yet


class ConnectionGroups:
    """Connections by group.

    Invariant: a record is in the group that it names and in no other; no group is empty.
    """

    def __init__(self) -> None:
        self._members: dict[int, dict[ConnectionRecord, None]] = {}  # per group, in the order in which they joined it
        self._weights: dict[int, float] = {}  # of the groups that hold something
        self._weight_sum = 0.0
        self._largest = NO_GROUP  # the group found over its share last; another is searched once it no longer is

    def size(self, group: int) -> int:
        """Return how many connections the group holds."""
        return len(self._members.get(group, ()))

    def assign(self, record: ConnectionRecord, group: int, weight: float) -> None:
        """Move a connection to a group, whose weight is `weight` from now on."""
        self.remove(record)
        record.group = group
        self._members.setdefault(group, {})[record] = None
        self._weight_sum += weight - self._weights.get(group, 0.0)
        self._weights[group] = weight

    def remove(self, record: ConnectionRecord) -> None:
        """Take a connection out of its group, if it is in one."""
        group, record.group = record.group, NO_GROUP
        if group != NO_GROUP:
            members = self._members[group]
            del members[record]
            if not members:
                del self._members[group]
                self._weight_sum -= self._weights.pop(group)

    def over_share(self, capacity: int) -> Iterator[ConnectionRecord]:
        """Yield the connections of a group that exceeds its share of `capacity`, those longest in it first.

        Yields nothing where no group exceeds its share. All groups are searched only when the one found last has come
        down to its share.
        """
        if self._excess(self._largest, capacity) <= 0:
            self._largest = max(self._members, key=lambda group: self._excess(group, capacity), default=NO_GROUP)
        if self._excess(self._largest, capacity) > 0:
            yield from self._members[self._largest]

    def _excess(self, group: int, capacity: int) -> float:
        """Return by what multiple of its share the group exceeds it; a single connection never does."""
        size = self.size(group)
        if size <= 1:
            return 0.0
        weights = self._weight_sum * (1 + 1 / len(self._members))
        share = max(1.0, capacity * self._weights[group] / weights) if weights > 0 else 1.0
        return size / share - 1
