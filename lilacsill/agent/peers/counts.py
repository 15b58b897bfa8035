"""Request counts of all agents as delta-state counters (Almeida, Shoker and Baquero, 2015). No I/O.

A row belongs to one process (agent and incarnation) and one key, and only that process increments it. Merging takes
the maximum of each value, so reordered, repeated and delayed rows do no harm. The rows of processes that have ended
are kept. When all members are alive, the agent's current process replaces the rows of its earlier incarnations by
carried rows, which hold their sum. Only that process writes carried rows, so no sum is carried twice, and rows of
carried incarnations that still arrive are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .records import CountRow

REQUESTS, ATTEMPTS, REJECTIONS, ZONE_CROSSINGS = range(4)
NAMES = ("requests", "attempts", "refusals", "crossings")  # names in the admin API, by position in the values of a row
MAX_OWN_INCARNATIONS = 2  # earlier incarnations of this agent that keep their own rows; with more, all are carried
MAX_KEYS = 64  # of one process: tenants times classes; further keys are counted under OVERFLOW_KEY

Values = tuple[int, int, int, int]
Key = tuple[int, int]  # tenant, class
OVERFLOW_KEY: Key = (255, 255)
ZERO: Values = (0, 0, 0, 0)


def _join(left: Values, right: Values) -> Values:
    return max(left[0], right[0]), max(left[1], right[1]), max(left[2], right[2]), max(left[3], right[3])


def _add(left: Values, right: Values) -> Values:
    return left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3]


@dataclass(slots=True)
class _Carried:
    last_incarnation: int = 0  # the rows are the sum over all incarnations up to this one
    rows: dict[Key, Values] = field(default_factory=dict)


class Counts:
    """All rows that this process has counted or received."""

    def __init__(self, own_number: int, incarnation: int) -> None:
        self.own_number, self.incarnation = own_number, incarnation
        self._rows: dict[tuple[int, int], dict[Key, Values]] = {(own_number, incarnation): {}}
        self._carried: dict[int, _Carried] = {}  # by agent
        self._cursor = 0

    def count(self, kind: int, tenant: int, request_class: int) -> None:
        """Increment a count; `kind` is a position in the values (REQUESTS and so on)."""
        own_rows = self._rows[self.own_number, self.incarnation]
        key = (tenant, request_class)
        if key not in own_rows and len(own_rows) >= MAX_KEYS:
            key = OVERFLOW_KEY
        values = list(own_rows.get(key, ZERO))
        values[kind] += 1
        own_rows[key] = values[0], values[1], values[2], values[3]

    def merge(self, row: CountRow) -> bool:
        """Merge a row from another agent; return whether this changed any value."""
        if row.agent == self.own_number and row.incarnation >= self.incarnation:
            return False  # this process has the authoritative values of its own rows
        if row.carried:
            return self._merge_carried(row)
        carried = self._carried.get(row.agent)
        if carried is not None and row.incarnation <= carried.last_incarnation:
            return False
        key = (row.tenant, row.request_class)
        rows = self._rows.setdefault((row.agent, row.incarnation), {})
        if key not in rows and len(rows) > MAX_KEYS:
            return False
        return _merge_values(rows, key, row.values)

    def _merge_carried(self, row: CountRow) -> bool:
        carried = self._carried.setdefault(row.agent, _Carried())
        if row.incarnation < carried.last_incarnation:
            return False
        if row.incarnation > carried.last_incarnation:
            carried.last_incarnation = row.incarnation
            self._forget(row.agent, row.incarnation)
        return _merge_values(carried.rows, (row.tenant, row.request_class), row.values)

    def carry_earlier(self) -> bool:
        """Replace the rows of this agent's earlier incarnations by their sum; return whether there were enough of them.

        Call it only after all members have been alive for a long time: counts of those incarnations that only another
        member has would be lost.
        """
        earlier = sorted(
            incarnation
            for agent, incarnation in self._rows
            if agent == self.own_number and incarnation < self.incarnation
        )
        if len(earlier) <= MAX_OWN_INCARNATIONS:
            return False
        carried = self._carried.setdefault(self.own_number, _Carried())
        rows = dict(carried.rows)
        for incarnation in earlier:
            for key, values in self._rows[self.own_number, incarnation].items():
                rows[key] = _add(rows.get(key, ZERO), values)
        carried.last_incarnation, carried.rows = earlier[-1], rows
        self._forget(self.own_number, earlier[-1])
        return True

    def _forget(self, agent: int, last_incarnation: int) -> None:
        own = (self.own_number, self.incarnation)
        for key in [key for key in self._rows if key[0] == agent and key[1] <= last_incarnation and key != own]:
            del self._rows[key]

    def rows(self) -> Iterable[CountRow]:
        """Yield all rows."""
        for agent, carried in self._carried.items():
            for key, values in carried.rows.items():
                yield CountRow(agent, carried.last_incarnation, *key, values, True)
        for (agent, incarnation), rows in self._rows.items():
            for key, values in rows.items():
                yield CountRow(agent, incarnation, *key, values)

    def next_rows(self, max_rows: int) -> list[CountRow]:
        """Return the next rows in round-robin order: each is sent repeatedly, and every period costs the same bytes."""
        all_rows = list(self.rows())
        if not all_rows:
            return []
        start = self._cursor % len(all_rows)
        taken = (all_rows[start:] + all_rows[:start])[:max_rows]
        self._cursor = start + len(taken)
        return taken

    def own_rows(self) -> list[CountRow]:
        """Return the rows of this process."""
        rows = self._rows[self.own_number, self.incarnation]
        return [CountRow(self.own_number, self.incarnation, *key, values) for key, values in rows.items()]

    def total(self, agent: int | None = None) -> Values:
        """Return the sums of all agents, or of one agent, including earlier incarnations."""
        total = ZERO
        for row in self.rows():
            if agent is None or row.agent == agent:
                total = _add(total, row.values)
        return total

    def by_key(self) -> dict[Key, Values]:
        """Return the sums over all agents by tenant and class."""
        totals: dict[Key, Values] = {}
        for row in self.rows():
            key = (row.tenant, row.request_class)
            totals[key] = _add(totals.get(key, ZERO), row.values)
        return totals


def _merge_values(rows: dict[Key, Values], key: Key, values: Values) -> bool:
    before = rows.get(key, ZERO)
    rows[key] = _join(before, values)
    return rows[key] != before
