"""How many connections a proxy opens to its backend, by the versions of the service that it gets."""

from __future__ import annotations

import msgspec
import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.mesh.proxy.backend_pool import DEFAULT_MAX_CONNECTIONS
from lilacsill.mesh.proxy.process import Process
from lilacsill.mesh.runtime.messages import Item
from tests.control.point_5_world import settings
from tests.mesh.stage import LOOPBACK, stage


def test_a_limit_that_a_newer_version_leaves_out_no_longer_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a proxy that keeps a value of an older version of the configuration (review, case 3)."""
    with stage() as s:
        monkeypatch.setattr(s.reactor, "on_signal", lambda number, call: None)
        listen = {name: Address(LOOPBACK, 0) for name in ("Outgoing", "ControlPort", "ReadyCheck")}
        own = replace(settings(), internal_ports=(0, 0), listen=listen)
        process = Process(own, s.reactor)
        limits = []
        for version, limit in enumerate(({}, {"MaxConnections": 3}, {"MaxConnections": 7}, {}), 1):
            body = msgspec.json.encode({"Name": own.service, "ConfigVersion": f"r{version}", **limit})
            process._config.apply([Item("service", own.service, version, version, body)], version)
            process._on_update()
            limits.append(process._gateway.pool.max_connections)
        assert limits == [DEFAULT_MAX_CONNECTIONS, 3, 7, DEFAULT_MAX_CONNECTIONS]
