"""Downstream connections indexed by state, so that eviction candidates are found without a full scan."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .addresses import AddressEntry, AddressTable
from .policy import ConnectionState, ConnectionView, EvictionRank, eviction_rank
from .settings import ConnectionTimeouts

MAX_GROUP_CANDIDATES = 32  # from a group over its share; some of its connections may have a request in flight
MAX_STATE_CANDIDATES = 8  # from each state, known and unknown each; the server may find some not evictable


class ConnectionRecord:
    """One connection as the policy sees it. Times are microseconds of the caller's clock."""

    __slots__ = ("address", "known", "state", "state_since", "opened_at", "closing", "group", "received")

    def __init__(self, address: AddressEntry, known: bool, now: int) -> None:
        self.address, self.known = address, known
        self.state = ConnectionState.SILENT
        self.state_since = self.opened_at = now
        self.closing = False  # the server closes it; no longer counted as open
        self.received = 0  # bytes received of the current request body
        self.group = 0  # the group that it counts towards (groups.py)


class ConnectionTable:
    """Records by state and by whether the client is known, in the order in which they entered the state."""

    def __init__(self, addresses: AddressTable, timeouts: ConnectionTimeouts) -> None:
        self._addresses, self._timeouts = addresses, timeouts
        self._by_state: dict[tuple[ConnectionState, bool], dict[ConnectionRecord, None]] = {
            (state, known): {} for state in ConnectionState for known in (False, True)
        }

    def count(self, *states: ConnectionState) -> int:
        """Return the number of connections in these states."""
        return sum(len(self._by_state[state, known]) for state in states for known in (False, True))

    def add(self, record: ConnectionRecord) -> None:
        """Add a connection under its current state."""
        self._by_state[record.state, record.known][record] = None

    def remove(self, record: ConnectionRecord) -> None:
        """Remove a connection, if it is in the table."""
        self._by_state[record.state, record.known].pop(record, None)

    def set_state(self, record: ConnectionRecord, state: ConnectionState, now: int) -> None:
        """Move a connection to a state."""
        self.remove(record)
        # The time-out of an incomplete first request counts from the opening of the connection.
        is_first_request = (record.state, state) == (ConnectionState.SILENT, ConnectionState.READING)
        record.state_since = record.opened_at if is_first_request else now
        record.state = state
        self.add(record)

    def set_known(self, record: ConnectionRecord, known: bool) -> None:
        """Set whether the client of a connection is known."""
        self.remove(record)
        record.known = known
        self.add(record)

    def all(self) -> Iterator[ConnectionRecord]:
        """Yield all connections."""
        for records in self._by_state.values():
            yield from records

    def view(self, record: ConnectionRecord, now: int, over_share: bool = False) -> ConnectionView:
        """Return the properties by which the policy ranks a connection for eviction.

        Args:
            record: The connection.
            now: The time in microseconds.
            over_share: Whether its group exceeds its share.
        """
        return ConnectionView(
            record.state,
            record.known,
            over_share or record.address.identity in self._addresses.over_cap,
            now - record.state_since > self._timeouts.idle_min_us,
        )

    def eviction_candidates(
        self, for_known: bool, now: int, over_share: Iterable[ConnectionRecord] = ()
    ) -> list[tuple[EvictionRank, ConnectionRecord]]:
        """Return eviction candidates, in the order in which they should be evicted.

        They are the `MAX_GROUP_CANDIDATES` oldest of a group over its share, the `MAX_STATE_CANDIDATES` oldest of each
        state, and all connections of addresses over their cap.

        Args:
            for_known: Whether the connection to be admitted is from a known client.
            now: The time in microseconds.
            over_share: The connections of a group that exceeds its share, in the order in which they joined it.
        """
        found: list[tuple[EvictionRank, int, ConnectionRecord]] = []
        for record, _ in zip(over_share, range(MAX_GROUP_CANDIDATES), strict=False):
            rank = eviction_rank(self.view(record, now, over_share=True), for_known)
            if rank is not None:
                found.append((rank, record.state_since, record))
        for (_, known), records in self._by_state.items():
            if known and not for_known:
                continue
            for record, _ in zip(records, range(MAX_STATE_CANDIDATES), strict=False):
                rank = eviction_rank(self.view(record, now), for_known)
                if rank is not None:
                    found.append((rank, record.state_since, record))
        if self._addresses.over_cap:
            found += self._over_cap_candidates(for_known, now)
        found.sort(key=lambda candidate: candidate[:2])
        return [(rank, record) for rank, _, record in found]

    def _over_cap_candidates(self, for_known: bool, now: int) -> list[tuple[EvictionRank, int, ConnectionRecord]]:
        over_cap = self._addresses.over_cap
        return [
            (EvictionRank.OVER_CAP, record.state_since, record)
            for record in self.all()
            if record.address.identity in over_cap
            and eviction_rank(self.view(record, now), for_known) is EvictionRank.OVER_CAP
        ]

    def expired(self, now: int) -> list[ConnectionRecord]:
        """Return the connections that have exceeded the time-out of their state."""
        timeouts = self._timeouts
        allowed_us = {
            ConnectionState.SILENT: timeouts.silent_us,
            ConnectionState.READING: timeouts.reading_us,
            ConnectionState.LINGERING: timeouts.lingering_us,
            ConnectionState.IDLE: timeouts.idle_us,
            ConnectionState.BODY: timeouts.body_us,
        }
        expired: list[ConnectionRecord] = []
        for (state, _), records in self._by_state.items():
            if state not in allowed_us:
                continue
            byte_us = timeouts.body_byte_us if state is ConnectionState.BODY else 0
            expired += [
                record for record in records if now - record.state_since > allowed_us[state] + byte_us * record.received
            ]
        return expired
