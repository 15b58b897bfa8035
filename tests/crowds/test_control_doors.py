"""Callers of the doors for the platform, backends, operators and metrics that don't behave, at every role."""

from __future__ import annotations

import msgspec
import pytest

from lilacsill.address import Address
from lilacsill.http1.message import encode_request
from lilacsill.mesh.runtime.metrics_server import PROXY_PORT, REGISTRY_PORT, STORE_PORT
from lilacsill.mesh.simulation.http_call import JSON_HEADERS
from lilacsill.mesh.simulation.loopback import LoopbackMesh
from lilacsill.mesh.simulation.loopback_processes import CONTROL_PORT, READY_PORT, ProcessKey, Program

from . import requests
from .requests import MEGABYTE, crowd_of
from .stage import Attack, assert_call_succeeds, assert_process_holds, mesh

pytestmark = pytest.mark.crowd

BODY_BYTES = 32 * MEGABYTE
SENT_BYTES = 16 * MEGABYTE


class Door(msgspec.Struct, frozen=True):
    """A port of a role, and a call that succeeds there."""

    program: Program
    port: int
    method: bytes
    path: bytes


DOORS = {
    "heartbeats": Door(Program.PROXY, CONTROL_PORT, b"DELETE", b"/api/servers/unknown"),
    "readiness": Door(Program.PROXY, READY_PORT, b"GET", b"/api/ready"),
    "proxy-metrics": Door(Program.PROXY, PROXY_PORT, b"GET", b"/metrics"),
    "operators": Door(Program.REGISTRY, CONTROL_PORT, b"GET", b"/api/config"),
    "registry-metrics": Door(Program.REGISTRY, REGISTRY_PORT, b"GET", b"/metrics"),
    "store-metrics": Door(Program.STORE, STORE_PORT, b"GET", b"/metrics"),
}
EVERY_DOOR = pytest.mark.parametrize("name", DOORS)


@EVERY_DOOR
def test_a_door_outlives_large_bodies_that_stop_short(name: str) -> None:
    path = DOORS[name].path
    play(DOORS[name], Attack(16, crowd_of(requests.upload, path, BODY_BYTES, SENT_BYTES)))


@EVERY_DOOR
def test_a_door_outlives_large_bodies_in_chunks(name: str) -> None:
    play(DOORS[name], Attack(16, crowd_of(requests.chunked_upload, DOORS[name].path, SENT_BYTES)))


@EVERY_DOOR
def test_a_door_outlives_heads_of_short_lines(name: str) -> None:
    head = requests.head(requests.short_lines, DOORS[name].path)
    play(DOORS[name], Attack(48, crowd_of(requests.repeated, head, 60)))


@EVERY_DOOR
def test_a_door_outlives_unfinished_heads_of_short_lines(name: str) -> None:
    data = requests.start(b"GET", DOORS[name].path, requests.short_lines())
    play(DOORS[name], Attack(720, crowd_of(requests.once, data)))


@EVERY_DOOR
def test_a_door_outlives_callers_that_read_nothing(name: str) -> None:
    head = requests.plain_head(DOORS[name].path)
    play(DOORS[name], Attack(32, crowd_of(requests.repeated, head * 100, 300), reads=False))


@EVERY_DOOR
def test_a_door_outlives_connections_that_send_nothing(name: str) -> None:
    play(DOORS[name], Attack(800, crowd_of(requests.once, b"")))


@pytest.mark.parametrize("size", [MEGABYTE // 2, 4 * MEGABYTE], ids=["checked", "too-large"])
@pytest.mark.parametrize("items", [b"[],", b"{},", b'"",'], ids=["lists", "objects", "texts"])
def test_registry_and_store_outlive_large_changes_of_many_small_values(items: bytes, size: int) -> None:
    """A few bytes of JSON each, which take ten times as much memory once they are decoded."""
    body = b'{"ReplaceItems":{"Listeners":[' + items * (size // len(items)) + b"0]}}"
    request = requests.complete(b"PATCH", b"/api/config", body)
    for program in (Program.REGISTRY, Program.STORE):
        with mesh() as made:
            play_in(made, DOORS["operators"], program, Attack(6, crowd_of(requests.once, request)))


def play(door: Door, attack: Attack) -> None:
    with mesh() as made:
        play_in(made, door, door.program, attack)


def play_in(made: LoopbackMesh, door: Door, watched: Program, attack: Attack) -> None:
    """The crowd is at a door; watched is the role of this door, or another one on the same machine."""
    ip = made.sidecars[0] if door.program is Program.PROXY else made.cores[0]
    call = encode_request(door.method, door.path, JSON_HEADERS)

    def ordinary_caller() -> None:
        assert_call_succeeds(made, Address(ip, door.port), call)

    ordinary_caller()
    assert_process_holds(made, ProcessKey(watched, ip), door.port, attack, ordinary_caller)
