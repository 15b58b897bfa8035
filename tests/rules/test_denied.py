"""DENIED and the limits: what is proper is not turned away, and a connection rests for as long as it may."""

from __future__ import annotations

import msgspec
import pytest

from lilacsill.http1.message import MAX_HEAD_BYTES
from lilacsill.mesh.proxy.client_listener import TIMEOUT_CHECK_US
from lilacsill.mesh.runtime.messages import Item
from tests.mesh.stage import Client, Stage, request, stage

IDLE_MS = 15_000
LOW, HIGH = 65_536, 1_048_576  # MaxBodyBytes
LARGE_BODY = b"x" * 200_000  # within HIGH only
LARGE_FIELD = f"X-Long: {'x' * (MAX_HEAD_BYTES + 1000)}\r\n"


def apply_limits(s: Stage, version: int = 9, **limits: int) -> None:
    body = {"ConfigVersion": f"r{version}", "IdleTimeoutMs": IDLE_MS, **limits}
    s.forwarder.config.apply([Item("limits", "", version, version, msgspec.json.encode(body))], version)


def next_status(s: Stage, client: Client) -> int:
    """Return the status of the next answer on the connection."""
    count = len(client.answers)
    s.until(lambda: len(client.answers) > count, "the answer")
    return client.answers[count].status


@pytest.mark.parametrize("limit, status", [(2 * MAX_HEAD_BYTES, 200), (1024, 400)])
def test_a_head_may_be_as_long_as_the_configuration_says(limit: int, status: int) -> None:
    with stage() as s:
        s.add("one")
        apply_limits(s, MaxHeaderBytes=limit)
        head = f"X-Long: {'x' * (MAX_HEAD_BYTES + 1000)}\r\n"
        client = s.client(request("GET", "/reads/a", 1, more=head))
        s.until(lambda: bool(client.answers), "the answer")
        assert client.answers[0].status == status


RAISED_BODY_LIMIT = {"MaxBodyBytes": LOW}, {"MaxBodyBytes": HIGH}, request("POST", "/writes/a", 2, LARGE_BODY)
RAISED_HEAD_LIMIT = (
    {"MaxHeaderBytes": 1024},
    {"MaxHeaderBytes": 2 * MAX_HEAD_BYTES},
    request("GET", "/reads/a", 2, more=LARGE_FIELD),
)


@pytest.mark.parametrize("low, high, large", [RAISED_BODY_LIMIT, RAISED_HEAD_LIMIT], ids=["body", "head"])
def test_a_raised_limit_reaches_a_connection_that_is_kept(
    low: dict[str, int], high: dict[str, int], large: bytes
) -> None:
    """Guards against 413 and 400 for proper requests on connections from before a change (review, case 3)."""
    with stage() as s:
        s.add("one")
        apply_limits(s, 9, **low)
        client = s.client(request("GET", "/reads/a", 1))
        assert next_status(s, client) == 200
        apply_limits(s, 10, **high)
        client.send(large)
        assert next_status(s, client) == 200
        apply_limits(s, 11, **low)
        client.send(large)
        assert next_status(s, client) in (400, 413)


@pytest.mark.parametrize("before, after", [(LOW, HIGH), (HIGH, LOW)], ids=["raised", "lowered"])
def test_a_request_that_is_arriving_when_the_limit_changes_has_the_higher_one(before: int, after: int) -> None:
    with stage() as s:
        backend = s.add("one")
        backend.script = ["counts"]
        apply_limits(s, 9, MaxBodyBytes=before)
        head = request("POST", "/writes/a", 1, more="Transfer-Encoding: chunked\r\n")
        half = b"%x\r\n%b\r\n" % (LOW // 2, b"x" * (LOW // 2))
        client = s.client(head + half)
        s.until(lambda: any(c._reader.in_body for c in s.clients.connections), "a part of the body")
        apply_limits(s, 10, MaxBodyBytes=after)
        client.send(half * 3 + b"0\r\n\r\n")
        assert next_status(s, client) == 200
        assert bytes(client.answers[0].body) == b"%d" % (4 * (LOW // 2))


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
