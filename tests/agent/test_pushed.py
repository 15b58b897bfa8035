"""Where lists are pushed the agent follows them unasked: across silence, breaks and a reload."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from lilacsill.address import Address
from lilacsill.clock import Clock
from lilacsill.agent.discovery import watch
from lilacsill.agent.discovery.listing import Listing, ListingParser
from lilacsill.agent.discovery.watch import Discovery
from lilacsill.agent.assembly import assemble
from tests.agent.loopback import Peer, Running, config_doc, load_config, member, post
from tests.agent.test_discovery import body


def pushed(discovery: int, *members: dict[str, Any]) -> dict[str, Any]:
    doc = config_doc(discovery, list(members))
    doc["settings"]["registryMode"] = "push"
    return doc


def test_a_server_that_drains_gets_nothing_new_though_the_module_never_asks(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, old, new = [await Peer().start() for _ in range(3)]
        agent = Running(tmp_path)
        await agent.start(pushed(discovery.port, member("old", old.port)))
        call = await discovery.requests.get()
        assert "index=41&wait=" in call.first
        await call.answer(200, body(42, [member("old", old.port, "DRAINING"), member("new", new.port)]))
        assert "index=42&" in (await discovery.requests.get()).first  # so the last one has been taken in
        client = await agent.client()
        await client.write(post())
        await (await new.requests.get()).answer()
        assert (await client.read()).status == 200 and old.requests.empty()
        await agent.stop()
        for peer in (discovery, old, new):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_watch_that_breaks_or_is_left_silent_goes_on_by_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "PUSHED_WAIT_MS", 1)
    monkeypatch.setattr(watch, "RESPONSE_TIMEOUT_S", 0.01)

    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[Listing | None]()
        parser = ListingParser(Clock(), ("a",), ("m",))
        discovery = Discovery(Clock(), Address("127.0.0.1", peer.port), parser, 41, 9.0, pushed=True)
        discovery.follow(told.put_nowait)
        (await peer.requests.get()).peer.reset()
        await (await peer.requests.get()).answer(503, b"")
        silent = await peer.requests.get()  # gets no answer: discovery is down
        await silent.peer.ended()
        call = await peer.requests.get()
        assert "index=41&" in call.first
        await call.answer(200, body(42, [member("s", 9)]))
        listing = await told.get()
        assert listing is not None and listing.revision == 42  # and no failure was told before it
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_move_follows_the_new_address(tmp_path: Path) -> None:
    async def run() -> None:
        old, new = [await Peer().start() for _ in range(2)]
        config = load_config(tmp_path, pushed(old.port, member("a", 9)), Clock())
        agent = assemble(config, Clock()).agent
        agent.start(config.known)
        watched = await old.requests.get()
        agent.set_discovery(Address("127.0.0.1", new.port))
        call = await new.requests.get()
        assert call.first == "GET /catalog/members HTTP/1.1"
        await watched.peer.ended()
        call.peer.reset()
        assert (await new.requests.get()).first == "GET /catalog/members HTTP/1.1"
        for peer in (old, new):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
