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

from .network import MS, SECOND
from .store_day import CallRecord
from .store_fleet import Fleet, Operator, RuleBroken, put, route

POWER_LOSS_US, PARTITION_US, LENGTH_US = 400 * MS, 1200 * MS, 6 * SECOND
MEMBERS = 3
WAYS = ("both", "to", "from")


class Play(NamedTuple):
    """Where the faults are; step -1: that fault is left out."""

    crash_step: int
    crash: int  # which machine
    partition_step: int
    partition: int
    way: str


def plays(depth: int, stride: int = 1) -> Iterator[Play]:
    """All with both faults within so many steps, every `stride`-th step."""
    steps = range(1, depth + 1, stride)
    for crash_step in steps:
        for crash in range(MEMBERS):
            yield Play(crash_step, crash, -1, 0, "both")
            for partition_step in steps:
                # One machine may be lost at once: a crash elsewhere while one is cut off is beyond what is promised.
                for way in WAYS:
                    yield Play(crash_step, crash, partition_step, crash, way)
    for partition_step in steps:
        for partition in range(MEMBERS):
            for way in WAYS:
                yield Play(-1, 0, partition_step, partition, way)


def play(case: Play) -> str:
    """Return what is broken; empty: nothing."""
    fleet = Fleet(7)
    time, record = fleet.net.time, CallRecord()
    first, other = Operator(fleet, "a"), Operator(fleet, "b")
    done: list[int] = []
    record.sent["r", 1] = route("r", 1, "/r/")
    first.call(put([route("r", 1, "/r/")], first=True), done.append)
    while not done:
        time.run(time.now + MS)
    _plan_faults(fleet, case)
    acked: list[int] = []
    for operator, version in ((first, 2), (other, 3)):
        record.sent["r", version] = route("r", version, "/r/")
        operator.call(put([route("r", version, "/r/")]), partial(_taken, acked, version))
    time.run(time.now + LENGTH_US)
    if sorted(acked) != [2, 3]:
        return f"acknowledged: {acked}"
    return _judge(fleet, first, record)


def _plan_faults(fleet: Fleet, case: Play) -> None:
    """Let a crash and a partition strike at the steps of the case."""
    time, names = fleet.net.time, list(fleet.seeds)

    def crash() -> None:
        address = names[case.crash]
        fleet.net.machines[address].end(power=True)
        time.after(POWER_LOSS_US, fleet.start, address)

    def partition() -> None:
        one, rest = {names[case.partition]}, set(names) - {names[case.partition]}
        sides = (rest, one) if case.way == "to" else (one, rest)
        made = fleet.net.partition(*sides, one_way=case.way != "both")
        time.after(PARTITION_US, fleet.net.heal, made)

    def both() -> None:
        crash()
        partition()

    if case.crash_step >= 0:
        time.at_step[time.steps + case.crash_step] = crash
    if case.partition_step >= 0:
        time.at_step[time.steps + case.partition_step] = both if case.partition_step == case.crash_step else partition


def _judge(fleet: Fleet, operator: Operator, record: CallRecord) -> str:
    """Read at each machine, and compare the copies. Return what is broken; empty: nothing."""
    time = fleet.net.time
    found: list[str] = []

    def read(message: Message | None) -> None:
        if isinstance(message, Reply) and message.status == 200:
            try:
                record.judge(msgspec.json.decode(message.body), {"r": 3}, "read")
                found.append("")
            except RuleBroken as error:
                found.append(str(error))

    for address in fleet.seeds:
        operator.machine.ask(address, Read(0), SECOND, read)
    time.run(time.now + 2 * SECOND)
    states = {(s.replica.state.seq, s.replica.state.version("route", "r")) for s in fleet.stores.values()}
    if len(states) != 1:
        return f"copies differ: {states}"
    return next((wrong for wrong in found if wrong), "" if found else "nothing is read")


def _taken(acked: list[int], version: int, status: int) -> None:
    acked.append(version)


def explore(depth: int = 40, jobs: int = 2, stride: int = 1) -> int:
    """Print what was played and what is broken; 1 if anything is."""
    all_plays = list(plays(depth, stride))
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for case, wrong in zip(all_plays, pool.map(play, all_plays, chunksize=50), strict=True):
            if wrong:
                broken += 1
                print(f"{case}: {wrong}", flush=True)
    print(f"{len(all_plays)} plays to a depth of {depth} steps, {broken} broken")
    return int(broken > 0)
