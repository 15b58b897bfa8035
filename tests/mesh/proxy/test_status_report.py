"""The status of a proxy: operators and their scripts know its keys."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.mesh.proxy.process import Process
from lilacsill.mesh.runtime.messages import Endpoint
from tests.control.point_5_world import settings
from tests.mesh.stage import LOOPBACK, stage


@pytest.fixture
def report(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """That of a proxy that knows one endpoint and has not heard of its backend."""
    with stage() as s:
        monkeypatch.setattr(s.reactor, "on_signal", lambda number, call: None)
        listen = {name: Address(LOOPBACK, 0) for name in ("Outgoing", "ControlPort", "ReadyCheck")}
        process = Process(replace(settings(), internal_ports=(0, 0), listen=listen), s.reactor)
        endpoint = Endpoint("n1", 1, 1, LOOPBACK, 1, "z", "stock", "i-1", "ready", 4, 0)
        process._endpoints.apply([endpoint], [], s.reactor.now())
        decoded: dict[str, Any] = msgspec.json.decode(process.status())
        return decoded


def test_the_keys_of_the_report(report: dict[str, Any]) -> None:
    assert list(report) == [
        "node",
        "config_seq",
        "sure",
        "why_unsure",
        "age_ms",
        "leaving",
        "requests",
        "backend",
        "registry_versions",
        "monitors",
        "suspects",
        "tables",
        "refusals",
        "operations",
        "relays",
        "log",
    ]


def test_a_proxy_without_operations(report: dict[str, Any]) -> None:
    assert report["refusals"] == {}
    assert report["operations"] == {"states": {}, "response_bytes": 0, "replayed": 0}


def test_a_backend_that_was_not_heard_of_is_waiting(report: dict[str, Any]) -> None:
    assert report["backend"] == {
        "server": "",
        "service": "",
        "state": "waiting",
        "slots": 1,
        "circuit_open": False,
        "connections": 0,
        "max_connections": 100,
        "connections_forgotten": 0,
        "running": 0,
        "load": [0, 1, 0.0, 0.0],
    }


def test_an_endpoint_without_a_report(report: dict[str, Any]) -> None:
    assert report["tables"] == {
        "stock": [
            {
                "node": "n1",
                "server": "i-1",
                "state": "ready",
                "in_flight": 0,
                "unreported_attempts": 0,
                "slowdown": 0.0,
                "failure_rate": 0.0,
                "report_age_ms": None,
                "ejected_ms": 0,
            }
        ]
    }


def test_a_proxy_without_a_proof_says_why_it_is_not_sure(report: dict[str, Any]) -> None:
    assert report["sure"] is False and report["why_unsure"] and report["age_ms"] is None
