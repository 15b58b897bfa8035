"""The admission policy: which connections are admitted, evicted and refused, as pure functions of a few figures."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class ConnectionState(Enum):
    """The state of a downstream connection."""

    SILENT = "silent"  # nothing has been received since it was opened
    READING = "reading"  # a request is being received
    BODY = "body"  # the head of a request is complete, its body is not
    IN_FLIGHT = "in flight"  # a request is accepted and has no final answer; never evicted
    IDLE = "idle"  # between two requests
    LINGERING = "lingering"  # answered with an error; what still arrives is read and dropped

    __hash__ = object.__hash__  # members are singletons; Enum's own hash is a call in Python, several a request


class EvictionRank(IntEnum):
    """The order in which connections are evicted, lowest first; within a rank, whoever is in its state for longest."""

    OVER_CAP = 0  # its address exceeds its cap, or its group exceeds its share
    SILENT = 1
    LINGERING = 2
    IDLE = 3  # for at least the time after which it may be closed
    BETWEEN = 4  # a stranger between two requests, idle for less than that
    READING = 5  # a stranger whose request is incomplete
    KNOWN_SILENT = 6
    KNOWN_IDLE = 7


_KNOWN_RANKS = {
    ConnectionState.SILENT: EvictionRank.KNOWN_SILENT,
    ConnectionState.LINGERING: EvictionRank.KNOWN_SILENT,
    ConnectionState.IDLE: EvictionRank.KNOWN_IDLE,
}


@dataclass(slots=True, frozen=True)
class ConnectionView:
    """What the policy considers of an open connection."""

    state: ConnectionState
    known: bool
    over_cap: bool
    long_in_state: bool  # for at least the time after which it may be closed


def eviction_rank(connection: ConnectionView, for_known: bool) -> EvictionRank | None:
    """Return the rank in which a connection is evicted for another client; None: it is not.

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
        # Only long silence suggests ill will; from a known client it is treated like idleness.
        return _KNOWN_RANKS.get(state) if connection.long_in_state else None
    return _stranger_rank(connection, for_known)


def _stranger_rank(connection: ConnectionView, for_known: bool) -> EvictionRank | None:
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
    REPLACE = "replace"  # admit, and evict another downstream connection
    BORROW = "borrow"  # admit, and close an idle connection to a backend
    REFUSE = "refuse"


class RefusalReason(Enum):
    """The reason why a connection is refused."""

    ADDRESS_CAP = "its address is at its cap"
    ADDRESS_RATE = "its address connects too fast"
    BUSY = "the core is busy"
    FULL = "no descriptor is left for it"


@dataclass(slots=True, frozen=True)
class Arrival:
    """The figures that decide on a new connection."""

    known: bool
    below_cap: bool  # its address is
    within_rate: bool  # its address is
    open: int  # downstream connections
    capacity: int  # the most downstream connections possible, with what can be borrowed
    unused_reserve: int  # descriptors kept for known clients
    victim: EvictionRank | None  # the lowest rank that any connection offers
    may_close: bool  # one more may be closed in this iteration of the loop
    upstream_lends: bool  # an idle connection to a backend can be closed for it
    busy: bool = False  # the event loop is behind


def decide(arrival: Arrival) -> tuple[Verdict, RefusalReason | None]:
    """Decide on a new connection; the reason is given where it is refused."""
    reason = _refusal_at_the_door(arrival)
    if reason is not None:
        return Verdict.REFUSE, reason
    limit = arrival.capacity - (0 if arrival.known else arrival.unused_reserve)
    if arrival.open < limit:
        return Verdict.ADMIT, None
    if arrival.may_close:
        # A connection that is silent or done costs nothing to lose; a warm connection to a backend does.
        if arrival.victim is not None and arrival.victim <= EvictionRank.LINGERING:
            return Verdict.REPLACE, None
        if arrival.upstream_lends and arrival.open <= limit:  # otherwise a single one would not be enough
            return Verdict.BORROW, None
        if arrival.victim is not None:
            return Verdict.REPLACE, None
    return Verdict.REFUSE, RefusalReason.FULL


def _refusal_at_the_door(arrival: Arrival) -> RefusalReason | None:
    """Return the reason to refuse a connection that does not depend on the room there is."""
    if not arrival.below_cap:
        return RefusalReason.ADDRESS_CAP
    if arrival.known:
        return None
    if not arrival.within_rate:
        return RefusalReason.ADDRESS_RATE
    # A refusal costs a fifth of an answer: the processor time of strangers is left to known clients.
    return RefusalReason.BUSY if arrival.busy else None


def keeps_alive(known: bool, with_requests: int, max_kept: int) -> bool:
    """Return whether an answer leaves its connection open.

    Clients that ask once and keep their connection open use up their descriptors, and their other requests never
    arrive (incident r9d2941: 128 held, four of five requests lost). Saying `Connection: close` in the answer
    (RFC 9112, 9.6) frees the connection without a race. Envoy does the same under its overload manager.

    Args:
        known: Whether the client is known.
        with_requests: Connections that have had a request, idle ones too.
        max_kept: The number of these up to which strangers' connections stay open.
    """
    return known or with_requests <= max_kept
