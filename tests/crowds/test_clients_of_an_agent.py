"""Clients of an agent that don't behave: it lives, stays within its limits, and serves ordinary clients meanwhile."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from lilacsill.address import Address
from lilacsill.http1.message import Message, encode_request
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.http_call import HttpCall
from lilacsill.mesh.simulation.loopback_processes import ProcessLimits
from lilacsill.net import reactor as watchers
from tests.agent.loopback import config_doc

from . import requests
from .crowd import Crowd, Pieces
from .process_watch import ProcessWatch
from .requests import MEGABYTE, crowd_of
from .stage import AFTERWARDS_S, CALL_TIMEOUT_US, CROWD_S, PATIENCE_S, RETRY_US

pytestmark = pytest.mark.crowd

LIMITS = ProcessLimits(memory_mb=64, file_handles=256)  # the least that the platform gives an agent
LOOPBACK = "127.0.0.1"
UNUSED_PORT = 1  # nothing listens there: the agent has no discovery and no backend
API = b"/api"
LARGE, NEARLY_64_KB = 8 * MEGABYTE, 64 * 1024 - 512
HEALTH_CHECK = encode_request(b"GET", b"/_health", [(b"Host", b"a")])

CROWDS: dict[str, tuple[int, Callable[[], Pieces]]] = {
    "unfinished-heads-of-short-lines": (
        320,
        crowd_of(requests.once, requests.start(b"GET", API, requests.short_lines())),
    ),
    "trailers-without-end": (12, crowd_of(requests.long_trailer, API, 16 * MEGABYTE)),
    "bodies-over-the-limit-announced": (48, crowd_of(requests.upload, API, 64 * MEGABYTE, 16 * MEGABYTE)),
    "bodies-over-the-limit-sent": (48, crowd_of(requests.chunked_upload, API, 48 * MEGABYTE)),
    "large-bodies-that-stop-short": (96, crowd_of(requests.upload, API, LARGE, LARGE - 1)),
    "small-bodies-that-stop-short": (1600, crowd_of(requests.upload, API, NEARLY_64_KB, NEARLY_64_KB - 1)),
    "connections-that-send-nothing": (800, crowd_of(requests.once, b"")),
}


@pytest.mark.parametrize("name", CROWDS)
def test_an_agent_outlives_a_crowd_of_clients(name: str, tmp_path: Path) -> None:
    size, pieces = CROWDS[name]
    with agent(tmp_path) as (process, port), event_loop() as reactor:
        assert_is_healthy(reactor, port)
        watch = ProcessWatch(reactor, process.pid, LOOPBACK, port)
        crowd = Crowd(reactor, Address(LOOPBACK, port), size, pieces)
        try:
            until(reactor, lambda: crowd.is_done, CROWD_S)
            until(reactor, lambda: False, AFTERWARDS_S)
            watch.stop()
            print(f"agent: {watch.peak_mb:.0f} MB, {watch.peak_descriptors} descriptors")
            assert process.poll() is None, "the agent has ended"
            assert watch.peak_mb <= LIMITS.memory_mb
            assert watch.peak_descriptors <= LIMITS.file_handles
            assert_is_healthy(reactor, port)
        finally:
            crowd.close()
        assert_is_healthy(reactor, port)
        assert process.poll() is None, "the agent has ended"


@contextmanager
def agent(folder: Path) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """Start an agent with lowered limits; yield its process and its port for clients."""
    config, log = folder / "config.json", folder / "log"
    limits = {"memory_mb": LIMITS.memory_mb, "sockets": LIMITS.file_handles}
    config.write_text(json.dumps({**config_doc(UNUSED_PORT, []), "limits": limits}))
    with log.open("wb") as stderr:
        command = [sys.executable, "-m", "lilacsill"]
        process = subprocess.Popen(command, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=stderr)
    try:
        yield process, listening_port(process, log)
    finally:
        process.kill()
        process.wait()


def listening_port(process: subprocess.Popen[bytes], log: Path) -> int:
    """Wait until the agent listens."""
    while (found := re.search(r"listens on \S*:(\d+)", log.read_text())) is None:
        assert process.poll() is None, log.read_text()
    return int(found[1])


@contextmanager
def event_loop() -> Iterator[Reactor]:
    reactor = Reactor()
    try:
        yield reactor
    finally:
        reactor.close()
        watchers.install(None)


def until(reactor: Reactor, true: Callable[[], bool], seconds: float) -> bool:
    """Run until it is so, or for that long."""
    over: list[bool] = []
    reactor.after(int(seconds * 1e6), over.append, True)
    while not true() and not over:
        reactor.run_once()
    return true()


def assert_is_healthy(reactor: Reactor, port: int) -> None:
    """An ordinary client gets an answer."""
    answered: list[Message] = []

    def call() -> None:
        HttpCall(reactor, Address(LOOPBACK, port), HEALTH_CHECK, CALL_TIMEOUT_US, on_done)

    def on_done(response: Message | None) -> None:
        if response is not None and response.status == 200:
            answered.append(response)
        else:
            reactor.after(RETRY_US, call)

    call()
    assert until(reactor, lambda: bool(answered), PATIENCE_S), "an ordinary client gets no answer"
