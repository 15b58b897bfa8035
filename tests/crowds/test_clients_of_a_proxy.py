"""Clients of a proxy that don't behave: it lives, stays within its limits, and serves ordinary clients meanwhile."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lilacsill.address import Address
from lilacsill.http1.message import Message
from lilacsill.mesh.simulation.http_call import HttpCall
from lilacsill.mesh.simulation.loopback import LoopbackMesh
from lilacsill.mesh.simulation.loopback_processes import OUTGOING_PORT, ProcessKey, Program

from . import requests
from .crowd import PIECE_BYTES, Pieces
from .requests import MEGABYTE, crowd_of
from .stage import (
    MAX_BODY_BYTES,
    PATIENCE_S,
    Attack,
    assert_all_live,
    assert_client_is_served,
    assert_process_holds,
    mesh,
)

pytestmark = pytest.mark.crowd

HELD, LONG, SHORT = b"/held/a", b"/long/a", b"/short/a"
REQUEST_PAUSE_US = 250_000  # few enough requests at once that the backends serve them
SIXTEEN_READS = requests.plain_head(HELD) * 16
CLOSING_READ = requests.start(b"GET", HELD, b"Connection: close\r\n") + b"\r\n"
NEARLY_64_KB = 64 * 1024 - 512
PATIENCE_US = 15_000_000

CROWDS: dict[str, tuple[int, Callable[[], Pieces]]] = {
    "heads-of-short-lines": (24, crowd_of(requests.repeated, requests.head(requests.short_lines, HELD), 60)),
    "heads-of-odd-lines": (48, crowd_of(requests.repeated, requests.head(requests.odd_lines, HELD), 60)),
    "unfinished-heads-of-short-lines": (
        300,
        crowd_of(requests.once, requests.start(b"GET", HELD, requests.short_lines())),
    ),
    "trailers-without-end": (12, crowd_of(requests.long_trailer, HELD, 16 * MEGABYTE)),
    "bodies-over-the-limit-announced": (48, crowd_of(requests.upload, HELD, 32 * MEGABYTE, 16 * MEGABYTE)),
    "bodies-over-the-limit-sent": (96, crowd_of(requests.chunked_upload, HELD, 16 * MEGABYTE)),
    "large-bodies": (96, crowd_of(requests.uploads, HELD, MAX_BODY_BYTES, 2)),
    "large-bodies-that-stop-short": (96, crowd_of(requests.upload, HELD, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)),
    "large-chunked-bodies-that-stop-short": (96, crowd_of(requests.chunked_upload, HELD, MAX_BODY_BYTES - 1)),
    "small-bodies-that-stop-short": (1600, crowd_of(requests.upload, HELD, NEARLY_64_KB, NEARLY_64_KB - 1)),
    "small-bodies-by-the-kilobyte-that-stop-short": (
        1600,
        crowd_of(requests.upload, HELD, NEARLY_64_KB, NEARLY_64_KB - 1, 1024),
    ),
    "large-bodies-behind-requests-in-flight": (
        48,
        crowd_of(requests.upload, HELD, MAX_BODY_BYTES, MAX_BODY_BYTES - 1, PIECE_BYTES, SIXTEEN_READS),
    ),
    "large-bodies-behind-a-last-request": (48, crowd_of(requests.uploads, HELD, MEGABYTE, 60, CLOSING_READ)),
    "connections-that-send-nothing": (800, crowd_of(requests.once, b"")),
}


@pytest.mark.parametrize("name", CROWDS)
def test_a_proxy_outlives_a_crowd_of_clients(name: str) -> None:
    size, pieces = CROWDS[name]
    play(Attack(size, pieces))


@pytest.mark.parametrize(("path", "size"), [(LONG, 128), (SHORT, 640)], ids=["long", "short"])
def test_a_proxy_outlives_clients_that_read_nothing(path: bytes, size: int) -> None:
    pieces = crowd_of(requests.repeated, requests.plain_head(path), 16)
    play(Attack(size, pieces, reads=False, pause_us=REQUEST_PAUSE_US))


@pytest.mark.parametrize("encode", [requests.complete, requests.complete_chunked], ids=["announced", "chunked"])
def test_a_single_body_of_the_largest_size_is_served_in_calm(encode: Callable[[bytes, bytes, bytes], bytes]) -> None:
    with mesh() as made:
        statuses = [
            status_of(made, encode(b"POST", b"/reads/a", b"x" * size)) for size in (MAX_BODY_BYTES, MAX_BODY_BYTES + 1)
        ]
        assert statuses == [200, 413]
        assert_all_live(made)


def status_of(made: LoopbackMesh, request: bytes) -> int | None:
    """Return the status that a client of the first proxy gets, or None without a response."""
    responses: list[Message | None] = []
    HttpCall(made.reactor, Address(made.sidecars[0], OUTGOING_PORT), request, PATIENCE_US, responses.append)
    assert made.until(lambda: bool(responses), PATIENCE_S)
    return responses[0].status if responses[0] is not None else None


def play(attack: Attack) -> None:
    with mesh() as made:
        key = ProcessKey(Program.PROXY, made.sidecars[0])
        assert_process_holds(made, key, OUTGOING_PORT, attack, lambda: assert_client_is_served(made, key.ip))
