"""Backends: what discovery tells of them, how attempts on them end, and what a balancer estimates about them."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

BackendId = Hashable
"""Any hashable value; it is handed back unmodified."""


class BackendState(Enum):
    """The state of a backend according to discovery."""

    READY = "ready"  # accepts new work
    DRAINING = "draining"  # finishes what it has, accepts no new work
    GONE = "gone"


class ListKind(Enum):
    """How an update changes the list of backends."""

    CACHED = "cached"  # the complete list from before the start, perhaps stale; a balancer's first event
    FULL = "full"  # the complete list; a backend that is missing is gone
    DELTA = "delta"  # only the entries that changed
    FAILED = "failed"  # a Watch or Fetch failed, or the watch was dropped


class DiscoveryMode(Enum):
    """How updates of the list reach the caller."""

    PUSH = "push"  # updates arrive unrequested
    POLL = "ask"  # updates arrive only after a Watch or Fetch


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the backend reported an error; the request may have run
    REJECTED = "rejected"  # the backend rejected the request before it ran
    TIMEOUT = "timeout"  # no response in time; the request may have run or still run
    CONNECT_FAILED = "connect_failed"  # the request never ran
    RESET = "reset"  # the connection dropped; the request may have run
    CANCELLED = "cancelled"  # the request may have run or still run
    NOT_SENT = "not_sent"  # the request never left this process

    __hash__ = object.__hash__  # members are singletons; Enum's own is a call in Python, several a request


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that the request did not run."""


@dataclass(slots=True)
class Backend:
    """One entry of the list of backends.

    Attributes:
        id: Identity of the backend.
        state: State according to discovery; READY by default.
        zone: Number of its zone; 0 by default.
        cell: Number of its cell, a group that shares deduplication; 0 by default.
        kind: Number of its hardware type; 0 by default.
        capacity_hint: Capacity relative to other backends, above 0; 1.0 by default.
        started_at: Clock time of its latest start, microseconds; 0, the default, for a start long ago.
    """

    id: BackendId
    state: BackendState = BackendState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    capacity_hint: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class BackendEstimate:
    """What a balancer estimates about one backend, for diagnostics; no decision reads this view.

    Attributes:
        backend: Identity of the backend.
        in_flight: Own attempts in flight.
        abandoned: Own attempts that have ended here and may still run there, decayed by age.
        other_load: Requests in flight from all other balancers.
        report_age_us: Age of the latest load report, microseconds; None if none has arrived.
        service_time_us: Predicted time for each request in flight, microseconds.
        healthy: Whether outlier detection lets it be sampled.
    """

    backend: BackendId
    in_flight: int
    abandoned: float
    other_load: float
    report_age_us: int | None
    service_time_us: float
    healthy: bool
