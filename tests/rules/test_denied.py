"""DENIED and the limits: what is proper is not turned away, and a connection rests for as long as it may."""

from __future__ import annotations

import msgspec
import pytest

from lilacsill.http1.message import MAX_HEAD_BYTES
from lilacsill.mesh.proxy.client_listener import TIMEOUT_CHECK_US
from lilacsill.mesh.runtime.messages import Item
from tests.mesh.stage import Stage, request, stage

IDLE_MS = 15_000


def apply_limits(s: Stage, **limits: int) -> None:
    body = {"ConfigVersion": "r9", "IdleTimeoutMs": IDLE_MS, **limits}
    s.forwarder.config.apply([Item("limits", "", 9, 9, msgspec.json.encode(body))], 9)


@pytest.mark.parametrize("limit, status", [(2 * MAX_HEAD_BYTES, 200), (1024, 400)])
def test_a_head_may_be_as_long_as_the_configuration_says(limit: int, status: int) -> None:
    with stage() as s:
        s.add("one")
        apply_limits(s, MaxHeaderBytes=limit)
        head = f"X-Long: {'x' * (MAX_HEAD_BYTES + 1000)}\r\n"
        client = s.client(request("GET", "/reads/a", 1, more=head))
        s.until(lambda: bool(client.answers), "the answer")
        assert client.answers[0].status == status


@pytest.mark.parametrize("rested, is_kept", [(0.8, True), (1.0, True), (1.1, False)])
def test_a_connection_may_rest_for_the_idle_time(rested: float, is_kept: bool) -> None:
    with stage() as s:
        s.add("one")
        apply_limits(s)
        client = s.client(request("GET", "/reads/a", 1))
        s.until(lambda: bool(client.answers), "the answer")
        (connection,) = s.clients.connections
        connection.last_activity_at = s.reactor.now() - int(rested * IDLE_MS * 1000)
        s.clients._check_timeouts()
        s.settle()
        assert client.over is not is_kept


def test_a_connection_with_a_request_in_flight_is_not_idle_however_long_it_takes() -> None:
    with stage() as s:
        backend = s.add("one")
        apply_limits(s)
        backend.script = ["answers late"]
        client = s.client(request("GET", "/reads/a", 1))
        s.until(lambda: len(backend.ran) == 1, "it runs")
        (connection,) = s.clients.connections
        connection.last_activity_at = s.reactor.now() - 2 * IDLE_MS * 1000 - TIMEOUT_CHECK_US
        s.clients._check_timeouts()
        s.until(lambda: bool(client.answers), "the answer")
        assert client.answers[0].status == 200
