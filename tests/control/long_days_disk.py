"""Scenes with a real file: a disk that is full or fails, renames that a power loss undoes."""

from __future__ import annotations

import os
import shutil
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.store_fleet import RuleBroken
from lilacsill.mesh.store import disk as disks
from lilacsill.mesh.store.digests import RANGE_COUNT
from lilacsill.mesh.store.disk import FILE_NAME, MAX_LOG_BYTES, Disk
from lilacsill.mesh.store.environment import Save
from lilacsill.net import reactor as watchers

Patch = pytest.MonkeyPatch
LATE_US = 15_000_000
BODY = b"x" * 250


@contextmanager
def loop() -> Iterator[Reactor]:
    reactor = Reactor()
    try:
        yield reactor
    finally:
        reactor.close()
        watchers.install(None)


def items(first: int, count: int) -> list[Item]:
    return [Item("route", f"r{i}", i, i, BODY) for i in range(first, first + count)]


def save_all(reactor: Reactor, disk: Disk, saves: list[Save], meanwhile: Callable[[], None] = lambda: None) -> None:
    """Save, and run the loop until all saves are on disk."""
    done: list[int] = []
    late: list[bool] = []
    reactor.after(LATE_US, late.append, True)
    for number, save in enumerate(saves):
        disk.save(save, lambda number=number: done.append(number))  # type: ignore[misc]
    meanwhile()
    while len(done) < len(saves):
        if late:
            raise RuleBroken("the disk is not done")
        reactor.run_once()
    assert done == list(range(len(saves)))


def disk_full_during_repair(folder: Path) -> None:
    """The disk is full for some time: nothing is reported meanwhile, and then all saves complete in order."""
    with loop() as reactor:
        disk = Disk(reactor, str(folder))
        save_all(reactor, disk, [Save(items(1, 50), facts={"seq": b"50", "whole": b"0"})])
        disk._db.execute("pragma max_page_count=10")
        reported: list[str] = []
        disk.save(Save(items(51, 400), [], {"seq": b"450", "whole": b"0"}), lambda: reported.append("chunk"))
        disk.save(Save(items(451, 9), [], {"seq": b"459", "whole": b"1"}), lambda: reported.append("last"))
        until: list[bool] = []
        reactor.after(300_000, until.append, True)
        while not until:
            reactor.run_once()
        if reported or disk.oldest_save_age_us() < 200_000:
            raise RuleBroken("what a full disk rejected is reported as saved")
        disk._db.execute("pragma max_page_count=100000")
        late: list[bool] = []
        reactor.after(5_000_000, late.append, True)
        while len(reported) < 2 and not late:
            reactor.run_once()
        disk.close()
        reopened = Disk(reactor, str(folder))
        if reported != ["chunk", "last"] or len(reopened.items) != 459 or reopened.facts["whole"] != b"1":
            raise RuleBroken("not all is there when there is room again")
        reopened.close()


def disk_fails_at_the_start(folder: Path, patch: Patch) -> None:
    """Errors of the disk at the start move no file away: the copy is there as soon as it can be read."""
    patch.setattr(disks, "MAX_RETRY_DELAY_S", 0.01)
    with loop() as reactor:
        disk = Disk(reactor, str(folder))
        save_all(reactor, disk, [Save(items(1, 5), facts={"seq": b"5"})])
        disk.close()
        refusals = [sqlite3.OperationalError("disk I/O error"), sqlite3.OperationalError("database or disk is full")]
        real = Disk._open

        def refuses(self: Disk) -> sqlite3.Connection:
            if refusals:
                raise refusals.pop()
            return real(self)

        patch.setattr(Disk, "_open", refuses)
        reopened = Disk(reactor, str(folder))
        reopened.close()
        if len(reopened.items) != 5 or (folder / f"{FILE_NAME}.bad").exists():
            raise RuleBroken("a file that was good is moved away")


def disk_fails_for_good(folder: Path, patch: Patch) -> None:
    """The start ends with an error, and the file stays in place."""
    patch.setattr(disks, "START_TIMEOUT_S", 0.05)
    patch.setattr(disks, "MAX_RETRY_DELAY_S", 0.01)
    (folder / FILE_NAME).write_bytes(b"")

    def refuses(self: Disk) -> sqlite3.Connection:
        raise sqlite3.OperationalError("disk I/O error")

    patch.setattr(Disk, "_open", refuses)
    with loop() as reactor, pytest.raises(disks.DiskError, match="disk I/O error"):
        Disk(reactor, str(folder))
    assert (folder / FILE_NAME).exists()


