"""Starved: on a full backend no kind of request is served less than a quarter as often as all requests."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

import pytest

from lilacsill.mesh.proxy.admission import AdmissionController, AdmissionRequest
from lilacsill.mesh.proxy.reasons import RejectionReason
from lilacsill.mesh.proxy.tenant_check import ROUTE_PRIORITIES

MS, S = 1_000, 1_000_000
SLOTS, DAY_US = 8, 120 * S
LEAST_SHARE = 1 / 4  # of the share of all requests that is served
TARGET_FACTOR = 3  # latency target over work, as at the sites


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    work_ms: int
    priority: int
    share: float  # of all requests
    route: str = ""  # where it is not the name


KINDS = {
    "short and long": (Kind("short", 40, 1, 0.7), Kind("long", 400, 1, 0.3)),
    "urgent and idle": (Kind("urgent", 200, 0, 0.5), Kind("idle", 200, 2, 0.5)),
    "calls and callers": (Kind("call", 15, 1, 0.6), Kind("write", 80, 1, 0.2), Kind("query", 150, 2, 0.2)),
}


class FullBackend:
    """A backend with slots, and clients that send more than it can do."""

    def __init__(self, kinds: tuple[Kind, ...], load: float, seed: int) -> None:
        self._kinds, self._rng, self._controller = kinds, Random(seed), AdmissionController()
        self._controller.slots = SLOTS
        self._events: list[tuple[int, int, Kind | AdmissionRequest]] = []
        self._number = 0
        self._now = 0
        mean_work_us = sum(kind.share * kind.work_ms for kind in kinds) * MS
        self._gap_us = mean_work_us / SLOTS / load
        self.sent = dict.fromkeys((kind.name for kind in kinds), 0)
        self.served = dict.fromkeys(self.sent, 0)
        self._kind_of: dict[AdmissionRequest, Kind] = {}

    def play(self) -> None:
        self._next_arrival()
        while self._events:
            self._now, _, event = heappop(self._events)
            if isinstance(event, Kind):
                self._arrive(event)
            else:
                self.served[self._kind_of[event].name] += 1
                self._controller.finish(event, self._now, measured=True)

    def _push(self, at: int, event: Kind | AdmissionRequest) -> None:
        self._number += 1
        heappush(self._events, (at, self._number, event))

    def _next_arrival(self) -> None:
        at = self._now + int(self._rng.expovariate(1 / self._gap_us))
        if at < DAY_US:
            self._push(at, self._rng.choices(self._kinds, [kind.share for kind in self._kinds])[0])

    def _arrive(self, kind: Kind) -> None:
        self.sent[kind.name] += 1
        start_by = self._now + (TARGET_FACTOR - 1) * kind.work_ms * MS
        route = kind.route or kind.name
        request = AdmissionRequest(kind.priority, start_by, route, lambda: self._start(request, kind), _ignore)
        self._kind_of[request] = kind
        self._controller.admit(request, self._now)
        self._controller.reject_expired(self._now)
        self._next_arrival()

    def _start(self, request: AdmissionRequest, kind: Kind) -> None:
        work_us = int(kind.work_ms * MS * self._rng.lognormvariate(0, 0.5))
        self._push(self._now + work_us, request)


def _ignore(reason: RejectionReason) -> None:
    """Nobody asks again."""


def _of_tenants(urgent_share: float) -> tuple[Kind, ...]:
    """Requests of tenants of rank 0 and 1 on two routes, and calls without a tenant (`request_priority`)."""
    tenants = ((0, urgent_share), (1, 0.8 - urgent_share))
    routes = (("lookup", 210, 2, 0.7), ("reserve", 270, 1, 0.3))
    kinds = [
        Kind(f"{route} of rank {rank}", work_ms, rank * ROUTE_PRIORITIES + priority, share * of_route, route)
        for rank, share in tenants
        for route, work_ms, priority, of_route in routes
    ]
    return (Kind("call", 53, 2, 0.2), *kinds)


KINDS |= {"few urgent tenants": _of_tenants(0.1), "as many urgent tenants": _of_tenants(0.4)}


@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
@pytest.mark.parametrize("kinds", KINDS.values(), ids=KINDS)
def test_no_kind_is_starved_by_the_others(kinds: tuple[Kind, ...], load: float) -> None:
    backend = FullBackend(kinds, load, seed=1)
    backend.play()
    of_all = sum(backend.served.values()) / sum(backend.sent.values())
    for kind in kinds:
        assert backend.served[kind.name] / backend.sent[kind.name] > LEAST_SHARE * of_all, (kind, backend.served)
