"""Every number that an operator or a peer sets, at its limits: requests are answered, and nothing goes wrong inside.

Proxies, backends and clients on loopback in one loop, as in `stage`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item

from .stage import Stage, request, stage

HIGHEST = 2**53  # number in the configuration
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
