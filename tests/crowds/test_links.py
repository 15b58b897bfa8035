"""Connections to the ports between processes, from strangers that send frames which never end, or read nothing."""

from __future__ import annotations

import pytest

from lilacsill.mesh.runtime.client import fetch_status
from lilacsill.mesh.runtime.frames import HEADER, encode_frame
from lilacsill.mesh.runtime.messages import Status, encode
from lilacsill.mesh.simulation.loopback_processes import INTERNAL_PORTS, ProcessKey, Program

from . import requests
from .crowd import Pieces
from .requests import MEGABYTE, crowd_of
from .stage import Attack, assert_client_is_served, assert_process_holds, mesh

pytestmark = pytest.mark.crowd

PORTS = {Program.PROXY: INTERNAL_PORTS[0], Program.REGISTRY: INTERNAL_PORTS[0], Program.STORE: INTERNAL_PORTS[0] + 1}
EVERY_ROLE = pytest.mark.parametrize("program", PORTS)
FRAME_BYTES = 64 * MEGABYTE
SENT_BYTES = 16 * MEGABYTE


def unfinished_frame() -> Pieces:
    yield HEADER.pack(FRAME_BYTES, 1)
    yield from requests.body_pieces(SENT_BYTES)


@EVERY_ROLE
def test_a_role_outlives_frames_that_stop_short(program: Program) -> None:
    play(program, Attack(16, unfinished_frame))


@EVERY_ROLE
def test_a_role_outlives_peers_that_read_nothing(program: Program) -> None:
    play(program, Attack(32, crowd_of(requests.repeated, encode_frame(1, encode(Status())) * 100, 300), reads=False))


@EVERY_ROLE
def test_a_role_outlives_connections_that_send_nothing(program: Program) -> None:
    play(program, Attack(800, crowd_of(requests.once, b"")))


def play(program: Program, attack: Attack) -> None:
    with mesh() as made:
        ip = made.sidecars[0] if program is Program.PROXY else made.cores[0]

        def ordinary_callers() -> None:
            assert fetch_status(f"{ip}:{PORTS[program]}")
            for sidecar in made.sidecars:
                assert_client_is_served(made, sidecar)

        assert_process_holds(made, ProcessKey(program, ip), PORTS[program], attack, ordinary_callers)
