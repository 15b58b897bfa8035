"""A core machine without power, another one stopped in order, and the disk of the third lost. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from mesh2 import CONTROL, HOST, TOUCH_S, CannotRun, Deployment, call, first_order, order, play, route

HERE = Path(__file__).resolve().parent
POWER_S = 3.5  # `node_kill` of the site: for_s = 3.5
WIPE_S = 3.0  # `after_ack_wipe` of the site: for_s = 3.0
RESTART_S = 1.0  # the short delay after which a process that has ended is started again
RECOVER_S = 15.0


def change(version: int) -> dict[str, object]:
    """Return an order that sets one route."""
    rule = route("r-a", version, "/a/", "stock-desk", "read_only", TimeoutMs=1000 + version)
    return {"ReplaceItems": {"Listeners": [{"Host": HOST, "Policy": [rule]}]}, "RemoveItems": {"Routing": []}}


def version_in(answer: bytes) -> str:
    """Return the version of the route in what was read back."""
    rules = [rule for listener in json.loads(answer)["Listeners"] for rule in listener["Policy"]]
    return next((rule["ConfigVersion"] for rule in rules if rule["Name"] == "r-a"), "missing")


async def main(trouble: bool) -> bool:
    """Play the case, and return whether the acknowledged version is read back."""
    d = Deployment(HERE, 3, {"stock-desk": 1})
    record, programs = d.record, d.programs
    try:
        await d.start(first_order(1, ["stock-desk"], [route("r-a", 1, "/a/", "stock-desk", "read_only")]))
        a, b, c = programs.cores
        for version in (2, 3):
            if await order(record, programs, change(version)) != 200:
                raise CannotRun("an order in calm times was not acknowledged")
        started = time.monotonic()

        async def restart_after_end() -> None:
            for role in ("store", "registry"):
                while programs.processes[role, a].poll() is None:
                    await asyncio.sleep(0.02)
                record(f"ended {role} {a}")
            await asyncio.sleep(RESTART_S)
            programs.start_core(a)

        async def power_back(ip: str, seconds: float, wipe: bool) -> None:
            await asyncio.sleep(seconds)
            programs.start_core(ip, wipe)

        back = []
        if trouble:
            programs.kill_core(c)
            back.append(asyncio.create_task(power_back(c, POWER_S, False)))
            for role in ("store", "registry"):
                programs.signal(role, a, signal.SIGTERM)
            back.append(asyncio.create_task(restart_after_end()))
        acknowledged, version = 3, 10
        while time.monotonic() - started < POWER_S - 0.3:
            status, _ = await call(f"{b}:{CONTROL}", "PATCH", "/api/config", change(version))
            record(f"order r{version} to {b}: {status}")
            if status == 200:
                acknowledged = version
                break
            await asyncio.sleep(0.05)
        if trouble:
            programs.kill_core(b)
            back.append(asyncio.create_task(power_back(b, WIPE_S, True)))
        await asyncio.gather(*back)
        record(f"all machines are back; acknowledged: r{acknowledged}")
        end = time.monotonic() + RECOVER_S + 2 * TOUCH_S
        seen: list[str] = []
        while time.monotonic() < end:
            for core in programs.cores:
                status, answer = await call(f"{core}:{CONTROL}", "GET", "/api/config", None)
                text = version_in(answer) if status == 200 else str(status)
                record(f"read back at {core}: {text}")
                if status == 200:
                    seen.append(text)
            if not trouble and seen:
                break
            await asyncio.sleep(0.5)
        newest = seen[-1] if seen else "nothing"
        # A later order that got no clear answer may be in force, or may not.
        held = newest.startswith("r") and int(newest[1:]) >= acknowledged
        print(f"CONFIG {'held' if held else 'broken'}: acknowledged r{acknowledged}, read back at the end: {newest}")
        return held
    finally:
        await d.close()


play(main)
