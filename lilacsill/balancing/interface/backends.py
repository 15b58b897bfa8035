"""Backends: discovery entries, outcomes of attempts, and a balancer's estimates."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

BackendId = Hashable
"""Identity of a backend: any hashable value, which actions return unmodified."""


class BackendState(Enum):
    """The state of a backend according to discovery."""

    READY = "ready"  # accepts new work
    DRAINING = "draining"  # finishes its requests in flight, accepts no new ones
    GONE = "gone"  # removed from discovery


class ListKind(Enum):
    """How an update changes the list of backends."""

    CACHED = "cached"  # the complete list as stored before the start, possibly stale; a balancer's first event
    FULL = "full"  # the complete list; a backend that is not in it is GONE
    DELTA = "delta"  # only the entries that changed
    FAILED = "failed"  # a Watch or Fetch failed, or the watch was closed


class DiscoveryMode(Enum):
    """How updates of the list of backends are delivered."""

    PUSH = "push"  # discovery sends updates without a request
    POLL = "ask"  # discovery sends an update only after a Watch or Fetch


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the backend reported an error; the request may have run
    REJECTED = "rejected"  # the backend rejected the request before it ran
    TIMEOUT = "timeout"  # no response in time; the request may have run or may still run
    CONNECT_FAILED = "connect_failed"  # no connection to the backend; the request did not run
    RESET = "reset"  # the connection was lost; the request may have run
    CANCELLED = "cancelled"  # the request may have run or may still run
    NOT_SENT = "not_sent"  # the request did not leave this process

    __hash__ = object.__hash__  # members are singletons; Enum.__hash__ is a slow Python call, several per request


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that the backend did not execute the request."""


@dataclass(slots=True)
class Backend:
    """An entry of the list of backends.

    Attributes:
        id: Identity of the backend.
        state: State according to discovery; READY by default.
        zone: Zone number; 0 by default.
        cell: Number of the cell, a group of backends that share deduplication; 0 by default.
        kind: Number of the hardware type; 0 by default.
        capacity_hint: Capacity relative to other backends, above 0; 1.0 by default.
        started_at: Clock time of the latest start, microseconds; 0 for a start long ago (default).
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
    """A balancer's estimates about one backend, for diagnostics only; no decision depends on this view.

    Attributes:
        backend: Identity of the backend.
        in_flight: Attempts of this balancer in flight at the backend.
        abandoned: Attempts of this balancer that ended but may still run at the backend, decayed by age.
        other_load: Estimated requests in flight from all other balancers.
        report_age_us: Age of the latest load report, microseconds; None if there is none.
        service_time_us: Predicted service time per request in flight, microseconds.
        healthy: Whether outlier detection admits the backend to sampling.
    """

    backend: BackendId
    in_flight: int
    abandoned: float
    other_load: float
    report_age_us: int | None
    service_time_us: float
    healthy: bool
