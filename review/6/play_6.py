"""A change of configuration sets a high `Rank` while the backends are busy. See claim.txt."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from mesh2 import (
    CONFIG_S,
    HOST,
    OUTGOING,
    CannotRun,
    Deployment,
    Request,
    first_order,
    head,
    order,
    play,
    read_body,
    read_head,
    route,
)

HERE = Path(__file__).resolve().parent
CONNECTIONS = 24  # at each of two machines
PIPELINED = 3  # reads sent ahead on each connection
WORK_S = 0.16  # the mean of shelf-lookup
BEFORE_S, AFTER_S = 4.0, 2.9  # the change is acknowledged within milliseconds: all that follows is in its window
WINDOW_S = CONFIG_S + 1  # after the acknowledgement of the change
RANK = 10_000
MAX_CUT = 3  # "more than three times"


class Counts:
    """What became of the requests of one machine, before and after the change was sent."""

    def __init__(self) -> None:
        self.changed_at = float("inf")
        self.sent = [0, 0]
        self.answered: list[dict[int, int]] = [{}, {}]
        self.cut: list[tuple[float, str]] = []  # time and id


async def client(d: Deployment, ip: str, name: str, end: float, counts: Counts) -> None:
    """Send reads on a kept connection, a few ahead; after a close open the next one."""
    number = 0
    while time.monotonic() < end:
        reader, writer = await asyncio.open_connection(ip, OUTGOING)
        is_kept = False  # whether requests on it were answered before
        try:
            while time.monotonic() < end:
                names = [f"{name}-{number + i}" for i in range(PIPELINED)]
                number += PIPELINED
                phase = int(time.monotonic() >= counts.changed_at)
                counts.sent[phase] += PIPELINED
                due, pause = list(names), 0.0
                d.record(f"sent at {ip}: {' '.join(names)}")
                writer.write(b"".join(head("GET", "/b/x", each, 2000) for each in names))
                for each in names:
                    first, fields = await read_head(reader)
                    await read_body(reader, fields)
                    status = int(first.split(" ")[1])
                    counts.answered[phase][status] = counts.answered[phase].get(status, 0) + 1
                    d.record(f"answered {each}: {status}")
                    due.remove(each)
                    pause = max(pause, float(fields.get("retry-after", "0")))
                is_kept = True
                await asyncio.sleep(pause)
                if fields.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, OSError) as error:
            if is_kept:
                counts.cut += [(time.monotonic(), each) for each in due]
            d.record(f"client at {ip}: {type(error).__name__}, no answer to {' '.join(due)}")
        finally:
            writer.close()


async def main(trouble: bool) -> bool:
    """Play the case, and return whether each request that was passed on has got an answer."""
    d = Deployment(HERE, 3, {"stock-desk": 2})

    async def work(_request: Request) -> bytes:
        await asyncio.sleep(WORK_S)
        return b"x" * 5000

    try:
        rule = route("r-b", 1, "/b/", "stock-desk", "read_only", TimeoutMs=2000)
        await d.start(first_order(1, ["stock-desk"], [rule]))
        for backend in d.backends.values():
            backend.work = work
        counts, end = Counts(), time.monotonic() + BEFORE_S + AFTER_S
        machines = d.programs.sidecars
        clients = [
            asyncio.create_task(client(d, ip, f"{ip}-{i}", end, counts)) for ip in machines for i in range(CONNECTIONS)
        ]
        await asyncio.sleep(BEFORE_S)
        counts.changed_at = time.monotonic()
        if trouble:
            changed = {**rule, "ConfigVersion": "r2", "Rank": RANK}
            body = {"ReplaceItems": {"Listeners": [{"Host": HOST, "Policy": [changed]}]}, "RemoveItems": {}}
            if await order(d.record, d.programs, body) != 200:
                raise CannotRun("the change was not acknowledged")
        counted_until = time.monotonic() + WINDOW_S
        await asyncio.gather(*clients)
        await asyncio.sleep(0.5)
        ran = {attempt_id for backend in d.backends.values() for _, attempt_id in backend.ran}
        passed_on = [(at, each) for at, each in counts.cut if each in ran]
        cut = [each for at, each in passed_on if counts.changed_at <= at <= counted_until]
        others = len(passed_on) - len(cut)
        d.record(f"sent {counts.sent}, answered {counts.answered}; cut in the window: {cut}; at other times: {others}")
        for ip in machines:
            for line in d.programs.log_text("proxy", ip).splitlines():
                if "Error" in line:
                    d.record(f"log of the proxy at {ip}: {line}")
        held = len(cut) <= MAX_CUT
        print(
            f"LOST {'held' if held else 'broken'}: {len(cut)} requests that a backend had run got no answer until"
            f" {WINDOW_S:g} s after the change was acknowledged, {others} at other times;"
            f" answers before and after the change by status: {counts.answered}"
        )
        return held
    finally:
        await d.close()


play(main)
