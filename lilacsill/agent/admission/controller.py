"""The admission controller: the server reports downstream connection events to it and carries out its decisions.

It does no I/O; the caller passes the current time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .addresses import AddressTable
from .connections import ConnectionRecord, ConnectionTable
from .descriptor_account import DescriptorAccount, Side
from .episode import Episode
from .groups import ConnectionGroups
from .policy import ConnectionState, EvictionRank, NewConnection, RefusalReason, Verdict, decide, keeps_alive
from .settings import AdmissionSettings, ConnectionTimeouts, client_identity

LIMIT_RAISE_DELAY_US = 500_000  # from the last descriptor shortage until the lowered limit is raised
LAG_SMOOTHING_WEIGHT = 0.3  # weight of a new sample in the moving average of the lag
MAX_LAG_AGE_US = 100_000  # an older measurement of the lag is ignored
KEEP_ALIVE_SHARE = 2 / 9  # of the descriptor limit: clients may use a third for requests, and some must stay free


@dataclass(slots=True, frozen=True)
class Admitted:
    """The decision to admit a connection, and which other connection to close for it."""

    record: ConnectionRecord
    evicted: ConnectionRecord | None = None  # the downstream connection that the server closes now
    closes_idle_upstream: bool = False  # the server closes an idle connection to a backend now


@dataclass(slots=True, frozen=True)
class Refused:
    """The decision to refuse a connection, and the Retry-After of the response."""

    reason: RefusalReason
    retry_after_s: float


class AdmissionController:
    """Decides which connections are admitted, evicted and refused. One per process; `log` writes a log line."""

    def __init__(
        self,
        descriptors: DescriptorAccount,
        settings: AdmissionSettings,
        timeouts: ConnectionTimeouts,
        seed: int,
        log: Callable[[str], None],
    ) -> None:
        self.descriptors = descriptors
        self._settings = settings
        self._addresses = AddressTable(settings)
        self.connections = ConnectionTable(self._addresses, timeouts)
        self.groups = ConnectionGroups()
        self._rng = Random(seed)
        self._log = log
        self._lag_us = 0.0  # delay of the event loop, moving average
        self._lag_at = 0
        self._storm = Episode("connection storm")
        self._shortage = Episode("shortage of descriptors")
        descriptors.reserve = settings.reserve

    def apply_settings(self, settings: AdmissionSettings) -> None:
        """Apply new settings; open connections stay until they are evicted under them."""
        self._settings = settings
        self.descriptors.reserve = settings.reserve
        self._addresses.apply_settings(settings)
        for record in list(self.connections.all()):
            known = record.address.is_listed or record.address.learned
            if known != record.known:
                self._set_known(record, known)

    # New connections

    def admit(
        self,
        host: str,
        now: int,
        can_evict: Callable[[ConnectionRecord], bool],
        has_idle_upstream: Callable[[], bool],
    ) -> Admitted | Refused:
        """Decide on an accepted connection.

        Args:
            host: The address of the client.
            now: The time in microseconds.
            can_evict: Returns whether another connection can be closed without losing a request or response; called
                only when a descriptor must be freed.
            has_idle_upstream: Returns whether there is an idle connection to a backend; called only when a descriptor
                must be freed.
        """
        address = self._addresses.entry_for(client_identity(host), now)
        known = self._addresses.is_known(address, now)
        below_cap = self._addresses.below_cap(address)
        within_rate = self._addresses.take_token(address, now)
        descriptors = self.descriptors
        capacity, unused_reserve = descriptors.capacity(Side.DOWNSTREAM), descriptors.unused_reserve
        is_full = descriptors.open_count(Side.DOWNSTREAM) >= capacity - (0 if known else unused_reserve)
        rank: EvictionRank | None = None
        victim: ConnectionRecord | None = None
        can_close_idle_upstream = False
        busy = not known and self.is_busy(now)
        if is_full and below_cap and (known or (within_rate and not busy)) and descriptors.may_close:
            rank, victim = self._find_victim(known, now, can_evict)
            can_close_idle_upstream = descriptors.exceeds_floor(Side.UPSTREAM) and has_idle_upstream()
        verdict, reason = decide(
            NewConnection(
                known=known,
                below_cap=below_cap,
                within_rate=within_rate,
                open=descriptors.open_count(Side.DOWNSTREAM),
                capacity=capacity,
                unused_reserve=unused_reserve,
                victim=rank,
                may_close=descriptors.may_close,
                can_close_idle_upstream=can_close_idle_upstream,
                busy=busy,
            )
        )
        if reason is not None:
            self._record_storm(now, f"connection refused because {reason.value}")
            return Refused(reason, self._rng.uniform(*self._settings.retry_after_s))
        if verdict is Verdict.REPLACE:
            assert victim is not None and rank is not None
            self._record_storm(now, f"{_label(rank)} connection evicted")
            self.start_closing(victim)
        record = ConnectionRecord(address, known, now)
        self.connections.add(record)
        self._addresses.connection_opened(address)
        descriptors.acquire(Side.DOWNSTREAM, known)
        return Admitted(record, victim if verdict is Verdict.REPLACE else None, verdict is Verdict.BORROW)

    def record_lag(self, now: int, lag_us: int) -> None:
        """Record by how much the event loop delayed a timer."""
        self._lag_us += (lag_us - self._lag_us) * LAG_SMOOTHING_WEIGHT
        self._lag_at = now

    @property
    def watches_lag(self) -> bool:
        """Whether the settings limit the event loop lag, so that it has to be measured."""
        return self._settings.busy_ms > 0

    def is_busy(self, now: int) -> bool:
        """Return whether the event loop lag is too high to serve unknown clients; an old measurement is ignored."""
        return self.watches_lag and now - self._lag_at < MAX_LAG_AGE_US and self._lag_us > self._settings.busy_ms * 1000

    def _find_victim(
        self, for_known: bool, now: int, can_evict: Callable[[ConnectionRecord], bool]
    ) -> tuple[EvictionRank | None, ConnectionRecord | None]:
        over_share = self.groups.over_share(self.descriptors.capacity(Side.DOWNSTREAM))
        for rank, record in self.connections.eviction_candidates(for_known, now, over_share):
            if can_evict(record):
                return rank, record
        return None, None

    def evict_for_upstream(self, now: int, can_evict: Callable[[ConnectionRecord], bool]) -> ConnectionRecord | None:
        """Return a downstream connection to close now for a new connection to a backend; None: none can be closed."""
        if not self.descriptors.exceeds_floor(Side.DOWNSTREAM) or not self.descriptors.may_close:
            return None
        rank, victim = self._find_victim(False, now, can_evict)
        if victim is not None:
            assert rank is not None
            self._record_storm(now, f"{_label(rank)} connection evicted for a connection to a backend")
            self.start_closing(victim)
        return victim

    def evict_over_limit(self, now: int, can_evict: Callable[[ConnectionRecord], bool]) -> ConnectionRecord | None:
        """Return the next connection to close while more are open than the limit allows; None: none is to be closed."""
        if not self.descriptors.excess or not self.descriptors.may_close:
            return None
        _, victim = self._find_victim(True, now, can_evict)
        if victim is not None:
            self._record_shortage(now, "connection closed above the limit")
            self.start_closing(victim)
        return victim

    # Connection events

    def state_changed(self, record: ConnectionRecord, state: ConnectionState, now: int) -> None:
        """Record the new state of a connection."""
        if record.closing or record.state is state:
            return
        if state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight += 1
        elif record.state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight -= 1
        self.connections.set_state(record, state, now)

    def assign_group(self, record: ConnectionRecord, group: int, weight: float) -> None:
        """Record the group that a connection counts towards, once its client has presented credentials."""
        if not record.closing:
            self.groups.assign(record, group, weight)

    def request_served(self, record: ConnectionRecord, now: int) -> None:
        """Record that a successful response is sent on a connection."""
        self._addresses.request_served(record.address, now, self._storm.is_active)
        known = self._addresses.is_known(record.address, now)
        if known and not record.known and not record.closing:
            self._set_known(record, True)

    def keeps_alive(self, record: ConnectionRecord) -> bool:
        """Return whether the connection stays open after the response that is sent now."""
        max_kept = self._settings.keep_alive or max(1, int(KEEP_ALIVE_SHARE * self.descriptors.limit))
        with_requests = self.connections.count(
            ConnectionState.IDLE, ConnectionState.IN_FLIGHT, ConnectionState.READING, ConnectionState.BODY
        )
        return keeps_alive(record.known, with_requests, max_kept)

    def start_closing(self, record: ConnectionRecord) -> None:
        """Record that the server closes a connection; its descriptor is free in the next event loop iteration."""
        assert record.state is not ConnectionState.IN_FLIGHT and not record.closing
        record.closing = True
        self.connections.remove(record)
        self.groups.remove(record)
        self._addresses.connection_closed(record.address)
        self.descriptors.start_closing(Side.DOWNSTREAM, record.known)

    def connection_closed(self, record: ConnectionRecord) -> None:
        """Record that a connection is closed and its descriptor is free."""
        if record.closing:
            self.descriptors.finish_closing()
            return
        if record.state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight -= 1
        self.connections.remove(record)
        self.groups.remove(record)
        self._addresses.connection_closed(record.address)
        self.descriptors.release(Side.DOWNSTREAM, record.known)

    # Descriptors of the process

    def descriptors_exhausted(self, now: int, purpose: str, needs: int = 0) -> None:
        """Lower the limit after the kernel failed to provide a descriptor.

        Args:
            now: The time in microseconds.
            purpose: The purpose of the descriptor, for the log.
            needs: The number of descriptors to free for this purpose.
        """
        self.descriptors.lower_limit(needs)
        self._record_shortage(now, purpose)

    def poll(self, now: int, limit: int) -> None:
        """Apply the current descriptor limit and log the end of overload episodes. Called periodically."""
        self.descriptors.set_limit(limit)
        if now - self._shortage.last_seen_us >= LIMIT_RAISE_DELAY_US:
            self.descriptors.raise_limit()
        for episode in (self._storm, self._shortage):
            line = episode.poll(now)
            if line:
                self._log(line)

    def _record_storm(self, now: int, event: str) -> None:
        line = self._storm.record(now, event)
        if line:
            self._addresses.restart_learning()
            self._log(line)

    def _record_shortage(self, now: int, event: str) -> None:
        line = self._shortage.record(now, event)
        if line:
            self._log(line)

    def _set_known(self, record: ConnectionRecord, known: bool) -> None:
        self.connections.set_known(record, known)
        self.descriptors.known_changed(known)


def _label(rank: EvictionRank) -> str:
    return rank.name.lower().replace("_", " ")
