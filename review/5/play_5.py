"""Two core machines without power one after the other, and the disk of the third lost. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from mesh2 import CONTROL, HOST, TOUCH_S, CannotRun, Deployment, call, first_order, order, play, route

HERE = Path(__file__).resolve().parent
POWER_S = 3.5  # `node_kill` on core of the site: for_s = 3.5
WIPE_S = 3.0  # `after_ack_wipe` of the site: for_s = 3.0
SECOND_S = 1.5  # from the first loss of power to the second one, or when an order in between is acknowledged
# The third machine is lost once its metrics say that it is the only one in the chain, which lasts for about half a
# second; at the latest this long after the return of the first machine.
LAST_S = 2.0
METRICS_PORT = 9466  # `metrics` of the store in the deploy file
RECOVER_S = 15.0


def change(version: int) -> dict[str, object]:
    """Return an order that sets one route."""
    rule = route("r-a", version, "/a/", "stock-desk", "read_only", TimeoutMs=1000 + version)
    return {"ReplaceItems": {"Listeners": [{"Host": HOST, "Policy": [rule]}]}, "RemoveItems": {"Routing": []}}


def version_in(answer: bytes) -> str:
    """Return the version of the route in what was read back."""
    rules = [rule for listener in json.loads(answer)["Listeners"] for rule in listener["Policy"]]
    return next((rule["ConfigVersion"] for rule in rules if rule["Name"] == "r-a"), "missing")


async def members_of_chain(core: str) -> str:
    """Return how many machines the store of a core machine has in its chain, as its metrics say; empty if unknown."""
    _, text = await call(f"{core}:{METRICS_PORT}", "GET", "/metrics", None)
    values = (line.split() for line in text.decode().splitlines())
    return next((words[1] for words in values if words[:1] == ["lilacsill_view_members"]), "")


async def main(trouble: bool) -> bool:
    """Play the case, and return whether the acknowledged version is read back."""
    d = Deployment(HERE, 3, {"stock-desk": 1})
    record, programs = d.record, d.programs
    try:
        await d.start(first_order(1, ["stock-desk"], [route("r-a", 1, "/a/", "stock-desk", "read_only")]))
        a, b, c = programs.cores
        if await order(record, programs, change(2)) != 200:
            raise CannotRun("an order in calm times was not acknowledged")
        started = time.monotonic()

        async def at(seconds: float) -> None:
            await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))

        if trouble:
            programs.kill_core(a)
        await at(1.0)
        if await order(record, programs, change(3), patience=1.5) != 200:
            raise CannotRun("the order after the first loss was not acknowledged")
        await at(SECOND_S)
        second = time.monotonic() - started
        if trouble:
            programs.kill_core(b)
        record(f"machines in the chain of {c}: {await members_of_chain(c)}")  # the first fetch takes longest
        await at(POWER_S)
        if trouble:
            programs.start_core(a)
            while await members_of_chain(c) not in ("1", "1.0"):
                if time.monotonic() > started + POWER_S + LAST_S:
                    break
                await asyncio.sleep(0.03)
            record(f"machines in the chain of {c}: {await members_of_chain(c)}")
            wiped_at = time.monotonic() - started
            programs.kill_core(c)
            await at(second + POWER_S)
            programs.start_core(b)
            await at(wiped_at + WIPE_S)
            programs.start_core(c, wipe=True)
        record("all machines are back; acknowledged: r3")
        end = time.monotonic() + RECOVER_S + 2 * TOUCH_S
        seen: list[str] = []
        while time.monotonic() < end:
            for core in programs.cores:
                status, answer = await call(f"{core}:{CONTROL}", "GET", "/api/config", None)
                text = version_in(answer) if status == 200 else str(status)
                record(f"read back at {core}: {text}")
                if status == 200:
                    seen.append(text)
            if len(seen) >= 9:
                break
            await asyncio.sleep(0.5)
        newest = seen[-1] if seen else "nothing"
        held = newest == "r3"
        print(f"CONFIG {'held' if held else 'broken'}: acknowledged r3, read back at the end: {newest}")
        return held
    finally:
        await d.close()


play(main)
