"""The calls of the backend beside a proxy: heartbeats, and the notice that it has stopped."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest

from lilacsill.address import Address
from lilacsill.mesh.proxy.backend_gateway import BackendGateway
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.proxy.heartbeat_api import HeartbeatApi
from lilacsill.mesh.runtime.control import ControlServer
from lilacsill.mesh.runtime.messages import Endpoint, Poll, decode, encode
from tests.control.point_5_world import caller, statuses
from tests.mesh.stage import LOOPBACK, Stage, request, stage

PATH = "/api/servers/i-1"


class Calls:
    """The API on loopback; counts how often other machines would be notified."""

    def __init__(self, s: Stage) -> None:
        self._stage = s
        self.lifecycle = BackendLifecycle(2_000_000)
        self.notified = 0
        gateway = BackendGateway(s.reactor, self.lifecycle, Address(LOOPBACK, 1))
        api = HeartbeatApi(s.reactor, gateway, self._notify)
        self._server = ControlServer(s.reactor, Address(LOOPBACK, 0), api.handle)

    def _notify(self) -> None:
        self.notified += 1

    def call(self, method: str, path: str, body: bytes = b"") -> int:
        client = caller(self._stage, self._server.listener.port, request(method, path, 1, body))
        return statuses(self._stage, client)[0]

    def heartbeat(self, sequence: int, state: str = "ready", server: str = "i-1") -> int:
        condition = {"ServerState": state, "CallCount": sequence}
        body = {"Details": {"TargetService": "stock", "FreeSlots": 4}, "Condition": condition}
        return self.call("PUT", f"/api/servers/{server}", msgspec.json.encode(body))


@pytest.fixture
def calls() -> Iterator[Calls]:
    with stage() as s:
        yield Calls(s)


def test_the_first_heartbeat_is_announced_and_the_next_one_is_not(calls: Calls) -> None:
    assert calls.heartbeat(1) == 200 and calls.lifecycle.server == "i-1" and calls.notified == 1
    assert calls.heartbeat(2) == 200 and calls.notified == 1


@pytest.mark.parametrize("number", [2**53 + 1, -(2**53) - 1, 2**64, 10**100, "9" * 5000], ids=lambda n: str(n)[:20])
@pytest.mark.parametrize("field", ["FreeSlots", "CallCount", "ColdLeftMs"])
def test_a_number_that_no_message_carries_is_refused(calls: Calls, field: str, number: int | str) -> None:
    # Announcements of a backend with such a number could not be encoded: no machine heard of it any more.
    assert calls.call("PUT", PATH, heartbeat_with(field, number)) == 400 and not calls.notified


@pytest.mark.parametrize("number", [2**53, -(2**53), 0])
@pytest.mark.parametrize("field", ["FreeSlots", "CallCount", "ColdLeftMs"])
def test_the_largest_numbers_are_announced(calls: Calls, field: str, number: int) -> None:
    assert calls.call("PUT", PATH, heartbeat_with(field, number)) == 200 and calls.notified == 1
    life = calls.lifecycle
    warmup_left_ms = max(0, life.warming_up_until) // 1000
    endpoint = Endpoint("n", 1, 1, "h", 1, "z", life.service, life.server, life.state, life.slots, warmup_left_ms)
    assert decode(encode(Poll(endpoint, 1, 1, 1, 1, 0, [])))


def heartbeat_with(field: str, number: int | str) -> bytes:
    """A whole heartbeat in which one number is this one."""
    details: dict[str, object] = {"TargetService": "stock", "FreeSlots": 4}
    condition: dict[str, object] = {"ServerState": "ready", "CallCount": 1, "ColdLeftMs": 0}
    (details if field in details else condition)[field] = number
    return msgspec.json.encode({"Details": details, "Condition": condition})


def test_a_drain_is_announced_once(calls: Calls) -> None:
    calls.heartbeat(1)
    assert calls.heartbeat(2, "draining") == 200 and calls.lifecycle.state == "draining" and calls.notified == 2
    assert calls.heartbeat(3, "draining") == 200 and calls.notified == 2


def test_the_notice_that_the_backend_has_stopped_is_announced(calls: Calls) -> None:
    calls.heartbeat(1)
    assert calls.call("DELETE", PATH) == 200 and calls.lifecycle.state == "gone" and calls.notified == 2


def test_the_notice_of_an_earlier_incarnation_changes_nothing(calls: Calls) -> None:
    calls.heartbeat(1, server="i-2")
    assert calls.call("DELETE", PATH) == 200 and calls.lifecycle.state == "ready" and calls.notified == 1


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        pytest.param("PUT", PATH, b"{", 400, id="not JSON"),
        pytest.param("PUT", PATH, b'{"Details":{}}', 400, id="not complete"),
        pytest.param("GET", PATH, b"", 405, id="another method"),
        pytest.param("PUT", "/api/servers/", b"{}", 404, id="no server"),
        pytest.param("PUT", "/api/servers/i-1/more", b"{}", 404, id="a longer path"),
        pytest.param("PUT", "/api/other/i-1", b"{}", 404, id="another path"),
    ],
)
def test_what_is_no_call_is_answered_so(calls: Calls, method: str, path: str, body: bytes, status: int) -> None:
    assert calls.call(method, path, body) == status and not calls.notified
