"""Two losses in a row in a small case: three members, orders under way, and a loss at every step to a stated depth.

    python -m lilacsill.mesh.simulation explore_losses [--depth=N] [--stride=N] [--jobs=N]

In the first round one member is lost before one step of the world (a message, a sync, a timer): its power, its disk,
its place (it leaves in order, or is replaced by an empty machine), its time (it is frozen), or its links. In the moment
in which no machine counts as lost any more, the second round strikes again, anywhere; or all lose power while the first
is still out. First rounds that end alike, but for names, numbers and the phase of timers, are merged: one of them
stands for all in the second round.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from .fault import Fault
from .fault_day import FaultDay, Plan
from .orders import Request
from .schedules import outcome

SEED, CORES = 7, 3
LOST_MS = 1200
FIRST_KINDS = (
    ("power", ""),
    ("wipe", ""),
    ("freeze", ""),
    ("roll_term", ""),
    ("replace", ""),
    ("replace_planned", ""),
    ("stall", ""),
    ("cut", ""),
    ("cut", "one_way in"),
    ("cut", "one_way out"),
)
SECOND_KINDS = (("power", ""), ("wipe", ""), ("freeze", ""), ("cut", ""), ("replace", ""))
PLACES = ("head", "middle", "tail")
ORDERS = ("shared", "lane", "rival")


class Loss(NamedTuple):
    """Before which step, and what."""

    step: int
    kind: str
    how: str
    position: str


class Play(NamedTuple):
    """One loss, or two."""

    first: Loss
    second: Loss | None = None


def _losses(kinds: tuple[tuple[str, str], ...], depth: int, stride: int) -> Iterator[Loss]:
    for step in range(1, depth + 1, stride):
        for kind, how in kinds:
            for position in PLACES:
                yield Loss(step, kind, how, position)


def first_rounds(depth: int, stride: int = 1) -> list[Play]:
    """Every first loss."""
    return [Play(loss) for loss in _losses(FIRST_KINDS, depth, stride)]


def second_rounds(first: Play, depth: int, stride: int = 1) -> list[Play]:
    """Every second loss after that first one, and the loss of all power at every step while it is out."""
    herds = [Loss(step, "herd", "power", "any") for step in range(1, depth + 1, stride)]
    return [Play(first.first, loss) for loss in (*_losses(SECOND_KINDS, depth, stride), *herds)]


def play(case: Play) -> tuple[str, str]:
    """What is broken, or empty; and how the first round ends."""
    day = FaultDay(Plan(SEED, CORES, 1))
    state: list[str] = []
    return outcome(partial(_play, day, case, state)), "".join(state)


def _play(day: FaultDay, case: Play, state: list[str]) -> None:
    day.begin()
    _round(day, case.first)
    together = case.second is not None and case.second.kind == "herd"
    if not together:
        day.all_back()
        state.append(state_of(day))
    if case.second is not None:
        _round(day, case.second)
    day.finish()


def _round(day: FaultDay, loss: Loss) -> None:
    """Orders are under way, and the loss strikes."""
    for number, what in enumerate(ORDERS):
        day.orders.do(Request(what, 0, number))
    fault = Fault(loss.kind, 0, LOST_MS, SEED, loss.position, loss.how)
    time = day.time
    struck = time.steps + loss.step
    time.at_step[struck] = partial(day.faults.begin, fault)
    while time.steps < struck:
        time.run(time.now + 100)


def state_of(day: FaultDay) -> str:
    """How the copies stand, by their places in the view."""
    stores = [s for a, s in day.fleet.stores.items() if day.net.machines[a].up]
    view = max((s.replica.view for s in stores), key=lambda v: v.number)
    members = {m: position for position, m in enumerate(view.members)}
    head = next((s.replica for s in stores if s.replica.me == view.members[0]), None)
    report = []
    for store in stores:
        replica = store.replica
        same = head is not None and replica.state.digests == head.state.digests
        on_disk = day.net.machines[replica.me.address].disk.facts.get("whole")
        accepted = replica.acceptor.state.accepted_view is not None
        report.append(
            f"{members.get(replica.me, -1)}{replica.complete:d}{same:d}{on_disk == b'1':d}"
            f"{replica.view == view:d}{replica.view_pending:d}{accepted:d}{replica.departure:d}"
        )
    return f"{len(view.members)}:" + " ".join(sorted(report))


def explore_losses(depth: int = 40, stride: int = 1, jobs: int = 2) -> int:
    """Print what was played, the states merged, and what is broken; 1 if anything is."""
    with ProcessPoolExecutor(jobs) as pool:
        firsts = first_rounds(depth, stride)
        states: dict[str, Play] = {}
        broken = 0
        for case, (wrong, state) in zip(firsts, pool.map(play, firsts, chunksize=8), strict=True):
            broken += _print(case, wrong)
            states.setdefault(f"{case.first.kind} {case.first.how} {state}", case)
        seconds = [second for case in states.values() for second in second_rounds(case, depth, stride)]
        for case, (wrong, _) in zip(seconds, pool.map(play, seconds, chunksize=8), strict=True):
            broken += _print(case, wrong)
    print(
        f"{len(firsts)} first losses to a depth of {depth} steps end in {len(states)} states; "
        f"{len(seconds)} second losses; {broken} broken"
    )
    return int(broken > 0)


def _print(case: Play, wrong: str) -> bool:
    if wrong:
        print(f"{case}: {wrong}", flush=True)
    return bool(wrong)
