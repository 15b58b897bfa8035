"""Schedules of the chain by seed, many at once; one that breaks a rule is made shorter as long as it still does.

    python -m lilacsill.mesh.simulation schedules [--count=N] [--first=SEED] [--jobs=N] [--keep=FOLDER]
        [--single|--overlaps]

Three kinds: days of faults close together (`fault_day`), with --single days of single faults (`store_day`), and with
--overlaps days of losses that overlap beyond what may be lost, with no more lost disks than may be.
Both are kept as files of JSON, and are read again by `kept`.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TypeVar

import msgspec

from .fault_day import FaultDay, Plan
from .fault_plans import overlap_plan_of, plan_of
from .store_day import ACTS, Day


class Schedule(msgspec.Struct, frozen=True, tag="single"):
    """One day of single troubles."""

    seed: int
    cores: int
    lost: int
    acts: tuple[int, ...] = tuple(range(ACTS))

    def play(self) -> str:
        """Empty, or what is broken."""
        return outcome(Day(self.seed, self.cores, self.lost, self.acts).play)


class FaultSchedule(msgspec.Struct, frozen=True, tag="troubles"):
    """One day of troubles close together."""

    plan: Plan

    @property
    def seed(self) -> int:
        """The seed of the plan."""
        return self.plan.seed

    def play(self) -> str:
        """Empty, or what is broken."""
        return outcome(FaultDay(self.plan).play)


Playable = Schedule | FaultSchedule
Played = TypeVar("Played", Schedule, FaultSchedule)
Part = TypeVar("Part")


def outcome(play: Callable[[], None]) -> str:
    """Empty, or what is broken."""
    try:
        play()
    except Exception as error:  # whatever stops a member is a broken invariant
        return f"{type(error).__name__}: {error}"
    return ""


def drawn(seed: int) -> Schedule:
    """One in four has five machines, of which two may be lost."""
    return Schedule(seed, 5, 2) if seed % 4 == 3 else Schedule(seed, 3, 1)


def drawn_faults(seed: int) -> FaultSchedule:
    """Return the day of faults of a seed."""
    return FaultSchedule(plan_of(seed))


def drawn_overlaps(seed: int) -> FaultSchedule:
    """Return the day of overlapping losses of a seed."""
    return FaultSchedule(overlap_plan_of(seed))


def decode_schedule(data: bytes) -> Playable:
    """A schedule from its file."""
    return msgspec.json.decode(data, type=Playable)


def shrunk(schedule: Playable) -> Playable:
    """The shortest of those found by leaving out parts, in ever smaller groups, that still breaks a rule."""
    if isinstance(schedule, Schedule):
        acts = _fewest(schedule.acts, lambda acts: bool(msgspec.structs.replace(schedule, acts=acts).play()))
        return msgspec.structs.replace(schedule, acts=acts)
    plan = schedule.plan

    def breaks(plan: Plan) -> bool:
        return bool(FaultSchedule(plan).play())

    if breaks(msgspec.structs.replace(plan, closing="")):
        plan = msgspec.structs.replace(plan, closing="")
    faults = _fewest(plan.faults, lambda some: breaks(msgspec.structs.replace(plan, faults=some)))
    plan = msgspec.structs.replace(plan, faults=faults)
    requests = _fewest(plan.requests, lambda some: breaks(msgspec.structs.replace(plan, requests=some)))
    return FaultSchedule(msgspec.structs.replace(plan, requests=requests))


def _fewest(parts: Sequence[Part], breaks: Callable[[tuple[Part, ...]], bool]) -> tuple[Part, ...]:
    left = tuple(parts)
    size = max(1, len(left) // 2)
    while size and left:
        at = 0
        while at < len(left):
            fewer = left[:at] + left[at + size :]
            if breaks(fewer):
                left = fewer
            else:
                at += size
        size //= 2
    return left


def broken(schedules: Iterable[Played], jobs: int) -> Iterator[tuple[Played, str]]:
    """Those that break a rule, and which."""
    played = list(schedules)
    with ProcessPoolExecutor(jobs) as pool:
        for schedule, wrong in zip(played, pool.map(_play, played, chunksize=4), strict=True):
            if wrong:
                yield schedule, wrong


def _play(schedule: Playable) -> str:
    return schedule.play()


def schedules(
    count: int = 200, first: int = 0, jobs: int = 0, keep: str = "", single: bool = False, overlaps: bool = False
) -> int:
    """Play so many, and print what is broken; files of the shortest go to the folder --keep. 1 if anything is."""
    wrong = 0
    jobs = jobs or os.cpu_count() or 1
    seeds = range(first, first + count)
    draw_faults = drawn_overlaps if overlaps else drawn_faults
    found: Iterator[tuple[Playable, str]] = (
        broken(map(drawn, seeds), jobs) if single else broken(map(draw_faults, seeds), jobs)
    )
    for schedule, reason in found:
        wrong += 1
        print(f"seed {schedule.seed}: {reason}", flush=True)
        if keep:
            short = shrunk(schedule)
            print(f"  shortest: {short.play()}", flush=True)
            Path(keep, f"{schedule.seed}.json").write_bytes(msgspec.json.format(msgspec.json.encode(short)))
    print(f"{count} schedules, {wrong} broken")
    return int(wrong > 0)
