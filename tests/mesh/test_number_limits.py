"""Every number that an operator or a peer sets, at its limits: requests are answered, and nothing goes wrong inside.

Proxies, backends and clients on loopback in one loop, as in `stage`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime import reactor as event_loop
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.net import reactor as watchers

from .stage import Stage, answer, request, stage

HIGHEST = 2**53  # number in the configuration
SMALLEST = 5e-324  # positive number in JSON
LONG_NUMBER = b"9" * 5000  # more digits than Python converts to an integer
REQUESTS = 8
SERVED, REFUSED = 200, 503


@pytest.fixture
def faults(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """What goes wrong in callbacks of the event loop."""
    seen: list[str] = []
    monkeypatch.setattr(log, "exception", seen.append)
    return seen


@pytest.fixture
def at(faults: list[str]) -> Iterator[Stage]:
    with stage() as made:
        yield made


def routed(at: Stage, target: dict[str, Any] | None = None, **fields: Any) -> None:
    """Change the route of reads."""
    body = msgspec.json.decode(at.route("reads", "read_only", 1).body or b"")
    body["Rule"] |= fields
    body["Rule"]["Then"] |= target or {}
    at.forwarder.config.apply([Item("route", "reads", 2, 3, msgspec.json.encode(body))], 3)


def statuses(at: Stage, left_ms: int = 1000, more: str = "") -> list[int]:
    """Send reads ahead on kept connections to one backend with one slot, and return what each was answered."""
    half = REQUESTS // 2
    clients = [
        at.client(b"".join(request("GET", "/reads/x", first + n, left_ms=left_ms, more=more) for n in range(half)))
        for first in (0, half)
    ]
    at.until(lambda: all(client.over or len(client.answers) == half for client in clients), "each is answered")
    assert not any(client.cut for client in clients)
    return [answer.status for client in clients for answer in client.answers]


@pytest.mark.parametrize("rank", [0, 1750, 1751, 10_000, HIGHEST])
def test_a_full_backend_answers_whatever_the_rank_of_a_route(at: Stage, faults: list[str], rank: int) -> None:
    # Connections broke and offers were never answered where a route's rank was above 1,750 (review, case 6).
    backend = at.add("far", slots=1)
    backend.script = ["answers late"] * REQUESTS
    routed(at, Rank=rank)
    answered = statuses(at)
    assert len(answered) == REQUESTS and set(answered) <= {SERVED, REFUSED}
    at.settle()
    assert not faults and not at.gateways["far"].requests


@pytest.mark.parametrize(
    ("target", "fields"),
    [
        ({}, {"TargetMs": HIGHEST}),
        ({}, {"TargetMs": 0}),
        ({}, {"TargetMs": SMALLEST}),
        ({"TimeoutMs": HIGHEST}, {}),
        ({"TimeoutMs": HIGHEST}, {"TargetMs": HIGHEST}),
        ({"MaxTries": HIGHEST}, {}),
        ({"MaxTries": 1}, {}),
        ({"TrafficSplit": [{"TargetService": "stock", "Share": SMALLEST}]}, {}),
        ({"TrafficSplit": [{"TargetService": "stock", "Share": HIGHEST}] * 3}, {}),
        ({"TrafficSplit": [{"TargetService": "stock", "Share": 0}, {"TargetService": "stock", "Share": SMALLEST}]}, {}),
        (
            {"TrafficSplit": [{"TargetService": "none", "Share": 0}, {"TargetService": "stock", "Share": HIGHEST}]},
            {},
        ),
    ],
    ids=str,
)
def test_a_number_of_a_route_at_its_limit(
    at: Stage, faults: list[str], target: dict[str, Any], fields: dict[str, Any]
) -> None:
    at.add("far", slots=REQUESTS)
    routed(at, target, **fields)
    assert statuses(at) == [SERVED] * REQUESTS
    at.settle()
    assert not faults


@pytest.mark.parametrize("left_ms", [999_999_999, HIGHEST, 10**5000], ids=["9 digits", "16 digits", "5001 digits"])
def test_a_time_that_a_client_has_left_at_its_limit(at: Stage, faults: list[str], left_ms: int) -> None:
    sys_limit = sys.get_int_max_str_digits()
    sys.set_int_max_str_digits(0)
    try:
        at.add("far", slots=REQUESTS)
        assert statuses(at, left_ms=left_ms) == [SERVED] * REQUESTS
    finally:
        sys.set_int_max_str_digits(sys_limit)
    assert not faults


@pytest.mark.parametrize(
    "header",
    [
        b"Server-Load: %b,0,4" % LONG_NUMBER,
        b"Server-Load: 1,%b,4" % LONG_NUMBER,
        b"Server-Load: 1,1,%b" % LONG_NUMBER,
        b"Server-Load: 1,%d,4" % 2**64,
        b"Keep-Alive: timeout=%b" % LONG_NUMBER,
        b"Keep-Alive: timeout=%d" % 2**64,
        b"Retry-After: %b" % LONG_NUMBER,
    ],
    ids=lambda header: header[:24].decode(),
)
def test_a_number_in_a_response_of_a_backend_at_its_limit(at: Stage, faults: list[str], header: bytes) -> None:
    backend = at.add("far", slots=REQUESTS)
    backend.script = ["sends what is prepared"] * REQUESTS
    backend.prepared = lambda request: answer(request, b"prepared", more=header + b"\r\n")
    assert statuses(at) == [SERVED] * REQUESTS
    at.settle()
    assert not faults


@pytest.mark.parametrize("field", ["HeaderWaitMs", "IdleTimeoutMs", "MaxBodyBytes", "MaxHeaderBytes"])
@pytest.mark.parametrize("limit", [0, HIGHEST])
def test_a_limit_on_clients_at_its_lowest_and_its_highest(at: Stage, faults: list[str], field: str, limit: int) -> None:
    at.add("far", slots=REQUESTS)
    at.forwarder.config.apply([Item("limits", "", 1, 3, msgspec.json.encode({field: limit}))], 3)
    assert statuses(at) == [SERVED] * REQUESTS
    at.settle()
    assert not faults


def test_a_timer_that_is_years_ahead_does_not_end_the_event_loop() -> None:
    loop = event_loop.Reactor()
    try:
        loop.after(HIGHEST * 1000, lambda: None)
        assert 0 < loop._wait_s() <= event_loop.MAX_WAIT_S
        loop.after(10_000, loop.stop)
        loop.run()
    finally:
        loop.close()
        watchers.install(None)
