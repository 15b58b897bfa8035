"""Descriptors that run out, on loopback: who makes way, and who goes on."""

from __future__ import annotations

import asyncio
import errno
import socket
from pathlib import Path

import pytest

from lilacsill.agent.admission.descriptor_account import Side
from lilacsill.agent.admission.settings import ConnectionTimeouts
from lilacsill.net.connecting import new_socket
from tests.agent.loopback import post, shared, world

NEVER = ConnectionTimeouts(silent_us=10**12, reading_us=10**12)


def test_an_idle_connection_to_a_backend_is_closed_for_a_client(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=1, budget=shared(4), times=NEVER) as system:
            ledger = system.server.admission.descriptors
            clients = [await system.ask(post(Request_Id=f"r{i}")) for i in range(2)]
            got = [await system.request() for _ in clients]
            assert ledger.open_count(Side.UPSTREAM) == 2
            await got[0].answer()
            assert (await clients[0].read()).status == 200
            third = await system.client()
            await third.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await third.read()).status == 200
            assert ledger.open_count(Side.UPSTREAM) == 1 and ledger.open_count(Side.DOWNSTREAM) == 3
            await got[1].answer()
            assert (await clients[1].read()).status == 200

    asyncio.run(run())


def test_discovery_gets_a_descriptor_when_there_is_none(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(8), times=NEVER, sweep_s=0.005) as system:
            watch = await system.discovery.requests.get()
            mute = [await system.client() for _ in range(5)]
            while len(system.server.connections) < 5:
                await asyncio.sleep(0)
            failures = 0

            def none_left(family: int) -> socket.socket:
                nonlocal failures
                if len(system.server.connections) == 5:
                    failures += 1
                    raise OSError(errno.EMFILE, "too many open files")
                return new_socket(family)

            monkeypatch.setattr("lilacsill.net.connecting.new_socket", none_left)
            watch.peer.reset()
            # The call fails; a silent client makes way, and the next call comes through.
            again = await system.discovery.requests.get()
            assert again.first.startswith("GET /catalog/members") and failures
            await mute[0].ended()

    asyncio.run(run())


@pytest.mark.parametrize("lacking", [1, 2, 4])
def test_a_request_outlives_that_its_backend_gets_no_descriptor_for_a_while(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, lacking: int
) -> None:
    """Fewer failures in a row than the five attempts that the settings allow."""

    async def run() -> None:
        async with world(tmp_path, budget=shared(8), times=NEVER, sweep_s=0.005) as system:
            await system.discovery.requests.get()
            left = lacking

            def none_left(family: int) -> socket.socket:
                nonlocal left
                if left:
                    left -= 1
                    raise OSError(errno.EMFILE, "too many open files")
                return new_socket(family)

            mute = [await system.client() for _ in range(4)]
            while len(system.server.connections) < len(mute):
                await asyncio.sleep(0)
            monkeypatch.setattr("lilacsill.net.connecting.new_socket", none_left)
            client = await system.ask(post())
            await (await system.request()).answer()
            assert (await client.read()).status == 200 and not left

    asyncio.run(run())


def test_a_request_whose_backend_never_gets_a_descriptor_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Five attempts in a row find none; no request reaches the backend, and the client hears of it."""

    async def run() -> None:
        async with world(tmp_path, budget=shared(8), times=NEVER) as system:
            await system.discovery.requests.get()

            def none_left(family: int) -> socket.socket:
                raise OSError(errno.EMFILE, "too many open files")

            monkeypatch.setattr("lilacsill.net.connecting.new_socket", none_left)
            client = await system.ask(post())
            assert (await client.read()).status == 503

    asyncio.run(run())
