"""Every place for a crash and a cut in a small case: three members, two calls at once, exhaustively to a stated depth.

    python -m lilacsill.mesh.simulation explore [--depth=N] [--jobs=N]

A step is one event of the world (a message, a sync, a timer) after the first configuration is acknowledged. In each
play one machine loses power before one step, and one machine is cut off (both ways, to it, or from it) before another.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Message, Read, Reply

from .network import MS, S
from .store_day import Ledger
from .store_fleet import Fleet, Operator, RuleBroken, put, route

DARK_US, CUT_US, LENGTH_US = 400 * MS, 1200 * MS, 6 * S
MEMBERS = 3
WAYS = ("both", "to", "from")


class Play(NamedTuple):
    """Where the faults are; step -1: that fault is left out."""

    crash_step: int
    crash: int  # which machine
    cut_step: int
    cut: int
    way: str


def plays(depth: int, stride: int = 1) -> Iterator[Play]:
    """All with both faults within so many steps, every `stride`-th step."""
    steps = range(1, depth + 1, stride)
    for crash_step in steps:
        for crash in range(MEMBERS):
            yield Play(crash_step, crash, -1, 0, "both")
            for cut_step in steps:
                # One machine may be lost at once: a crash elsewhere while one is cut off is beyond what is promised.
                for way in WAYS:
                    yield Play(crash_step, crash, cut_step, crash, way)
    for cut_step in steps:
        for cut in range(MEMBERS):
            for way in WAYS:
                yield Play(-1, 0, cut_step, cut, way)


def play(p: Play) -> str:
    """Empty, or what is broken."""
    fleet = Fleet(7)
    time, ledger = fleet.net.time, Ledger()
    first, other = Operator(fleet, "a"), Operator(fleet, "b")
    done: list[int] = []
    body = put([route("r", 1, "/r/")], first=True)
    ledger.sent["r", 1] = route("r", 1, "/r/")
    first.call(body, done.append)
    while not done:
        time.run(time.now + MS)
    names = list(fleet.seeds)

    def crash() -> None:
        address = names[p.crash]
        fleet.net.machines[address].end(power=True)
        time.after(DARK_US, fleet.start, address)

    def cut() -> None:
        one, rest = {names[p.cut]}, set(names) - {names[p.cut]}
        sides = (rest, one) if p.way == "to" else (one, rest)
        made = fleet.net.cut(*sides, one_way=p.way != "both")
        time.after(CUT_US, fleet.net.heal, made)

    def both() -> None:
        crash()
        cut()

    if p.crash_step >= 0:
        time.at_step[time.steps + p.crash_step] = crash
    if p.cut_step >= 0:
        time.at_step[time.steps + p.cut_step] = both if p.cut_step == p.crash_step else cut
    acked: list[int] = []
    for operator, version in ((first, 2), (other, 3)):
        ledger.sent["r", version] = route("r", version, "/r/")
        operator.call(put([route("r", version, "/r/")]), partial(_taken, acked, version))
    time.run(time.now + LENGTH_US)
    if sorted(acked) != [2, 3]:
        return f"acknowledged: {acked}"
    found: list[str] = []

    def read(m: Message | None) -> None:
        if isinstance(m, Reply) and m.status == 200:
            try:
                ledger.judge(msgspec.json.decode(m.body), {"r": 3}, "read")
                found.append("")
            except RuleBroken as e:
                found.append(str(e))

    for address in names:
        first.machine.ask(address, Read(0), S, read)
    time.run(time.now + 2 * S)
    states = {(s.replica.state.seq, s.replica.state.version("route", "r")) for s in fleet.stores.values()}
    if len(states) != 1:
        return f"copies differ: {states}"
    return next((f for f in found if f), "" if found else "nothing is read")


def _taken(acked: list[int], version: int, status: int) -> None:
    acked.append(version)


def explore(depth: int = 40, jobs: int = 2, stride: int = 1) -> int:
    """Print what was played and what is broken; 1 if anything is."""
    all_plays = list(plays(depth, stride))
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for p, wrong in zip(all_plays, pool.map(play, all_plays, chunksize=50), strict=True):
            if wrong:
                broken += 1
                print(f"{p}: {wrong}", flush=True)
    print(f"{len(all_plays)} plays to a depth of {depth} steps, {broken} broken")
    return int(broken > 0)