class Names:
    """Records the renames in a folder, and for each the renames that were durable before it."""

    def __init__(self, patch: Patch) -> None:
        self._made: set[str] = set()
        self._durable: set[str] = set()
        self.before: dict[str, set[str]] = {}  # file: names whose renames were durable when it was renamed
        replace, fsync = os.replace, os.fsync

        def renamed(a: str, b: str) -> None:
            self.before[Path(a).name] = set(self._durable)
            replace(a, b)
            self._made.add(Path(a).name)

        def synced(fd: int) -> None:
            fsync(fd)
            self._durable |= self._made

        patch.setattr(os, "replace", renamed)
        patch.setattr(os, "fsync", synced)


def power_loss_while_moving_away(folder: Path, patch: Patch) -> None:
    """The file is corrupt, and sqlite has left its log with later changes.

    At no moment of the renames may a power loss leave the file without its log: it would be a valid older state.
    """
    with loop() as reactor:
        disk = Disk(reactor, str(folder))
        save_all(reactor, disk, [Save(items(1, 50), facts={"seq": b"50"})])
        disk.close()
        for ending in ("", "-wal"):
            (folder / (FILE_NAME + ending)).write_bytes(b"spoilt" * 1000)
        names = Names(patch)
        disk._move_away()
    assert (folder / f"{FILE_NAME}.bad").exists() and (folder / f"{FILE_NAME}-wal.bad").exists()
    if FILE_NAME not in names.before[f"{FILE_NAME}-wal"]:
        raise RuleBroken("the log is renamed before the file's new name is durable")


def log_without_its_file(folder: Path) -> None:
    """A log whose file was moved away is not taken for a state."""
    with loop() as reactor:
        live = folder / "live"
        live.mkdir()
        disk = Disk(reactor, str(live))
        save_all(reactor, disk, [Save(items(1, 50), facts={"seq": b"50"})])
        left = folder / "left"
        left.mkdir()
        shutil.copy(live / f"{FILE_NAME}-wal", left / f"{FILE_NAME}-wal")
        disk.close()
        found = Disk(reactor, str(left))
        found.close()
        if found.items or found.facts:
            raise RuleBroken("a log without its file is taken for a state")


def many_changes_on_disk(folder: Path) -> None:
    """1,000 changes of 2,000 routes, a repair, and drops of half of them: the size of the files is bounded."""
    with loop() as reactor:
        disk = Disk(reactor, str(folder))
        save_all(reactor, disk, [Save(items(1, 2000), facts={"seq": b"2000"})])
        state = 2000 * (len(BODY) + 100)
        saves = []
        for number in range(1000):
            changed = Item("route", f"r{number * 7 % 2000 + 1}", 2, 2001 + number, BODY)
            saves.append(Save([changed], facts={"seq": b"%d" % changed.seq}))
        for at in range(0, 1000, 4):
            save_all(reactor, disk, saves[at : at + 4])
        save_all(reactor, disk, [Save(items(1, 2000), list(range(RANGE_COUNT)), {"seq": b"3000"})])
        dropped = [Item("route", f"r{i}", 3, 3000 + i, None) for i in range(1, 1001)]
        save_all(reactor, disk, [Save(dropped, [], {"seq": b"4000"}), Save([], [], {"floor": b"4000"}, 4000)])
        sizes = {
            e: (folder / (FILE_NAME + e)).stat().st_size for e in ("", "-wal") if (folder / (FILE_NAME + e)).exists()
        }
        disk.close()
        reopened = Disk(reactor, str(folder))
        reopened.close()
    if len(reopened.items) != 1000 or any(i.body is None for i in reopened.items):
        raise RuleBroken(f"{len(reopened.items)} items are left of 1000")
    if sizes[""] > 3 * state or sizes.get("-wal", 0) > MAX_LOG_BYTES + state:
        raise RuleBroken(f"files of {sizes} for a state of {state}")
