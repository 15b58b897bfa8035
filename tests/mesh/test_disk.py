"""The disk of one replica: what was reported as saved is there; a file that cannot be read is moved away."""

from __future__ import annotations

import os
import resource
import sqlite3
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec
import picologging  # noqa: F401  the log is written when descriptors have run out
import pytest
from xxhash import xxh3_64_intdigest

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.store.digests import RANGE_COUNT, range_of
from lilacsill.mesh.store.disk import FILE_NAME, Disk, DiskError, PendingSave
from lilacsill.mesh.store.environment import Save


def run_until(reactor: Reactor, done: list[str], count: int) -> None:
    late: list[bool] = []
    reactor.after(5_000_000, late.append, True)
    while len(done) < count:
        assert not late
        reactor.run_once()


def close(disk: Disk) -> None:
    """Close the file as the end of a process would, between two commits."""
    disk._queue.put(None)
    disk._thread.join()
    disk._db.close()


def item(name: str, seq: int, body: bytes | None = b"{}") -> Item:
    return Item("route", name, seq, seq, body)


def test_what_is_saved_is_there_at_the_next_start(reactor: Reactor, tmp_path: Path) -> None:
    done: list[str] = []
    disk = Disk(reactor, str(tmp_path))
    disk.save(Save([item("a", 1), item("b", 2)], facts={"seq": b"2"}), lambda: done.append("first"))
    disk.save(Save([item("a", 3, None)], facts={"seq": b"3"}), lambda: done.append("second"))
    assert disk.oldest_save_age_us() >= 0
    run_until(reactor, done, 2)
    assert done == ["first", "second"] and disk.oldest_save_age_us() == 0
    close(disk)
    reopened = Disk(reactor, str(tmp_path))
    assert {(i.name, i.seq, i.body) for i in reopened.items} == {("a", 3, None), ("b", 2, b"{}")}
    assert reopened.facts == {"seq": b"3"}
    replaced = [range_of("route", "a"), range_of("route", "c")]
    reopened.save(Save([item("c", 9)], replaced, {"seq": b"9"}), lambda: done.append("repair"))
    run_until(reactor, done, 3)
    close(reopened)
    last = Disk(reactor, str(tmp_path))
    assert sorted(i.name for i in last.items) == ["b", "c"]
    close(last)


@pytest.mark.parametrize("spoil", ["torn head", "torn page", "empty"])
def test_a_file_that_cannot_be_read_is_moved_away(reactor: Reactor, tmp_path: Path, spoil: str) -> None:
    done: list[str] = []
    disk = Disk(reactor, str(tmp_path))
    disk.save(Save([item(f"r{i}", i, b"x" * 500) for i in range(200)], facts={"seq": b"1"}), lambda: done.append("x"))
    run_until(reactor, done, 1)
    close(disk)
    file = tmp_path / FILE_NAME
    with sqlite3.connect(file) as db:
        db.execute("pragma wal_checkpoint(truncate)")
    db.close()  # else the file is locked, which is no fault of the file
    data = bytearray(file.read_bytes())
    if spoil == "torn head":
        data[:64] = b"\0" * 64
    elif spoil == "torn page":
        data[8192:20000] = b"\xa5" * (20000 - 8192)
    else:
        data = bytearray()
    file.write_bytes(data)
    for ending in ("-wal", "-shm"):
        (tmp_path / (FILE_NAME + ending)).unlink(missing_ok=True)
    reopened = Disk(reactor, str(tmp_path))
    assert reopened.items == [] and reopened.facts == {}
    close(reopened)


def test_a_failing_disk_reports_nothing_until_a_commit_succeeds(reactor: Reactor, tmp_path: Path) -> None:
    done: list[str] = []
    disk = Disk(reactor, str(tmp_path))
    refusals = [sqlite3.OperationalError("disk I/O error")] * 2
    commit = disk._commit

    def fails(batch: object) -> bool:
        if refusals:
            refusals.pop()
            return False
        return commit(batch)  # type: ignore[arg-type]

    disk._commit = fails  # type: ignore[method-assign]
    disk.save(Save([item("a", 1)]), lambda: done.append("a"))
    run_until(reactor, done, 1)
    assert not refusals
    close(disk)


def replaces_items_without_descriptors(reactor: Reactor, folder: Path, temporary_files: bool) -> bool:
    """Return whether ranges of many items are replaced where no more files can be opened."""
    done: list[str] = []
    disk = Disk(reactor, str(folder))
    if temporary_files:
        disk._db.execute("pragma temp_store=file")
    items = [item(f"r{number}", number + 1, b"x" * 400) for number in range(1500)]
    disk.save(Save(items), lambda: done.append("first"))
    run_until(reactor, done, 1)
    opened: list[int] = []
    most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (256, most[1]))
    try:
        with suppress(OSError):
            while True:
                opened.append(os.open(os.devnull, os.O_RDONLY))
        return disk._commit([PendingSave(Save(items, range(RANGE_COUNT)), lambda: None)])
    finally:
        for descriptor in opened:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, most)
        close(disk)


def test_many_items_are_replaced_without_a_temporary_file(reactor: Reactor, tmp_path: Path) -> None:
    assert not replaces_items_without_descriptors(
        reactor, tmp_path / "files", temporary_files=True
    )  # the setting that is avoided
    assert replaces_items_without_descriptors(reactor, tmp_path / "memory", temporary_files=False)


# What was written after the last sync is there, missing or torn, sector by sector and in any order.

SECTOR = 512


