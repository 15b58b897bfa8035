"""A proxy between SIGTERM and its end: what it still takes, and what it refuses before any backend has it."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.http1.message import Message
from lilacsill.mesh.proxy.graceful_shutdown import GracefulShutdown
from lilacsill.mesh.proxy.process import Process
from lilacsill.mesh.runtime.messages import Endpoint
from lilacsill.mesh.runtime.settings import TimingBounds
from tests.control.point_5_world import caller, settings, statuses
from tests.mesh.stage import LOOPBACK, Client, Stage, request, stage

S = 1_000_000
MS = 1_000
SHUTDOWN = GracefulShutdown(accept_all_until=13 * S, abort_at=15 * S)


@pytest.mark.parametrize(
    ("now", "time_left_us", "can_finish"),
    [
        pytest.param(13 * S - 1, 60 * S, True, id="clients cannot have noticed yet"),
        pytest.param(13 * S, 60 * S, False, id="its deadline is far"),
        pytest.param(13 * S, 2 * S, True, id="its deadline comes first"),
        pytest.param(13 * S, 2 * S + 1, False, id="its deadline comes too late"),
        pytest.param(14_300 * MS, 700 * MS, True, id="late in the grace period, near deadline"),
        pytest.param(14_300 * MS, 800 * MS, False, id="late in the grace period"),
        pytest.param(15 * S, 1, False, id="everything is broken off"),
    ],
)
def test_a_request_is_taken_while_its_deadline_lies_before_the_break_off(
    now: int, time_left_us: int, can_finish: bool
) -> None:
    assert SHUTDOWN.can_finish(now, time_left_us) is can_finish


class Leaving:
    """A proxy process on the stage's reactor, beside no backend; it offers to the proxies beside the stage's."""

    def __init__(self, stage: Stage, monkeypatch: pytest.MonkeyPatch, grace_s: float) -> None:
        self.stage = stage
        listen = {name: Address(LOOPBACK, 0) for name in ("Outgoing", "ControlPort", "ReadyCheck")}
        own = replace(
            settings(), internal_ports=(0, 0), listen=listen, timing=TimingBounds(grace_period_us=int(grace_s * S))
        )
        monkeypatch.setattr(stage.reactor, "on_signal", lambda number, call: None)
        self.process = Process(own, stage.reactor)
        routes = [Stage.route("reads", "read_only", 1), Stage.route("writes", "writes", 2)]
        self.process._forwarder.config.apply(routes, 2)
        self.process._forwarder.is_config_current = lambda: True

    def knows(self, name: str) -> None:
        port = self.stage.doors[name].listener.port
        endpoint = Endpoint(name, 1, 1, LOOPBACK, port, "z", "stock", f"i-{name}", "ready", 4, 0)
        self.process._forwarder.upstreams.table("stock").update(endpoint, self.stage.reactor.now())

    def sigterm(self) -> None:
        self.process._shutdown.start()

    def client(self, data: bytes) -> Client:
        return caller(self.stage, self.process._clients.listener.port, data)

    def after(self, delay_us: int) -> None:
        passed: list[bool] = []
        self.stage.reactor.after(delay_us, passed.append, True)
        self.stage.until(lambda: bool(passed), "the time has passed")


def test_a_late_request_is_refused_at_once_and_reaches_no_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        backend = s.add("one")
        backend.script += ["is silent"] * 3
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        leaving.sigterm()
        leaving.after(1_100 * MS)  # 0.4 s before everything is broken off
        began = s.reactor.now()
        client = leaving.client(request("POST", "/writes/a", 1, b"body", left_ms=1000))
        assert statuses(s, client) == [503] and s.reactor.now() - began < 200 * MS
        assert not backend.ran
        assert 0 < float(client.answers[0].header(b"retry-after") or 0) < 0.5
        assert client.answers[0].header(b"connection") == "close"
        s.until(lambda: client.over, "the connection ends")
        assert not client.cut


def test_a_late_request_with_a_long_body_is_refused_before_the_body_is_in(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        backend = s.add("one")
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        leaving.sigterm()
        leaving.after(1_100 * MS)
        data = request("POST", "/writes/a", 1, b"b" * 900_000, left_ms=1000)
        client = leaving.client(data[:300_000])
        assert statuses(s, client) == [503] and not backend.ran
        assert client.answers[0].header(b"connection") == "close"


def test_a_late_request_whose_deadline_is_near_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        backend = s.add("one")
        backend.script += ["answers late"]
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        leaving.sigterm()
        leaving.after(1_050 * MS)
        client = leaving.client(request("GET", "/reads/a", 1, left_ms=300))
        assert statuses(s, client) == [200] and len(backend.ran) == 1


def test_what_comes_soon_after_sigterm_is_taken_whatever_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        backend = s.add("one")
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        leaving.sigterm()
        client = leaving.client(request("GET", "/reads/a", 1, left_ms=60_000))
        assert statuses(s, client) == [200] and len(backend.ran) == 1


def test_what_was_taken_in_time_ends_as_it_would(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        s.add("one").script += ["answers much later"]
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        client = leaving.client(request("POST", "/writes/a", 1, b"body"))
        s.until(lambda: len(s.backends["one"].ran) == 1, "the request has come")
        leaving.sigterm()
        assert statuses(s, client) == [200]
        assert client.answers[0].header(b"connection") == "close"


def readiness(leaving: Leaving) -> int:
    """Return the status of the platform's readiness check."""
    statuses: list[int] = []
    leaving.process._on_readiness_check(Message(), lambda status, body: statuses.append(status))
    return statuses[0]


def test_a_proxy_is_not_ready_from_sigterm_on(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        s.add("one")
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        monkeypatch.setattr(leaving.process._discovery, "is_config_current", lambda: True)
        assert readiness(leaving) == 200
        leaving.sigterm()
        assert readiness(leaving) == 503


def test_a_sighup_interrupts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        backend = s.add("one")
        backend.script += ["answers late"]
        leaving = Leaving(s, monkeypatch, grace_s=2.0)
        leaving.knows("one")
        client = leaving.client(request("POST", "/writes/a", 1, b"body"))
        s.until(lambda: len(backend.ran) == 1, "the request has come")
        leaving.process._on_settings_changed()
        client.send(request("GET", "/reads/a", 2))
        assert statuses(s, client, 2) == [200, 200]
        assert client.answers[0].header(b"connection") is None
