"""The list of backends: the watch goes on, breaks once, and is never believed when it makes no sense."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from tests.agent.loopback import Peer, member, post, world

from lilacsill.clock import Clock
from lilacsill.address import Address
from lilacsill.agent.discovery.listing import Listing, ListingParser
from lilacsill.agent.discovery.watch import Discovery


def body(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def asks(peer: Peer) -> Discovery:
    return Discovery(Clock(), Address("127.0.0.1", peer.port), ListingParser(Clock(), ("a",), ("m",)), 41, 9.0)


def test_the_same_start_is_always_the_same_time() -> None:
    clock = Clock()
    assert clock.from_unix_ms(0) == 0
    assert clock.from_unix_ms(1_700_000_000_123) == clock.from_unix_ms(1_700_000_000_123) != 0
    assert clock.from_unix_ms(1_700_000_001_000) - clock.from_unix_ms(1_700_000_000_000) == 1_000_000


def test_a_watch_goes_on_on_one_connection_and_tells_changes_only() -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[Listing | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        for revision, members in ((42, []), (43, [member("s", 9)])):
            call = await peer.requests.get()
            assert f"index={revision - 1}&wait=" in call.first
            await call.answer(200, body(revision, members))
        listing = await told.get()
        assert listing is not None and listing.revision == 43 and listing.members[0].backend.id == "s"
        call = await peer.requests.get()
        assert "index=43&" in call.first and peer.connections == 1 and told.empty()
        discovery.watch(told.put_nowait)  # asked again while it goes on: no second call
        await call.answer(503, b"")
        assert await told.get() is None
        assert peer.requests.empty() and told.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


GOOD = member("s", 9)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b"{}",
        body(42, [{}]),
        body(42, [GOOD | {"phase": "WELL"}]),
        body(42, [GOOD, GOOD | {"host_port": "nowhere"}]),
        body(42, [GOOD | {"host_port": "a:99999"}]),
        body(42, [GOOD | {"up_since_ms": "x"}]),
        body(42, [GOOD | {"up_since_ms": [1]}]),
        b'{"revision":null,"complete":true,"members":[]}',
        b'{"revision":1,"complete":true,"members":{"a":1}}',
        b"\xff\xfe",
    ],
)
def test_an_answer_that_makes_no_sense_is_a_failed_call(answer: bytes) -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[Listing | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        await (await peer.requests.get()).answer(200, answer)
        assert await told.get() is None
        discovery.watch(told.put_nowait)
        call = await peer.requests.get()
        assert "index=41&" in call.first
        await call.answer(200, body(42, [GOOD], complete=True))
        listing = await told.get()
        assert listing is not None and listing.complete
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_connection_that_discovery_closes_is_replaced() -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[Listing | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        first = await peer.requests.get()
        await first.answer(200, body(42, []), Connection="close")
        assert "index=42&" in (await peer.requests.get()).first
        await first.peer.ended()  # and the old one is not left open
        assert peer.connections == 2 and told.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_the_module_hears_of_changes_and_asks_again_after_a_break(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=0) as w:
            (await w.discovery.requests.get()).peer.reset()
            late = await Peer().start()
            client = await w.ask(post())  # held: there is nobody to send it to
            call = await w.discovery.requests.get()
            await call.answer(200, body(42, [member("late", late.port)]))
            await (await late.requests.get()).answer()
            assert (await client.read()).status == 200
            await late.stop()

    asyncio.run(run())
