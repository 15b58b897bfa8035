"""SIGHUP: the agent goes on, and moves to the discovery that its configuration now names."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from lilacsill.agent.assembly import Options, assemble, budget_for
from lilacsill.agent.reload import Reload
from lilacsill.clock import Clock
from tests.agent.loopback import Message, Peer, Running, config_doc, load_config, member, post


def whole(revision: int, *members: dict[str, Any]) -> bytes:
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()


async def list_call(discovery: Peer) -> Message:
    """The next call there must be for the whole list."""
    call = await discovery.requests.get()
    assert call.first == "GET /catalog/members HTTP/1.1"
    return call


def test_a_reload_moves_to_the_new_discovery_and_keeps_what_is_open(tmp_path: Path) -> None:
    async def run() -> None:
        old, new, first, second = [await Peer().start() for _ in range(4)]
        agent = Running(tmp_path)
        doc = config_doc(old.port, [member("a", first.port)])
        await agent.start(doc)
        watch = await old.requests.get()
        held = await agent.client()
        await held.write(post())
        got = await first.requests.get()
        agent.write(json.dumps(doc | {"discovery": f"127.0.0.1:{new.port}"}))
        agent.process.send_signal(signal.SIGHUP)
        call = await list_call(new)
        await watch.peer.ended()
        await call.answer(200, whole(7, member("b", second.port)))
        assert "index=7&" in (await new.requests.get()).first
        await got.answer()
        assert (await held.read()).status == 200
        # Who is not in the new list is gone.
        await held.write(post())
        await (await second.requests.get()).answer()
        assert (await held.read()).status == 200
        assert first.requests.empty() and old.requests.empty()
        await agent.stop()
        for peer in (old, new, first, second):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_bad_file_changes_nothing_and_several_reloads_end_at_the_last(tmp_path: Path) -> None:
    async def run() -> None:
        old, between, last = [await Peer().start() for _ in range(3)]
        agent = Running(tmp_path)
        doc = config_doc(old.port, [])
        await agent.start(doc)
        watch = await old.requests.get()
        for text in ("{", "", json.dumps(doc | {"discovery": "nowhere"})):
            agent.write(text)
            agent.process.send_signal(signal.SIGHUP)
            await agent.line("reload failed; keeping the previous configuration: ")
        assert not watch.peer.told_of_close()
        for peer in (between, last):
            agent.write(json.dumps(doc | {"discovery": f"127.0.0.1:{peer.port}"}))
            agent.process.send_signal(signal.SIGHUP)
            call = await list_call(peer)
        await call.answer(200, whole(3))
        assert "index=3&" in (await last.requests.get()).first
        agent.process.send_signal(signal.SIGHUP)
        await agent.stop()  # right behind it
        for peer in (old, between, last):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_new_discovery_that_fails_is_asked_for_the_whole_list_again(tmp_path: Path) -> None:
    async def run() -> None:
        old, new = await Peer().start(), await Peer().start()
        agent = Running(tmp_path)
        doc = config_doc(old.port, [])
        await agent.start(doc)
        await old.requests.get()
        agent.write(json.dumps(doc | {"discovery": f"127.0.0.1:{new.port}"}))
        agent.process.send_signal(signal.SIGHUP)
        await (await list_call(new)).answer(503, b"")
        await (await list_call(new)).answer(200, whole(9))
        assert "index=9&" in (await new.requests.get()).first
        await agent.stop()
        await old.stop()
        await new.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("failures", [1, 3])
def test_a_file_that_no_descriptor_is_left_for_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failures: int
) -> None:
    """SIGHUP at the limit of descriptors: the new discovery must not be missed."""

    async def run() -> None:
        monkeypatch.setattr("lilacsill.agent.reload.RETRY_DELAY_S", 0.001)
        discovery = await Peer().start()
        clock = Clock()
        config = load_config(tmp_path, config_doc(discovery.port, []), clock)
        parts = assemble(config, clock)
        parts.agent.start(config.known)
        await discovery.requests.get()
        other = await Peer().start()
        left = [failures]
        monkeypatch.setenv("RELAY_CONFIG", str(tmp_path / "config.json"))
        (tmp_path / "config.json").write_text(json.dumps(config_doc(other.port, [])))
        read = Path.read_text

        def read_text(self: Path, *args: Any, **kwargs: Any) -> str:
            if left[0]:
                left[0] -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return read(self, *args, **kwargs)

        monkeypatch.setattr(Path, "read_text", read_text)
        Reload(parts, clock, Options(), budget_for(config)).begin()
        await list_call(other)
        assert left == [0] and parts.spare.release()
        await discovery.stop()
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
