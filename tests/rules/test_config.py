"""CONFIG and the duty of readiness: items never go back, work in flight outlives its route, and proxies stay ready."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.simulation.network import MS, SECOND
from tests.control.control_plane import ControlPlane
from tests.mesh.stage import Stage, request, stage

READY_SHARE = 7 / 8  # of the calm time
SAMPLE_US = 20 * MS


def route(version: int, is_dropped: bool = False) -> Item:
    item = Stage.route("reads", "read_only", version)
    return Item(item.kind, item.name, version, version, None if is_dropped else item.body)


def is_served(config: ActiveConfig) -> bool:
    return config.match(b"h.example", b"/reads/a") is not None


def test_an_item_never_goes_back_in_one_run_of_a_proxy() -> None:
    config = ActiveConfig()
    config.apply([route(5)], 5)
    config.apply([route(4, is_dropped=True)], 6)
    assert is_served(config)
    config.apply([route(7, is_dropped=True)], 7)
    config.apply([route(6)], 8)
    assert not is_served(config)
    config.apply([route(9)], 9)
    assert is_served(config)


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        ("tenant", b'{"Name":"a","Keys":[]}'),
        ("tenant", b'{"Name":"a","ApiKeys":["secret"],"Rank":"high"}'),
        ("route", b'{"Host":"h.example","Rule":{"RouteKind":"read_only"}}'),
        ("route", b'{"Host":5,"Rule":[]}'),
        ("service", b"[]"),
        ("limits", b'{"MaxBodyBytes":{}}'),
        ("mirror", b"{}"),
    ],
)
def test_an_item_that_cannot_be_read_keeps_no_other_one_away(kind: str, body: bytes) -> None:
    config = ActiveConfig()
    config.apply([Item(kind, "a", 1, 1, body), route(2)], 2)
    assert is_served(config) and config.seq == 2
    assert not any("secret" in line for line in log.tail())


def test_a_request_in_flight_outlives_its_route() -> None:
    with stage() as s:
        backend = s.add("one")
        backend.script = ["answers late"]
        client = s.client(request("GET", "/reads/a", 1))
        s.until(lambda: len(backend.ran) == 1, "it runs")
        s.forwarder.config.apply([route(3, is_dropped=True)], 3)
        client.send(request("GET", "/reads/b", 2))
        s.until(lambda: len(client.answers) == 2, "both answers")
        assert [answer.status for answer in client.answers] == [200, 404]


@pytest.mark.parametrize("lost", ["head", "tail"])
def test_proxies_stay_ready_while_a_member_of_the_store_is_lost(lost: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plane = ControlPlane(monkeypatch)
    monkeypatch.setattr(plane, "write", lambda: None)  # a change would bring a new proof with it
    for number in range(4):
        plane.proxy(f"10.1.0.{number + 1}")
    plane.begin([*plane.stores])
    member = plane.members[0 if lost == "head" else -1]
    plane.time.after(5 * SECOND, plane.freeze, member, 4 * SECOND)
    samples = ready = 0
    for _ in range(20 * SECOND // SAMPLE_US):
        plane.run(SAMPLE_US)
        samples += len(plane.proxies)
        ready += sum(proxy.is_config_current() for proxy in plane.proxies.values())
    assert ready / samples > READY_SHARE


def test_a_proxy_knows_that_its_configuration_was_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    plane = ControlPlane(monkeypatch)
    plane.proxy("10.1.0.1")
    proxy = plane.proxies["10.1.0.1"]
    assert not proxy._config.was_complete
    plane.begin([*plane.stores])
    plane.run(2 * SECOND)
    assert proxy._config.was_complete and proxy._config.seq
