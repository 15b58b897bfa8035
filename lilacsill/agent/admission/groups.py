"""Downstream connections by group. Admission limits connections by group as well as by address.

A group is a tenant, identified by its credentials. It may hold any number of connections while descriptors are free.
When none is free, connections are evicted first from the group that exceeds its share of the descriptors most,
whatever their addresses. Shares are weighted, and computed over the groups that hold connections plus one more group
of mean weight, which may be about to connect. So groups may use descriptors that others leave unused, and a group
that holds all of them cannot keep a new group out. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from .connections import ConnectionRecord

NO_GROUP = 0  # the group of a connection whose client has not presented credentials yet


class ConnectionGroups:
    """Connections by group.

    Invariant: a record is only in the group given by its `group`; no group is empty.
    """

    def __init__(self) -> None:
        self._members: dict[int, dict[ConnectionRecord, None]] = {}  # per group, in the order of joining
        self._weights: dict[int, float] = {}  # of the groups that hold connections
        self._weight_sum = 0.0
        self._largest = NO_GROUP  # the group last found over its share; searched again once it is within its share

    def size(self, group: int) -> int:
        """Return the number of connections of a group."""
        return len(self._members.get(group, ()))

    def assign(self, record: ConnectionRecord, group: int, weight: float) -> None:
        """Move a connection to a group and set the weight of the group."""
        self.remove(record)
        record.group = group
        self._members.setdefault(group, {})[record] = None
        self._weight_sum += weight - self._weights.get(group, 0.0)
        self._weights[group] = weight

    def remove(self, record: ConnectionRecord) -> None:
        """Remove a connection from its group, if it is in one."""
        group, record.group = record.group, NO_GROUP
        if group != NO_GROUP:
            members = self._members[group]
            del members[record]
            if not members:
                del self._members[group]
                self._weight_sum -= self._weights.pop(group)

    def over_share(self, capacity: int) -> Iterator[ConnectionRecord]:
        """Yield the connections of a group that exceeds its share of `capacity`, in the order of joining.

        Yields nothing if no group exceeds its share. All groups are searched only when the group found last no longer
        exceeds its share.
        """
        if self._excess(self._largest, capacity) <= 0:
            self._largest = max(self._members, key=lambda group: self._excess(group, capacity), default=NO_GROUP)
        if self._excess(self._largest, capacity) > 0:
            yield from self._members[self._largest]

    def _excess(self, group: int, capacity: int) -> float:
        """Return by what fraction of its share a group exceeds it; a group of one connection never does."""
        size = self.size(group)
        if size <= 1:
            return 0.0
        weights = self._weight_sum * (1 + 1 / len(self._members))
        share = max(1.0, capacity * self._weights[group] / weights) if weights > 0 else 1.0
        return size / share - 1
