"""The admission policy: which connections are admitted, evicted and refused, as pure functions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class ConnectionState(Enum):
    """The state of a downstream connection."""

    SILENT = "silent"  # open, and nothing has been received yet
    READING = "reading"  # a request is being received
    BODY = "body"  # the head of a request is complete, its body incomplete
    IN_FLIGHT = "in flight"  # a request is accepted and not answered yet; never evicted
    IDLE = "idle"  # between two requests
    LINGERING = "lingering"  # an error was sent; further bytes are read and discarded

    # Members are singletons. Enum.__hash__ is a Python function, which would be called several times per request.
    __hash__ = object.__hash__


class EvictionRank(IntEnum):
    """The order of eviction, lowest rank first; within a rank, the connection longest in its state first."""

    OVER_CAP = 0  # its address exceeds its cap, or its group exceeds its share
    SILENT = 1
    LINGERING = 2
    IDLE = 3  # an unknown client, idle for longer than `idle_min_us`
    BETWEEN = 4  # an unknown client between two requests, idle for a shorter time
    READING = 5  # an unknown client whose request is incomplete
    KNOWN_SILENT = 6
    KNOWN_IDLE = 7


_KNOWN_RANKS = {
    ConnectionState.SILENT: EvictionRank.KNOWN_SILENT,
    ConnectionState.LINGERING: EvictionRank.KNOWN_SILENT,
    ConnectionState.IDLE: EvictionRank.KNOWN_IDLE,
}


@dataclass(slots=True, frozen=True)
class ConnectionView:
    """The properties of an open connection that the policy considers."""

    state: ConnectionState
    known: bool
    over_cap: bool
    long_in_state: bool  # for longer than `ConnectionTimeouts.idle_min_us`


def eviction_rank(connection: ConnectionView, for_known: bool) -> EvictionRank | None:
    """Return the rank of a connection for eviction in favour of another client; None: it must not be evicted.

    Args:
        connection: The connection.
        for_known: Whether the other client is known.
    """
    state = connection.state
    if state is ConnectionState.IN_FLIGHT or (connection.known and not for_known):
        return None
    if connection.over_cap and state not in (ConnectionState.READING, ConnectionState.BODY):
        return EvictionRank.OVER_CAP
    if connection.known:
        # Only long silence suggests an attack; a known client that is silent is treated like an idle one.
        return _KNOWN_RANKS.get(state) if connection.long_in_state else None
    return _unknown_rank(connection, for_known)


def _unknown_rank(connection: ConnectionView, for_known: bool) -> EvictionRank | None:
    if connection.state is ConnectionState.SILENT:
        return EvictionRank.SILENT
    if connection.state is ConnectionState.LINGERING:
        return EvictionRank.LINGERING if connection.long_in_state else None
    if connection.state is ConnectionState.IDLE:
        if connection.long_in_state:
            return EvictionRank.IDLE
        return EvictionRank.BETWEEN if for_known else None
    return EvictionRank.READING if for_known else None


class Verdict(Enum):
    """The decision on a new connection."""

    ADMIT = "admit"
    REPLACE = "replace"  # admit and evict another downstream connection
    BORROW = "borrow"  # admit and close an idle connection to a backend
    REFUSE = "refuse"


class RefusalReason(Enum):
    """The reason why a connection is refused, as logged."""

    ADDRESS_CAP = "its address is at its cap"
    ADDRESS_RATE = "its address connects too fast"
    BUSY = "the core is busy"
    FULL = "no descriptor is left for it"


@dataclass(slots=True, frozen=True)
class NewConnection:
    """A new connection and the state of the process, as input to `decide`."""

    known: bool
    below_cap: bool  # its address has fewer connections than the cap
    within_rate: bool  # its address is within the rate of new connections
    open: int  # number of open downstream connections
    capacity: int  # maximum number of downstream connections, including unused upstream descriptors
    unused_reserve: int  # reserved descriptors that known clients do not use yet
    victim: EvictionRank | None  # the rank of the connection to evict; None: there is none
    may_close: bool  # one more connection may be closed in this event loop iteration
    can_close_idle_upstream: bool  # an idle connection to a backend can be closed instead
    busy: bool = False  # the event loop lag is too high to serve unknown clients


def decide(connection: NewConnection) -> tuple[Verdict, RefusalReason | None]:
    """Return the decision on a new connection, with the reason if it is refused."""
    reason = _refusal_regardless_of_capacity(connection)
    if reason is not None:
        return Verdict.REFUSE, reason
    limit = connection.capacity - (0 if connection.known else connection.unused_reserve)
    if connection.open < limit:
        return Verdict.ADMIT, None
    if connection.may_close:
        # An over-cap, silent or lingering connection costs nothing to close; a warm connection to a backend does.
        if connection.victim is not None and connection.victim <= EvictionRank.LINGERING:
            return Verdict.REPLACE, None
        if connection.can_close_idle_upstream and connection.open <= limit:  # closing a single connection is enough
            return Verdict.BORROW, None
        if connection.victim is not None:
            return Verdict.REPLACE, None
    return Verdict.REFUSE, RefusalReason.FULL


def _refusal_regardless_of_capacity(connection: NewConnection) -> RefusalReason | None:
    """Return the reason to refuse a connection even if descriptors are free; None: there is none."""
    if not connection.below_cap:
        return RefusalReason.ADDRESS_CAP
    if connection.known:
        return None
    if not connection.within_rate:
        return RefusalReason.ADDRESS_RATE
    # A refusal costs a fifth of the CPU time of a response: the time saved serves known clients.
    return RefusalReason.BUSY if connection.busy else None


def keeps_alive(known: bool, with_requests: int, max_kept: int) -> bool:
    """Return whether a connection stays open after a response.

    Clients that send one request and keep their connection open exhaust the descriptors, so that further requests
    cannot arrive (incident r9d2941: 128 connections held, four of five requests lost). `Connection: close` in the
    response (RFC 9112, 9.6) frees the connection without a race. Envoy does the same under its overload manager.

    Args:
        known: Whether the client is known.
        with_requests: The number of connections that have received a request, including idle ones.
        max_kept: The value of `with_requests` up to which connections of unknown clients stay open.
    """
    return known or with_requests <= max_kept
