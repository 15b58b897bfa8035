"""Days of troubles close together keep the rules, two losses in a row do, and both find planted defects."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from random import Random

import pytest

from lilacsill.mesh.simulation.explore_losses import FIRST_KINDS, Play, first_rounds, play, second_rounds
from lilacsill.mesh.simulation.losses import Losses
from lilacsill.mesh.simulation.schedules import drawn_faults, decode_schedule
from lilacsill.mesh.simulation.fault_day import Plan, FaultDay
from lilacsill.mesh.simulation.fault import Fault
from lilacsill.mesh.simulation.network import MS, Disk, Time
from lilacsill.mesh.store.environment import Save

from ..mesh.defects import DEFECTS

SCHEDULES = 3000
AT_ONCE = 25  # schedules a test; the sweep spreads its tests over the cores
SAMPLE = 10  # schedules that are played outside the sweep, too
HUNTED = range(200)  # of the seeds that keep the rules: those in which a planted defect must show
DEPTH, STRIDE = 60, 9  # `python -m lilacsill.mesh.simulation explore_losses --depth=60` plays every step
KEPT = sorted((Path(__file__).parent / "schedules").glob("*.json"))
SECOND = 1_000_000

Plant = Callable[[pytest.MonkeyPatch], None]


def broken(seeds: Iterable[int]) -> list[str]:
    """What the days of these seeds break, in this process."""
    return [f"seed {seed}: {wrong}" for seed in seeds if (wrong := drawn_faults(seed).play())]


def test_some_days_of_troubles_keep_the_rules() -> None:
    assert broken(range(SCHEDULES, SCHEDULES + SAMPLE)) == []


@pytest.mark.sweep
@pytest.mark.parametrize("first", range(0, SCHEDULES, AT_ONCE))
def test_troubles_close_together_keep_the_rules(first: int) -> None:
    assert broken(range(first, first + AT_ONCE)) == []


@pytest.mark.parametrize("file", KEPT, ids=lambda f: f.stem)
def test_a_schedule_that_broke_a_rule_once_does_not_again(file: Path) -> None:
    assert decode_schedule(file.read_bytes()).play() == ""


@pytest.mark.sweep
@pytest.mark.parametrize("kind", FIRST_KINDS, ids=" ".join)
def test_two_losses_in_a_row_keep_the_rules(kind: tuple[str, str]) -> None:
    states: dict[str, Play] = {}
    for p in first_rounds(DEPTH, STRIDE):
        if (p.first.kind, p.first.how) == kind:
            wrong, state = play(p)
            assert wrong == "", p
            states.setdefault(state, p)
    for p in (second for first in states.values() for second in second_rounds(first, DEPTH, STRIDE)):
        assert play(p)[0] == "", p


# Planted defects: some schedule must find each.


@pytest.mark.sweep
@pytest.mark.parametrize("plant", DEFECTS, ids=lambda p: p.__name__)
def test_a_planted_defect_is_found(plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    found = any(drawn_faults(seed).play() for seed in HUNTED)
    assert found, f"{plant.__name__} is not found in {len(HUNTED)} schedules"


# What the models themselves must do


def losses(machines: int, zones: int = 0) -> tuple[Losses, list[int]]:
    clock = [0]
    made = Losses(lambda: clock[0], machines, zones, 4 * SECOND)
    for number, address in enumerate("abcde"):
        made.position(address, number % 3)
    return made, clock


def test_a_machine_counts_as_lost_until_it_has_caught_up() -> None:
    made, clock = losses(1)
    made.lose(["a"])
    assert made.allow(["a"]) and not made.allow(["b"])
    clock[0] = SECOND
    made.back("a")
    assert made.free_at() == 5 * SECOND
    clock[0] = 5 * SECOND - 1
    assert not made.allow(["b"])
    clock[0] = 5 * SECOND
    assert made.allow(["b"])


def test_a_machine_in_two_troubles_is_back_after_the_second() -> None:
    made, clock = losses(1)
    made.lose(["a"])
    made.lose(["a"])
    made.back("a")
    clock[0] = 9 * SECOND
    assert made.lost() == {"a"}


def test_a_zone_may_be_lost_whole_and_no_machine_beside_it() -> None:
    made, _ = losses(0, 1)
    made.lose(["a", "d"])
    assert made.allow(["a", "d"]) and not made.allow(["b"])


def test_a_replaced_machine_counts_until_its_successor_has_caught_up() -> None:
    made, clock = losses(1)
    made.lose(["a"])
    made.replaced("a", "new")
    assert made.lost() == {"a", "new"}
    clock[0] = 4 * SECOND
    assert made.allow(["b"])


@pytest.mark.parametrize("how", ["", "refused", "reset", "one_way in", "one_way out", "turns"])
def test_a_cut_ends_and_what_was_cut_off_catches_up(how: str) -> None:
    day = FaultDay(Plan(3, 3, 1))
    day.begin()
    day.faults.begin(Fault("cut", 0, 2000, 1, "head", how))
    assert day.losses.lost() and day.net.partitions
    day.time.run(day.time.now + 3 * SECOND)
    assert not day.net.partitions and not day.net.refusing and not day.world.reach
    day.finish()


@pytest.mark.parametrize("kind", ["replace", "replace_planned"])
def test_a_replaced_machine_is_gone_and_its_successor_is_a_member(kind: str) -> None:
    day = FaultDay(Plan(4, 3, 1))
    day.begin()
    day.faults.begin(Fault(kind, 0, 1000, 1, "tail"))
    day.time.run(day.time.now + 12 * SECOND)
    day.finish()
    stores = day.fleet.stores
    gone = [seed for seed in day.fleet.seeds if seed not in stores]
    assert len(gone) == 1 and "10.0.1.1:1" in stores
    members = {m.address for m in stores["10.0.1.1:1"].replica.view.members}
    assert members == set(stores)


# Guards against a day whose disk stayed slow for seconds after the fault, while the machine no longer counted as lost.
def test_a_disk_completes_what_waits_as_usual_once_it_is_no_longer_slow() -> None:
    time = Time()
    disk, synced = Disk(time, Random(1), 1 * MS), list[int]()
    disk.slow_down(1500)
    for number in range(4):
        disk.save(Save(facts={"n": b"%d" % number}), partial(synced.append, number))
    time.run(2 * SECOND)
    assert synced == []
    disk.speed_up(1500)
    time.run(2 * SECOND + 4 * 2 * MS)
    assert synced == [0, 1, 2, 3] and disk.facts == {"n": b"3"}
    time.run(20 * SECOND)
    assert synced == [0, 1, 2, 3]


def test_a_plan_plays_alike_again() -> None:
    plan = drawn_faults(11).plan
    days = FaultDay(plan), FaultDay(plan)
    for day in days:
        day.begin()
        day.time.run(day.time.now + 5 * SECOND)
    assert days[0].world.history.events == days[1].world.history.events