def image_after_power_loss(synced: bytes, written: bytes, rng: Random) -> bytes:
    """Return a file as it may be found after a power loss."""
    found = bytearray(synced.ljust(len(written), b"\0"))
    for at in range(0, len(written), SECTOR):
        new = written[at : at + SECTOR]
        if new == synced[at : at + SECTOR] or rng.random() < 0.4:
            continue
        keep = len(new) if rng.random() < 0.7 else rng.randrange(len(new))
        found[at : at + keep] = new[:keep]
    return bytes(found[: max(len(synced), rng.randrange(len(written) + 1))])


def test_a_power_loss_keeps_what_was_reported_and_no_partial_save(reactor: Reactor, tmp_path: Path) -> None:
    done: list[str] = []
    (tmp_path / "live").mkdir()
    disk = Disk(reactor, str(tmp_path / "live"))
    states: list[dict[str, bytes]] = []

    def snapshot() -> None:
        files = {e: tmp_path / "live" / (FILE_NAME + e) for e in ("", "-wal")}
        states.append({e: f.read_bytes() if f.exists() else b"" for e, f in files.items()})

    for number in range(1, 13):
        # Each save sets a pair together, so that half of one would show.
        body = b"x" * (200 * number)
        disk.save(
            Save([item("left", number, body), item("right", number, body)], facts={"seq": b"%d" % number}),
            lambda: done.append(""),
        )
        run_until(reactor, done, number)
        snapshot()
    close(disk)
    rng = Random(11)
    for play in range(150):
        reported = rng.randrange(len(states) - 1)
        later = rng.randrange(reported + 1, len(states))
        folder = tmp_path / f"play{play}"
        folder.mkdir()
        (folder / FILE_NAME).write_bytes(states[reported][""])
        (folder / (FILE_NAME + "-wal")).write_bytes(
            image_after_power_loss(states[reported]["-wal"], states[later]["-wal"], rng)
        )
        found = Disk(reactor, str(folder))
        found_seqs = {i.name: i.seq for i in found.items}
        close(found)
        assert found_seqs["left"] == found_seqs["right"] == int(found.facts["seq"])
        assert reported + 1 <= found_seqs["left"] <= later + 1, (play, found_seqs)


def test_a_file_with_a_corrupt_row_is_moved_away(reactor: Reactor, tmp_path: Path) -> None:
    done: list[str] = []
    disk = Disk(reactor, str(tmp_path))
    disk.save(Save([item("a", 1, b"good")], facts={"seq": b"1"}), lambda: done.append(""))
    run_until(reactor, done, 1)
    close(disk)
    with sqlite3.connect(tmp_path / FILE_NAME) as db:
        db.execute("update item set body = ? where name = 'a'", (b"bad!",))
    db.close()
    reopened = Disk(reactor, str(tmp_path))
    assert reopened.items == [] and reopened.facts == {}
    close(reopened)


def test_a_record_of_versions_is_saved_with_its_item(reactor: Reactor, tmp_path: Path) -> None:
    done: list[str] = []
    disk = Disk(reactor, str(tmp_path))
    kept = Item("route", "a", 7, 7, b"{}", b"record")
    disk.save(Save([kept], facts={"seq": b"7"}), lambda: done.append(""))
    run_until(reactor, done, 1)
    close(disk)
    reopened = Disk(reactor, str(tmp_path))
    assert reopened.items == [kept]
    close(reopened)
    with sqlite3.connect(tmp_path / FILE_NAME) as db:
        db.execute("update item set accepted = ?", (b"recorD",))
    db.close()
    spoilt = Disk(reactor, str(tmp_path))
    assert spoilt.items == []  # its sum covers the record
    close(spoilt)


def test_a_file_of_format_1_is_upgraded(reactor: Reactor, tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE_NAME) as db:  # as format 1 was
        db.execute(
            "create table item (kind text, name text, version integer, seq integer, body blob, sum integer,"
            " primary key (kind, name)) without rowid"
        )
        db.execute("create table fact (name text primary key, value blob) without rowid")
        held = Item("route", "a", 4, 9, b"{}")
        row = ("route", "a", 4, 9, b"{}")
        total = xxh3_64_intdigest(msgspec.msgpack.encode(row)) >> 1  # as format 1 computed it
        db.execute("insert into item values (?, ?, ?, ?, ?, ?)", (*row, total))
        db.execute("insert into fact values ('seq', ?)", (b"9",))
        db.execute("pragma user_version=1")
    db.close()
    for _ in range(2):
        disk = Disk(reactor, str(tmp_path))
        assert disk.items == [held] and disk.facts == {"seq": b"9"}
        close(disk)


def test_files_of_other_formats(reactor: Reactor, tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE_NAME) as db:  # as the version before wrote it
        db.execute(
            "create table item (kind text, name text, version integer, seq integer, body blob,"
            " primary key (kind, name)) without rowid"
        )
        db.execute("create table fact (name text primary key, value blob) without rowid")
        db.execute("insert into item values ('route', 'a', 4, 9, ?)", (b"{}",))
        db.execute("insert into fact values ('seq', ?)", (b"9",))
    db.close()
    disk = Disk(reactor, str(tmp_path))
    assert disk.items == [Item("route", "a", 4, 9, b"{}")] and disk.facts == {"seq": b"9"}
    close(disk)
    with sqlite3.connect(tmp_path / FILE_NAME) as db:
        db.execute("pragma user_version=99")
    db.close()
    with pytest.raises(DiskError, match="file format 99 is newer than 2, the latest supported one"):
        Disk(reactor, str(tmp_path))
    assert (tmp_path / FILE_NAME).exists()  # it is kept
