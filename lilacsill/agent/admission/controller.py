"""The admission controller: the server reports each event of a downstream connection to it and does what it decides.

No I/O; the caller passes the time in.
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
from .policy import Arrival, ConnectionState, EvictionRank, RefusalReason, Verdict, decide, keeps_alive
from .settings import AdmissionSettings, ConnectionTimeouts, client_identity

SHORTAGE_REST_US = 500_000  # after the kernel had no descriptor, before the limit is raised again
LAG_GAIN = 0.3  # weight of a new figure in the smoothed lag
LAG_STALE_US = 100_000  # a lag measured longer ago does not count
KEEP_ALIVE_SHARE = 2 / 9  # of all descriptors: clients may use a third for requests, and some must stay free


@dataclass(slots=True, frozen=True)
class Admitted:
    """The decision to admit a connection, and which other one to close for it."""

    record: ConnectionRecord
    evicted: ConnectionRecord | None = None  # the server closes it now
    closes_idle_upstream: bool = False  # the server closes an idle connection to a backend now


@dataclass(slots=True, frozen=True)
class Refused:
    """The decision to refuse a connection, and the Retry-After to give."""

    reason: RefusalReason
    retry_after_s: float


class AdmissionController:
    """Decides which connections are admitted, evicted and refused. One per process; `log` takes the few lines."""

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
        self._lag_us = 0.0  # how far the event loop is behind, smoothed
        self._lag_at = 0
        self._storm = Episode("connection storm")
        self._shortage = Episode("shortage of descriptors")
        descriptors.reserve = settings.reserve

    def apply_settings(self, settings: AdmissionSettings) -> None:
        """Use new settings from now on; open connections stay until they are evicted by these."""
        self._settings = settings
        self.descriptors.reserve = settings.reserve
        self._addresses.apply_settings(settings)
        for record in list(self.connections.all()):
            known = record.address.is_listed or record.address.learned
            if known != record.known:
                self._set_known(record, known)

    # Arrivals

    def admit(
        self,
        host: str,
        now: int,
        can_evict: Callable[[ConnectionRecord], bool],
        has_idle_upstream: Callable[[], bool],
    ) -> Admitted | Refused:
        """Decide on a connection that was accepted.

        Args:
            host: The address of the client.
            now: The time in microseconds.
            can_evict: Tells whether another connection can be closed without harm; asked only where it matters.
            has_idle_upstream: Tells whether there is an idle connection to a backend; asked only where it matters.
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
        upstream_lends = False
        busy = not known and self.is_busy(now)
        if is_full and below_cap and (known or (within_rate and not busy)) and descriptors.may_close:
            rank, victim = self._find_victim(known, now, can_evict)
            upstream_lends = descriptors.can_lend(Side.UPSTREAM) and has_idle_upstream()
        verdict, reason = decide(
            Arrival(
                known=known,
                below_cap=below_cap,
                within_rate=within_rate,
                open=descriptors.open_count(Side.DOWNSTREAM),
                capacity=capacity,
                unused_reserve=unused_reserve,
                victim=rank,
                may_close=descriptors.may_close,
                upstream_lends=upstream_lends,
                busy=busy,
            )
        )
        if reason is not None:
            self._record_storm(now, f"refused because {reason.value}")
            return Refused(reason, self._rng.uniform(*self._settings.retry_after_s))
        if verdict is Verdict.REPLACE:
            assert victim is not None and rank is not None
            self._record_storm(now, f"{_label(rank)} made way")
            self.start_closing(victim)
        record = ConnectionRecord(address, known, now)
        self.connections.add(record)
        self._addresses.connection_opened(address)
        descriptors.acquire(Side.DOWNSTREAM, known)
        return Admitted(record, victim if verdict is Verdict.REPLACE else None, verdict is Verdict.BORROW)

    def record_lag(self, now: int, lag_us: int) -> None:
        """Note how late the event loop called something that was due."""
        self._lag_us += (lag_us - self._lag_us) * LAG_GAIN
        self._lag_at = now

    @property
    def watches_lag(self) -> bool:
        """Whether the lag of the event loop has to be measured."""
        return self._settings.busy_ms > 0

    def is_busy(self, now: int) -> bool:
        """Return whether the event loop is too far behind to serve strangers; an old measurement does not count."""
        return self.watches_lag and now - self._lag_at < LAG_STALE_US and self._lag_us > self._settings.busy_ms * 1000

    def _find_victim(
        self, for_known: bool, now: int, can_evict: Callable[[ConnectionRecord], bool]
    ) -> tuple[EvictionRank | None, ConnectionRecord | None]:
        over_share = self.groups.over_share(self.descriptors.capacity(Side.DOWNSTREAM))
        for rank, record in self.connections.eviction_candidates(for_known, now, over_share):
            if can_evict(record):
                return rank, record
        return None, None

    def evict_for_upstream(self, now: int, can_evict: Callable[[ConnectionRecord], bool]) -> ConnectionRecord | None:
        """Return a downstream connection to close now, so that one to a backend can be opened; None: there is none."""
        if not self.descriptors.can_lend(Side.DOWNSTREAM) or not self.descriptors.may_close:
            return None
        rank, victim = self._find_victim(False, now, can_evict)
        if victim is not None:
            assert rank is not None
            self._record_storm(now, f"{_label(rank)} made way for a backend")
            self.start_closing(victim)
        return victim

    def evict_over_limit(self, now: int, can_evict: Callable[[ConnectionRecord], bool]) -> ConnectionRecord | None:
        """Return the next connection to close because the limit is below what is open; None: there is none."""
        if not self.descriptors.excess or not self.descriptors.may_close:
            return None
        _, victim = self._find_victim(True, now, can_evict)
        if victim is not None:
            self._record_shortage(now, "connections closed")
            self.start_closing(victim)
        return victim

    # Events of a connection

    def state_changed(self, record: ConnectionRecord, state: ConnectionState, now: int) -> None:
        """Note the state of a connection."""
        if record.closing or record.state is state:
            return
        if state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight += 1
        elif record.state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight -= 1
        self.connections.set_state(record, state, now)

    def assign_group(self, record: ConnectionRecord, group: int, weight: float) -> None:
        """Note the group that pays for a connection, now that its client has shown credentials."""
        if not record.closing:
            self.groups.assign(record, group, weight)

    def request_served(self, record: ConnectionRecord, now: int) -> None:
        """Note that a good answer goes out on a connection."""
        self._addresses.request_served(record.address, now, self._storm.is_active)
        known = self._addresses.is_known(record.address, now)
        if known and not record.known and not record.closing:
            self._set_known(record, True)

    def keeps_alive(self, record: ConnectionRecord) -> bool:
        """Return whether the answer that goes out now leaves the connection open."""
        max_kept = self._settings.keep_alive or max(1, int(KEEP_ALIVE_SHARE * self.descriptors.limit))
        with_requests = self.connections.count(
            ConnectionState.IDLE, ConnectionState.IN_FLIGHT, ConnectionState.READING, ConnectionState.BODY
        )
        return keeps_alive(record.known, with_requests, max_kept)

    def start_closing(self, record: ConnectionRecord) -> None:
        """Note that the server closes a connection to free its descriptor, which the kernel does an iteration later."""
        assert record.state is not ConnectionState.IN_FLIGHT and not record.closing
        record.closing = True
        self.connections.remove(record)
        self.groups.remove(record)
        self._addresses.connection_closed(record.address)
        self.descriptors.start_closing(Side.DOWNSTREAM, record.known)

    def connection_closed(self, record: ConnectionRecord) -> None:
        """Note that the descriptor of a connection is free."""
        if record.closing:
            self.descriptors.finish_closing()
            return
        if record.state is ConnectionState.IN_FLIGHT:
            record.address.requests_in_flight -= 1
        self.connections.remove(record)
        self.groups.remove(record)
        self._addresses.connection_closed(record.address)
        self.descriptors.release(Side.DOWNSTREAM, record.known)

    # The descriptors of the process

    def descriptors_exhausted(self, now: int, what: str, needs: int = 0) -> None:
        """Note that the kernel had no descriptor.

        Args:
            now: The time in microseconds.
            what: What the descriptor was for, in words for the log.
            needs: How many descriptors are to be freed for it.
        """
        self.descriptors.lower_limit(needs)
        self._record_shortage(now, what)

    def poll(self, now: int, limit: int) -> None:
        """Take over the current limit of descriptors and log the end of episodes. Called regularly."""
        self.descriptors.set_limit(limit)
        if now - self._shortage.last_seen_us >= SHORTAGE_REST_US:
            self.descriptors.raise_limit()
        for episode in (self._storm, self._shortage):
            line = episode.poll(now)
            if line:
                self._log(line)

    def _record_storm(self, now: int, what: str) -> None:
        line = self._storm.record(now, what)
        if line:
            self._addresses.restart_learning()
            self._log(line)

    def _record_shortage(self, now: int, what: str) -> None:
        line = self._shortage.record(now, what)
        if line:
            self._log(line)

    def _set_known(self, record: ConnectionRecord, known: bool) -> None:
        self.connections.set_known(record, known)
        self.descriptors.known_changed(known)


def _label(rank: EvictionRank) -> str:
    return rank.name.lower().replace("_", " ")
