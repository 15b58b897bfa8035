"""A refused call leaves its reason in the log and in the metrics of the member that refused it and of the registry."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from lilacsill.address import Address
from lilacsill.mesh.registry import operator_api
from lilacsill.mesh.registry.core_hosts import CoreHosts
from lilacsill.mesh.registry.operator_api import OperatorApi
from lilacsill.mesh.runtime.log_ring import LogRing
from lilacsill.mesh.runtime.messages import Reply
from lilacsill.mesh.simulation.network import SECOND
from lilacsill.mesh.simulation.store_fleet import begun
from lilacsill.mesh.store import frontend
from lilacsill.mesh.store.metrics import encode_metrics

from .test_operator_api import Caller

INVALID: dict[str, Any] = {"ReplaceItems": {"Unknown": []}}
REASON = "400: ReplaceItems.Unknown: unknown field"


def lines(ring: LogRing) -> list[str]:
    return [line.partition(" ")[2] for line in ring.tail()]


def test_the_head_logs_and_counts_why_it_refused_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    ring = LogRing()
    monkeypatch.setattr(frontend, "log", ring)
    fleet, operator = begun(7)
    time, statuses = fleet.net.time, list[int]()
    for _ in range(3):
        operator.call(INVALID, statuses.append)
        time.run(time.now + SECOND)
    assert statuses == [400] * 3
    assert lines(ring) == [f"call rejected: {REASON}"]  # copies of one call leave the log to others
    head = next(store for store in fleet.stores.values() if store.replica.is_head)
    figures = encode_metrics(head, time.now).decode().splitlines()
    assert 'lilacsill_calls_rejected_total{reason="SchemaViolation"} 3.0' in figures


def test_a_call_that_is_too_large_to_be_checked_is_rejected_unread() -> None:
    fleet, operator = begun(7)
    time, statuses = fleet.net.time, list[int]()
    for store in fleet.stores.values():
        store.frontend.max_call_bytes = 1000
    operator.call({"ReplaceItems": {"Unknown": ["x" * 1000]}}, statuses.append)
    time.run(time.now + SECOND)
    assert statuses == [413]


def test_a_registry_logs_the_answers_that_are_no_success(monkeypatch: pytest.MonkeyPatch) -> None:
    ring = LogRing()
    monkeypatch.setattr(operator_api, "log", ring)
    replies = [Reply(400, b"first"), Reply(400, b"first"), Reply(200, b"taken"), Reply(400, b"second" + b"x" * 999)]
    client = SimpleNamespace(request=lambda message, timeout_us, on_reply: on_reply(replies.pop(0)))
    reactor: Any = SimpleNamespace(now=lambda: 0)
    rpc_clients: Any = SimpleNamespace(client=lambda address: client)
    api = OperatorApi(reactor, rpc_clients, "a:0", Address("a", 1), CoreHosts("a", []))
    call: Any = SimpleNamespace(method=b"PATCH", target=b"/api/config", body=b"{}")
    for _ in range(4):
        api.handle(call, Caller())
    first, second = lines(ring)
    assert first == "operator call failed with HTTP 400: first"
    assert second.startswith("operator call failed with HTTP 400: second") and len(second) < 500
    assert api.responses == {200: 1, 400: 3}
