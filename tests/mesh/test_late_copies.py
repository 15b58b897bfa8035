"""Real processes: copies of an operator's call that a suspended process reads from its sockets when it wakes."""

from __future__ import annotations

import signal
from typing import Any

import msgspec
import pytest

from lilacsill.address import Address
from lilacsill.http1.message import Message, encode_request
from lilacsill.mesh.simulation.http_call import JSON_HEADERS, HttpCall
from lilacsill.mesh.simulation.loopback import LoopbackMesh, rules
from lilacsill.mesh.simulation.loopback_processes import CONTROL_PORT, Program, ProcessKey
from lilacsill.mesh.simulation.order_scenarios import with_services
from lilacsill.mesh.simulation.store_fleet import put, route

PATIENCE_S = 20.0  # a slow machine is given time; a quick one needs two seconds
CALLER_PATIENCE_US = 1_000_000  # after which an operator closes its connection and tries another registry
READ_AGAIN_US = 100_000
AFTER_REFUSAL_S = 3.5
AFTER_WAKING_S = 2.0  # for the copy on its way through the registry, its store and the head


def try_once(mesh: LoopbackMesh, ip: str, body: dict[str, Any]) -> Message | None:
    """Send a change to one registry, and return the response; None: there was none within a second."""
    responses: list[Message | None] = []
    data = encode_request(b"PATCH", b"/api/config", JSON_HEADERS, msgspec.json.encode(body))
    HttpCall(mesh.reactor, Address(ip, CONTROL_PORT), data, CALLER_PATIENCE_US, responses.append)
    assert mesh.until(lambda: bool(responses), PATIENCE_S)
    return responses[0]


def status_until_clear(mesh: LoopbackMesh, body: dict[str, Any]) -> int:
    statuses: list[int] = []
    mesh.operate(body, statuses.append)
    assert mesh.until(lambda: bool(statuses), PATIENCE_S)
    return statuses[0]


def routes_in_force(mesh: LoopbackMesh) -> set[str]:
    data = encode_request(b"GET", b"/api/config", JSON_HEADERS)
    bodies: list[bytes] = []

    def read() -> None:
        HttpCall(mesh.reactor, Address(mesh.cores[0], CONTROL_PORT), data, CALLER_PATIENCE_US, on_done)

    def on_done(response: Message | None) -> None:
        if response is not None and response.status == 200:
            bodies.append(bytes(response.body))
        else:
            mesh.reactor.after(READ_AGAIN_US, read)

    read()
    assert mesh.until(lambda: bool(bodies), PATIENCE_S), "no read of the configuration succeeds"
    return {rule["Name"] for listener in msgspec.json.decode(bodies[0])["Listeners"] for rule in listener["Policy"]}


@pytest.mark.parametrize("suspended", [Program.REGISTRY, Program.STORE])
def test_a_refused_call_stays_refused_when_a_suspended_process_reads_its_copy(suspended: Program) -> None:
    """Guards against a change that is in force although its caller was told 400 (review, case 1)."""
    with LoopbackMesh(cores=3, sidecars=0) as mesh:
        assert status_until_clear(mesh, rules(1, ["r"])) == 200
        key = ProcessKey(suspended, mesh.cores[2])
        refused = put([route("refused", 2, "/refused/", "new")])
        mesh.processes.signal(key, signal.SIGSTOP)
        try:
            response = try_once(mesh, key.ip, refused)
            assert response is None or response.status == 503
            assert status_until_clear(mesh, refused) == 400
            valid = with_services(put([route("valid", 3, "/valid/", "new")]), [("new", 3)], [])
            assert status_until_clear(mesh, valid) == 200
            mesh.run(AFTER_REFUSAL_S)
        finally:
            mesh.processes.signal(key, signal.SIGCONT)
        mesh.run(AFTER_WAKING_S)
        assert routes_in_force(mesh) == {"r", "valid"}
        # The operator may still decide to make the change now that it is valid.
        assert status_until_clear(mesh, refused) == 200
        assert routes_in_force(mesh) == {"r", "valid", "refused"}
