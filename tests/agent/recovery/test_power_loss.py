"""Processes that are killed, and what the next ones under their names begin with."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from lilacsill.agent.recovery.state import SavedState, decode
from lilacsill.emulator.processes.pipe import ROOT
from lilacsill.emulator.processes.rig import Rig, call_admin, rig
from tests.agent.loopback import Message, Peer, config_doc, member
from tests.agent.peers.fleets import Worker, ask

HANG_S = 120
OPERATOR = '[recovery]\nfolder = "FOLDER"\nfleet = "test"\nevery_ms = 500\n'


class Discovery(Peer):
    """Tells one list to whoever asks for something older, and lets the others wait."""

    def __init__(self) -> None:
        super().__init__()
        self.listing: dict[str, Any] = {}

    async def start(self) -> Discovery:
        await super().start()
        self._task = asyncio.create_task(self._tell())
        return self

    async def _tell(self) -> None:
        while True:
            message: Message = await self.requests.get()
            if self.listing and f"index={self.listing['revision']}" not in message.first:
                await message.answer(body=json.dumps(self.listing).encode())

    async def stop(self) -> None:
        self._task.cancel()
        await super().stop()


@asynccontextmanager
async def power(agents: int, folder: Path) -> AsyncIterator[tuple[Rig, Discovery, list[Worker]]]:
    """Nobody runs yet. All agents share the folder `saved`."""
    discovery = await Discovery().start()
    backends = [await Worker(0.0).start() for _ in range(3)]
    (folder / "saved").mkdir()

    def config(number: int) -> dict[str, Any]:
        doc = config_doc(discovery.port, [member(f"s{i}", p.port) for i, p in enumerate(backends)])
        doc["name"] = f"n{number}"
        doc["settings"] |= {"siblings": agents, "me": number}
        return doc

    try:
        async with (
            asyncio.timeout(HANG_S),
            rig(agents, folder, config, OPERATOR.replace("FOLDER", str(folder / "saved"))) as r,
        ):
            yield r, discovery, backends
    finally:
        for p in (discovery, *backends):
            await p.stop()


async def told(r: Rig, number: int) -> dict[str, Any]:
    return await r.peers(number, "recovery")


def kept(folder: Path, number: int, generation: int = 0) -> SavedState | None:
    path = folder / "saved" / f"n{number}.state{f'.{generation}' if generation else ''}"
    try:
        return decode(path.read_bytes(), "test", f"n{number}")
    except FileNotFoundError:  # between two renames there is none of that name
        return None


async def saved(folder: Path, number: int, done: Callable[[SavedState], bool]) -> None:
    """Until that agent's newest generation is so."""
    while (state := kept(folder, number)) is None or not done(state):
        await asyncio.sleep(0)


def test_all_come_back_with_what_they_may_still_trust(tmp_path: Path) -> None:
    async def run() -> None:
        async with power(6, tmp_path) as (r, discovery, backends):
            ports = [p.port for p in backends]
            discovery.listing = {
                "revision": 60,
                "complete": True,
                "members": [
                    member("s0", ports[0]),
                    member("s1", ports[1], "DRAINING"),
                    member("new", ports[2], up=5),
                ],
            }
            await asyncio.gather(*(r.start(n) for n in range(6)))
            first = [await told(r, n) for n in range(6)]
            assert {t["phase"] for t in first} == {"waiting"} and not any(t["loaded"]["used"] for t in first)
            for n in range(6):
                await saved(tmp_path, n, lambda s: s.revision == 60)
            await asyncio.gather(*(ask(r.agents[n], 30) for n in range(6)))
            await call_admin(r.agents[0].admin_port, "/-/backends/new/disable", "POST")
            for n in range(6):  # a pace is written again once it rests on twice as many answers
                await saved(tmp_path, n, lambda s: s.latency_model.answers >= 15)
            await saved(tmp_path, 0, lambda s: s.disabled_backends == ["new"])
            discovery.listing = {}  # it is gone, too
            await asyncio.gather(*(r.kill(n) for n in range(6)))
            for path in tmp_path.glob("tmp*/*"):
                path.unlink()  # what is in memory does not outlive it
            await asyncio.gather(*(r.start(n) for n in range(6)))
            for n in range(6):
                t = await told(r, n)
                assert t["loaded"]["used"] and t["list"] == {"source": "saved", "revision": 60, "backends": 3}
                assert t["life"] > first[n]["life"] and t["pace"]["answers"] > 0
                assert t["out"] == (["new"] if n == 0 else [])
                assert await ask(r.agents[n], 20) == [200] * 20
            ready = await call_admin(r.agents[0].admin_port, "/-/ready")
            assert ready["out"] == ["new"]

    asyncio.run(run())


def test_a_torn_save_gives_way_to_the_generation_before_and_a_foreign_one_to_none(tmp_path: Path) -> None:
    async def run() -> None:
        async with power(2, tmp_path) as (r, discovery, _):
            await r.start(0)
            await ask(r.agents[0], 10)
            await saved(tmp_path, 0, lambda s: s.latency_model.answers >= 5)
            await ask(r.agents[0], 30)
            await saved(tmp_path, 0, lambda s: s.latency_model.answers >= 20)
            await r.kill(0)
            before = kept(tmp_path, 0, 1)
            assert before is not None
            newest = tmp_path / "saved" / "n0.state"
            newest.write_bytes(newest.read_bytes()[:-20])
            (tmp_path / "saved" / "n1.state").write_bytes((tmp_path / "saved" / "n0.state.1").read_bytes())
            await asyncio.gather(r.start(0), r.start(1))
            t = await told(r, 0)
            assert (t["loaded"]["generation"], t["pace"]["answers"]) == (1, before.latency_model.answers)
            assert "torn" in t["loaded"]["left_aside"][0]["why"]
            await r.agents[0].wait_for_line("generation 0 is skipped")
            t = await told(r, 1)
            assert not t["loaded"]["used"] and "of agent 'n0'" in t["loaded"]["left_aside"][0]["why"]
            door = f"127.0.0.1:{r.agents[0].admin_port}"
            out = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "lilacsill", "recovery", door],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            assert out.returncode == 0 and "started with generation 1" in out.stdout
            assert "generation 0 skipped" in out.stdout

    asyncio.run(run())


def test_a_folder_that_is_gone_is_one_line_and_the_agent_goes_on(tmp_path: Path) -> None:
    async def run() -> None:
        async with power(1, tmp_path) as (r, _, _b):
            (tmp_path / "saved").rmdir()
            await r.start(0)
            assert await ask(r.agents[0], 5) == [200] * 5
            await r.agents[0].wait_for_line("the state cannot be saved")
            assert await ask(r.agents[0], 5) == [200] * 5
            (tmp_path / "saved").mkdir()
            await r.agents[0].wait_for_line("the state is saved again")
            assert sum("cannot be saved" in line for line in r.agents[0].lines) == 1

    asyncio.run(run())


def test_the_door_says_that_nothing_is_kept_where_nothing_is(tmp_path: Path) -> None:
    async def run() -> None:
        async with asyncio.timeout(HANG_S):
            discovery = await Peer().start()
            try:
                async with rig(1, tmp_path, lambda n: config_doc(discovery.port, [])) as r:
                    await r.start(0)
                    with pytest.raises(OSError, match="names no folder"):
                        await told(r, 0)
            finally:
                await discovery.stop()

    asyncio.run(run())
