"""Scenes in virtual time with a large state and many changes.

A member is down for all of the changes, is repaired while faults occur, or returns with an old disk. Each scene raises
RuleBroken where a rule is broken.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.messages import Item, Read, Reply, View
from lilacsill.mesh.runtime.messages import Patch as PatchCall
from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import RuleBroken, put, route
from lilacsill.mesh.store import successor
from lilacsill.mesh.store import state as states

from .long_days_scene import Scene, Sent

ROUTES, CHANGES, AT_ONCE = 2000, 1000, 40
NARROW_BYTES_PER_S = 250_000  # 2 Mbit/s
MAX_MESSAGE_BYTES = 70_000  # in one message on a narrow link: heartbeats wait behind it
Patch = pytest.MonkeyPatch


# A member that was down for all of the changes


def returns_after_changes(narrow: bool, position: int, changes: int = CHANGES) -> Scene:
    """Return a scene in which a member was down for so many changes and is back with its disk."""
    scene = Scene(ROUTES)
    address = scene.at(position)
    scene.net.machines[address].end(power=True)
    scene.run(1500 * MS)
    for _ in range(changes // AT_ONCE):
        scene.change(AT_ONCE)
        scene.run(80 * MS)
    scene.run(1 * SECOND)
    if narrow:
        scene.net.bandwidth[address] = NARROW_BYTES_PER_S
    scene.fleet.start(address)
    return scene


def catches_up(narrow: bool, position: int) -> None:
    scene = returns_after_changes(narrow, position)
    address = scene.at(position)
    sent = Sent(scene, address)
    scene.watch_leaders(scene.time.now + 6 * SECOND)
    scene.changes(150 * MS, 30)
    within = 8 * SECOND if narrow else 2 * SECOND
    scene.until_whole(address, within)
    scene.settle(6 * SECOND)
    size = scene.fleet.stores[address].replica.state.size
    if narrow and sent.largest > MAX_MESSAGE_BYTES:
        raise RuleBroken(f"a message of {sent.largest} bytes is sent over a narrow link")
    if sent.total > 1.5 * size:
        raise RuleBroken(f"{sent.total} bytes for a state of {size}")


def one_large_call_on_a_narrow_link() -> None:
    """All routes change at once, and the tail has a narrow link: heartbeats pass, and nobody is suspended.

    The call is sent to the head, since on the link of the tail it would itself delay the heartbeats.
    """
    scene = Scene(600)
    tail = scene.at(2)
    scene.net.bandwidth[tail] = NARROW_BYTES_PER_S
    sent = Sent(scene, tail)
    call, statuses = patch_of(scene, 600), list[int]()

    def ask() -> None:
        scene.operator.machine.ask(scene.at(0), call, SECOND, answered)

    def answered(m: Any) -> None:
        if isinstance(m, Reply) and m.status == 200:
            return statuses.append(m.status)
        scene.time.after(200 * MS, ask)

    ask()
    scene.run(4 * SECOND)
    if {s.replica.view.number for s in scene.fleet.stores.values()} != {scene.view.number}:
        raise RuleBroken("a member is suspended because of a large call")
    if statuses != [200] or sent.largest > MAX_MESSAGE_BYTES:
        raise RuleBroken(f"answers: {statuses}, largest message {sent.largest}")
    scene.settle()


# Faults during a repair


def inject_fault(scene: Scene, address: str, kind: str) -> None:
    machine = scene.net.machines[address]
    if kind == "kill":
        machine.end(power=False)
        scene.time.after(100 * MS, scene.fleet.start, address)
    elif kind == "torn":
        scene.restart(address)
    elif kind == "full":  # commits fail: nothing is reported until there is room
        machine.disk.stall(2 * SECOND)
    elif kind == "slow":
        machine.disk.sync_us = 120 * MS
        scene.time.after(3 * SECOND, setattr, machine.disk, "sync_us", 2 * MS)
    elif kind == "cut":
        partition = scene.net.partition({address}, set(scene.fleet.stores) - {address})
        scene.time.after(1500 * MS, scene.net.heal, partition)


def repair_meets_fault(kind: str, seed: int = 4) -> None:
    """A member with an empty disk is repaired over a narrow link, and halfway a fault occurs; changes go on."""
    scene = Scene(1000, seed)
    address = scene.at(seed % 3)
    machine = scene.net.machines[address]
    machine.end(power=True)
    machine.disk.wiped()
    scene.run(1500 * MS)
    scene.net.bandwidth[address] = NARROW_BYTES_PER_S
    scene.fleet.start(address)
    sent = Sent(scene, address)
    scene.watch_leaders(scene.time.now + 12 * SECOND)
    scene.changes(400 * MS, 20)
    while len(scene.fleet.stores[address].replica.state.items) < 500:
        scene.run(5 * MS)
    inject_fault(scene, address, kind)
    scene.run(300 * MS)
    scene.until_whole(address, 9 * SECOND)
    scene.settle(9 * SECOND)
    size = scene.fleet.stores[address].replica.state.size
    if (
        kind in ("kill", "torn") and sent.total > 1.1 * size
    ):  # the size of a state counts more than its items take in messages
        raise RuleBroken(f"a repair that was interrupted halfway took {sent.total} bytes for a state of {size}")


# A disk that loses any suffix of what it had not synced


def power_loss_drops_last_saves(step: int, kept: int, position: int = 2) -> None:
    """A member is repaired while changes go on, and loses power after `step` saves.

    Of the saves that were not synced the first `kept` are on its disk. Then its predecessor fails, too.
    """
    scene = Scene(60, seed=step)
    address = scene.at(position)
    machine = scene.net.machines[address]
    machine.disk.sync_us = 12 * MS  # slow: saves queue up
    machine.end(power=True)
    scene.run(1 * SECOND)
    for _ in range(4):
        scene.change(20)
        scene.run(60 * MS)
    scene.fleet.start(address)
    scene.watch_leaders(scene.time.now + 5 * SECOND)
    scene.changes(30 * MS, 40)
    saves = 0
    real = machine.disk.save

    def save(asked: Any, done: Callable[[], None]) -> None:
        nonlocal saves
        saves += 1
        real(asked, done)
        if saves == step:
            scene.time.after(0, scene.restart, address, kept)

    machine.disk.save = save  # type: ignore[assignment, method-assign]
    scene.run(3 * SECOND)
    check_reads(scene)
    scene.settle()


def check_reads(scene: Scene) -> None:
    """Check that a read shows everything that was acknowledged before it."""
    acked, found = dict(scene.acked), list[Reply]()
    for address in scene.fleet.up():
        if address in scene.fleet.stores:
            scene.operator.machine.ask(
                address, Read(0), SECOND, lambda m: found.append(m) if isinstance(m, Reply) else None
            )
    scene.run(1 * SECOND)
    good = [r for r in found if r.status == 200]
    if not good:
        raise RuleBroken("nothing is read")
    for reply in good:
        layout = msgspec.json.decode(reply.body)
        known = {r["Name"]: int(r["ConfigVersion"][1:]) for x in layout["Listeners"] for r in x["Policy"]}
        old = [n for n, v in acked.items() if known.get(n, -1) < v]
        if old:
            raise RuleBroken(f"a read lacks {old[:5]}")


def power_losses_drop_last_saves(patch: Patch) -> None:
    patch.setattr(successor, "REPAIR_CHUNK_BYTES", 2000)
    for step in range(1, 46, 4):
        for kept in range(3):
            power_loss_drops_last_saves(step, kept)


def newer_view_older_data(saves: list[int], kept: int) -> None:
    """The head is partitioned with calls on its disk that were never acknowledged, and returns in a later view.

    Its power fails after each number of saves in `saves`, one in each incarnation of its process; of the saves that
    are pending then the first `kept` are on its disk.
    """
    scene = Scene(30)
    head, others = scene.at(0), {scene.at(1), scene.at(2)}
    partition = scene.net.partition({head}, others)
    state = scene.fleet.stores[head].replica.state
    rules = [route(f"never{i}", 9, f"/never{i}/") for i in range(3)]
    nevers = [
        Item("route", r["Name"], 9, state.seq + 1 + i, msgspec.json.encode({"Host": "h.example", "Rule": r}))
        for i, r in enumerate(rules)
    ]
    scene.fleet.stores[head].chain.replicate(nevers, nevers[-1].seq, lambda ok: None)
    scene.run(2 * SECOND)
    for _ in range(5):
        scene.change(2)
        scene.run(200 * MS)
    scene.net.machines[head].end(power=False)
    scene.net.heal(partition)
    scene.fleet.start(head)
    disk = scene.net.machines[head].disk
    real, left = disk.save, list(saves)

    def strike() -> None:
        scene.restart(head, kept, 5 * MS)
        later = msgspec.msgpack.decode(disk.facts["view"], type=View).number > scene.view.number
        if later and disk.facts["whole"] == b"1" and any(("route", r["Name"]) in disk.items for r in rules):
            raise RuleBroken("a disk says that its copy is complete, and holds changes that were never acknowledged")

    def save(asked: Any, done: Callable[[], None]) -> None:
        def saved() -> None:
            done()
            if left:
                left[0] -= 1
                if not left[0]:
                    left.pop(0)
                    scene.time.after(MS, strike)

        real(asked, saved)

    disk.save = save  # type: ignore[assignment, method-assign]
    scene.changes(60 * MS, 25)
    for _ in range(500):
        scene.run(5 * MS)
        for address in (a for a in scene.fleet.up() if a in scene.fleet.stores and scene.is_synced(a)):
            state = scene.fleet.stores[address].replica.state
            if any(("route", r["Name"]) in state.items for r in rules) or scene.missing(state):
                raise RuleBroken(f"{address} holds what nobody acknowledged, or lacks what was")
    scene.settle()


def newer_views_older_data(patch: Patch) -> None:
    """At each of the saves of views and of the chunks that follow."""
    patch.setattr(successor, "REPAIR_CHUNK_BYTES", 300)
    for first in range(1, 4):
        for second in range(1, 8):
            newer_view_older_data([first, second], second % 2)


# Old state never leads


def old_disk_is_back(position: int, early_call: bool) -> None:
    """A member comes back within the same view with a disk as it was some acknowledged calls ago."""
    scene = Scene(20)
    address = scene.at(position)
    machine = scene.net.machines[address]
    items, facts = dict(machine.disk.items), dict(machine.disk.facts)
    for _ in range(5):
        scene.change(1)
        scene.run(100 * MS)
    machine.end(power=False)
    machine.disk.items, machine.disk.facts = items, facts
    scene.watch_leaders(scene.time.now + 8 * SECOND)
    scene.run(20 * MS)
    scene.fleet.start(address)
    if early_call:  # before any other member was heard: it would take the numbers of what it has lost
        machine.disk.sync_us = MS // 5
        store = scene.fleet.stores[address]
        store.handlers[PatchCall](patch_of(scene, 9), lambda m: None)
    scene.run(3 * SECOND)
    check_reads(scene)
    scene.settle()


def patch_of(scene: Scene, count: int) -> PatchCall:
    scene.version += 1
    rules = [route(n, scene.version, f"/{n}/") for n in scene.names[:count]]
    return PatchCall(msgspec.json.encode(put(rules)), 0)


def view_changes_while_the_head_saves() -> None:
    """What the head saves while the view changes is replicated all the same.

    Otherwise the call could not be accepted when it is retried. One member is down, so that no further view helps.
    """
    scene = Scene(5)
    scene.net.machines[scene.at(2)].end(power=True)
    scene.run(3 * SECOND)
    head = scene.fleet.stores[scene.at(0)]
    scene.net.machines[scene.at(0)].disk.sync_us = 100 * MS
    scene.change(1)
    scene.run(20 * MS)
    while not head.chain.pending_saves:
        scene.run(MS)
    later = View(head.replica.view.number + 1, scene.view.members[:2])
    for position in (0, 1):
        scene.fleet.stores[scene.at(position)].replica.adopt(later)
    scene.run(2500 * MS)
    if not scene.acks:
        raise RuleBroken("the call is not acknowledged")
    if scene.fleet.stores[scene.at(1)].replica.state.seq < head.replica.state.seq:
        raise RuleBroken("the successor never gets a call")


# Tombstones


def tombstones_are_bounded(monkeypatch: Patch) -> None:
    """Many routes are dropped; all copies collect the same old tombstones, also a restarted and a repaired one."""
    monkeypatch.setattr(states, "MAX_TOMBSTONES", 40)
    monkeypatch.setattr(states, "TOMBSTONE_BATCH_SIZE", 8)
    scene = Scene(30)
    statuses: list[int] = []
    away = scene.at(2)
    for number in range(12):
        names = [f"d{number}-{i}" for i in range(10)]
        scene.operator.call(put([route(n, 5, f"/{n}/") for n in names]), statuses.append)
        scene.run(300 * MS)
        scene.operator.call(put([], [(n, 6) for n in names]), statuses.append)
        scene.run(300 * MS)
        if number == 4:
            scene.net.machines[away].end(power=True)
            scene.run(1 * SECOND)
        if number == 8:
            scene.fleet.start(away)
    assert statuses == [200] * 24
    scene.restart(scene.at(1), dark_us=50 * MS)
    scene.settle()
    replicas = [s.replica for s in scene.fleet.stores.values()]
    if any(r.state.tombstones > 48 or r.state.tombstones < 40 for r in replicas):
        raise RuleBroken(f"tombstones: {[r.state.tombstones for r in replicas]}")
    if len({r.state.tombstone_floor for r in replicas}) != 1:
        raise RuleBroken("floors differ")
    for address, store in scene.fleet.stores.items():
        disk = scene.net.machines[address].disk
        if sum(i.body is None for i in disk.items.values()) != store.replica.state.tombstones:
            raise RuleBroken(f"{address}: the disk keeps what was collected")
    # An older change of a dropped item is retried: it is accepted and changes nothing.
    scene.operator.call(put([route("d11-3", 5, "/d11-3/")]), statuses.append)
    scene.run(1 * SECOND)
    assert statuses[-1] == 200
    if any(r.state.items["route", "d11-3"].body is not None for r in replicas):
        raise RuleBroken("a dropped route is back")
